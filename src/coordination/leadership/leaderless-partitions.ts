import {
  type Context,
  CLOCK_DRIFT_FACTOR,
  STALE_CACHE_MS,
} from "../context.js";
import type { Leadership } from "./leadership.js";
import { turnOf } from "../jobs/job-partitioner.js";

const LEASE_SLACK_MS = 2_000;
/** Nobody's for so long before it is taken: a controller that goes by other settings may be about to. */
const ABSENT_BEFORE_ACQUIRING_MS = 1_000;
/** Between the turns of two controllers, in ms. */
const TURN_INTERVAL_MS = 1_000;
/** Given up when nothing was asked of it for so long, in ms. */
const RELEASE_AFTER_UNUSED_MS = 10_000;

/**
 * Groups that no settings name any more, and of which something is left: parts of jobs, parts of limits. One controller takes such a
 * group, as any group is taken, and holds it without a master: nobody can be its master meanwhile.
 *
 * Invariant (ran_twice, quota): what is done in its name is conditional on the token that it was taken under, and is sent once that has
 * been seen for longer than a lease: what a former master left there has ended by then, and nobody has started anything since. That it
 * is nobody's would not do: absence is no revision, and a commit that is carried out late could find it absent again after another had
 * it in between.
 */
export class LeaderlessPartitions {
  private readonly wanted = new Map<string, number>();
  private readonly absentSince = new Map<
    string,
    { changed: number; ms: number }
  >();
  private readonly held = new Map<string, { token: number; ms: number }>();

  constructor(
    private readonly ctx: Context,
    private readonly leadership: Pick<
      Leadership,
      "tokenOf" | "acquireLeaderless" | "release"
    >,
  ) {}

  /** The token to act under for a group that no settings name; null: not yet, or another does. Asking for it is wanting it. */
  token(partition: string): number | null {
    this.wanted.set(partition, this.ctx.nowMs);
    const h = this.held.get(partition);
    if (!h || this.leadership.tokenOf(partition) !== h.token) return null;
    return this.ctx.nowMs - h.ms >
      this.ctx.settings.leaseS * 1000 * CLOCK_DRIFT_FACTOR + LEASE_SLACK_MS
      ? h.token
      : null;
  }

  /** Only called by a controller that has a group. */
  tick(): void {
    const { cache, nowMs, partitions, settings } = this.ctx;
    for (const [partition, askedMs] of this.wanted) {
      const token = this.leadership.tokenOf(partition);
      if (token !== null) {
        if (this.held.get(partition)?.token !== token)
          this.held.set(partition, { token, ms: nowMs });
        if (nowMs - askedMs > RELEASE_AFTER_UNUSED_MS)
          this.leadership.release(partition);
        continue;
      }
      this.held.delete(partition);
      if (nowMs - askedMs > RELEASE_AFTER_UNUSED_MS)
        this.wanted.delete(partition);
      if (
        cache.partitions.has(partition) ||
        this.ctx.readAgeMs() >= STALE_CACHE_MS
      ) {
        this.absentSince.delete(partition);
        continue;
      }
      const changed = cache.leaderChangedRevision.get(partition) ?? 0;
      let a = this.absentSince.get(partition);
      if (!a || a.changed !== changed)
        this.absentSince.set(partition, (a = { changed, ms: nowMs }));
      const n = partitions.names.length;
      const rank =
        (partitions.names.indexOf(settings.label) - turnOf(partition, n) + n) %
        n;
      if (nowMs - a.ms > ABSENT_BEFORE_ACQUIRING_MS + rank * TURN_INTERVAL_MS)
        this.leadership.acquireLeaderless(partition);
    }
  }
}
