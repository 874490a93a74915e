import { type Context, DRIFT, STALE_MS } from "./context.js";

const LEASE_SLACK_MS = 2_000;

/**
 * Groups that nobody owns, and for how long. Once that is longer than a lease, nothing of theirs can run: their last owner's
 * permit ended before its record did, and with its last answer its machines' leases begin to end; whoever serves those
 * machines since then counts what is on them itself, or has it stopped in its first answer.
 */
export class Absences {
  private readonly since = new Map<string, { changed: number; ms: number }>();

  constructor(private readonly ctx: Context) {}

  /** Time since such a group's leases have ended, in ms; not above 0: they have not, as far as a fresh copy of the records says. */
  overMs(group: string): number {
    const { mirror, nowMs, settings } = this.ctx;
    const changed = mirror.ownerChanged.get(group) ?? 0;
    let a = this.since.get(group);
    if (mirror.groups.has(group) || this.ctx.readAgeMs() >= STALE_MS) {
      this.since.delete(group);
      return -Infinity;
    }
    // Owned in between, however shortly: from then on.
    if (!a || a.changed !== changed) this.since.set(group, (a = { changed, ms: nowMs }));
    return nowMs - a.ms - (settings.leaseS * 1000 * DRIFT + LEASE_SLACK_MS);
  }
}
