/**
 * Partitions that no settings name any more and of which something is left in the store: parts of jobs, parts of limits. Owns which
 * of them this controller wants and since when it has them.
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

/** Beyond a worker lease and the drift of clocks, until whatever a former leader started has surely ended. */
const LEASE_MARGIN_MS = 2_000;
/** Without an owner for so long before it is acquired: a controller that goes by other settings may be about to. */
const ABSENT_BEFORE_ACQUIRING_MS = 1_000;
/** Between the turns of two controllers. */
const TURN_INTERVAL_MS = 1_000;
/** Released when nothing was asked of it for so long. */
const RELEASE_AFTER_UNUSED_MS = 10_000;

/** Since when, in steady time, the record of a partition's owner is absent. */
interface Absence {
  /** The revision that deleted the record. */
  changedRevision: number;
  sinceMs: number;
}

/** A partition that this controller owns, under which fencing token and since when, in steady time. */
interface OwnedPartition {
  token: number;
  sinceMs: number;
}

/**
 * One controller acquires such a partition, as any is acquired, and keeps it without a leader: nobody can lead it meanwhile.
 *
 * Invariant (ran_twice, quota): what is done in its name is conditional on the token that it was acquired under, and is sent once that
 * has been seen for longer than a worker lease: what a former leader left there has ended by then, and nobody has started anything
 * since. That nobody owns it would not do: absence is no revision, and a transaction that is carried out late could find it absent
 * again after another had it in between.
 */
export class LeaderlessPartitions {
  /** When each partition was last asked for. */
  private readonly wantedMs = new Map<string, number>();
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
   * The token to act under for a partition that no settings name; null: not yet, or another controller does. Asking for it is wanting
   * it.
   */
  token(partition: string): number | null {
    this.wantedMs.set(partition, this.ctx.nowMs);
    const owned = this.owned.get(partition);
    if (!owned || this.leadership.tokenOf(partition) !== owned.token)
      return null;
    return this.ctx.nowMs - owned.sinceMs > this.quietPeriodMs
      ? owned.token
      : null;
  }

  /** After this time nothing that a former leader started runs any more. */
  private get quietPeriodMs(): number {
    return (
      this.ctx.settings.leaseS * 1000 * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS
    );
  }

  /** Only called by a controller that leads a partition. */
  tick(): void {
    for (const [partition, wantedMs] of this.wantedMs) {
      const isUnused = this.ctx.nowMs - wantedMs > RELEASE_AFTER_UNUSED_MS;
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
    if (isUnused) this.wantedMs.delete(partition);
    const isKnownAbsent =
      !this.ctx.cache.partitions.has(partition) &&
      this.ctx.readAgeMs() < STALE_CACHE_MS;
    if (!isKnownAbsent) {
      this.absences.delete(partition);
      return;
    }
    const absentMs = this.ctx.nowMs - this.absenceOf(partition).sinceMs;
    if (absentMs > this.acquisitionDelayMs(partition))
      this.leadership.acquireLeaderless(partition);
  }

  /** An owner in between starts the time anew, though it was never seen. */
  private absenceOf(partition: string): Absence {
    const changedRevision =
      this.ctx.cache.leaderChangedRevision.get(partition) ?? 0;
    const known = this.absences.get(partition);
    if (known?.changedRevision === changedRevision) return known;
    const absence = { changedRevision, sinceMs: this.ctx.nowMs };
    this.absences.set(partition, absence);
    return absence;
  }

  private acquisitionDelayMs(partition: string): number {
    const { names } = this.ctx.partitions;
    const ownIndex = names.indexOf(this.ctx.settings.label);
    const firstIndex = hashToIndex(partition, names.length);
    const turn = (ownIndex - firstIndex + names.length) % names.length;
    return ABSENT_BEFORE_ACQUIRING_MS + turn * TURN_INTERVAL_MS;
  }
}
