import { createHash } from "node:crypto";
import type { Settings } from "../../config/settings.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import { observedLimitsKey } from "../../storage/records.js";

/** Of a hash over the limits in the settings: two that differ practically never agree in so many hexadecimal digits. */
const HASH_DIGITS = 16;

/** All teams' limits as one short word: controllers with the same limits in their settings have the same. */
function limitsHash(teams: Settings["teams"]): string {
  const all = [...teams.values()]
    .map((t) => [
      t.name,
      t.cpusMax === Infinity ? 0 : t.cpusMax,
      t.gpusMax === Infinity ? 0 : t.gpusMax,
    ])
    .sort((a, b) => (a[0]! < b[0]! ? -1 : 1));
  return createHash("sha256")
    .update(JSON.stringify(all))
    .digest("hex")
    .slice(0, HASH_DIGITS);
}

/**
 * Which limits this controller goes by, told under its hold, so that it ends with it. A limit is raised only when every
 * live controller goes by the raised one: the smallest that anybody believes in holds. Lowering waits for nobody.
 */
export class ObservedLimits {
  private readonly ownLimits: string;
  private publishedUnder: number | null = null;
  private publishing = false;

  constructor(private readonly ctx: Context) {
    this.ownLimits = limitsHash(ctx.settings.teams);
  }

  /** Whoever owns a group and says nothing is an earlier version, or has not come to say it yet. */
  areAgreed(): boolean {
    const { observedLimits, partitions } = this.ctx.cache;
    for (const b of observedLimits.values())
      if (b !== this.ownLimits) return false;
    for (const g of partitions.values())
      if (observedLimits.get(g.owner) !== this.ownLimits) return false;
    return observedLimits.get(this.ctx.settings.label) === this.ownLimits;
  }

  tick(hold: number | null): void {
    const { cache } = this.ctx;
    if (
      hold === null ||
      !cache.ready ||
      this.publishing ||
      this.publishedUnder === hold
    )
      return;
    const key = observedLimitsKey(this.ctx.settings.label);
    this.publishing = true;
    // Invariant (quota): a former life of this controller may have sent its own, under other settings and a hold that is still
    // there. Carried out late, it would have others raise a limit that this one goes below.
    this.ctx.commit(
      [{ key, version: cache.latestRevisionOf(key) }],
      [{ op: "put", key, value: { limits: this.ownLimits }, hold }],
      CallPriority.Leader,
      (end) => {
        this.publishing = false;
        if (end === "ok") this.publishedUnder = hold;
      },
    );
  }
}
