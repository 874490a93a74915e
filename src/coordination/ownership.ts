import type { Settings } from "../config/settings.js";
import { groupKey } from "../storage/records.js";
import type { Context } from "./context.js";
import { Urgent } from "./effects.js";

/** Time left, of cancel_s, for a lease that ends after the permit and for clocks that differ. */
const MARGIN_MS = 2_000;

/**
 * How long a hold lasts. Rule `ran_cancelled`: a master that can't read cancellations goes on for at most this
 * long; then its workers' leases run out; both together must lie within cancel_s. As long as that allows: a
 * short outage of the state service should not stop a group.
 */
export function holdMs(s: Pick<Settings, "cancelS" | "leaseS">): number {
  return Math.max(1_000, Math.floor((s.cancelS - s.leaseS) * 1000 - MARGIN_MS));
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
    private readonly state: (call: { op: "newHold"; ttlMs: number } | { op: "touch"; hold: number }, done: (r: { is: string; hold?: number }, sentMs: number) => void) => void,
    private readonly lostHold: () => void,
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
    return this.hold === null ? -Infinity : Math.min(this.touchedMs, this.readMs) + this.ttlMs * 0.998 - 100;
  }
  permitted(): boolean {
    return this.ctx.nowMs < this.permitUntilMs;
  }
  /** Age of the older of touch and read: how long the state service has been out of reach. */
  get staleMs(): number {
    return this.ctx.nowMs - Math.min(this.touchedMs, this.readMs);
  }
  get holdId(): number | null {
    return this.hold;
  }

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
      this.touchAgainMs = this.ctx.nowMs + 500;
      if (r.is === "touched") {
        this.touchedMs = Math.max(this.touchedMs, sentMs);
        this.touchAgainMs = this.ctx.nowMs + this.ttlMs / 8;
      } else if (r.is === "gone") {
        this.hold = null;
        this.touchAgainMs = 0;
        this.ctx.log("warn", "hold ended; groups are lost until taken again", { hold });
        this.lostHold();
        this.keepHold();
      }
    });
  }

  /** Token of a group that is this controller's under its present hold. */
  tokenOf(group: string): number | null {
    const r = this.ctx.mirror.groups.get(group);
    return r && r.owner === this.ctx.settings.label && r.hold === this.hold ? r.version : null;
  }

  private take(group: string, version: number): void {
    const hold = this.hold;
    if (hold === null || this.taking.has(group)) return;
    this.taking.add(group);
    this.ctx.commit(
      [{ key: groupKey(group), version }],
      [{ op: "put", key: groupKey(group), value: { owner: this.ctx.settings.label, hold }, hold }],
      Urgent.Hold,
      () => this.taking.delete(group),
    );
  }

  tick(): void {
    this.keepHold();
    if (this.hold === null || !this.ctx.mirror.ready) return;
    const me = this.ctx.settings.label;
    const names = this.ctx.groups.names;
    for (const group of names) {
      const r = this.ctx.mirror.groups.get(group);
      if (r) {
        this.absentSince.delete(group);
        // Left by this controller before it was started again: nobody else acts on it.
        if (r.owner === me && r.hold !== this.hold) this.take(group, r.version);
        continue;
      }
      if (group === me) {
        this.take(group, 0);
        continue;
      }
      // Nobody's: its home controller comes first, then the others by turns.
      let since = this.absentSince.get(group);
      if (since === undefined) this.absentSince.set(group, (since = this.ctx.nowMs));
      const rank = (names.indexOf(me) - names.indexOf(group) + names.length) % names.length;
      if (this.ctx.nowMs - since > 1_500 * rank + (this.ctx.nowMs - this.startMs < 12_000 ? 10_000 : 0)) this.take(group, 0);
    }
  }
}
