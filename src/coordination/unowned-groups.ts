import { type Context, DRIFT, STALE_MS } from "./context.js";
import type { Ownership } from "./ownership.js";
import { turn } from "./splitter.js";

const LEASE_SLACK_MS = 2_000;
/** Nobody's for so long before it is taken: a controller that goes by other settings may be about to. */
const ABSENT_MS = 1_000;
/** Between the turns of two controllers, in ms. */
const TURN_MS = 1_000;
/** Given up when nothing was asked of it for so long, in ms. */
const UNWANTED_MS = 10_000;

/**
 * Groups that no settings name any more, and of which something is left: parts of jobs, parts of limits. One controller takes such a
 * group, as any group is taken, and holds it without a master: nobody can be its master meanwhile.
 *
 * Invariant (ran_twice, quota): what is done in its name is conditional on the token that it was taken under, and is sent once that has
 * been seen for longer than a lease: what a former master left there has ended by then, and nobody has started anything since. That it
 * is nobody's would not do: absence is no revision, and a commit that is carried out late could find it absent again after another had
 * it in between.
 */
export class UnownedGroups {
  private readonly wanted = new Map<string, number>();
  private readonly absent = new Map<string, { changed: number; ms: number }>();
  private readonly held = new Map<string, { token: number; ms: number }>();

  constructor(
    private readonly ctx: Context,
    private readonly ownership: Pick<
      Ownership,
      "tokenOf" | "takeUnowned" | "giveUp"
    >,
  ) {}

  /** The token to act under for a group that no settings name; null: not yet, or another does. Asking for it is wanting it. */
  token(group: string): number | null {
    this.wanted.set(group, this.ctx.nowMs);
    const h = this.held.get(group);
    if (!h || this.ownership.tokenOf(group) !== h.token) return null;
    return this.ctx.nowMs - h.ms >
      this.ctx.settings.leaseS * 1000 * DRIFT + LEASE_SLACK_MS
      ? h.token
      : null;
  }

  /** Only called by a controller that has a group. */
  tick(): void {
    const { mirror, nowMs, groups, settings } = this.ctx;
    for (const [group, askedMs] of this.wanted) {
      const token = this.ownership.tokenOf(group);
      if (token !== null) {
        if (this.held.get(group)?.token !== token)
          this.held.set(group, { token, ms: nowMs });
        if (nowMs - askedMs > UNWANTED_MS) this.ownership.giveUp(group);
        continue;
      }
      this.held.delete(group);
      if (nowMs - askedMs > UNWANTED_MS) this.wanted.delete(group);
      if (mirror.groups.has(group) || this.ctx.readAgeMs() >= STALE_MS) {
        this.absent.delete(group);
        continue;
      }
      const changed = mirror.ownerChanged.get(group) ?? 0;
      let a = this.absent.get(group);
      if (!a || a.changed !== changed)
        this.absent.set(group, (a = { changed, ms: nowMs }));
      const n = groups.names.length;
      const rank =
        (groups.names.indexOf(settings.label) - turn(group, n) + n) % n;
      if (nowMs - a.ms > ABSENT_MS + rank * TURN_MS)
        this.ownership.takeUnowned(group);
    }
  }
}
