import type { Change, Item } from "../../protocol/state.js";
import {
  type LeadershipBidRecord,
  type PartitionRecord,
  type JobRecord,
  type FinalRecord,
  parseKey,
  readAttempt,
  readLeadershipBid,
  readCompletion,
  readPartition,
  readJob,
  readFinal,
  readQuota,
  readCapacity,
  readRegistry,
  type CapacityRecord,
  type RegistryRecord,
  readObservedLimits,
  readReclaims,
  type Reclaim,
} from "../../storage/records.js";
import type { QuotaRecord } from "../quota/quota-records.js";
import type { JobSpec, EffectivePriority } from "../model.js";
import { type GangView, NO_GANG } from "../scheduling/spread-gangs.js";
import { RangeSet } from "../jobs/range-set.js";

export interface JobView extends EffectivePriority {
  id: string;
  spec: JobSpec;
  assignment: Map<string, RangeSet>;
  /** Jobs that it waits for, as its record names them; empty once it may start. */
  dependsOn: readonly string[];
  releasedAt: number | null;
  revision: number;
}

/** What changed in the mirror, for those who act on it. */
export type StoreEvent =
  | { kind: "job"; job: JobView; fresh: boolean }
  | { kind: "jobGone"; id: string }
  | { kind: "past"; id: string; past: FinalRecord }
  | { kind: "group" | "claim"; partition: string }
  | { kind: "fin"; id: string }
  | { kind: "room"; partition: string }
  | { kind: "limits" | "belief" }
  | { kind: "unreadable"; key: string };

/** When its own deadline is, as time of day. */
export const ownDueAt = (spec: JobSpec, acceptedAt: number): number =>
  spec.deadlineS === null ? Infinity : acceptedAt + spec.deadlineS * 1000;

/** About 150 bytes each: a question about any of these costs no read. */
const MAX_FINAL_RECORDS = 20_000;

/**
 * A controller's copy of everything alive in the state service, kept up to date by one watch. `epoch` says
 * how far it goes; it never shows a key older than it has shown before (a late answer changes nothing).
 */
export class StoreCache {
  revision = 0;
  ready = false;
  readonly partitions = new Map<
    string,
    PartitionRecord & { version: number }
  >();
  readonly leadershipBids = new Map<
    string,
    LeadershipBidRecord & { version: number }
  >();
  readonly jobs = new Map<string, JobView>();
  readonly capacities = new Map<string, CapacityRecord>();
  /** group -> chunk -> machines */
  readonly registries = new Map<string, Map<number, RegistryRecord>>();
  /** Counts changes of `limits`. */
  quotaRecordsSequence = 0;
  /** Parts of the teams' limits, by key. */
  readonly quotaRecords = new Map<string, QuotaRecord>();
  /** Which limits the live controllers go by, as their hash. */
  readonly observedLimits = new Map<string, string>();
  reclaims: ReadonlyMap<string, readonly Reclaim[]> = new Map();
  /** By group: the revision of the last change of who owns it, its end included. */
  readonly leaderChangedRevision = new Map<string, number>();
  /** Final states: never change, so they may be kept; the most recent ones only. */
  readonly finalRecords = new Map<string, FinalRecord>();
  private readonly gangs = new Map<
    string,
    GangView & { ready: Map<string, number> }
  >();
  private readonly completions = new Map<string, Map<string, RangeSet>>();
  private readonly sideKeysByJob = new Map<string, Set<string>>();
  private readonly revisions = new Map<string, number>();

  /** Finished tasks of a job, by group, as far as they are written. */
  finished(id: string): ReadonlyMap<string, RangeSet> {
    return this.completions.get(id) ?? new Map<string, RangeSet>();
  }
  /** Tasks of a job that are written as finished, in all groups. */
  finishedCount(id: string): number {
    return this.completionCounts.get(id) ?? 0;
  }
  private readonly completionCounts = new Map<string, number>();
  gang(id: string): GangView {
    return this.gangs.get(id) ?? NO_GANG;
  }
  /** Records that belong to a job beside its own: they go when it is over. */
  sideKeys(id: string): string[] {
    return [...(this.sideKeysByJob.get(id) ?? [])];
  }
  /** Revision of a key's last change, as far as seen; 0: it does not exist. */
  observedRevisionOf(key: string): number {
    return this.revisions.get(key) ?? 0;
  }
  /** A commit of this controller was carried out, as this revision. */
  noteCommitted(key: string, revision: number): void {
    if (revision > this.revision) this.ownCommits.set(key, revision);
  }
  /**
   * The revision that a commit which follows on what this controller knows is to be conditional on: of its own last commit, if
   * this copy has not come to that yet. So a transaction without an answer that is carried out late, after newer ones of
   * the same controller or of its present life, changes nothing.
   */
  latestRevisionOf(key: string): number {
    return this.ownCommits.get(key) ?? this.observedRevisionOf(key);
  }
  private readonly ownCommits = new Map<string, number>();
  private advanceTo(revision: number): void {
    this.revision = Math.max(this.revision, revision);
    for (const [key, revision] of this.ownCommits)
      if (revision <= this.revision) this.ownCommits.delete(key);
  }
  /** Jobs that are over but left such records behind. */
  leftovers(): string[] {
    const out: string[] = [];
    for (const id of this.sideKeysByJob.keys())
      if (!this.jobs.has(id)) out.push(id);
    return out;
  }
  allFinished(id: string): RangeSet {
    const all = RangeSet.empty();
    for (const set of this.finished(id).values()) all.addAll(set);
    return all;
  }
  keepFinalRecord(id: string, p: FinalRecord): void {
    this.finalRecords.delete(id);
    this.finalRecords.set(id, p);
    if (this.finalRecords.size > MAX_FINAL_RECORDS)
      this.finalRecords.delete(this.finalRecords.keys().next().value!);
  }

  /** The whole of what is alive, read anew: what is absent has gone. */
  reload(items: readonly Item[], revision: number): StoreEvent[] {
    const seen: StoreEvent[] = [];
    const present = new Set(items.map((i) => i.key));
    for (const [key, keyRevision] of this.revisions)
      if (!present.has(key) && keyRevision <= revision)
        seen.push(...this.drop(key, revision));
    // Groups first, jobs last: a master that starts on its group's record then finds all its jobs as old ones.
    for (const i of items) seen.push(...this.put(i.key, i.value, i.version));
    this.advanceTo(revision);
    this.ready = true;
    return seen;
  }

  apply(changes: readonly Change[], revision: number): StoreEvent[] {
    const seen: StoreEvent[] = [];
    for (const c of changes) {
      if (c.op === "put") seen.push(...this.put(c.key, c.value, c.version));
      else seen.push(...this.drop(c.key, c.version));
    }
    this.advanceTo(revision);
    return seen;
  }

  private put(key: string, value: unknown, revision: number): StoreEvent[] {
    const k = parseKey(key);
    if (!k) return [];
    if (k.kind === "past") {
      const p = readFinal(value);
      if (!p) return [{ kind: "unreadable", key }];
      this.keepFinalRecord(k.id, p);
      return [{ kind: "past", id: k.id, past: p }];
    }
    // A change that this copy has passed already (two reads may overlap) says nothing new.
    if (
      revision <= (this.revisions.get(key) ?? 0) ||
      (revision <= this.revision && this.ready)
    )
      return [];
    this.revisions.set(key, revision);
    switch (k.kind) {
      case "group": {
        const r = readPartition(value);
        if (!r) return [{ kind: "unreadable", key }];
        this.partitions.set(k.partition, { ...r, version: revision });
        this.leaderChangedRevision.set(k.partition, revision);
        return [{ kind: "group", partition: k.partition }];
      }
      case "claim": {
        const r = readLeadershipBid(value);
        if (!r) return [{ kind: "unreadable", key }];
        this.leadershipBids.set(k.partition, { ...r, version: revision });
        return [{ kind: "claim", partition: k.partition }];
      }
      case "room": {
        const r = readCapacity(value);
        if (!r) return [{ kind: "unreadable", key }];
        this.capacities.set(k.partition, r);
        return [{ kind: "room", partition: k.partition }];
      }
      case "roster": {
        const r = readRegistry(value);
        if (!r) return [{ kind: "unreadable", key }];
        let chunks = this.registries.get(k.partition);
        if (!chunks)
          this.registries.set(
            k.partition,
            (chunks = new Map<number, RegistryRecord>()),
          );
        chunks.set(k.chunk, r);
        return [];
      }
      case "limits":
        this.quotaRecordsSequence++;
        this.quotaRecords.set(key, {
          shares: readQuota(value) ?? {},
          revision,
        });
        return [{ kind: "limits" }];
      case "belief": {
        const limits = readObservedLimits(value);
        if (limits === null) return [{ kind: "unreadable", key }];
        this.observedLimits.set(k.label, limits);
        return [{ kind: "belief" }];
      }
      case "reclaim":
        this.reclaims = readReclaims(value) ?? new Map();
        return [];
      case "fin": {
        const r = readCompletion(value, k.chunk);
        if (!r) return [{ kind: "unreadable", key }];
        let byPartition = this.completions.get(k.id);
        if (!byPartition)
          this.completions.set(
            k.id,
            (byPartition = new Map<string, RangeSet>()),
          );
        const set = byPartition.get(k.partition) ?? RangeSet.empty();
        const had = set.size;
        set.addAll(r);
        this.completionCounts.set(
          k.id,
          this.finishedCount(k.id) + set.size - had,
        );
        byPartition.set(k.partition, set);
        this.noteSideKey(k.id, key);
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
            (g = { attempt: 0, revision: 0, ready: new Map() }),
          );
        if (k.kind === "gang") {
          g.attempt = attempt;
          g.revision = revision;
        } else g.ready.set(k.partition, attempt);
        this.noteSideKey(k.id, key);
        return [{ kind: "fin", id: k.id }];
      }
      case "job": {
        const r: JobRecord | null = readJob(value);
        if (!r) return [{ kind: "unreadable", key }];
        const old = this.jobs.get(k.id);
        if (old) {
          old.assignment = r.assignment;
          old.dependsOn = r.dependsOn;
          // An earlier version that moves tasks leaves the time of release out.
          old.releasedAt = r.releasedAt ?? old.releasedAt;
          old.readyAt = old.releasedAt ?? old.acceptedAt;
          old.revision = revision;
          return [{ kind: "job", job: old, fresh: false }];
        }
        const { spec, ...rest } = r;
        const job: JobView = {
          id: k.id,
          spec,
          ...rest,
          readyAt: r.releasedAt ?? r.acceptedAt,
          priority: spec.priority,
          dueAt: ownDueAt(spec, r.acceptedAt),
          revision,
        };
        this.jobs.set(k.id, job);
        return [{ kind: "job", job, fresh: true }];
      }
    }
  }

  private noteSideKey(id: string, key: string): void {
    let keys = this.sideKeysByJob.get(id);
    if (!keys) this.sideKeysByJob.set(id, (keys = new Set()));
    keys.add(key);
  }

  private drop(key: string, revision: number): StoreEvent[] {
    const k = parseKey(key);
    if (!k || k.kind === "past") return [];
    if (revision < (this.revisions.get(key) ?? 0)) return [];
    this.revisions.delete(key);
    switch (k.kind) {
      case "group":
        this.partitions.delete(k.partition);
        this.leaderChangedRevision.set(k.partition, revision);
        return [{ kind: "group", partition: k.partition }];
      case "claim":
        this.leadershipBids.delete(k.partition);
        return [{ kind: "claim", partition: k.partition }];
      case "room":
        this.capacities.delete(k.partition);
        return [{ kind: "room", partition: k.partition }];
      case "roster":
        this.registries.get(k.partition)?.delete(k.chunk);
        return [];
      case "limits":
        this.quotaRecordsSequence++;
        this.quotaRecords.delete(key);
        return [{ kind: "limits" }];
      case "belief":
        this.observedLimits.delete(k.label);
        return [{ kind: "belief" }];
      case "reclaim":
        this.reclaims = new Map();
        return [];
      case "fin":
      case "gang":
      case "ready": {
        const keys = this.sideKeysByJob.get(k.id);
        keys?.delete(key);
        if (keys?.size === 0) {
          this.sideKeysByJob.delete(k.id);
          this.completions.delete(k.id);
          this.completionCounts.delete(k.id);
          this.gangs.delete(k.id);
        }
        return [];
      }
      case "job":
        return this.jobs.delete(k.id) ? [{ kind: "jobGone", id: k.id }] : [];
    }
  }
}
