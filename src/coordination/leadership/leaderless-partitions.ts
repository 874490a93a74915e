/**
 * Partitions that are no longer in the settings but still have records in the store: tasks of jobs, shares of team limits. Owns which
 * of them this controller requests, and since when it owns them.
 */
import {
  type Clock,
  type Configuration,
  type StoreView,
  CLOCK_DRIFT_FACTOR,
  STALE_CACHE_MS,
} from "../context.js";
import { hashToIndex } from "../jobs/job-partitioner.js";
import type { Leadership } from "./leadership.js";

/** Added to the worker lease and the clock drift: after all three, everything that a former leader started has ended. */
const LEASE_MARGIN_MS = 2_000;
/** A partition is acquired only after this time without an owner: a controller with other settings may be about to acquire it. */
const MIN_ABSENCE_MS = 1_000;
/** Interval between the turns of two controllers to acquire a partition. */
const TURN_INTERVAL_MS = 1_000;
/** A partition is released when its token has not been requested for this long. */
const RELEASE_AFTER_UNUSED_MS = 10_000;

/** Since when, in steady time, a partition has had no owner. */
interface Absence {
  /** The revision that deleted the owner's record; 0 if it was never in the cache. */
  changedRevision: number;
  sinceMs: number;
}

/** The fencing token of a partition that this controller owns, and when it first saw the token, in steady time. */
interface OwnedPartition {
  token: number;
  sinceMs: number;
}

/**
 * One controller acquires such a partition like any other, and keeps it without a leader, so that no controller can lead it meanwhile.
 *
 * Invariant (ran_twice, quota): every transaction for the partition is conditional on the token under which it was acquired, and is sent
 * only after that token has been seen for longer than a worker lease. By then everything that a former leader started has ended, and
 * nothing has been started since. A condition that the partition has no owner would not suffice: absence has no revision, so a
 * transaction that is applied late could find the partition absent again after another controller owned it in between.
 */
export class LeaderlessPartitions {
  /** When the token of each partition was last requested, in steady time. */
  private readonly lastRequestedMs = new Map<string, number>();
  private readonly absences = new Map<string, Absence>();
  private readonly owned = new Map<string, OwnedPartition>();

  constructor(
    private readonly ctx: Clock & Configuration & StoreView,
    private readonly leadership: Pick<
      Leadership,
      "tokenOf" | "acquireLeaderless" | "release"
    >,
  ) {}

  /**
   * The token to act under for a partition that is not in the settings; null if this controller may not act for it, or not yet. The
   * request makes this controller acquire the partition, or keep it.
   */
  requestToken(partition: string): number | null {
    this.lastRequestedMs.set(partition, this.ctx.nowMs);
    const owned = this.owned.get(partition);
    if (!owned || this.leadership.tokenOf(partition) !== owned.token)
      return null;
    return this.ctx.nowMs - owned.sinceMs > this.quietPeriodMs
      ? owned.token
      : null;
  }

  /** Time after which nothing that a former leader started is still running. */
  private get quietPeriodMs(): number {
    return (
      this.ctx.settings.leaseS * 1000 * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS
    );
  }

  /** Only called by a controller that leads a partition. */
  tick(): void {
    for (const [partition, requestedMs] of this.lastRequestedMs) {
      const isUnused = this.ctx.nowMs - requestedMs > RELEASE_AFTER_UNUSED_MS;
      const token = this.leadership.tokenOf(partition);
      if (token === null) this.tickNotOwned(partition, isUnused);
      else this.tickOwned(partition, token, isUnused);
    }
  }

  private tickOwned(partition: string, token: number, isUnused: boolean): void {
    if (this.owned.get(partition)?.token !== token)
      this.owned.set(partition, { token, sinceMs: this.ctx.nowMs });
    if (isUnused) this.leadership.release(partition);
  }

  private tickNotOwned(partition: string, isUnused: boolean): void {
    this.owned.delete(partition);
    if (isUnused) this.lastRequestedMs.delete(partition);
    const isAbsent =
      !this.ctx.cache.partitions.has(partition) &&
      this.ctx.readAgeMs() < STALE_CACHE_MS;
    if (!isAbsent) {
      this.absences.delete(partition);
      return;
    }
    const absentMs = this.ctx.nowMs - this.absenceOf(partition).sinceMs;
    if (absentMs > this.acquisitionDelayMs(partition))
      this.leadership.acquireLeaderless(partition);
  }

  /** The present absence. It starts again after every change of the owner's record, also if the cache never showed that owner. */
  private absenceOf(partition: string): Absence {
    const changedRevision =
      this.ctx.cache.leaderChangedRevision.get(partition) ?? 0;
    const recorded = this.absences.get(partition);
    if (recorded?.changedRevision === changedRevision) return recorded;
    const absence = { changedRevision, sinceMs: this.ctx.nowMs };
    this.absences.set(partition, absence);
    return absence;
  }

  private acquisitionDelayMs(partition: string): number {
    const { names } = this.ctx.partitions;
    const ownIndex = names.indexOf(this.ctx.settings.label);
    const firstIndex = hashToIndex(partition, names.length);
    const turn = (ownIndex - firstIndex + names.length) % names.length;
    return MIN_ABSENCE_MS + turn * TURN_INTERVAL_MS;
  }
}
