import type { Context } from "../context.js";
import type { GroupState } from "../group-state.js";
import { NO_USE } from "../ledger.js";
import type { JobSpec } from "../model.js";
import { EPS } from "../placement.js";
import { type Guarantees, guaranteeOf } from "./guarantees.js";
import type { Reclaims } from "./reclaims.js";
import type { Sharing } from "./sharing.js";

/** Work within a guarantee that waits for longer than this is spoken of, and no more often than that for each team. */
const AFTER_MS = 10_000;
const AGAIN_MS = 30_000;

/** Tells operators which guarantees are not met in this group, and why. */
export class Shortfall {
  private readonly toldMs = new Map<string, number>();
  private nextMs = -Infinity;

  constructor(
    private readonly ctx: Context,
    private readonly own: GroupState,
    private readonly sharing: Sharing,
    private readonly guarantees: Guarantees,
    private readonly reclaims: Reclaims,
    /** Nothing that such a job could use is on its way or to be had. */
    private readonly exhausted: (spec: JobSpec) => boolean,
  ) {}

  tick(): void {
    if (this.ctx.nowMs < this.nextMs) return;
    this.nextMs = this.ctx.nowMs + AFTER_MS / 2;
    const used = this.own.usage();
    const looked = new Set<string>();
    for (const j of this.own.jobs.values()) {
      const { spec, readyAt } = j.view;
      if (
        looked.has(spec.team) ||
        !this.own.mayStart(j) ||
        this.ctx.wallMs - readyAt < AFTER_MS
      )
        continue;
      const team = this.ctx.settings.teams.get(spec.team);
      if (
        !team ||
        !guaranteeOf(team) ||
        this.ctx.nowMs - (this.toldMs.get(spec.team) ?? -Infinity) < AGAIN_MS
      )
        continue;
      const own = used.get(spec.team) ?? NO_USE;
      const lacks = this.guarantees.lacks(spec.team, own);
      const n = spec.shape === "ensemble" ? spec.tasks : 1;
      if (
        !lacks ||
        spec.cpus * n > lacks[0] + EPS ||
        spec.gpus * n > lacks[1] + EPS
      )
        continue;
      looked.add(spec.team);
      this.toldMs.set(spec.team, this.ctx.nowMs);
      const share = this.sharing.share(spec.team);
      const givers = [...this.ctx.settings.teams.keys()].filter(
        (t) => t !== spec.team && this.reclaims.left(t).some((x) => x > EPS),
      );
      const why =
        own.cpus + spec.cpus * n > share[0] + EPS ||
        own.gpus + spec.gpus * n > share[1] + EPS
          ? "the part of its limit that it needs is not here yet"
          : !this.exhausted(spec)
            ? "machines are on their way or to be rented"
            : givers.length > 0
              ? "others are beyond theirs and are being stopped, or what they run here makes no room for it"
              : "nothing more is to be rented and nobody is beyond a guarantee";
      this.ctx.log("guarantee not met", {
        team: spec.team,
        partition: this.own.group,
        job: spec.id,
        waitingS: Math.round((this.ctx.wallMs - readyAt) / 1000),
        missingCpus: Number.isFinite(lacks[0]) ? Math.round(lacks[0]) : null,
        reason: why,
      });
    }
  }
}
