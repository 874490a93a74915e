/**
 * The partition's parts of the teams' limits: how much of each it may use, and giving of it to partitions that want more.
 * Owns the change of the quota records that is under way. Design: docs/design/limits.md.
 */
import type { Team } from "../../config/settings.js";
import { partitionKey, QUOTA_KEY, type Shares } from "../../storage/records.js";
import type { Context, TransactionOutcome } from "../context.js";
import { CallPriority } from "../effects.js";
import { PendingTransfer } from "../leadership/pending-transfer.js";
import type { ResourceUse } from "../machines/resource-ledger.js";
import type { JobSpec } from "../model.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import {
  demandBeyondShare,
  type PartitionDemand,
  publishedDemands,
} from "./partition-demand.js";
import { QuotaDemand } from "./quota-demand.js";
import { planQuotas } from "./quota-plan.js";
import type { QuotaPlan, QuotaSituation } from "./quota-situation.js";
import {
  CAPS_NAME,
  entryOf,
  limitOf,
  mayUse,
  type QuotaEntry,
} from "./quota-records.js";
import { type QuotaReport, quotaWantOf, teamRowOf } from "./quota-report.js";
import {
  isAnyPositive,
  perDimension,
  type ResourceAmounts,
} from "./resource-amounts.js";

/** Parts are given no more often than this: what comes together goes together. */
const TRANSFER_INTERVAL_MS = 600;
/** Quota records that one change writes at the most. */
const MAX_RECORDS_PER_CHANGE = 3;
/** Stands for "no limit" in what is published: JSON knows no Infinity. */
const UNLIMITED_USE = 1e9;

/** Revisions that a change depends on. */
interface ChangeBase {
  records: [key: string, version: number][];
  /** Partitions that no settings name, with the token under which they have no leader. */
  removedPartitions: [partition: string, token: number][];
}

/** A change of the quota records until the records show how it ended. */
interface PendingChange {
  /** By team: what it gives away. */
  reserved: Map<string, ResourceAmounts>;
  priority: CallPriority;
  transfer: PendingTransfer<ChangeBase, Map<string, Shares>>;
}

/** A partition's use of the teams' limits. */
export class QuotaAllocator {
  private pendingChange: PendingChange | null = null;
  private nextPlanMs = -Infinity;
  private readonly quotaDemand: QuotaDemand;
  /** Entries looked up since the records last changed. */
  private entries = new Map<string, QuotaEntry | null>();
  private entriesSequence = -1;

  /** `hasPlace`: whether the partition has, or may get, a machine with free resources for a task of such a job. */
  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    hasPlace: (spec: JobSpec) => boolean,
  ) {
    this.quotaDemand = new QuotaDemand(context, state, hasPlace);
  }

  // ---- what may be used ------------------------------------------------------------------------------------

  /** What is written of a team's limit; null: nothing. */
  entry(team: string): QuotaEntry | null {
    const { cache } = this.context;
    if (this.entriesSequence !== cache.quotaRecordsSequence) {
      this.entriesSequence = cache.quotaRecordsSequence;
      this.entries = new Map();
      this.logRecordsRead();
    }
    let entry = this.entries.get(team);
    if (entry === undefined) {
      entry = entryOf(cache.quotaRecords, team);
      this.entries.set(team, entry);
    }
    return entry;
  }

  /**
   * Up to how much this partition may start tasks of a team, in CPUs and accelerators; Infinity: no limit. Invariant (quota):
   * what is on its way to others is not used from before the commit that gives it is sent.
   */
  share(team: string): ResourceAmounts {
    const settings = this.context.settings.teams.get(team);
    if (!settings) return [0, 0];
    const [cpus, gpus] = mayUse(
      settings,
      this.entry(team),
      this.state.partition,
      () => this.uses()(team),
    );
    const reserved = this.inFlight(team);
    return [cpus - reserved[0], gpus - reserved[1]];
  }

  /** What of a team's limit is on its way to other partitions. */
  inFlight(team: string): ResourceAmounts {
    const reserved = this.pendingChange?.reserved.get(team);
    return reserved && !this.isSettled() ? [reserved[0], reserved[1]] : [0, 0];
  }

  /** By team: what it may still use in this partition, a fresh copy. */
  headroom(): Map<string, ResourceUse> {
    const useOf = this.uses();
    const headroom = new Map<string, ResourceUse>();
    for (const team of this.context.settings.teams.keys()) {
      const share = this.share(team);
      const use = useOf(team);
      headroom.set(team, { cpus: share[0] - use[0], gpus: share[1] - use[1] });
    }
    return headroom;
  }

  /**
   * What another partition has of a team's limit and does not use, as far as it is known; Infinity: no limit, or it can't be
   * judged.
   */
  spareAt(partition: string, team: string): ResourceAmounts {
    const entry = this.entry(team);
    const rows = this.context.cache.capacities.get(partition)?.teams;
    return perDimension((dimension) => {
      if (!entry || !rows || entry.cap[dimension] === Infinity) return Infinity;
      const part = entry.parts[partition]?.[dimension] ?? 0;
      return Math.max(0, part - (rows.get(team)?.use[dimension] ?? 0));
    });
  }

  /** The use of each team, as it is now. */
  private uses(): (team: string) => ResourceAmounts {
    const usage = this.state.usage();
    return (team) => {
      const use = usage.get(team);
      return use ? [use.cpus, use.gpus] : [0, 0];
    };
  }

  // ---- what is wanted --------------------------------------------------------------------------------------

  /** What waits here of a team and has a place, now or to be rented. */
  waiting(team: string): ResourceAmounts {
    const sum: ResourceAmounts = [0, 0];
    for (const { need } of this.quotaDemand.waitingOf(team)) {
      sum[0] += need[0];
      sum[1] += need[1];
    }
    return sum;
  }

  /** What is published of the teams with this partition's capacity. */
  rows(): QuotaReport {
    const report: QuotaReport = { teams: new Map(), wants: new Map() };
    const useOf = this.uses();
    for (const team of this.context.settings.teams.values()) {
      const { name } = team;
      const demand = this.demand(name, useOf(name));
      const { cpus, gpus } = this.state.ledger.useOf(name);
      const row = teamRowOf({
        demand,
        use: [cpus, gpus],
        waiting: this.waiting(name),
        possibleUse: this.state.isFenced
          ? this.boundedUse(team, useOf(name))
          : [cpus, gpus],
      });
      if (!row) continue;
      report.teams.set(name, row);
      if (demand) {
        const waiting = this.quotaDemand.waitingOf(name);
        report.wants.set(name, quotaWantOf(demand, waiting));
      }
    }
    return report;
  }

  /** During a failover: no more than what the former leader could have started. */
  private boundedUse(team: Team, use: ResourceAmounts): ResourceAmounts {
    const part = this.entry(team.name)?.parts[this.state.partition];
    const limit = limitOf(team);
    return perDimension((dimension) => {
      const isLimited = part && Number.isFinite(limit[dimension]);
      return Math.min(
        use[dimension],
        isLimited ? Math.max(part[dimension], 0) : UNLIMITED_USE,
      );
    });
  }

  /** What this partition could use of a team beyond its part; null: nothing. */
  private demand(team: string, use: ResourceAmounts): PartitionDemand | null {
    const waiting = this.quotaDemand.waitingOf(team);
    if (waiting.length === 0) return null;
    return demandBeyondShare(waiting, this.share(team), use);
  }

  private ownDemands(
    useOf: (team: string) => ResourceAmounts,
  ): Map<string, PartitionDemand> {
    const demands = new Map<string, PartitionDemand>();
    for (const team of this.context.settings.teams.keys()) {
      const demand = this.demand(team, useOf(team));
      if (demand) demands.set(team, demand);
    }
    return demands;
  }

  /** What other partitions want, as they last published it. */
  private othersDemands(): Map<string, ReadonlyMap<string, PartitionDemand>> {
    const demands = new Map<string, ReadonlyMap<string, PartitionDemand>>();
    for (const [partition, capacity] of this.context.cache.capacities) {
      if (partition === this.state.partition) continue;
      const published = publishedDemands(
        capacity,
        (team) => this.entry(team)?.parts[partition] ?? [0, 0],
      );
      demands.set(partition, published);
    }
    return demands;
  }

  // ---- changes of the records --------------------------------------------------------------------------------

  /** `agreed`: every live controller goes by the same limits as this one. */
  tick(agreed: boolean): void {
    if (this.pendingChange) {
      if (!this.isSettled()) {
        this.send(this.pendingChange);
        return;
      }
      this.logSettled(this.pendingChange);
      this.pendingChange = null;
    }
    if (this.context.nowMs < this.nextPlanMs) return;
    const removedTokens = this.removedPartitions();
    const plan = planQuotas(this.situation(agreed, removedTokens));
    if (!plan) return;
    this.nextPlanMs = this.context.nowMs + TRANSFER_INTERVAL_MS;
    const change = this.toChange(plan, removedTokens);
    this.pendingChange = change;
    this.logPlan(plan, agreed);
    this.send(change);
  }

  private situation(
    agreed: boolean,
    removedTokens: ReadonlyMap<string, number>,
  ): QuotaSituation {
    const { settings, tuning, cache, partitions } = this.context;
    const useOf = this.uses();
    return {
      partition: this.state.partition,
      partitions: partitions.names,
      teams: settings.teams,
      records: cache.quotaRecords,
      valueBytes: settings.state.valueBytes,
      writes: Math.min(MAX_RECORDS_PER_CHANGE, settings.state.txnOps),
      use: useOf,
      known: (team) => this.confirmedUse(team),
      mine: this.ownDemands(useOf),
      others: this.othersDemands(),
      keep: (team, sinceMs, partition, now) =>
        this.needBefore(team, sinceMs, partition, now),
      agreed,
      gone: new Set(removedTokens.keys()),
      // The version before takes an equal part of what the first record does not name, so elsewhere nothing may move
      // while one of its controllers can come back.
      movable: (key) => key === QUOTA_KEY || tuning.dividedLimits,
    };
  }

  /** What surely runs of a team; null during a failover, when it is not known yet. */
  private confirmedUse(team: string): ResourceAmounts | null {
    if (this.state.isFenced) return null;
    const unconfirmed = this.state.ledger.unconfirmedUse(team);
    const use = this.state.ledger.useOf(team);
    return [use.cpus - unconfirmed.cpus, use.gpus - unconfirmed.gpus];
  }

  /** What the own waiting tasks that come before such a demand of another partition are going to use. */
  private needBefore(
    team: string,
    sinceMs: number,
    partition: string,
    now: boolean,
  ): ResourceAmounts {
    const sum: ResourceAmounts = [0, 0];
    for (const { need, turnMs, isStartable } of this.quotaDemand.waitingOf(
      team,
    )) {
      const isOlder =
        turnMs < sinceMs ||
        (turnMs === sinceMs && this.state.partition < partition);
      const comesBefore = now ? isStartable && isOlder : isStartable || isOlder;
      if (!comesBefore) continue;
      sum[0] += need[0];
      sum[1] += need[1];
    }
    return sum;
  }

  /**
   * Partitions that the settings do not name and that have a part still, once nothing of theirs can run; with the tokens that
   * say so.
   */
  private removedPartitions(): Map<string, number> {
    const removed = new Map<string, number>();
    for (const { shares } of this.context.cache.quotaRecords.values())
      for (const [team, parts] of Object.entries(shares)) {
        if (team === CAPS_NAME) continue;
        for (const [partition, part] of Object.entries(parts)) {
          const isNamed = this.context.partitions.names.includes(partition);
          if (isNamed || !isAnyPositive(part)) continue;
          const token = this.context.leaderlessToken(partition);
          if (token !== null) removed.set(partition, token);
        }
      }
    return removed;
  }

  private toChange(
    plan: QuotaPlan,
    removedTokens: ReadonlyMap<string, number>,
  ): PendingChange {
    const base: ChangeBase = {
      records: [...plan.writes.keys()].map((key) => [key, this.versionOf(key)]),
      removedPartitions: plan.gone.flatMap((partition) => {
        const token = removedTokens.get(partition);
        return token === undefined ? [] : [[partition, token]];
      }),
    };
    return {
      reserved: plan.reserved,
      priority:
        plan.caps.length > 0 ? CallPriority.Leader : CallPriority.Background,
      transfer: new PendingTransfer(base, plan.writes),
    };
  }

  private logPlan(plan: QuotaPlan, agreed: boolean): void {
    for (const { team, to, give } of plan.given)
      this.context.log("transferring quota to another partition", {
        team,
        to,
        cpus: give[0],
        gpus: give[1],
      });
    for (const team of plan.caps)
      this.context.log("writing team quota", { team, agreed });
    for (const partition of plan.gone)
      this.context.log("reclaiming quota of removed partition", { partition });
  }

  private logRecordsRead(): void {
    const { quotaRecords } = this.context.cache;
    this.context.log("quota records read", {
      partition: this.state.partition,
      records: [...quotaRecords].map(([key, { revision }]) => ({
        key,
        revision,
      })),
    });
  }

  private logSettled({ transfer, reserved }: PendingChange): void {
    this.context.log("quota change settled", {
      partition: this.state.partition,
      answer: transfer.answer,
      records: transfer.baseRevision.records.map(([key, before]) => ({
        key,
        before,
        after: this.versionOf(key),
      })),
      teams: [...reserved.keys()].flatMap((team) => {
        const entry = this.entry(team);
        return entry ? [{ team, parts: entry.sum, limit: entry.cap }] : [];
      }),
    });
  }

  private send(change: PendingChange): void {
    change.transfer.send(
      (base, writes, done) => this.commit(change.priority, base, writes, done),
      () => {
        if (this.pendingChange === change) this.pendingChange = null;
      },
    );
  }

  private commit(
    priority: CallPriority,
    base: ChangeBase,
    writes: ReadonlyMap<string, Shares>,
    done: (outcome: TransactionOutcome) => void,
  ): void {
    const conditions = [
      ...base.records.map(([key, version]) => ({ key, version })),
      ...base.removedPartitions.map(([partition, version]) => ({
        key: partitionKey(partition),
        version,
      })),
    ];
    const puts = [...writes].map(([key, value]) => ({
      op: "put" as const,
      key,
      value,
    }));
    this.state.commit(conditions, puts, priority, done);
  }

  /** Whether the records show how the pending change ended. */
  private isSettled(): boolean {
    return (
      this.pendingChange !== null &&
      this.pendingChange.transfer.baseRevision.records.some(
        ([key, version]) => this.versionOf(key) !== version,
      )
    );
  }

  private versionOf(key: string): number {
    return this.context.cache.quotaRecords.get(key)?.revision ?? 0;
  }
}
