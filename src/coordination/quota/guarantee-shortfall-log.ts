import type { Context } from "../context.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import { NO_USE } from "../machines/resource-ledger.js";
import type { JobSpec } from "../model.js";
import { EPSILON } from "../scheduling/placement.js";
import { type Guarantees, guaranteeOf } from "./guarantees.js";
import type { GuaranteeReclaims } from "./guarantee-reclaims.js";
import type { QuotaAllocator } from "./quota-allocator.js";

/** Work within a guarantee that waits for longer than this is spoken of, and no more often than that for each team. */
const LOG_AFTER_MS = 10_000;
const LOG_INTERVAL_MS = 30_000;

/** Tells operators which guarantees are not met in this group, and why. */
export class GuaranteeShortfallLog {
  private readonly loggedMs = new Map<string, number>();
  private nextMs = -Infinity;

  constructor(
    private readonly ctx: Context,
    private readonly own: PartitionState,
    private readonly sharing: QuotaAllocator,
    private readonly guarantees: Guarantees,
    private readonly reclaims: GuaranteeReclaims,
    /** Nothing that such a job could use is on its way or to be had. */
    private readonly exhausted: (spec: JobSpec) => boolean,
  ) {}

  tick(): void {
    if (this.ctx.nowMs < this.nextMs) return;
    this.nextMs = this.ctx.nowMs + LOG_AFTER_MS / 2;
    const used = this.own.usage();
    const looked = new Set<string>();
    for (const j of this.own.jobs.values()) {
      const { spec, readyAt } = j.view;
      if (
        looked.has(spec.team) ||
        !this.own.mayStart(j) ||
        this.ctx.wallMs - readyAt < LOG_AFTER_MS
      )
        continue;
      const team = this.ctx.settings.teams.get(spec.team);
      if (
        !team ||
        !guaranteeOf(team) ||
        this.ctx.nowMs - (this.loggedMs.get(spec.team) ?? -Infinity) <
          LOG_INTERVAL_MS
      )
        continue;
      const own = used.get(spec.team) ?? NO_USE;
      const lacks = this.guarantees.headroom(spec.team, own);
      const n = spec.kind === "gang" ? spec.tasks : 1;
      if (
        !lacks ||
        spec.cpus * n > lacks[0] + EPSILON ||
        spec.gpus * n > lacks[1] + EPSILON
      )
        continue;
      looked.add(spec.team);
      this.loggedMs.set(spec.team, this.ctx.nowMs);
      const share = this.sharing.share(spec.team);
      const givers = [...this.ctx.settings.teams.keys()].filter(
        (t) =>
          t !== spec.team &&
          this.reclaims.reclaimableFrom(t).some((x) => x > EPSILON),
      );
      const why =
        own.cpus + spec.cpus * n > share[0] + EPSILON ||
        own.gpus + spec.gpus * n > share[1] + EPSILON
          ? "the part of its limit that it needs is not here yet"
          : !this.exhausted(spec)
            ? "machines are on their way or to be rented"
            : givers.length > 0
              ? "others are beyond theirs and are being stopped, or what they run here makes no room for it"
              : "nothing more is to be rented and nobody is beyond a guarantee";
      this.ctx.log("guarantee not met", {
        team: spec.team,
        partition: this.own.partition,
        job: spec.id,
        waitingS: Math.round((this.ctx.wallMs - readyAt) / 1000),
        missingCpus: Number.isFinite(lacks[0]) ? Math.round(lacks[0]) : null,
        reason: why,
      });
    }
  }
}
