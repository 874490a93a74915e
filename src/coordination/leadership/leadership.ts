/**
 * Which partitions this controller leads, and until when it may act on them. Owns the store lease and its renewal, the leadership
 * lease that follows from it, and the acquisition and release of partitions.
 */
import type { StateCall, StateReply } from "../../protocol/state.js";
import { type PartitionRecord, partitionKey } from "../../storage/records.js";
import { CallPriority } from "../effects.js";
import {
  BID_INTERVAL_MS,
  LeadershipBids,
  type LeadershipContext,
} from "./leadership-bids.js";
import { storeLeaseTtlMs } from "./store-lease-ttl.js";

/** The store lease is renewed this many times within its duration. */
const RENEWALS_PER_TTL = 8;
/** A store lease that was not granted is asked for again after this time. */
const GRANT_RETRY_MS = 400;
/** A renewal that failed is repeated after this time. */
const RENEWAL_RETRY_MS = 500;
/** The store's clock may run faster than this controller's by up to the rest of this. */
const LEASE_DRIFT_FACTOR = 0.998;
/** What is sent at the last moment still has to leave the process. */
const LEASE_MARGIN_MS = 100;
/** Between the turns of two controllers to acquire a partition that nobody leads. */
const TURN_INTERVAL_MS = 1_500;
/** For so long after its start a controller leaves others' partitions to home controllers that may be starting as well. */
const STARTUP_MS = 12_000;
/** By so much a controller that has just started waits longer for others' partitions. */
const STARTUP_DELAY_MS = 10_000;

/** The calls that grant and renew a store lease. */
type StoreLeaseCall = Extract<StateCall, { op: "newHold" | "touch" }>;

/** Who owns a partition, under which store lease and fencing token. */
type OwnerRecord = PartitionRecord & { version: number };

/** What leadership needs from the controller around it. */
export interface LeadershipPorts {
  /** Sends a call to the store; `done` gets its reply, and the steady time at which the call was sent. */
  callStore(
    call: StoreLeaseCall,
    done: (reply: StateReply, sentMs: number) => void,
  ): void;
  /** The store lease is over: nothing is led any more. */
  onStoreLeaseLost(): void;
  /** The partitions that this controller leads have changed. */
  onLeadershipChanged(): void;
  /** Whether the workers of a partition cannot reach this controller, which leads it. */
  isUnreachable(partition: string): boolean;
}

/** Which partitions are this controller's, and until when it may act on them. */
export class Leadership {
  /** Duration of the store lease. */
  readonly leaseTtlMs: number;
  private storeLease: number | null = null;
  /** When the last renewal that succeeded was sent. */
  private renewedMs = -Infinity;
  /** When the last read that succeeded was sent. */
  private readMs = -Infinity;
  private isRenewing = false;
  private nextRenewalMs = 0;
  private wasAllowedToAct = false;
  private readonly startMs: number;
  private readonly bids: LeadershipBids;
  private readonly acquiring = new Set<string>();
  private readonly absentSinceMs = new Map<string, number>();
  /** Partitions being released, by token: nothing is done under it any more, whatever becomes of the transaction. */
  private readonly releasing = new Map<string, number>();
  private readonly releasesSent = new Set<string>();

  constructor(
    private readonly ctx: LeadershipContext,
    private readonly ports: LeadershipPorts,
  ) {
    this.leaseTtlMs = storeLeaseTtlMs(ctx.settings);
    this.startMs = ctx.nowMs;
    this.bids = new LeadershipBids(ctx);
  }

  // ---- leadership lease ----------------------------------------------------------------------------------

  /** The cache of the store's records is as new as a request sent then. */
  noteRead(sentMs: number): void {
    this.readMs = Math.max(this.readMs, sentMs);
  }

  /**
   * End of the leadership lease, in steady time.
   *
   * Invariant (ran_cancelled, and one leader a partition): workers are answered and commands issued only while both the last renewal
   * of the store lease and the last read of cancellations, counted from their sending, are younger than the duration of the
   * store lease. The store ends no lease earlier, whatever it answers to whom.
   */
  get leadershipLeaseUntilMs(): number {
    if (this.storeLease === null) return -Infinity;
    const confirmedMs = Math.min(this.renewedMs, this.readMs);
    return confirmedMs + this.leaseTtlMs * LEASE_DRIFT_FACTOR - LEASE_MARGIN_MS;
  }

  /** The store's number of the present store lease; null: there is none. */
  get storeLeaseId(): number | null {
    return this.storeLease;
  }

  /** Whether the leadership lease lasts. */
  mayAct(): boolean {
    return this.ctx.nowMs < this.leadershipLeaseUntilMs;
  }

  /** Age of the older of renewal and read: how long the store has been out of reach. */
  get storeSilenceMs(): number {
    return this.ctx.nowMs - Math.min(this.renewedMs, this.readMs);
  }

  /** Age of the cache of the store's records. */
  get readAgeMs(): number {
    return this.ctx.nowMs - this.readMs;
  }

  /** Logs once when the leadership lease ends under a store lease, with the age of each of its terms, and when there is one again. */
  private logLeadershipLease(): void {
    const { storeLease } = this;
    const isAllowedToAct = this.mayAct();
    if (storeLease === null || isAllowedToAct === this.wasAllowedToAct) return;
    this.wasAllowedToAct = isAllowedToAct;
    const { nowMs } = this.ctx;
    if (isAllowedToAct)
      this.ctx.log("leadership lease acquired", { storeLease });
    else
      this.ctx.log("leadership lease expired", {
        renewalAgeMs: Math.round(nowMs - this.renewedMs),
        readAgeMs: Math.round(nowMs - this.readMs),
        ttlMs: this.leaseTtlMs,
        storeLease,
      });
  }

  // ---- store lease ---------------------------------------------------------------------------------------

  private keepStoreLease(): void {
    if (this.isRenewing || this.ctx.nowMs < this.nextRenewalMs) return;
    this.isRenewing = true;
    if (this.storeLease === null) this.requestStoreLease();
    else this.renewStoreLease(this.storeLease);
  }

  private requestStoreLease(): void {
    this.ports.callStore(
      { op: "newHold", ttlMs: this.leaseTtlMs },
      (reply, sentMs) => {
        this.isRenewing = false;
        if (reply.is !== "hold") {
          this.nextRenewalMs = this.ctx.nowMs + GRANT_RETRY_MS;
          return;
        }
        this.storeLease = reply.hold;
        this.renewedMs = sentMs;
        this.scheduleRenewal();
      },
    );
  }

  private renewStoreLease(storeLease: number): void {
    this.ports.callStore({ op: "touch", hold: storeLease }, (reply, sentMs) => {
      this.isRenewing = false;
      // It ended before this answer came: a put that it was attached to has said so.
      if (storeLease !== this.storeLease) return this.keepStoreLease();
      this.nextRenewalMs = this.ctx.nowMs + RENEWAL_RETRY_MS;
      if (reply.is === "touched") {
        this.renewedMs = Math.max(this.renewedMs, sentMs);
        this.scheduleRenewal();
      } else if (reply.is === "gone") this.storeLeaseEnded(storeLease);
    });
  }

  private scheduleRenewal(): void {
    this.nextRenewalMs = this.ctx.nowMs + this.leaseTtlMs / RENEWALS_PER_TTL;
  }

  /**
   * The store has said that a store lease is over: to its renewal, or to a put that is attached to it. After a process stood still the
   * put may well come first, and the controller goes on under a new lease at once.
   */
  storeLeaseEnded(storeLease: number): void {
    if (storeLease !== this.storeLease) return;
    this.storeLease = null;
    this.nextRenewalMs = 0;
    this.ctx.log("store lease expired", { storeLease });
    this.ports.onStoreLeaseLost();
    this.keepStoreLease();
  }

  /** Fencing token of a partition that this controller leads under its present store lease; null: it does not. */
  tokenOf(partition: string): number | null {
    const record = this.ctx.cache.partitions.get(partition);
    if (
      !record ||
      record.owner !== this.ctx.settings.label ||
      record.hold !== this.storeLease
    )
      return null;
    const isReleasing = this.releasing.get(partition) === record.version;
    return isReleasing ? null : record.version;
  }

  // ---- bids and releases ---------------------------------------------------------------------------------

  /** No other controller answers. */
  get isIsolated(): boolean {
    return this.bids.isIsolated;
  }

  /** Notes which of the other controllers answer now. */
  setReachablePeers(reachable: readonly string[]): void {
    this.bids.setReachablePeers(reachable);
  }

  /** A worker of another's partition cannot be served there: if that lasts, this controller bids for the partition. */
  noteUnserved(partition: string): void {
    this.bids.noteUnserved(partition);
  }

  /** Releases each partition for a peer that its workers reach, or for its home controller that is back. */
  private honourBids(): void {
    for (const [partition, bid] of this.ctx.cache.leadershipBids) {
      const token = this.tokenOf(partition);
      if (
        token === null ||
        bid.token !== token ||
        bid.by === this.ctx.settings.label
      )
        continue;
      const isHomeController = bid.by === partition;
      if (!isHomeController && !this.ports.isUnreachable(partition)) continue;
      this.ctx.log("transferring leadership", {
        partition,
        token,
        to: bid.by,
      });
      this.releasing.set(partition, token);
      this.ports.onLeadershipChanged();
    }
  }

  /** Deletes the records of partitions being released, and forgets those that are gone. */
  private sendReleases(): void {
    for (const [partition, token] of this.releasing) {
      if (this.ctx.cache.partitions.get(partition)?.version !== token) {
        this.releasing.delete(partition);
        continue;
      }
      if (this.releasesSent.has(partition)) continue;
      this.releasesSent.add(partition);
      this.ctx.commit(
        [{ key: partitionKey(partition), version: token }],
        [{ op: "delete", key: partitionKey(partition) }],
        CallPriority.Lease,
        () => this.releasesSent.delete(partition),
      );
    }
  }

  /** Nothing is done for the partition from now on, whatever becomes of the transaction. */
  release(partition: string): void {
    const token = this.tokenOf(partition);
    if (token !== null) this.releasing.set(partition, token);
  }

  // ---- acquisition ---------------------------------------------------------------------------------------

  /** Acquires a partition that no settings name and nobody owns: like any other, but it gets no leader. */
  acquireLeaderless(partition: string): void {
    if (this.mayAct()) this.acquire(partition, 0);
  }

  private acquire(partition: string, version: number): void {
    const { storeLease } = this;
    if (storeLease === null || this.acquiring.has(partition)) return;
    this.acquiring.add(partition);
    this.ctx.commit(
      [{ key: partitionKey(partition), version }],
      [
        {
          op: "put",
          key: partitionKey(partition),
          value: { owner: this.ctx.settings.label, hold: storeLease },
          hold: storeLease,
        },
      ],
      CallPriority.Lease,
      () => this.acquiring.delete(partition),
    );
  }

  /** Keeps the store lease, honours bids and acquires partitions whose turn it is. */
  tick(): void {
    this.logLeadershipLease();
    this.keepStoreLease();
    if (this.storeLease === null || !this.ctx.cache.ready) return;
    this.honourBids();
    this.sendReleases();
    this.bids.noteTokens();
    for (const partition of this.ctx.partitions.names) {
      const record = this.ctx.cache.partitions.get(partition);
      if (record) this.checkOwned(partition, record);
      else this.checkAbsent(partition);
    }
  }

  /** A partition that somebody owns: acquired again after a restart, bid for if it is this controller's home partition. */
  private checkOwned(partition: string, record: OwnerRecord): void {
    this.absentSinceMs.delete(partition);
    const { label } = this.ctx.settings;
    // Left by this controller before it was started again: nobody else acts on it.
    if (record.owner === label && record.hold !== this.storeLease)
      this.acquire(partition, record.version);
    else if (partition === label && record.owner !== label && this.mayAct())
      this.bids.bidForHomePartition(partition, record.owner, record.version);
  }

  /** A partition that nobody owns: a current bidder comes first, else its home controller, then the others by turns. */
  private checkAbsent(partition: string): void {
    const absentMs = this.noteAbsent(partition);
    const bidder =
      absentMs < BID_INTERVAL_MS ? this.bids.currentBidder(partition) : null;
    const successor = bidder ?? partition;
    if (successor === this.ctx.settings.label) this.acquire(partition, 0);
    else if (
      successor === partition &&
      absentMs > this.acquisitionDelayMs(partition)
    )
      this.acquire(partition, 0);
  }

  /** For how long a partition has had no owner, as far as this controller has seen. */
  private noteAbsent(partition: string): number {
    const { nowMs } = this.ctx;
    const sinceMs = this.absentSinceMs.get(partition) ?? nowMs;
    this.absentSinceMs.set(partition, sinceMs);
    return nowMs - sinceMs;
  }

  /** How long this controller leaves a partition that nobody owns to its home controller and those before it. */
  private acquisitionDelayMs(partition: string): number {
    const { names } = this.ctx.partitions;
    const ownIndex = names.indexOf(this.ctx.settings.label);
    const turn =
      (ownIndex - names.indexOf(partition) + names.length) % names.length;
    const isStarting = this.ctx.nowMs - this.startMs < STARTUP_MS;
    return TURN_INTERVAL_MS * turn + (isStarting ? STARTUP_DELAY_MS : 0);
  }
}
