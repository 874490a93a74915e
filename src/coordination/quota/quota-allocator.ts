import type { Team } from "../../config/settings.js";
import {
  partitionKey,
  QUOTA_KEY,
  type Shares,
  type TeamRow,
  type QuotaWant,
} from "../../storage/records.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import { PendingTransfer } from "../leadership/pending-transfer.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { ResourceUse } from "../machines/resource-ledger.js";
import type { JobSpec } from "../model.js";
import { EPSILON } from "../scheduling/placement.js";
import { QuotaDemand } from "./quota-demand.js";
import {
  type PartitionDemand,
  planQuotas,
  type QuotaSituation,
} from "./quota-plan.js";
import {
  CAPS_NAME,
  DIMENSIONS,
  type QuotaEntry,
  entryOf,
  roundUpToHundredth,
  limitOf,
  mayUse,
  type ResourceAmounts,
} from "./quota-records.js";

/** Parts are given no more often than this: what comes together goes together. */
const TRANSFER_INTERVAL_MS = 600;

/** What a plan's commit depends on and says. */
interface ChangeBase {
  records: [key: string, version: number][];
  /** Groups that no settings name, with the token under which this controller has them. */
  gone: [group: string, token: number][];
}

/** A group's part of the teams' limits, and giving of it to groups that want more. */
export class QuotaAllocator {
  private pendingChange: {
    reserved: Map<string, ResourceAmounts>;
    urgent: CallPriority;
    change: PendingTransfer<ChangeBase, Map<string, Shares>>;
  } | null = null;
  private nextMs = -Infinity;
  private readonly quotaDemand: QuotaDemand;
  private entries = new Map<string, QuotaEntry | null>();
  private entriesSeq = -1;

  constructor(
    private readonly ctx: Context,
    private readonly own: PartitionState,
    /** Whether this group has, or may get, a machine with room for a task of such a job. */
    hasPlace: (spec: JobSpec) => boolean,
  ) {
    this.quotaDemand = new QuotaDemand(ctx, own, hasPlace);
  }

  /** What is written of a team's limit. */
  entry(team: string): QuotaEntry | null {
    const { cache } = this.ctx;
    if (this.entriesSeq !== cache.quotaRecordsSequence) {
      this.entriesSeq = cache.quotaRecordsSequence;
      this.entries = new Map();
    }
    let e = this.entries.get(team);
    if (e === undefined)
      this.entries.set(team, (e = entryOf(cache.quotaRecords, team)));
    return e;
  }

  /**
   * Up to how much this group may start tasks of a team, in CPUs and accelerators; Infinity: no limit. Invariant (quota):
   * what is on its way to others is not used from before the commit that gives it is sent.
   */
  share(team: string): ResourceAmounts {
    const t = this.ctx.settings.teams.get(team);
    if (!t) return [0, 0];
    const [cpus, gpus] = mayUse(t, this.entry(team), this.own.partition, () =>
      this.uses()(team),
    );
    const r = this.pendingChange?.reserved.get(team);
    return r && !this.settled() ? [cpus - r[0], gpus - r[1]] : [cpus, gpus];
  }

  /** On its way to other groups, of a team: CPUs and accelerators. */
  inFlight(team: string): ResourceAmounts {
    const r = this.settled()
      ? undefined
      : this.pendingChange?.reserved.get(team);
    return r ? [r[0], r[1]] : [0, 0];
  }
  /** What waits here of a team and has a place, now or to be rented. */
  waiting(team: string): ResourceAmounts {
    return this.quotaDemand
      .waitingOf(team)
      .reduce<ResourceAmounts>(
        (s, w) => [s[0] + w.need[0], s[1] + w.need[1]],
        [0, 0],
      );
  }

  /** The record shows how the last change ended. */
  private settled(): boolean {
    return (
      this.pendingChange !== null &&
      this.pendingChange.change.baseRevision.records.some(
        ([key, version]) => this.versionOf(key) !== version,
      )
    );
  }
  private versionOf(key: string): number {
    return this.ctx.cache.quotaRecords.get(key)?.revision ?? 0;
  }

  private uses(): (team: string) => ResourceAmounts {
    const used = this.own.usage();
    return (team) => {
      const u = used.get(team);
      return u ? [u.cpus, u.gpus] : [0, 0];
    };
  }

  /** By team: what it may still use in this group. */
  headroom(): Map<string, ResourceUse> {
    const use = this.uses();
    const out = new Map<string, ResourceUse>();
    for (const team of this.ctx.settings.teams.keys()) {
      const share = this.share(team);
      const u = use(team);
      out.set(team, { cpus: share[0] - u[0], gpus: share[1] - u[1] });
    }
    return out;
  }

  /** What another group has of a team's limit and does not use, as far as it is known; Infinity: no limit, or it can't be judged. */
  spareAt(partition: string, team: string): ResourceAmounts {
    const e = this.entry(team);
    const rows = this.ctx.cache.capacities.get(partition)?.teams;
    return DIMENSIONS.map((d) =>
      !e || !rows || e.cap[d] === Infinity
        ? Infinity
        : Math.max(
            0,
            (e.parts[partition]?.[d] ?? 0) - (rows.get(team)?.use[d] ?? 0),
          ),
    ) as ResourceAmounts;
  }

  /** By team: what this group could use beyond its part. */
  private demands(
    use: (team: string) => ResourceAmounts,
  ): Map<string, PartitionDemand> {
    const out = new Map<string, PartitionDemand>();
    for (const team of this.ctx.settings.teams.keys()) {
      const d = this.demand(team, use(team));
      if (d) out.set(team, d);
    }
    return out;
  }

  private demand(team: string, use: ResourceAmounts): PartitionDemand | null {
    const waiting = this.quotaDemand.waitingOf(team);
    if (waiting.length === 0) return null;
    const beyond = this.share(team);
    const d: PartitionDemand = {
      now: [0, 0],
      nowSince: [Infinity, Infinity],
      soon: [0, 0],
      soonSince: [Infinity, Infinity],
      beyond,
    };
    const spare: ResourceAmounts = [beyond[0] - use[0], beyond[1] - use[1]];
    // Who can start at once takes what there is first; what it lacks is wanted.
    for (const now of [true, false])
      for (const w of waiting) {
        if (w.now !== now) continue;
        const lack = DIMENSIONS.map((k) =>
          Math.max(
            0,
            roundUpToHundredth(Math.min(w.need[k], w.need[k] - spare[k])),
          ),
        ) as ResourceAmounts;
        spare[0] -= w.need[0];
        spare[1] -= w.need[1];
        const [to, since] = now ? [d.now, d.nowSince] : [d.soon, d.soonSince];
        for (const k of DIMENSIONS) {
          if (lack[k] <= EPSILON) continue;
          to[k] += lack[k];
          since[k] = Math.min(since[k], w.since);
        }
      }
    return DIMENSIONS.some((k) => d.now[k] > 0 || d.soon[k] > 0) ? d : null;
  }

  /** What is written with the room, by team: use, wants, and what waits; and the wants as an earlier version reads them. */
  rows(): { teams: Map<string, TeamRow>; wants: Map<string, QuotaWant> } {
    const teams = new Map<string, TeamRow>();
    const wants = new Map<string, QuotaWant>();
    const use = this.uses();
    for (const t of this.ctx.settings.teams.values()) {
      const d = this.demand(t.name, use(t.name));
      const k = this.own.ledger.useOf(t.name);
      const waits = this.waiting(t.name);
      const may = this.own.isFenced
        ? this.bounded(t, use(t.name))
        : ([k.cpus, k.gpus] as ResourceAmounts);
      if (
        !d &&
        k.cpus <= EPSILON &&
        k.gpus <= EPSILON &&
        may[0] <= EPSILON &&
        may[1] <= EPSILON &&
        waits[0] <= EPSILON &&
        waits[1] <= EPSILON
      )
        continue;
      const finite = (p: ResourceAmounts): ResourceAmounts => [
        Number.isFinite(p[0]) ? p[0] : 0,
        Number.isFinite(p[1]) ? p[1] : 0,
      ];
      teams.set(t.name, {
        use: [k.cpus, k.gpus],
        may,
        now: d?.now ?? [0, 0],
        nowSince: d?.nowSince ?? [Infinity, Infinity],
        soon: d?.soon ?? [0, 0],
        soonSince: d?.soonSince ?? [Infinity, Infinity],
        beyond: finite(d?.beyond ?? [0, 0]),
        waits,
      });
      if (d)
        wants.set(t.name, {
          cpus: d.now[0] + d.soon[0],
          gpus: d.now[1] + d.soon[1],
          since: this.quotaDemand
            .waitingOf(t.name)
            .reduce((n, w) => Math.min(n, w.readyAt), Infinity),
        });
    }
    return { teams, wants };
  }
  /** During a takeover: no more than what the former master could have started. */
  private bounded(t: Team, use: ResourceAmounts): ResourceAmounts {
    const e = this.entry(t.name)?.parts[this.own.partition];
    const limit = limitOf(t);
    return DIMENSIONS.map((d) =>
      Math.min(
        use[d],
        e && Number.isFinite(limit[d]) ? Math.max(e[d], 0) : 1e9,
      ),
    ) as ResourceAmounts;
  }

  /** What other groups want, as they last wrote it. */
  private others(): Map<string, Map<string, PartitionDemand>> {
    const out = new Map<string, Map<string, PartitionDemand>>();
    for (const [partition, room] of this.ctx.cache.capacities) {
      if (partition === this.own.partition) continue;
      const of = new Map<string, PartitionDemand>();
      if (room.teams) for (const [team, r] of room.teams) of.set(team, r);
      // An earlier version wants beyond what it has at the moment.
      else
        for (const [team, w] of room.wants) {
          const p = this.entry(team)?.parts[partition] ?? [0, 0];
          of.set(team, {
            now: [w.cpus, w.gpus],
            nowSince: [w.since, w.since],
            soon: [0, 0],
            soonSince: [Infinity, Infinity],
            beyond: [p[0], p[1]],
          });
        }
      out.set(partition, of);
    }
    return out;
  }

  /** Groups that the settings do not name and that have a part still, once nothing of theirs can run; with the tokens that say so. */
  private removedPartitions(): Map<string, number> {
    const gone = new Map<string, number>();
    for (const { shares } of this.ctx.cache.quotaRecords.values())
      for (const [team, parts] of Object.entries(shares))
        for (const [g, p] of Object.entries(parts)) {
          if (
            team === CAPS_NAME ||
            this.ctx.partitions.names.includes(g) ||
            (p[0] <= EPSILON && p[1] <= EPSILON)
          )
            continue;
          const token = this.ctx.leaderlessToken(g);
          if (token !== null) gone.set(g, token);
        }
    return gone;
  }

  tick(agreed: boolean): void {
    if (this.pendingChange) {
      if (!this.settled()) return this.send();
      this.pendingChange = null;
    }
    if (this.ctx.nowMs < this.nextMs) return;
    const { settings, tuning, cache } = this.ctx;
    const use = this.uses();
    const gone = this.removedPartitions();
    const situation: QuotaSituation = {
      partition: this.own.partition,
      partitions: this.ctx.partitions.names,
      teams: settings.teams,
      records: cache.quotaRecords,
      valueBytes: settings.state.valueBytes,
      writes: Math.min(3, settings.state.txnOps),
      use,
      known: (team) => {
        if (this.own.isFenced) return null;
        const unconfirmed = this.own.ledger.unconfirmedUse(team);
        const u = this.own.ledger.useOf(team);
        return [u.cpus - unconfirmed.cpus, u.gpus - unconfirmed.gpus];
      },
      mine: this.demands(use),
      others: this.others(),
      keep: (team, since, partition, now) =>
        this.keep(team, since, partition, now),
      agreed,
      gone: new Set(gone.keys()),
      // The version before takes an equal part of what the first record does not name, so elsewhere nothing may move
      // while one of its controllers can come back.
      movable: (key) => key === QUOTA_KEY || tuning.dividedLimits,
    };
    const plan = planQuotas(situation);
    if (!plan) return;
    this.nextMs = this.ctx.nowMs + TRANSFER_INTERVAL_MS;
    const base: ChangeBase = {
      records: [...plan.writes.keys()].map((key) => [key, this.versionOf(key)]),
      gone: plan.gone.map((g) => [g, gone.get(g)!]),
    };
    this.pendingChange = {
      reserved: plan.reserved,
      urgent:
        plan.caps.length > 0 ? CallPriority.Leader : CallPriority.Background,
      change: new PendingTransfer(base, plan.writes),
    };
    for (const g of plan.given)
      this.ctx.log("transferring quota to another partition", {
        team: g.team,
        to: g.to,
        cpus: g.give[0],
        gpus: g.give[1],
      });
    for (const team of plan.caps)
      this.ctx.log("writing team quota", { team, agreed });
    for (const partition of plan.gone)
      this.ctx.log("reclaiming quota of removed partition", {
        partition: partition,
      });
    this.send();
  }

  /** What the own waiting tasks that come before such a demand are going to use. */
  private keep(
    team: string,
    since: number,
    partition: string,
    now: boolean,
  ): ResourceAmounts {
    const sum: ResourceAmounts = [0, 0];
    for (const w of this.quotaDemand.waitingOf(team)) {
      const older =
        w.since < since ||
        (w.since === since && this.own.partition < partition);
      if (now ? !(w.now && older) : !(w.now || older)) continue;
      sum[0] += w.need[0];
      sum[1] += w.need[1];
    }
    return sum;
  }

  private send(): void {
    const c = this.pendingChange;
    c?.change.send(
      (base, value, done) =>
        this.own.commit(
          [
            ...base.records.map(([key, version]) => ({ key, version })),
            ...base.gone.map(([g, version]) => ({
              key: partitionKey(g),
              version,
            })),
          ],
          [...value].map(([key, shares]) => ({
            op: "put" as const,
            key,
            value: shares,
          })),
          c.urgent,
          done,
        ),
      () => {
        if (this.pendingChange === c) this.pendingChange = null;
      },
    );
  }
}
