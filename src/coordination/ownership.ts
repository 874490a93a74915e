import type { Settings } from "../config/settings.js";
import { claimKey, groupKey } from "../storage/records.js";
import type { Context } from "./context.js";
import { Urgent } from "./effects.js";

/** Time left, of cancel_s, for a lease that ends after the permit and for clocks that differ. */
const MARGIN_MS = 2_000;
/** Workers of a group must have gone unserved for this long before a peer asks for the group. */
const CLAIM_AFTER_MS = 3_000;
/** Claims come no faster than this, and after a hand-over the claimant has this long to take the group. */
const CLAIM_GAP_MS = 6_000;
/** The home controller must have been in touch with the owner for this long before it asks for its group. */
const HOME_AFTER_MS = 8_000;

/** A hold this long rides out most short outages of the state service. */
const LEAST_HOLD_MS = 12_000;
/** Until a worker whose master is gone has found the new one: an unanswered report, its retry, a takeover. */
const FIND_MS = 5_000;

/**
 * How long a hold lasts. Rule `ran_cancelled`: a master that can't read cancellations goes on for at most this
 * long; then its workers' leases run out; both together must lie within cancel_s. Within that there are two
 * wishes: a short outage of the state service should not stop a group (long), and a peer should take over from
 * a hung or cut-off master before its workers' leases end (short). Where leases are long enough for both, the
 * hold ends so much before them; where they are not, only the first can be had. An outage is survived for hold
 * and lease together in any case.
 */
export function holdMs(
  s: Pick<Settings, "cancelS" | "leaseS" | "reportS">,
): number {
  const most = Math.max(
    1_000,
    Math.floor((s.cancelS - s.leaseS) * 1000 - MARGIN_MS),
  );
  const bridged = Math.floor((s.leaseS - s.reportS * 1.25) * 1000 - FIND_MS);
  return bridged >= LEAST_HOLD_MS ? Math.min(most, bridged) : most;
}

/** Which groups are this controller's, and until when it may act on them. */
export class Ownership {
  private hold: number | null = null;
  private touchedMs = -Infinity;
  private readMs = -Infinity;
  private asking = false;
  private touchAgainMs = 0;
  private readonly taking = new Set<string>();
  private readonly absentSince = new Map<string, number>();
  readonly ttlMs: number;
  private readonly startMs: number;

  constructor(
    private readonly ctx: Context,
    private readonly state: (
      call: { op: "newHold"; ttlMs: number } | { op: "touch"; hold: number },
      done: (r: { is: string; hold?: number }, sentMs: number) => void,
    ) => void,
    private readonly lostHold: () => void,
    private readonly changed: () => void,
    private readonly deaf: (group: string) => boolean,
  ) {
    this.ttlMs = holdMs(ctx.settings);
    this.startMs = ctx.nowMs;
  }

  /** The copy of the state service's records is as new as a request sent then. */
  read(sentMs: number): void {
    this.readMs = Math.max(this.readMs, sentMs);
  }

  /**
   * Invariant (ran_cancelled, and one master a group): workers are answered and orders issued only while both
   * the last touch of the hold and the last read of cancellations, counted from their sending, are younger than
   * the hold's length. The state service ends no hold earlier, whatever it answers to whom.
   */
  get permitUntilMs(): number {
    return this.hold === null
      ? -Infinity
      : Math.min(this.touchedMs, this.readMs) + this.ttlMs * 0.998 - 100;
  }
  get holdId(): number | null {
    return this.hold;
  }
  permitted(): boolean {
    return this.ctx.nowMs < this.permitUntilMs;
  }
  /** Age of the older of touch and read: how long the state service has been out of reach. */
  get staleMs(): number {
    return this.ctx.nowMs - Math.min(this.touchedMs, this.readMs);
  }
  /** Age of the copy of the state service's records. */
  get readAgeMs(): number {
    return this.ctx.nowMs - this.readMs;
  }

  /** Says once when a permit ends while there is a hold, with the age of each of its terms, and when there is one again. */
  private notePermit(): void {
    const permitted = this.permitted();
    if (this.hold === null || permitted === this.hadPermit) return;
    this.hadPermit = permitted;
    const { nowMs } = this.ctx;
    if (permitted)
      this.ctx.log("leadership lease acquired", { storeLease: this.hold });
    else
      this.ctx.log("leadership lease expired", {
        renewalAgeMs: Math.round(nowMs - this.touchedMs),
        readAgeMs: Math.round(nowMs - this.readMs),
        ttlMs: this.ttlMs,
        storeLease: this.hold,
      });
  }
  private hadPermit = false;

  private keepHold(): void {
    if (this.asking || this.ctx.nowMs < this.touchAgainMs) return;
    this.asking = true;
    const hold = this.hold;
    if (hold === null) {
      this.state({ op: "newHold", ttlMs: this.ttlMs }, (r, sentMs) => {
        this.asking = false;
        if (r.is === "hold") {
          this.hold = r.hold!;
          this.touchedMs = sentMs;
          this.touchAgainMs = this.ctx.nowMs + this.ttlMs / 8;
        } else this.touchAgainMs = this.ctx.nowMs + 400;
      });
      return;
    }
    this.state({ op: "touch", hold }, (r, sentMs) => {
      this.asking = false;
      // It was over before this answer came: a put that it was attached to has said so.
      if (hold !== this.hold) return this.keepHold();
      this.touchAgainMs = this.ctx.nowMs + 500;
      if (r.is === "touched") {
        this.touchedMs = Math.max(this.touchedMs, sentMs);
        this.touchAgainMs = this.ctx.nowMs + this.ttlMs / 8;
      } else if (r.is === "gone") this.holdEnded(hold);
    });
  }

  /**
   * The state service has said that a hold is over: to its touch, or to a put that is attached to it. After a process stood
   * still the put may well come first, and it goes on under a new hold at once.
   */
  holdEnded(hold: number): void {
    if (hold !== this.hold) return;
    this.hold = null;
    this.touchAgainMs = 0;
    this.ctx.log("store lease expired", {
      storeLease: hold,
    });
    this.lostHold();
    this.keepHold();
  }

  /** Token of a group that is this controller's under its present hold. */
  tokenOf(group: string): number | null {
    const r = this.ctx.mirror.groups.get(group);
    if (!r || r.owner !== this.ctx.settings.label || r.hold !== this.hold)
      return null;
    return this.ceding.get(group) === r.version ? null : r.version;
  }

  // ---- handing over --------------------------------------------------------------------------------------

  /** Groups being given up, by token: nothing is done under it any more, whatever becomes of the commit. */
  private readonly ceding = new Map<string, number>();
  private readonly cedeSent = new Set<string>();
  private readonly unservedMs = new Map<
    string,
    { first: number; last: number }
  >();
  private readonly claimMs = new Map<string, number>();
  private readonly upSince = new Map<string, number>();

  /** No other controller answers. */
  get alone(): boolean {
    return this.upSince.size === 0;
  }

  peersUp(up: readonly string[]): void {
    for (const p of this.upSince.keys())
      if (!up.includes(p)) this.upSince.delete(p);
    for (const p of up)
      if (!this.upSince.has(p)) this.upSince.set(p, this.ctx.nowMs);
  }

  /** A worker of another's group can't be served there: if that lasts, this controller asks for the group. */
  unserved(group: string): void {
    const r = this.ctx.mirror.groups.get(group);
    if (!r || r.owner === this.ctx.settings.label) return;
    const now = this.ctx.nowMs;
    const u = this.unservedMs.get(group);
    if (!u || now - u.last > CLAIM_GAP_MS) {
      this.unservedMs.set(group, { first: now, last: now });
      return;
    }
    u.last = now;
    if (now - u.first > CLAIM_AFTER_MS) this.claim(group, r.version);
  }

  private claim(group: string, token: number): void {
    if (this.ctx.nowMs - (this.claimMs.get(group) ?? -Infinity) < CLAIM_GAP_MS)
      return;
    this.claimMs.set(group, this.ctx.nowMs);
    this.ctx.log("leadership bid placed", { partition: group, token });
    this.ctx.commit(
      [{ key: groupKey(group), version: token }],
      [
        {
          op: "put",
          key: claimKey(group),
          value: { by: this.ctx.settings.label, token },
        },
      ],
      Urgent.Hold,
      () => {},
    );
  }

  /** Gives a group up for a peer that hears its workers, or for its home controller that is back. */
  private heed(): void {
    for (const [group, c] of this.ctx.mirror.claims) {
      const token = this.tokenOf(group);
      if (
        token === null ||
        c.token !== token ||
        c.by === this.ctx.settings.label
      )
        continue;
      if (c.by !== group && !this.deaf(group)) continue;
      this.ctx.log("transferring leadership", {
        partition: group,
        token,
        to: c.by,
      });
      this.ceding.set(group, token);
      this.changed();
    }
    for (const [group, token] of this.ceding) {
      if (this.ctx.mirror.groups.get(group)?.version !== token) {
        this.ceding.delete(group);
        continue;
      }
      if (this.cedeSent.has(group)) continue;
      this.cedeSent.add(group);
      this.ctx.commit(
        [{ key: groupKey(group), version: token }],
        [{ op: "delete", key: groupKey(group) }],
        Urgent.Hold,
        () => this.cedeSent.delete(group),
      );
    }
  }

  /** The home controller asks for its group back once it has been in touch with the owner for a while. */
  private comeHome(group: string, owner: string, token: number): void {
    const since = this.upSince.get(owner);
    if (
      since !== undefined &&
      this.ctx.nowMs - since > HOME_AFTER_MS &&
      this.permitted()
    )
      this.claim(group, token);
  }

  /** A group that no settings name and nobody has: taken like any other, without a master. */
  takeUnowned(group: string): void {
    if (this.permitted()) this.take(group, 0);
  }
  /** Nothing is done for it from now on, whatever becomes of the commit. */
  giveUp(group: string): void {
    const token = this.tokenOf(group);
    if (token !== null) this.ceding.set(group, token);
  }

  private take(group: string, version: number): void {
    const hold = this.hold;
    if (hold === null || this.taking.has(group)) return;
    this.taking.add(group);
    this.ctx.commit(
      [{ key: groupKey(group), version }],
      [
        {
          op: "put",
          key: groupKey(group),
          value: { owner: this.ctx.settings.label, hold },
          hold,
        },
      ],
      Urgent.Hold,
      () => this.taking.delete(group),
    );
  }

  /** Its claim was written under the last token that this controller saw for the group. */
  private freshClaim(group: string): boolean {
    const c = this.ctx.mirror.claims.get(group);
    return c !== undefined && c.token === this.lastToken.get(group);
  }
  private readonly lastToken = new Map<string, number>();

  tick(): void {
    this.notePermit();
    this.keepHold();
    if (this.hold === null || !this.ctx.mirror.ready) return;
    this.heed();
    for (const [group, r] of this.ctx.mirror.groups)
      this.lastToken.set(group, r.version);
    const me = this.ctx.settings.label;
    const names = this.ctx.groups.names;
    for (const group of names) {
      const r = this.ctx.mirror.groups.get(group);
      if (r) {
        this.absentSince.delete(group);
        // Left by this controller before it was started again: nobody else acts on it.
        if (r.owner === me && r.hold !== this.hold) this.take(group, r.version);
        else if (group === me && r.owner !== me)
          this.comeHome(group, r.owner, r.version);
        continue;
      }
      let since = this.absentSince.get(group);
      if (since === undefined)
        this.absentSince.set(group, (since = this.ctx.nowMs));
      // Handed over: whoever asked for it comes first. Else nobody's: its home controller does, then the others
      // by turns.
      const heir =
        this.freshClaim(group) && this.ctx.nowMs - since < CLAIM_GAP_MS
          ? this.ctx.mirror.claims.get(group)!.by
          : group;
      if (heir === me) {
        this.take(group, 0);
        continue;
      }
      if (heir !== group) continue;
      const rank =
        (names.indexOf(me) - names.indexOf(group) + names.length) %
        names.length;
      if (
        this.ctx.nowMs - since >
        1_500 * rank + (this.ctx.nowMs - this.startMs < 12_000 ? 10_000 : 0)
      )
        this.take(group, 0);
    }
  }
}
