/**
 * Plans the next entry of one team in the quota records: follows the settings' limit, states what is in use, gives back what
 * is too much, and moves parts to partitions that want more. Owns the new entry while it is worked out.
 */
import type { Team } from "../../config/settings.js";
import { EPSILON } from "../scheduling/placement.js";
import type { PartitionReservation } from "./quota-reservations.js";
import type {
  GiftReason,
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

/** One team's part of a plan. What it gives away, and why, is noted in the plan. */
export class QuotaTeamPlanner {
  private readonly parts: Record<string, ResourceAmounts>;
  private readonly cap: ResourceAmounts;
  private readonly limit: ResourceAmounts;
  /** What this partition uses, counting all that may be running. */
  private readonly use: ResourceAmounts;
  /** The same, counting only what surely runs; null: not known yet. */
  private readonly confirmedUse: ResourceAmounts | null;
  /** What this partition gives away. */
  private readonly reserved: ResourceAmounts = [0, 0];
  /** The large job that quota is reserved for now. */
  private readonly reservation: PartitionReservation | null;
  private isChanged = false;

  constructor(
    private readonly situation: QuotaSituation,
    private readonly team: Team,
    private readonly written: QuotaEntry,
    private readonly plan: QuotaPlan,
  ) {
    this.parts = Object.fromEntries(
      Object.entries(written.shares).map(([partition, part]) => [
        partition,
        [...part],
      ]),
    );
    this.cap = [...written.cap];
    this.limit = limitOf(team);
    this.use = situation.use(team.name);
    this.confirmedUse = situation.confirmedUse(team.name);
    this.reservation = situation.reservation(team.name);
  }

  /** The entry to be written; null: it stays as it is. */
  planEntry(): NewQuotaEntry | null {
    for (const dimension of DIMENSIONS) {
      this.adoptLimit(dimension);
      if (this.cap[dimension] === Infinity) continue;
      this.clearRemovedPartitions(dimension);
      this.stateUse(dimension);
      this.giveBackExcess(dimension);
    }
    if (this.mayMove()) {
      for (const dimension of DIMENSIONS) this.moveToTakers(dimension);
      if (!this.reservation) this.lendIdle();
    }
    if (this.reserved.some((amount) => amount > 0))
      this.plan.released.set(this.team.name, this.reserved);
    return this.isChanged ? { shares: this.parts, cap: this.cap } : null;
  }

  /** The partition's part, written as nothing when it has none. */
  private partOf(partition: string): ResourceAmounts {
    return (this.parts[partition] ??= [0, 0]);
  }

  private total(dimension: Dimension): number {
    return Object.values(this.parts).reduce(
      (sum, part) => sum + part[dimension],
      0,
    );
  }

  /** Lowering a limit waits for nobody; raising it waits until every live controller goes by the raised one. */
  private adoptLimit(dimension: Dimension): void {
    const cap = this.cap[dimension];
    const limit = this.limit[dimension];
    const isLowered = cap > limit + MAX_ROUNDING_ERROR;
    const isRaised =
      cap < limit - MAX_ROUNDING_ERROR && this.situation.limitsAgreed;
    if (!isLowered && !isRaised) return;
    // Where there was no limit, nobody's part says what it uses: with the whole limit for each, nothing starts until each has
    // said so.
    if (isLowered && cap === Infinity)
      for (const partition of new Set([
        ...this.situation.partitions,
        ...Object.keys(this.parts),
      ]))
        this.partOf(partition)[dimension] = roundDownToHundredth(limit);
    if (isRaised && limit === Infinity)
      for (const part of Object.values(this.parts)) part[dimension] = 0;
    this.cap[dimension] = limit;
    this.isChanged = true;
    this.plan.caps.push(this.team.name);
  }

  private clearRemovedPartitions(dimension: Dimension): void {
    for (const partition of this.situation.removedPartitions) {
      const part = this.partOf(partition);
      if (!(part[dimension] > EPSILON)) continue;
      // Nothing of it can run any more, and it stays written as nothing: the version before takes what is not
      // written for an equal part.
      part[dimension] = 0;
      this.isChanged = true;
      if (!this.plan.removedPartitions.includes(partition))
        this.plan.removedPartitions.push(partition);
    }
  }

  /** What runs here is more than the part: said openly, so that nobody starts anything on what is used already. */
  private stateUse(dimension: Dimension): void {
    if (!this.confirmedUse) return;
    const use = this.confirmedUse[dimension];
    const part = this.partOf(this.situation.partition);
    if (use <= part[dimension] + MAX_ROUNDING_ERROR) return;
    part[dimension] = roundUpToHundredth(use);
    this.isChanged = true;
  }

  /** While more is handed out than there is, this partition gives back what it does not use. */
  private giveBackExcess(dimension: Dimension): void {
    const cap = this.cap[dimension];
    const sum = this.total(dimension);
    const part = this.partOf(this.situation.partition);
    const excess = roundDownToHundredth(
      Math.min(sum - cap, part[dimension] - this.use[dimension]),
    );
    if (sum <= cap + EPSILON || excess <= EPSILON) return;
    part[dimension] = roundDownToHundredth(part[dimension] - excess);
    this.reserved[dimension] += excess;
    this.isChanged = true;
  }

  /** While more is handed out than there is, nothing moves: what is given back is not for anyone. */
  private mayMove(): boolean {
    const isWithinCap = DIMENSIONS.every(
      (dimension) =>
        this.cap[dimension] === Infinity ||
        (!isOverAllocated(this.written, dimension) &&
          this.total(dimension) <= this.cap[dimension] + EPSILON),
    );
    return isWithinCap && this.situation.mayMoveShares(this.written.key);
  }

  /** Gives of the own part to partitions that want more, and takes of what nobody has. */
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
      else this.giveTo(taker, taker.wanted - available, dimension);
    }
  }

  /** In the order of their turns, but first the one that quota is reserved for. */
  private takers(
    dimension: Dimension,
  ): (QuotaTaker & { reason: GiftReason })[] {
    const { situation, team, parts, reservation } = this;
    const takers = takersOf(situation, team.name, parts, dimension).map(
      (taker) => ({ ...taker, reason: "turn" as GiftReason }),
    );
    const first =
      reservation &&
      reservingTaker(situation, reservation, team.name, parts, dimension);
    return first ? [{ ...first, reason: "reservation" }, ...takers] : takers;
  }

  /** What nobody has is there for whoever comes first, who takes it by this commit and uses it once it is written. */
  private takeUnassigned(amount: number, dimension: Dimension): void {
    if (amount <= EPSILON) return;
    const part = this.partOf(this.situation.partition);
    part[dimension] = roundDownToHundredth(part[dimension] + amount);
    this.isChanged = true;
  }

  /** Gives what this partition neither uses nor needs for its own work that comes first. */
  private giveTo(
    taker: QuotaTaker & { reason: GiftReason },
    wanted: number,
    dimension: Dimension,
  ): void {
    const { partition, reason } = taker;
    const ownPart = this.partOf(this.situation.partition);
    const kept = this.keptFrom(taker, dimension);
    const spare = ownPart[dimension] - this.use[dimension] - kept;
    this.give(partition, Math.min(wanted, spare), dimension, reason);
  }

  private keptFrom(
    { partition, sinceMs, now, reason }: QuotaTaker & { reason: GiftReason },
    dimension: Dimension,
  ): number {
    const { situation, reservation } = this;
    const team = this.team.name;
    const reserved = reservation
      ? situation.keptForOverdueJob(team, reservation)[dimension]
      : situation.keptForBackfill(team)[dimension];
    if (reason === "reservation") return reserved;
    const forTurns = situation.needAheadOf(team, sinceMs, partition, now)[
      dimension
    ];
    return Math.max(forTurns, reserved);
  }

  /** Lends what nothing that waits here can use to partitions whose tasks it completes. */
  private lendIdle(): void {
    const { situation, team, parts } = this;
    const idle = situation.lendable(team.name);
    if (!isAnyPositive(idle)) return;
    for (const { partition, lacks } of backfillTakersOf(
      situation,
      team.name,
      parts,
    ))
      for (const dimension of DIMENSIONS) {
        if (this.cap[dimension] === Infinity) continue;
        const unused =
          this.partOf(situation.partition)[dimension] - this.use[dimension];
        const amount = Math.min(lacks[dimension], idle[dimension], unused);
        idle[dimension] -= this.give(partition, amount, dimension, "backfill");
      }
  }

  /** Moves an amount from the own part to another partition's; returns it, rounded. */
  private give(
    to: string,
    wanted: number,
    dimension: Dimension,
    reason: GiftReason,
  ): number {
    const amount = roundDownToHundredth(Math.max(0, wanted));
    if (amount <= EPSILON) return 0;
    const ownPart = this.partOf(this.situation.partition);
    const takerPart = this.partOf(to);
    ownPart[dimension] = roundDownToHundredth(ownPart[dimension] - amount);
    takerPart[dimension] = roundDownToHundredth(takerPart[dimension] + amount);
    this.reserved[dimension] += amount;
    this.isChanged = true;
    this.noteGiven(to, amount, dimension, reason);
    return amount;
  }

  private noteGiven(
    to: string,
    amount: number,
    dimension: Dimension,
    reason: GiftReason,
  ): void {
    const team = this.team.name;
    const { transfers: given } = this.plan;
    const earlier = given.find(
      (gift) => gift.team === team && gift.to === to && gift.reason === reason,
    );
    if (earlier) earlier.amounts[dimension] += amount;
    else
      given.push({
        team,
        to,
        amounts: dimension === 0 ? [amount, 0] : [0, amount],
        reason,
      });
  }
}
