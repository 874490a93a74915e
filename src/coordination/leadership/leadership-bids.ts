/**
 * Bids for the leadership of partitions that other controllers lead. A bid is a record in the store; the leader reads it and may
 * release the partition. Owns the state that bids depend on: which peers answer, and which partitions have unserved workers.
 */
import { leadershipBidKey, partitionKey } from "../../storage/records.js";
import type {
  Clock,
  Configuration,
  Context,
  StoreTransactions,
  StoreView,
} from "../context.js";
import { CallPriority } from "../effects.js";

/** Workers of a partition must have gone unserved for this long before a peer bids for the partition. */
const BID_AFTER_MS = 3_000;
/** Minimum interval between two bids for a partition, and the time that a bidder has to acquire it after its release. */
export const BID_INTERVAL_MS = 6_000;
/** The leader must have answered the home controller for this long before that controller bids for its partition. */
const HOME_BID_AFTER_MS = 8_000;

/** The services of the core's context that leadership uses. */
export type LeadershipContext = Clock &
  Configuration &
  StoreView &
  StoreTransactions &
  Pick<Context, "log">;

/** A period in which workers of a partition could not be served, in steady time. */
interface UnservedPeriod {
  firstMs: number;
  lastMs: number;
}

/** Places the bids of this controller, and determines which bid for a released partition counts. */
export class LeadershipBids {
  private readonly unservedPeriods = new Map<string, UnservedPeriod>();
  private readonly lastBidMs = new Map<string, number>();
  private readonly reachableSinceMs = new Map<string, number>();
  private readonly lastSeenTokens = new Map<string, number>();

  constructor(private readonly ctx: LeadershipContext) {}

  /** Whether no other controller answers. */
  get isIsolated(): boolean {
    return this.reachableSinceMs.size === 0;
  }

  /** Notes which of the other controllers answer now. */
  setReachablePeers(reachable: readonly string[]): void {
    for (const peer of this.reachableSinceMs.keys())
      if (!reachable.includes(peer)) this.reachableSinceMs.delete(peer);
    for (const peer of reachable)
      if (!this.reachableSinceMs.has(peer))
        this.reachableSinceMs.set(peer, this.ctx.nowMs);
  }

  /** Notes that a worker cannot be served by the leader of its partition. If that lasts, this controller bids for the partition. */
  noteUnserved(partition: string): void {
    const record = this.ctx.cache.partitions.get(partition);
    if (!record || record.owner === this.ctx.settings.label) return;
    const { nowMs } = this.ctx;
    const period = this.unservedPeriods.get(partition);
    if (!period || nowMs - period.lastMs > BID_INTERVAL_MS) {
      this.unservedPeriods.set(partition, { firstMs: nowMs, lastMs: nowMs });
      return;
    }
    period.lastMs = nowMs;
    if (nowMs - period.firstMs > BID_AFTER_MS)
      this.bid(partition, record.version);
  }

  /** Bids for this controller's home partition, once the present leader has answered for long enough. */
  bidForHomePartition(partition: string, owner: string, token: number): void {
    const sinceMs = this.reachableSinceMs.get(owner);
    if (sinceMs !== undefined && this.ctx.nowMs - sinceMs > HOME_BID_AFTER_MS)
      this.bid(partition, token);
  }

  /** Remembers the current token of each partition, since a bid only counts for the token that it contains. */
  noteTokens(): void {
    for (const [partition, record] of this.ctx.cache.partitions)
      this.lastSeenTokens.set(partition, record.version);
  }

  /** The controller that bid for the partition under the last token that this controller saw for it; null if there is none. */
  currentBidder(partition: string): string | null {
    const bid = this.ctx.cache.leadershipBids.get(partition);
    return bid !== undefined && bid.token === this.lastSeenTokens.get(partition)
      ? bid.by
      : null;
  }

  private bid(partition: string, token: number): void {
    const lastMs = this.lastBidMs.get(partition) ?? -Infinity;
    if (this.ctx.nowMs - lastMs < BID_INTERVAL_MS) return;
    this.lastBidMs.set(partition, this.ctx.nowMs);
    this.ctx.log("leadership bid placed", { partition, token });
    this.ctx.commit(
      [{ key: partitionKey(partition), version: token }],
      [
        {
          op: "put",
          key: leadershipBidKey(partition),
          value: { by: this.ctx.settings.label, token },
        },
      ],
      CallPriority.Lease,
      () => {},
    );
  }
}
