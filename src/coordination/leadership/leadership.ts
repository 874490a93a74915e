import type { Settings } from "../../config/settings.js";
import { leadershipBidKey, partitionKey } from "../../storage/records.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";

/** Time left, of cancel_s, for a lease that ends after the permit and for clocks that differ. */
const CANCEL_MARGIN_MS = 2_000;
/** Workers of a group must have gone unserved for this long before a peer asks for the group. */
const BID_AFTER_MS = 3_000;
/** Claims come no faster than this, and after a hand-over the claimant has this long to take the group. */
const BID_INTERVAL_MS = 6_000;
/** The home controller must have been in touch with the owner for this long before it asks for its group. */
const HOME_BID_AFTER_MS = 8_000;

/** A hold this long rides out most short outages of the state service. */
const MIN_LEASE_TTL_MS = 12_000;
/** Until a worker whose master is gone has found the new one: an unanswered report, its retry, a takeover. */
const REDISCOVERY_MS = 5_000;

/**
 * How long a hold lasts. Rule `ran_cancelled`: a master that can't read cancellations goes on for at most this
 * long; then its workers' leases run out; both together must lie within cancel_s. Within that there are two
 * wishes: a short outage of the state service should not stop a group (long), and a peer should take over from
 * a hung or cut-off master before its workers' leases end (short). Where leases are long enough for both, the
 * hold ends so much before them; where they are not, only the first can be had. An outage is survived for hold
 * and lease together in any case.
 */
export function storeLeaseTtlMs(
  s: Pick<Settings, "cancelS" | "leaseS" | "reportS">,
): number {
  const most = Math.max(
    1_000,
    Math.floor((s.cancelS - s.leaseS) * 1000 - CANCEL_MARGIN_MS),
  );
  const bridged = Math.floor(
    (s.leaseS - s.reportS * 1.25) * 1000 - REDISCOVERY_MS,
  );
  return bridged >= MIN_LEASE_TTL_MS ? Math.min(most, bridged) : most;
}

/** Which groups are this controller's, and until when it may act on them. */
export class Leadership {
  private storeLease: number | null = null;
  private renewedMs = -Infinity;
  private readMs = -Infinity;
  private renewing = false;
  private nextRenewalMs = 0;
  private readonly acquiring = new Set<string>();
  private readonly absentSince = new Map<string, number>();
  readonly leaseTtlMs: number;
  private readonly startMs: number;

  constructor(
    private readonly ctx: Context,
    private readonly state: (
      call: { op: "newHold"; ttlMs: number } | { op: "touch"; hold: number },
      done: (r: { is: string; hold?: number }, sentMs: number) => void,
    ) => void,
    private readonly onLeaseLost: () => void,
    private readonly onChanged: () => void,
    private readonly isUnreachable: (partition: string) => boolean,
  ) {
    this.leaseTtlMs = storeLeaseTtlMs(ctx.settings);
    this.startMs = ctx.nowMs;
  }

  /** The copy of the state service's records is as new as a request sent then. */
  noteRead(sentMs: number): void {
    this.readMs = Math.max(this.readMs, sentMs);
  }

  /**
   * Invariant (ran_cancelled, and one master a group): workers are answered and orders issued only while both
   * the last touch of the hold and the last read of cancellations, counted from their sending, are younger than
   * the hold's length. The state service ends no hold earlier, whatever it answers to whom.
   */
  get leadershipLeaseUntilMs(): number {
    return this.storeLease === null
      ? -Infinity
      : Math.min(this.renewedMs, this.readMs) + this.leaseTtlMs * 0.998 - 100;
  }
  get storeLeaseId(): number | null {
    return this.storeLease;
  }
  mayAct(): boolean {
    return this.ctx.nowMs < this.leadershipLeaseUntilMs;
  }
  /** Age of the older of touch and read: how long the state service has been out of reach. */
  get storeSilenceMs(): number {
    return this.ctx.nowMs - Math.min(this.renewedMs, this.readMs);
  }
  /** Age of the copy of the state service's records. */
  get readAgeMs(): number {
    return this.ctx.nowMs - this.readMs;
  }

  /** Says once when a permit ends while there is a hold, with the age of each of its terms, and when there is one again. */
  private logLeadershipLease(): void {
    const permitted = this.mayAct();
    if (this.storeLease === null || permitted === this.couldAct) return;
    this.couldAct = permitted;
    const { nowMs } = this.ctx;
    if (permitted)
      this.ctx.log("leadership lease acquired", {
        storeLease: this.storeLease,
      });
    else
      this.ctx.log("leadership lease expired", {
        renewalAgeMs: Math.round(nowMs - this.renewedMs),
        readAgeMs: Math.round(nowMs - this.readMs),
        ttlMs: this.leaseTtlMs,
        storeLease: this.storeLease,
      });
  }
  private couldAct = false;

  private keepStoreLease(): void {
    if (this.renewing || this.ctx.nowMs < this.nextRenewalMs) return;
    this.renewing = true;
    const storeLease = this.storeLease;
    if (storeLease === null) {
      this.state({ op: "newHold", ttlMs: this.leaseTtlMs }, (r, sentMs) => {
        this.renewing = false;
        if (r.is === "hold") {
          this.storeLease = r.hold!;
          this.renewedMs = sentMs;
          this.nextRenewalMs = this.ctx.nowMs + this.leaseTtlMs / 8;
        } else this.nextRenewalMs = this.ctx.nowMs + 400;
      });
      return;
    }
    this.state({ op: "touch", hold: storeLease }, (r, sentMs) => {
      this.renewing = false;
      // It was over before this answer came: a put that it was attached to has said so.
      if (storeLease !== this.storeLease) return this.keepStoreLease();
      this.nextRenewalMs = this.ctx.nowMs + 500;
      if (r.is === "touched") {
        this.renewedMs = Math.max(this.renewedMs, sentMs);
        this.nextRenewalMs = this.ctx.nowMs + this.leaseTtlMs / 8;
      } else if (r.is === "gone") this.storeLeaseEnded(storeLease);
    });
  }

  /**
   * The state service has said that a hold is over: to its touch, or to a put that is attached to it. After a process stood
   * still the put may well come first, and it goes on under a new hold at once.
   */
  storeLeaseEnded(storeLease: number): void {
    if (storeLease !== this.storeLease) return;
    this.storeLease = null;
    this.nextRenewalMs = 0;
    this.ctx.log("store lease expired", {
      storeLease: storeLease,
    });
    this.onLeaseLost();
    this.keepStoreLease();
  }

  /** Token of a group that is this controller's under its present hold. */
  tokenOf(partition: string): number | null {
    const r = this.ctx.cache.partitions.get(partition);
    if (!r || r.owner !== this.ctx.settings.label || r.hold !== this.storeLease)
      return null;
    return this.releasing.get(partition) === r.version ? null : r.version;
  }

  // ---- handing over --------------------------------------------------------------------------------------

  /** Groups being given up, by token: nothing is done under it any more, whatever becomes of the commit. */
  private readonly releasing = new Map<string, number>();
  private readonly releaseSent = new Set<string>();
  private readonly unservedSince = new Map<
    string,
    { first: number; last: number }
  >();
  private readonly lastBidMs = new Map<string, number>();
  private readonly reachableSince = new Map<string, number>();

  /** No other controller answers. */
  get isIsolated(): boolean {
    return this.reachableSince.size === 0;
  }

  setReachablePeers(up: readonly string[]): void {
    for (const p of this.reachableSince.keys())
      if (!up.includes(p)) this.reachableSince.delete(p);
    for (const p of up)
      if (!this.reachableSince.has(p))
        this.reachableSince.set(p, this.ctx.nowMs);
  }

  /** A worker of another's group can't be served there: if that lasts, this controller asks for the group. */
  noteUnserved(partition: string): void {
    const r = this.ctx.cache.partitions.get(partition);
    if (!r || r.owner === this.ctx.settings.label) return;
    const now = this.ctx.nowMs;
    const u = this.unservedSince.get(partition);
    if (!u || now - u.last > BID_INTERVAL_MS) {
      this.unservedSince.set(partition, { first: now, last: now });
      return;
    }
    u.last = now;
    if (now - u.first > BID_AFTER_MS) this.bid(partition, r.version);
  }

  private bid(partition: string, token: number): void {
    if (
      this.ctx.nowMs - (this.lastBidMs.get(partition) ?? -Infinity) <
      BID_INTERVAL_MS
    )
      return;
    this.lastBidMs.set(partition, this.ctx.nowMs);
    this.ctx.log("leadership bid placed", { partition: partition, token });
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

  /** Gives a group up for a peer that hears its workers, or for its home controller that is back. */
  private honourBids(): void {
    for (const [partition, c] of this.ctx.cache.leadershipBids) {
      const token = this.tokenOf(partition);
      if (
        token === null ||
        c.token !== token ||
        c.by === this.ctx.settings.label
      )
        continue;
      if (c.by !== partition && !this.isUnreachable(partition)) continue;
      this.ctx.log("transferring leadership", {
        partition: partition,
        token,
        to: c.by,
      });
      this.releasing.set(partition, token);
      this.onChanged();
    }
    for (const [partition, token] of this.releasing) {
      if (this.ctx.cache.partitions.get(partition)?.version !== token) {
        this.releasing.delete(partition);
        continue;
      }
      if (this.releaseSent.has(partition)) continue;
      this.releaseSent.add(partition);
      this.ctx.commit(
        [{ key: partitionKey(partition), version: token }],
        [{ op: "delete", key: partitionKey(partition) }],
        CallPriority.Lease,
        () => this.releaseSent.delete(partition),
      );
    }
  }

  /** The home controller asks for its group back once it has been in touch with the owner for a while. */
  private bidForHomePartition(
    partition: string,
    owner: string,
    token: number,
  ): void {
    const since = this.reachableSince.get(owner);
    if (
      since !== undefined &&
      this.ctx.nowMs - since > HOME_BID_AFTER_MS &&
      this.mayAct()
    )
      this.bid(partition, token);
  }

  /** A group that no settings name and nobody has: taken like any other, without a master. */
  acquireLeaderless(partition: string): void {
    if (this.mayAct()) this.acquire(partition, 0);
  }
  /** Nothing is done for it from now on, whatever becomes of the commit. */
  release(partition: string): void {
    const token = this.tokenOf(partition);
    if (token !== null) this.releasing.set(partition, token);
  }

  private acquire(partition: string, version: number): void {
    const storeLease = this.storeLease;
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

  /** Its claim was written under the last token that this controller saw for the group. */
  private hasCurrentBid(partition: string): boolean {
    const c = this.ctx.cache.leadershipBids.get(partition);
    return c !== undefined && c.token === this.lastToken.get(partition);
  }
  private readonly lastToken = new Map<string, number>();

  tick(): void {
    this.logLeadershipLease();
    this.keepStoreLease();
    if (this.storeLease === null || !this.ctx.cache.ready) return;
    this.honourBids();
    for (const [partition, r] of this.ctx.cache.partitions)
      this.lastToken.set(partition, r.version);
    const me = this.ctx.settings.label;
    const names = this.ctx.partitions.names;
    for (const partition of names) {
      const r = this.ctx.cache.partitions.get(partition);
      if (r) {
        this.absentSince.delete(partition);
        // Left by this controller before it was started again: nobody else acts on it.
        if (r.owner === me && r.hold !== this.storeLease)
          this.acquire(partition, r.version);
        else if (partition === me && r.owner !== me)
          this.bidForHomePartition(partition, r.owner, r.version);
        continue;
      }
      let since = this.absentSince.get(partition);
      if (since === undefined)
        this.absentSince.set(partition, (since = this.ctx.nowMs));
      // Handed over: whoever asked for it comes first. Else nobody's: its home controller does, then the others
      // by turns.
      const heir =
        this.hasCurrentBid(partition) &&
        this.ctx.nowMs - since < BID_INTERVAL_MS
          ? this.ctx.cache.leadershipBids.get(partition)!.by
          : partition;
      if (heir === me) {
        this.acquire(partition, 0);
        continue;
      }
      if (heir !== partition) continue;
      const rank =
        (names.indexOf(me) - names.indexOf(partition) + names.length) %
        names.length;
      if (
        this.ctx.nowMs - since >
        1_500 * rank + (this.ctx.nowMs - this.startMs < 12_000 ? 10_000 : 0)
      )
        this.acquire(partition, 0);
    }
  }
}
