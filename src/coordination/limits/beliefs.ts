import { createHash } from "node:crypto";
import type { Settings } from "../../config/settings.js";
import type { Context } from "../context.js";
import { Urgent } from "../effects.js";
import { beliefKey } from "../../storage/records.js";

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
export class Beliefs {
  private readonly mine: string;
  private toldUnder: number | null = null;
  private telling = false;

  constructor(private readonly ctx: Context) {
    this.mine = limitsHash(ctx.settings.teams);
  }

  /** Whoever owns a group and says nothing is an earlier version, or has not come to say it yet. */
  agreed(): boolean {
    const { beliefs, groups } = this.ctx.mirror;
    for (const b of beliefs.values()) if (b !== this.mine) return false;
    for (const g of groups.values())
      if (beliefs.get(g.owner) !== this.mine) return false;
    return beliefs.get(this.ctx.settings.label) === this.mine;
  }

  tick(hold: number | null): void {
    const { mirror } = this.ctx;
    if (
      hold === null ||
      !mirror.ready ||
      this.telling ||
      this.toldUnder === hold
    )
      return;
    const key = beliefKey(this.ctx.settings.label);
    this.telling = true;
    // Invariant (quota): a former life of this controller may have sent its own, under other settings and a hold that is still
    // there. Carried out late, it would have others raise a limit that this one goes below.
    this.ctx.commit(
      [{ key, version: mirror.revisionOf(key) }],
      [{ op: "put", key, value: { limits: this.mine }, hold }],
      Urgent.Master,
      (end) => {
        this.telling = false;
        if (end === "ok") this.toldUnder = hold;
      },
    );
  }
}
