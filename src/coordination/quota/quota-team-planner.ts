/**
 * Plans the next entry of one team in the quota records: adopts the limit in the settings, raises this partition's share to its
 * use, releases its unused quota while the shares exceed the cap, and transfers quota to partitions that demand more. Owns the
 * new entry until it is complete.
 */
import type { Team } from "../../config/settings.js";
import { EPSILON } from "../scheduling/placement.js";
import type { PartitionReservation } from "./quota-reservations.js";
import type {
  TransferReason,
  QuotaPlan,
  QuotaSituation,
} from "./quota-situation.js";
import {
  limitOf,
  MAX_ROUNDING_ERROR,
  type NewQuotaEntry,
  isOverAllocated,
  type QuotaEntry,
} from "./quota-records.js";
import {
  backfillTakersOf,
  type QuotaTaker,
  reservingTaker,
  takersOf,
} from "./quota-takers.js";
import {
  type Dimension,
  DIMENSIONS,
  isAnyPositive,
  type ResourceAmounts,
  roundDownToHundredth,
  roundUpToHundredth,
} from "./resource-amounts.js";

/** Plans one team's entry, and adds its transfers and released quota to the plan. */
export class QuotaTeamPlanner {
  private readonly shares: Record<string, ResourceAmounts>;
  private readonly cap: ResourceAmounts;
  private readonly limit: ResourceAmounts;
  /** What the team uses in this partition, including tasks that may be running. */
  private readonly use: ResourceAmounts;
  /** What it certainly uses in this partition; null during a failover, when it is not known. */
  private readonly confirmedUse: ResourceAmounts | null;
  /** Quota that this partition gives up. */
  private readonly released: ResourceAmounts = [0, 0];
  /** The reservation in force for an overdue large job of the team. */
  private readonly reservation: PartitionReservation | null;
  private isChanged = false;

  constructor(
    private readonly situation: QuotaSituation,
    private readonly team: Team,
    private readonly currentEntry: QuotaEntry,
    private readonly plan: QuotaPlan,
  ) {
    this.shares = Object.fromEntries(
      Object.entries(currentEntry.shares).map(([partition, share]) => [
        partition,
        [...share],
      ]),
    );
    this.cap = [...currentEntry.cap];
    this.limit = limitOf(team);
    this.use = situation.use(team.name);
    this.confirmedUse = situation.confirmedUse(team.name);
    this.reservation = situation.reservation(team.name);
  }

  /** The entry to be written; null if it does not change. */
  planEntry(): NewQuotaEntry | null {
    for (const dimension of DIMENSIONS) {
      this.adoptLimit(dimension);
      if (this.cap[dimension] === Infinity) continue;
      this.clearRemovedPartitions(dimension);
      this.raiseShareToUse(dimension);
      this.releaseExcess(dimension);
    }
    if (this.mayMoveShares()) {
      for (const dimension of DIMENSIONS) this.moveToTakers(dimension);
      if (!this.reservation) this.lendIdle();
    }
    if (this.released.some((amount) => amount > 0))
      this.plan.released.set(this.team.name, this.released);
    return this.isChanged ? { shares: this.shares, cap: this.cap } : null;
  }

  /** The partition's share in the new entry, added as zero if there is none. */
  private shareOf(partition: string): ResourceAmounts {
    return (this.shares[partition] ??= [0, 0]);
  }

  private total(dimension: Dimension): number {
    return Object.values(this.shares).reduce(
      (sum, share) => sum + share[dimension],
      0,
    );
  }

  /** Lowers the cap at once, but raises it only when every live controller has the raised limit in its settings. */
  private adoptLimit(dimension: Dimension): void {
    const cap = this.cap[dimension];
    const limit = this.limit[dimension];
    const isLowered = cap > limit + MAX_ROUNDING_ERROR;
    const isRaised =
      cap < limit - MAX_ROUNDING_ERROR && this.situation.limitsAgreed;
    if (!isLowered && !isRaised) return;
    // Without a limit, the shares did not show what is in use. With the whole limit as each share, the shares exceed the cap, and
    // no task starts until the partitions have released what they don't use.
    if (isLowered && cap === Infinity)
      for (const partition of new Set([
        ...this.situation.partitions,
        ...Object.keys(this.shares),
      ]))
        this.shareOf(partition)[dimension] = roundDownToHundredth(limit);
    if (isRaised && limit === Infinity)
      for (const share of Object.values(this.shares)) share[dimension] = 0;
    this.cap[dimension] = limit;
    this.isChanged = true;
    this.plan.teamsWithNewCap.push(this.team.name);
  }

  private clearRemovedPartitions(dimension: Dimension): void {
    for (const partition of this.situation.removedPartitions) {
      const share = this.shareOf(partition);
      if (!(share[dimension] > EPSILON)) continue;
      // None of its tasks can be running. The share is kept as zero, because the previous version assumes an equal share for
      // a partition that is not in the entry.
      share[dimension] = 0;
      this.isChanged = true;
      if (!this.plan.removedPartitions.includes(partition))
        this.plan.removedPartitions.push(partition);
    }
  }

  /** If more runs here than the share allows, raises the share, so that no other partition uses the same quota. */
  private raiseShareToUse(dimension: Dimension): void {
    if (!this.confirmedUse) return;
    const use = this.confirmedUse[dimension];
    const share = this.shareOf(this.situation.partition);
    if (use <= share[dimension] + MAX_ROUNDING_ERROR) return;
    share[dimension] = roundUpToHundredth(use);
    this.isChanged = true;
  }

  /** While the shares exceed the cap, releases what this partition does not use. */
  private releaseExcess(dimension: Dimension): void {
    const cap = this.cap[dimension];
    const sum = this.total(dimension);
    const share = this.shareOf(this.situation.partition);
    const excess = roundDownToHundredth(
      Math.min(sum - cap, share[dimension] - this.use[dimension]),
    );
    if (sum <= cap + EPSILON || excess <= EPSILON) return;
    share[dimension] = roundDownToHundredth(share[dimension] - excess);
    this.released[dimension] += excess;
    this.isChanged = true;
  }

  /** No quota is transferred while the shares exceed the cap: what is released then is for no other partition. */
  private mayMoveShares(): boolean {
    const isWithinCap = DIMENSIONS.every(
      (dimension) =>
        this.cap[dimension] === Infinity ||
        (!isOverAllocated(this.currentEntry, dimension) &&
          this.total(dimension) <= this.cap[dimension] + EPSILON),
    );
    return isWithinCap && this.situation.mayMoveShares(this.currentEntry.key);
  }

  /** Transfers quota from this partition to those that demand more, and takes unassigned quota for this one. */
  private moveToTakers(dimension: Dimension): void {
    const cap = this.cap[dimension];
    if (cap === Infinity) return;
    let unassigned = roundDownToHundredth(
      Math.max(0, cap - this.total(dimension)),
    );
    const { situation } = this;
    for (const taker of this.takers(dimension)) {
      const available = roundDownToHundredth(
        Math.min(taker.wanted, unassigned),
      );
      unassigned -= available;
      if (taker.partition === situation.partition)
        this.takeUnassigned(available, dimension);
      else this.transferTo(taker, taker.wanted - available, dimension);
    }
  }

  /** The partition with the reservation in force, then all others in their order. */
  private takers(
    dimension: Dimension,
  ): (QuotaTaker & { reason: TransferReason })[] {
    const { situation, team, shares, reservation } = this;
    const takers = takersOf(situation, team.name, shares, dimension).map(
      (taker) => ({ ...taker, reason: "turn" as TransferReason }),
    );
    const first =
      reservation &&
      reservingTaker(situation, reservation, team.name, shares, dimension);
    return first ? [{ ...first, reason: "reservation" }, ...takers] : takers;
  }

  /** Takes quota that is not assigned to any partition; it may be used once the transaction is committed. */
  private takeUnassigned(amount: number, dimension: Dimension): void {
    if (amount <= EPSILON) return;
    const share = this.shareOf(this.situation.partition);
    share[dimension] = roundDownToHundredth(share[dimension] + amount);
    this.isChanged = true;
  }

  /** Transfers what this partition neither uses nor keeps for its own waiting tasks that come first. */
  private transferTo(
    taker: QuotaTaker & { reason: TransferReason },
    wanted: number,
    dimension: Dimension,
  ): void {
    const { partition, reason } = taker;
    const ownShare = this.shareOf(this.situation.partition);
    const kept = this.keptForOwnJobs(taker, dimension);
    const spare = ownShare[dimension] - this.use[dimension] - kept;
    this.transfer(partition, Math.min(wanted, spare), dimension, reason);
  }

  private keptForOwnJobs(
    {
      partition,
      queueOrderMs,
      isStartable,
      reason,
    }: QuotaTaker & { reason: TransferReason },
    dimension: Dimension,
  ): number {
    const { situation, reservation } = this;
    const team = this.team.name;
    const kept = reservation
      ? situation.keptForOverdueJob(team, reservation)[dimension]
      : situation.keptForBackfill(team)[dimension];
    if (reason === "reservation") return kept;
    const needAhead = situation.needAheadOf(
      team,
      queueOrderMs,
      partition,
      isStartable,
    )[dimension];
    return Math.max(needAhead, kept);
  }

  /** Lends quota that no task waiting here can use to partitions whose tasks can start with it. */
  private lendIdle(): void {
    const { situation, team, shares } = this;
    const idle = situation.lendable(team.name);
    if (!isAnyPositive(idle)) return;
    for (const { partition, missing } of backfillTakersOf(
      situation,
      team.name,
      shares,
    ))
      for (const dimension of DIMENSIONS) {
        if (this.cap[dimension] === Infinity) continue;
        const unused =
          this.shareOf(situation.partition)[dimension] - this.use[dimension];
        const amount = Math.min(missing[dimension], idle[dimension], unused);
        idle[dimension] -= this.transfer(
          partition,
          amount,
          dimension,
          "backfill",
        );
      }
  }

  /** Moves an amount from this partition's share to another one; returns the amount moved, which is rounded down. */
  private transfer(
    to: string,
    wanted: number,
    dimension: Dimension,
    reason: TransferReason,
  ): number {
    const amount = roundDownToHundredth(Math.max(0, wanted));
    if (amount <= EPSILON) return 0;
    const ownShare = this.shareOf(this.situation.partition);
    const takerShare = this.shareOf(to);
    ownShare[dimension] = roundDownToHundredth(ownShare[dimension] - amount);
    takerShare[dimension] = roundDownToHundredth(
      takerShare[dimension] + amount,
    );
    this.released[dimension] += amount;
    this.isChanged = true;
    this.noteTransfer(to, amount, dimension, reason);
    return amount;
  }

  private noteTransfer(
    to: string,
    amount: number,
    dimension: Dimension,
    reason: TransferReason,
  ): void {
    const team = this.team.name;
    const { transfers } = this.plan;
    const existing = transfers.find(
      (transfer) =>
        transfer.team === team &&
        transfer.to === to &&
        transfer.reason === reason,
    );
    if (existing) existing.amounts[dimension] += amount;
    else
      transfers.push({
        team,
        to,
        amounts: dimension === 0 ? [amount, 0] : [0, amount],
        reason,
      });
  }
}
