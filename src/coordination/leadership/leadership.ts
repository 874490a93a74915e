/**
 * The partitions that this controller leads, and until when it may act on them. Owns the store lease and its renewal, the leadership
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
/** A store lease that was not granted is requested again after this time. */
const GRANT_RETRY_MS = 400;
/** A renewal that failed is repeated after this time. */
const RENEWAL_RETRY_MS = 500;
/** Allows for a store clock that runs faster than this controller's, by up to 0.2%. */
const LEASE_DRIFT_FACTOR = 0.998;
/** Time for a message that is sent at the last moment to leave the process. */
const LEASE_MARGIN_MS = 100;
/** Interval between the turns of two controllers to acquire a partition that has no leader. */
const TURN_INTERVAL_MS = 1_500;
/** For this long after its start, a controller waits longer for others' partitions: their home controllers may be starting too. */
const STARTUP_MS = 12_000;
/** How much longer a controller that has just started waits for others' partitions. */
const STARTUP_DELAY_MS = 10_000;

/** The calls that grant and renew a store lease. */
type StoreLeaseCall = Extract<StateCall, { op: "newHold" | "touch" }>;

/** The owner of a partition, with its store lease and its fencing token (`version`). */
type OwnerRecord = PartitionRecord & { version: number };

/** Services that `Leadership` needs from the controller. */
export interface LeadershipPorts {
  /** Sends a call to the store; `done` gets its reply, and the steady time at which the call was sent. */
  callStore(
    call: StoreLeaseCall,
    done: (reply: StateReply, sentMs: number) => void,
  ): void;
  /** The store lease has ended, and with it the leadership of all partitions. */
  onStoreLeaseLost(): void;
  /** The partitions that this controller leads have changed. */
  onLeadershipChanged(): void;
  /** Whether the workers of a partition cannot reach this controller, which leads it. */
  isUnreachable(partition: string): boolean;
}

/** The partitions that this controller leads, and until when it may act on them. */
export class Leadership {
  /** Duration of the store lease, in ms. */
  readonly leaseTtlMs: number;
  private storeLease: number | null = null;
  /** When the last successful renewal was sent, in steady time. */
  private renewedMs = -Infinity;
  /** When the last successful read was sent, in steady time. */
  private readMs = -Infinity;
  private isRenewing = false;
  private nextRenewalMs = 0;
  private wasAllowedToAct = false;
  private readonly startMs: number;
  private readonly bids: LeadershipBids;
  private readonly acquiring = new Set<string>();
  private readonly absentSinceMs = new Map<string, number>();
  /** Token of each partition being released. It is no longer used, whatever the outcome of the transaction. */
  private readonly releasing = new Map<string, number>();
  private readonly releasesInFlight = new Set<string>();

  constructor(
    private readonly ctx: LeadershipContext,
    private readonly ports: LeadershipPorts,
  ) {
    this.leaseTtlMs = storeLeaseTtlMs(ctx.settings);
    this.startMs = ctx.nowMs;
    this.bids = new LeadershipBids(ctx);
  }

  // ---- leadership lease ----------------------------------------------------------------------------------

  /** Notes a read of the store that was sent at this steady time: the cache is at least as new. */
  noteRead(sentMs: number): void {
    this.readMs = Math.max(this.readMs, sentMs);
  }

  /**
   * End of the leadership lease, in steady time.
   *
   * Invariant (ran_cancelled, and one leader per partition): heartbeats are answered and commands sent only while the last renewal of
   * the store lease and the last read of cancellations, both counted from when they were sent, are younger than the duration of the
   * store lease. The store never ends a lease earlier, whatever it replies to any request.
   */
  get leadershipLeaseUntilMs(): number {
    if (this.storeLease === null) return -Infinity;
    const confirmedMs = Math.min(this.renewedMs, this.readMs);
    return confirmedMs + this.leaseTtlMs * LEASE_DRIFT_FACTOR - LEASE_MARGIN_MS;
  }

  /** The store's id of the current store lease; null if there is none. */
  get storeLeaseId(): number | null {
    return this.storeLease;
  }

  /** Whether the leadership lease is valid now. */
  mayAct(): boolean {
    return this.ctx.nowMs < this.leadershipLeaseUntilMs;
  }

  /** Time since the last renewal or the last read, whichever is older: how long the store has been out of reach. */
  get storeSilenceMs(): number {
    return this.ctx.nowMs - Math.min(this.renewedMs, this.readMs);
  }

  /** Age of the cache of the store's records, in ms. */
  get readAgeMs(): number {
    return this.ctx.nowMs - this.readMs;
  }

  /** Logs when the leadership lease expires under a valid store lease, with the ages that caused it, and when it is acquired again. */
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

  private maintainStoreLease(): void {
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
      // The lease had ended before this reply came, as the reply to a put attached to it has shown.
      if (storeLease !== this.storeLease) return this.maintainStoreLease();
      this.nextRenewalMs = this.ctx.nowMs + RENEWAL_RETRY_MS;
      if (reply.is === "touched") {
        this.renewedMs = Math.max(this.renewedMs, sentMs);
        this.scheduleRenewal();
      } else if (reply.is === "gone") this.onStoreLeaseEnded(storeLease);
    });
  }

  private scheduleRenewal(): void {
    this.nextRenewalMs = this.ctx.nowMs + this.leaseTtlMs / RENEWALS_PER_TTL;
  }

  /**
   * The store has reported that a store lease has ended, in reply to its renewal or to a put attached to it. After a pause of the process
   * the reply to the put may come first. A new lease is requested at once.
   */
  onStoreLeaseEnded(storeLease: number): void {
    if (storeLease !== this.storeLease) return;
    this.storeLease = null;
    this.nextRenewalMs = 0;
    this.ctx.log("store lease expired", { storeLease });
    this.ports.onStoreLeaseLost();
    this.maintainStoreLease();
  }

  /** Fencing token of a partition that this controller owns under its current store lease; null if it does not, or is releasing it. */
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

  /** Whether no other controller answers. */
  get isIsolated(): boolean {
    return this.bids.isIsolated;
  }

  /** Notes which of the other controllers answer now. */
  setReachablePeers(reachable: readonly string[]): void {
    this.bids.setReachablePeers(reachable);
  }

  /** Notes that a worker cannot be served by the leader of its partition. If that lasts, this controller bids for the partition. */
  noteUnserved(partition: string): void {
    this.bids.noteUnserved(partition);
  }

  /** Releases partitions to their bidders: the home controller, or a peer if the workers of the partition cannot reach this one. */
  private acceptBids(): void {
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

  /** Deletes the owner records of partitions being released, and forgets releases that are complete. */
  private sendReleases(): void {
    for (const [partition, token] of this.releasing) {
      if (this.ctx.cache.partitions.get(partition)?.version !== token) {
        this.releasing.delete(partition);
        continue;
      }
      if (this.releasesInFlight.has(partition)) continue;
      this.releasesInFlight.add(partition);
      this.ctx.commit(
        [{ key: partitionKey(partition), version: token }],
        [{ op: "delete", key: partitionKey(partition) }],
        CallPriority.Lease,
        () => this.releasesInFlight.delete(partition),
      );
    }
  }

  /** Releases a partition. Its token is no longer used from now on, whatever the outcome of the transaction. */
  release(partition: string): void {
    const token = this.tokenOf(partition);
    if (token !== null) this.releasing.set(partition, token);
  }

  // ---- acquisition ---------------------------------------------------------------------------------------

  /** Acquires a partition that is not in the settings and has no owner: like any other, but no partition leader is created for it. */
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

  /** Renews the store lease, releases partitions to their bidders, and acquires partitions when it is this controller's turn. */
  tick(): void {
    this.logLeadershipLease();
    this.maintainStoreLease();
    if (this.storeLease === null || !this.ctx.cache.ready) return;
    this.acceptBids();
    this.sendReleases();
    this.bids.noteTokens();
    for (const partition of this.ctx.partitions.names) {
      const record = this.ctx.cache.partitions.get(partition);
      if (record) this.checkOwned(partition, record);
      else this.checkAbsent(partition);
    }
  }

  /** Handles a partition with an owner: acquires it again after a restart, or bids for it if it is this controller's home partition. */
  private checkOwned(partition: string, record: OwnerRecord): void {
    this.absentSinceMs.delete(partition);
    const { label } = this.ctx.settings;
    // Acquired by this controller before its restart, so no other controller acts on it.
    if (record.owner === label && record.hold !== this.storeLease)
      this.acquire(partition, record.version);
    else if (partition === label && record.owner !== label && this.mayAct())
      this.bids.bidForHomePartition(partition, record.owner, record.version);
  }

  /** Handles a partition without an owner: a current bidder may acquire it first, else its home controller, then the others by turns. */
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

  /** How long a partition has had no owner according to this controller's cache, in ms. */
  private noteAbsent(partition: string): number {
    const { nowMs } = this.ctx;
    const sinceMs = this.absentSinceMs.get(partition) ?? nowMs;
    this.absentSinceMs.set(partition, sinceMs);
    return nowMs - sinceMs;
  }

  /** How long this controller leaves a partition without an owner to its home controller and to those whose turns come first, in ms. */
  private acquisitionDelayMs(partition: string): number {
    const { names } = this.ctx.partitions;
    const ownIndex = names.indexOf(this.ctx.settings.label);
    const turn =
      (ownIndex - names.indexOf(partition) + names.length) % names.length;
    const isStarting = this.ctx.nowMs - this.startMs < STARTUP_MS;
    return TURN_INTERVAL_MS * turn + (isStarting ? STARTUP_DELAY_MS : 0);
  }
}
