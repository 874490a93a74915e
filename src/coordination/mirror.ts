import type { Change, Item } from "../protocol/state.js";
import {
  type ClaimRecord,
  type GroupRecord,
  type JobRecord,
  type PastRecord,
  parseKey,
  readAttempt,
  readClaim,
  readFin,
  readGroup,
  readJob,
  readPast,
  readQuota,
  readRoom,
  readRoster,
  type RoomRecord,
  type RosterRecord,
  readBelief,
  readReclaims,
  type Reclaim,
} from "../storage/records.js";
import type { LimitRecord } from "./limits/shares.js";
import type { JobSpec, Standing } from "./model.js";
import { type GangView, NO_GANG } from "./parts.js";
import { RangeSet } from "./ranges.js";

export interface JobView extends Standing {
  id: string;
  spec: JobSpec;
  split: Map<string, RangeSet>;
  /** Jobs that it waits for, as its record names them; empty once it may start. */
  awaits: readonly string[];
  releasedAt: number | null;
  version: number;
}

/** What changed in the mirror, for those who act on it. */
export type Seen =
  | { kind: "job"; job: JobView; fresh: boolean }
  | { kind: "jobGone"; id: string }
  | { kind: "past"; id: string; past: PastRecord }
  | { kind: "group" | "claim"; group: string }
  | { kind: "fin"; id: string }
  | { kind: "room"; group: string }
  | { kind: "limits" | "belief" }
  | { kind: "unreadable"; key: string };

/** When its own deadline is, as time of day. */
export const ownDueAt = (spec: JobSpec, acceptedAt: number): number =>
  spec.deadlineS === null ? Infinity : acceptedAt + spec.deadlineS * 1000;

/** About 150 bytes each: a question about any of these costs no read. */
const PAST_KEPT = 20_000;

/**
 * A controller's copy of everything alive in the state service, kept up to date by one watch. `epoch` says
 * how far it goes; it never shows a key older than it has shown before (a late answer changes nothing).
 */
export class Mirror {
  epoch = 0;
  ready = false;
  readonly groups = new Map<string, GroupRecord & { version: number }>();
  readonly claims = new Map<string, ClaimRecord & { version: number }>();
  readonly jobs = new Map<string, JobView>();
  readonly rooms = new Map<string, RoomRecord>();
  /** group -> chunk -> machines */
  readonly rosters = new Map<string, Map<number, RosterRecord>>();
  /** Counts changes of `limits`. */
  limitsSeq = 0;
  /** Parts of the teams' limits, by key. */
  readonly limits = new Map<string, LimitRecord>();
  /** Which limits the live controllers go by, as their hash. */
  readonly beliefs = new Map<string, string>();
  reclaims: ReadonlyMap<string, readonly Reclaim[]> = new Map();
  /** By group: the revision of the last change of who owns it, its end included. */
  readonly ownerChanged = new Map<string, number>();
  /** Final states: never change, so they may be kept; the most recent ones only. */
  readonly past = new Map<string, PastRecord>();
  private readonly gangs = new Map<
    string,
    GangView & { ready: Map<string, number> }
  >();
  private readonly fins = new Map<string, Map<string, RangeSet>>();
  private readonly sides = new Map<string, Set<string>>();
  private readonly versions = new Map<string, number>();

  /** Finished tasks of a job, by group, as far as they are written. */
  finished(id: string): ReadonlyMap<string, RangeSet> {
    return this.fins.get(id) ?? new Map<string, RangeSet>();
  }
  /** Tasks of a job that are written as finished, in all groups. */
  finishedCount(id: string): number {
    return this.finCounts.get(id) ?? 0;
  }
  private readonly finCounts = new Map<string, number>();
  gang(id: string): GangView {
    return this.gangs.get(id) ?? NO_GANG;
  }
  /** Records that belong to a job beside its own: they go when it is over. */
  sideKeys(id: string): string[] {
    return [...(this.sides.get(id) ?? [])];
  }
  /** Revision of a key's last change, as far as seen; 0: it does not exist. */
  versionOf(key: string): number {
    return this.versions.get(key) ?? 0;
  }
  /** A commit of this controller was carried out, as this revision. */
  wrote(key: string, epoch: number): void {
    if (epoch > this.epoch) this.ahead.set(key, epoch);
  }
  /**
   * The revision that a commit which follows on what this controller knows is to be conditional on: of its own last commit, if
   * this copy has not come to that yet. So a transaction without an answer that is carried out late, after newer ones of
   * the same controller or of its present life, changes nothing.
   */
  revisionOf(key: string): number {
    return this.ahead.get(key) ?? this.versionOf(key);
  }
  private readonly ahead = new Map<string, number>();
  private reached(epoch: number): void {
    this.epoch = Math.max(this.epoch, epoch);
    for (const [key, version] of this.ahead)
      if (version <= this.epoch) this.ahead.delete(key);
  }
  /** Jobs that are over but left such records behind. */
  leftovers(): string[] {
    const out: string[] = [];
    for (const id of this.sides.keys()) if (!this.jobs.has(id)) out.push(id);
    return out;
  }
  allFinished(id: string): RangeSet {
    const all = RangeSet.empty();
    for (const set of this.finished(id).values()) all.addAll(set);
    return all;
  }
  keepPast(id: string, p: PastRecord): void {
    this.past.delete(id);
    this.past.set(id, p);
    if (this.past.size > PAST_KEPT)
      this.past.delete(this.past.keys().next().value!);
  }

  /** The whole of what is alive, read anew: what is absent has gone. */
  reload(items: readonly Item[], epoch: number): Seen[] {
    const seen: Seen[] = [];
    const present = new Set(items.map((i) => i.key));
    for (const [key, version] of this.versions)
      if (!present.has(key) && version <= epoch)
        seen.push(...this.drop(key, epoch));
    // Groups first, jobs last: a master that starts on its group's record then finds all its jobs as old ones.
    for (const i of items) seen.push(...this.put(i.key, i.value, i.version));
    this.reached(epoch);
    this.ready = true;
    return seen;
  }

  apply(changes: readonly Change[], epoch: number): Seen[] {
    const seen: Seen[] = [];
    for (const c of changes) {
      if (c.op === "put") seen.push(...this.put(c.key, c.value, c.version));
      else seen.push(...this.drop(c.key, c.version));
    }
    this.reached(epoch);
    return seen;
  }

  private put(key: string, value: unknown, version: number): Seen[] {
    const k = parseKey(key);
    if (!k) return [];
    if (k.kind === "past") {
      const p = readPast(value);
      if (!p) return [{ kind: "unreadable", key }];
      this.keepPast(k.id, p);
      return [{ kind: "past", id: k.id, past: p }];
    }
    // A change that this copy has passed already (two reads may overlap) says nothing new.
    if (
      version <= (this.versions.get(key) ?? 0) ||
      (version <= this.epoch && this.ready)
    )
      return [];
    this.versions.set(key, version);
    switch (k.kind) {
      case "group": {
        const r = readGroup(value);
        if (!r) return [{ kind: "unreadable", key }];
        this.groups.set(k.group, { ...r, version });
        this.ownerChanged.set(k.group, version);
        return [{ kind: "group", group: k.group }];
      }
      case "claim": {
        const r = readClaim(value);
        if (!r) return [{ kind: "unreadable", key }];
        this.claims.set(k.group, { ...r, version });
        return [{ kind: "claim", group: k.group }];
      }
      case "room": {
        const r = readRoom(value);
        if (!r) return [{ kind: "unreadable", key }];
        this.rooms.set(k.group, r);
        return [{ kind: "room", group: k.group }];
      }
      case "roster": {
        const r = readRoster(value);
        if (!r) return [{ kind: "unreadable", key }];
        let chunks = this.rosters.get(k.group);
        if (!chunks)
          this.rosters.set(k.group, (chunks = new Map<number, RosterRecord>()));
        chunks.set(k.chunk, r);
        return [];
      }
      case "limits":
        this.limitsSeq++;
        this.limits.set(key, { shares: readQuota(value) ?? {}, version });
        return [{ kind: "limits" }];
      case "belief": {
        const limits = readBelief(value);
        if (limits === null) return [{ kind: "unreadable", key }];
        this.beliefs.set(k.label, limits);
        return [{ kind: "belief" }];
      }
      case "reclaim":
        this.reclaims = readReclaims(value) ?? new Map();
        return [];
      case "fin": {
        const r = readFin(value, k.chunk);
        if (!r) return [{ kind: "unreadable", key }];
        let byGroup = this.fins.get(k.id);
        if (!byGroup)
          this.fins.set(k.id, (byGroup = new Map<string, RangeSet>()));
        const set = byGroup.get(k.group) ?? RangeSet.empty();
        const had = set.size;
        set.addAll(r);
        this.finCounts.set(k.id, this.finishedCount(k.id) + set.size - had);
        byGroup.set(k.group, set);
        this.noteSide(k.id, key);
        return [{ kind: "fin", id: k.id }];
      }
      case "gang":
      case "ready": {
        const attempt = readAttempt(value);
        if (attempt === null) return [{ kind: "unreadable", key }];
        let g = this.gangs.get(k.id);
        if (!g)
          this.gangs.set(
            k.id,
            (g = { attempt: 0, version: 0, ready: new Map() }),
          );
        if (k.kind === "gang") {
          g.attempt = attempt;
          g.version = version;
        } else g.ready.set(k.group, attempt);
        this.noteSide(k.id, key);
        return [{ kind: "fin", id: k.id }];
      }
      case "job": {
        const r: JobRecord | null = readJob(value);
        if (!r) return [{ kind: "unreadable", key }];
        const old = this.jobs.get(k.id);
        if (old) {
          old.split = r.split;
          old.awaits = r.awaits;
          // An earlier version that moves tasks leaves the time of release out.
          old.releasedAt = r.releasedAt ?? old.releasedAt;
          old.readyAt = old.releasedAt ?? old.acceptedAt;
          old.version = version;
          return [{ kind: "job", job: old, fresh: false }];
        }
        const { spec, ...rest } = r;
        const job: JobView = {
          id: k.id,
          spec,
          ...rest,
          readyAt: r.releasedAt ?? r.acceptedAt,
          urgency: spec.urgency,
          dueAt: ownDueAt(spec, r.acceptedAt),
          version,
        };
        this.jobs.set(k.id, job);
        return [{ kind: "job", job, fresh: true }];
      }
    }
  }

  private noteSide(id: string, key: string): void {
    let keys = this.sides.get(id);
    if (!keys) this.sides.set(id, (keys = new Set()));
    keys.add(key);
  }

  private drop(key: string, version: number): Seen[] {
    const k = parseKey(key);
    if (!k || k.kind === "past") return [];
    if (version < (this.versions.get(key) ?? 0)) return [];
    this.versions.delete(key);
    switch (k.kind) {
      case "group":
        this.groups.delete(k.group);
        this.ownerChanged.set(k.group, version);
        return [{ kind: "group", group: k.group }];
      case "claim":
        this.claims.delete(k.group);
        return [{ kind: "claim", group: k.group }];
      case "room":
        this.rooms.delete(k.group);
        return [{ kind: "room", group: k.group }];
      case "roster":
        this.rosters.get(k.group)?.delete(k.chunk);
        return [];
      case "limits":
        this.limitsSeq++;
        this.limits.delete(key);
        return [{ kind: "limits" }];
      case "belief":
        this.beliefs.delete(k.label);
        return [{ kind: "belief" }];
      case "reclaim":
        this.reclaims = new Map();
        return [];
      case "fin":
      case "gang":
      case "ready": {
        const keys = this.sides.get(k.id);
        keys?.delete(key);
        if (keys?.size === 0) {
          this.sides.delete(k.id);
          this.fins.delete(k.id);
          this.finCounts.delete(k.id);
          this.gangs.delete(k.id);
        }
        return [];
      }
      case "job":
        return this.jobs.delete(k.id) ? [{ kind: "jobGone", id: k.id }] : [];
    }
  }
}
