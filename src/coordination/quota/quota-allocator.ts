/**
 * The partition's parts of the teams' limits: how much of each it may use, and giving of it to partitions that want more.
 * Owns the change of the quota records that is under way. Design: docs/design/limits.md.
 */
import type { Team } from "../../config/settings.js";
import { QUOTA_KEY } from "../../storage/records.js";
import type { Context } from "../context.js";
import type { ResourceUse } from "../machines/resource-ledger.js";
import type { JobRun } from "../machines/worker-state.js";
import type { JobSpec } from "../model.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import {
  demandBeyondShare,
  type PartitionDemand,
  publishedDemands,
} from "./partition-demand.js";
import { QuotaBackfill } from "./quota-backfill.js";
import { QuotaChange } from "./quota-change.js";
import { QuotaDemand } from "./quota-demand.js";
import { planQuotas } from "./quota-plan.js";
import type { QuotaSituation } from "./quota-situation.js";
import {
  CAPS_NAME,
  entryOf,
  limitOf,
  maxUsage,
  type QuotaEntry,
} from "./quota-records.js";
import { QuotaReservations } from "./quota-reservations.js";
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

/** A partition's use of the teams' limits. */
export class QuotaAllocator {
  private pendingChange: QuotaChange | null = null;
  private nextPlanMs = -Infinity;
  private readonly quotaDemand: QuotaDemand;
  private readonly reservations: QuotaReservations;
  private readonly backfill: QuotaBackfill;
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
    this.reservations = new QuotaReservations(
      context,
      state,
      this.quotaDemand,
      (team) => this.free(team),
    );
    this.backfill = new QuotaBackfill(context, (team) => ({
      waiting: this.quotaDemand.waitingOf(team),
      free: this.free(team),
      idleElsewhere: this.idleElsewhere(team),
    }));
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
    const [cpus, gpus] = maxUsage(
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
    const change = this.pendingChange;
    return change && !change.isSettled() ? change.reservedOf(team) : [0, 0];
  }

  /** What this partition may still use of a team. */
  private free(team: string): ResourceAmounts {
    const share = this.share(team);
    const use = this.uses()(team);
    return [share[0] - use[0], share[1] - use[1]];
  }

  /** Whether a job may not start now, because its team's limit is reserved for a large job that waits for too long. */
  isHeldBack(job: JobRun): boolean {
    return this.reservations.isHeldBack(job);
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
      const part = entry.shares[partition]?.[dimension] ?? 0;
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
      const { cpus, gpus } = this.state.ledger.useOfTeam(name);
      const row = teamRowOf({
        demand,
        use: [cpus, gpus],
        waiting: this.waiting(name),
        idle: this.backfill.lendable(name),
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
    const part = this.entry(team.name)?.shares[this.state.partition];
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
    const demand = demandBeyondShare(waiting, this.share(team), use);
    return (
      demand && {
        ...demand,
        backfill: this.reservations.inForce(team)
          ? undefined
          : this.backfill.target(team)?.lacks,
        reservation: this.reservations.published(team),
      }
    );
  }

  /** What other partitions have idle of a team, as they last published it. */
  private idleElsewhere(team: string): ResourceAmounts {
    const sum: ResourceAmounts = [0, 0];
    for (const [partition, { teams }] of this.context.cache.capacities) {
      const idle = teams?.get(team)?.idle;
      const isLed = this.context.cache.partitions.has(partition);
      if (!idle || !isLed || partition === this.state.partition) continue;
      sum[0] += idle[0];
      sum[1] += idle[1];
    }
    return sum;
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
        (team) => this.entry(team)?.shares[partition] ?? [0, 0],
      );
      demands.set(partition, published);
    }
    return demands;
  }

  // ---- changes of the records --------------------------------------------------------------------------------

  /** `agreed`: every live controller goes by the same limits as this one. */
  tick(agreed: boolean): void {
    this.backfill.update(this.context.settings.teams.keys());
    if (this.pendingChange) {
      if (!this.pendingChange.isSettled()) {
        this.send(this.pendingChange);
        return;
      }
      this.pendingChange.logSettled((team) => this.entry(team));
      this.pendingChange = null;
    }
    if (this.context.nowMs < this.nextPlanMs) return;
    const removedTokens = this.removedPartitions();
    const plan = planQuotas(this.situation(agreed, removedTokens));
    if (!plan) return;
    this.nextPlanMs = this.context.nowMs + TRANSFER_INTERVAL_MS;
    this.pendingChange = new QuotaChange(
      this.context,
      this.state,
      plan,
      removedTokens,
    );
    this.pendingChange.logPlanned(agreed);
    this.send(this.pendingChange);
  }

  private send(change: QuotaChange): void {
    change.send(() => {
      if (this.pendingChange === change) this.pendingChange = null;
    });
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
      maxValueBytes: settings.state.valueBytes,
      maxRecords: Math.min(MAX_RECORDS_PER_CHANGE, settings.state.txnOps),
      use: useOf,
      confirmedUse: (team) => this.confirmedUse(team),
      ownDemands: this.ownDemands(useOf),
      otherDemands: this.othersDemands(),
      needAheadOf: (team, sinceMs, partition, now) =>
        this.needBefore(team, sinceMs, partition, now),
      lendable: (team) => this.backfill.lendable(team),
      keptForBackfill: (team) => this.backfill.kept(team),
      reservation: (team) => this.reservations.inForce(team),
      keptForOverdueJob: (team, reservation) =>
        this.reservations.keptFrom(team, reservation),
      limitsAgreed: agreed,
      removedPartitions: new Set(removedTokens.keys()),
      // The version before takes an equal part of what the first record does not name, so elsewhere nothing may move
      // while one of its controllers can come back.
      mayMoveShares: (key) => key === QUOTA_KEY || tuning.dividedLimits,
    };
  }

  /** What surely runs of a team; null during a failover, when it is not known yet. */
  private confirmedUse(team: string): ResourceAmounts | null {
    if (this.state.isFenced) return null;
    const unconfirmed = this.state.ledger.unconfirmedUseOfTeam(team);
    const unshown = this.state.useReportedUnderOtherTokens(team);
    const use = this.state.ledger.useOfTeam(team);
    return [
      use.cpus - unconfirmed.cpus - unshown.cpus,
      use.gpus - unconfirmed.gpus - unshown.gpus,
    ];
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
}
