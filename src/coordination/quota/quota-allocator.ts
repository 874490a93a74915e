/**
 * A partition's shares of the teams' limits: how much of each it may use, and transfers to partitions that demand more. Owns the
 * pending change to the quota records. Design: docs/design/limits.md.
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

/** Minimum interval between changes to the quota records, so that demands that arrive together share one transaction. */
const TRANSFER_INTERVAL_MS = 600;
/** Maximum number of quota records that one change writes. */
const MAX_RECORDS_PER_CHANGE = 3;
/** Stands for unlimited possible use in published rows, because JSON can't represent Infinity. */
const UNLIMITED_USE = 1e9;

/** Allocates the teams' quota on behalf of one partition. */
export class QuotaAllocator {
  private pendingChange: QuotaChange | null = null;
  private nextPlanMs = -Infinity;
  private readonly quotaDemand: QuotaDemand;
  private readonly reservations: QuotaReservations;
  private readonly backfill: QuotaBackfill;
  /** Cache of entries, valid until the records change. */
  private entries = new Map<string, QuotaEntry | null>();
  private entriesSequence = -1;

  /** `canGetSlot`: whether the partition has, or can rent, a machine with free resources for a task of such a job. */
  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    canGetSlot: (spec: JobSpec) => boolean,
  ) {
    this.quotaDemand = new QuotaDemand(context, state, canGetSlot);
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

  // ---- shares ----------------------------------------------------------------------------------------------

  /** The team's entry in the quota records; null if it has none. */
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
   * How much this partition may use of a team's limit, in CPUs and accelerators; Infinity if unlimited. Invariant (quota): quota
   * that a change releases is not used from before its transaction is sent.
   */
  share(team: string): ResourceAmounts {
    const settings = this.context.settings.teams.get(team);
    if (!settings) return [0, 0];
    const [cpus, gpus] = maxUsage(
      settings,
      this.entry(team),
      this.state.partition,
      () => this.currentUse()(team),
    );
    const inFlight = this.inFlight(team);
    return [cpus - inFlight[0], gpus - inFlight[1]];
  }

  /** Quota of a team that the pending change releases. */
  inFlight(team: string): ResourceAmounts {
    const change = this.pendingChange;
    return change && !change.isSettled() ? change.releasedOf(team) : [0, 0];
  }

  /** Unused quota of a team in this partition. */
  private free(team: string): ResourceAmounts {
    const share = this.share(team);
    const use = this.currentUse()(team);
    return [share[0] - use[0], share[1] - use[1]];
  }

  /** Whether a job must not start now because its team's quota is reserved for an overdue large job. */
  isHeldBack(job: JobRun): boolean {
    return this.reservations.isHeldBack(job);
  }

  /** Unused quota in this partition, by team; a new copy. */
  headroom(): Map<string, ResourceUse> {
    const useOf = this.currentUse();
    const headroom = new Map<string, ResourceUse>();
    for (const team of this.context.settings.teams.keys()) {
      const share = this.share(team);
      const use = useOf(team);
      headroom.set(team, { cpus: share[0] - use[0], gpus: share[1] - use[1] });
    }
    return headroom;
  }

  /** Unused quota of a team in another partition, as last published; Infinity if it is unlimited or not known. */
  spareAt(partition: string, team: string): ResourceAmounts {
    const entry = this.entry(team);
    const rows = this.context.cache.capacities.get(partition)?.teams;
    return perDimension((dimension) => {
      if (!entry || !rows || entry.cap[dimension] === Infinity) return Infinity;
      const share = entry.shares[partition]?.[dimension] ?? 0;
      return Math.max(0, share - (rows.get(team)?.use[dimension] ?? 0));
    });
  }

  /** Returns a lookup of each team's current use, including tasks that may be running. */
  private currentUse(): (team: string) => ResourceAmounts {
    const usage = this.state.usage();
    return (team) => {
      const use = usage.get(team);
      return use ? [use.cpus, use.gpus] : [0, 0];
    };
  }

  // ---- demand ----------------------------------------------------------------------------------------------

  /** Need of a team's waiting tasks that have a slot, or can get one on a machine to be rented. */
  waiting(team: string): ResourceAmounts {
    const sum: ResourceAmounts = [0, 0];
    for (const { need } of this.quotaDemand.waitingOf(team)) {
      sum[0] += need[0];
      sum[1] += need[1];
    }
    return sum;
  }

  /** The per-team rows of this partition's capacity record. */
  rows(): QuotaReport {
    const report: QuotaReport = { teams: new Map(), wants: new Map() };
    const useOf = this.currentUse();
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

  /** Possible use during a failover: limited to the share, because the former leader could not have started more. */
  private boundedUse(team: Team, use: ResourceAmounts): ResourceAmounts {
    const share = this.entry(team.name)?.shares[this.state.partition];
    const limit = limitOf(team);
    return perDimension((dimension) => {
      const isLimited = share && Number.isFinite(limit[dimension]);
      return Math.min(
        use[dimension],
        isLimited ? Math.max(share[dimension], 0) : UNLIMITED_USE,
      );
    });
  }

  /** Demand of this partition for a team's quota beyond its share; null if there is none. */
  private demand(team: string, use: ResourceAmounts): PartitionDemand | null {
    const waiting = this.quotaDemand.waitingOf(team);
    if (waiting.length === 0) return null;
    const demand = demandBeyondShare(waiting, this.share(team), use);
    return (
      demand && {
        ...demand,
        backfill: this.reservations.inForce(team)
          ? undefined
          : this.backfill.target(team)?.missing,
        reservation: this.reservations.reservationToPublish(team),
      }
    );
  }

  /** Idle quota of a team in other partitions, as last published. */
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

  /** Demands of other partitions, as last published. */
  private otherDemands(): Map<string, ReadonlyMap<string, PartitionDemand>> {
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

  // ---- changes to the records --------------------------------------------------------------------------------

  /** `limitsAgreed`: whether every live controller has the same limits in its settings as this one. */
  tick(limitsAgreed: boolean): void {
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
    const plan = planQuotas(this.situation(limitsAgreed, removedTokens));
    if (!plan) return;
    this.nextPlanMs = this.context.nowMs + TRANSFER_INTERVAL_MS;
    this.pendingChange = new QuotaChange(
      this.context,
      this.state,
      plan,
      removedTokens,
    );
    this.pendingChange.logPlanned(limitsAgreed);
    this.send(this.pendingChange);
  }

  private send(change: QuotaChange): void {
    change.send(() => {
      if (this.pendingChange === change) this.pendingChange = null;
    });
  }

  private situation(
    limitsAgreed: boolean,
    removedTokens: ReadonlyMap<string, number>,
  ): QuotaSituation {
    const { settings, tuning, cache, partitions } = this.context;
    const useOf = this.currentUse();
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
      otherDemands: this.otherDemands(),
      needAheadOf: (team, queueOrderMs, partition, isStartable) =>
        this.needAheadOf(team, queueOrderMs, partition, isStartable),
      lendable: (team) => this.backfill.lendable(team),
      keptForBackfill: (team) => this.backfill.keptForBackfill(team),
      reservation: (team) => this.reservations.inForce(team),
      keptForOverdueJob: (team, reservation) =>
        this.reservations.keptForOverdueJob(team, reservation),
      limitsAgreed,
      removedPartitions: new Set(removedTokens.keys()),
      // The previous version reads the main record only, and assumes equal shares for teams that are not in it. Shares in other
      // records must not be transferred while one of its controllers may come back.
      mayMoveShares: (key) => key === QUOTA_KEY || tuning.dividedLimits,
    };
  }

  /** What a team certainly uses in this partition; null during a failover, when it is not known. */
  private confirmedUse(team: string): ResourceAmounts | null {
    if (this.state.isFenced) return null;
    const unconfirmed = this.state.ledger.unconfirmedUseOfTeam(team);
    const underOtherTokens = this.state.useReportedUnderOtherTokens(team);
    const use = this.state.ledger.useOfTeam(team);
    return [
      use.cpus - unconfirmed.cpus - underOtherTokens.cpus,
      use.gpus - unconfirmed.gpus - underOtherTokens.gpus,
    ];
  }

  /** See `QuotaSituation.needAheadOf`. */
  private needAheadOf(
    team: string,
    takerQueueOrderMs: number,
    partition: string,
    isTakerStartable: boolean,
  ): ResourceAmounts {
    const sum: ResourceAmounts = [0, 0];
    for (const {
      need,
      queueOrderMs,
      isStartable,
    } of this.quotaDemand.waitingOf(team)) {
      const isEarlier =
        queueOrderMs < takerQueueOrderMs ||
        (queueOrderMs === takerQueueOrderMs &&
          this.state.partition < partition);
      const comesBefore = isTakerStartable
        ? isStartable && isEarlier
        : isStartable || isEarlier;
      if (!comesBefore) continue;
      sum[0] += need[0];
      sum[1] += need[1];
    }
    return sum;
  }

  /**
   * Partitions that are no longer in the settings but still have a share, with the fencing token under which each has no leader.
   * Contains only those of which no task can be running any more.
   */
  private removedPartitions(): Map<string, number> {
    const removed = new Map<string, number>();
    for (const { shares } of this.context.cache.quotaRecords.values())
      for (const [team, teamShares] of Object.entries(shares)) {
        if (team === CAPS_NAME) continue;
        for (const [partition, share] of Object.entries(teamShares)) {
          const isNamed = this.context.partitions.names.includes(partition);
          if (isNamed || !isAnyPositive(share)) continue;
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
