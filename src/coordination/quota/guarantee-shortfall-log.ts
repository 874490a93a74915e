import type { Context } from "../context.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import { NO_USE } from "../machines/resource-ledger.js";
import type { JobSpec } from "../model.js";
import { EPSILON } from "../scheduling/placement.js";
import { type Guarantees, guaranteeOf } from "./guarantees.js";
import type { GuaranteeReclaims } from "./guarantee-reclaims.js";
import type { QuotaAllocator } from "./quota-allocator.js";

/** How long a job within its team's guarantee waits before this is logged. */
const LOG_AFTER_MS = 10_000;
/** Minimum interval between two log lines about the same team. */
const LOG_INTERVAL_MS = 30_000;

/** Logs which guarantees are not met in this partition, and why. */
export class GuaranteeShortfallLog {
  private readonly loggedMs = new Map<string, number>();
  private nextCheckMs = -Infinity;

  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    private readonly quota: QuotaAllocator,
    private readonly guarantees: Guarantees,
    private readonly reclaims: GuaranteeReclaims,
    /** Whether no machine that such a job could use is booting or can be rented. */
    private readonly isCapacityExhausted: (spec: JobSpec) => boolean,
  ) {}

  tick(): void {
    if (this.context.nowMs < this.nextCheckMs) return;
    this.nextCheckMs = this.context.nowMs + LOG_AFTER_MS / 2;
    const used = this.state.usage();
    const loggedTeams = new Set<string>();
    for (const job of this.state.jobs.values()) {
      const { spec, readyAt } = job.view;
      if (
        loggedTeams.has(spec.team) ||
        !this.state.mayStart(job) ||
        this.context.wallMs - readyAt < LOG_AFTER_MS
      )
        continue;
      const team = this.context.settings.teams.get(spec.team);
      if (
        !team ||
        !guaranteeOf(team) ||
        this.context.nowMs - (this.loggedMs.get(spec.team) ?? -Infinity) <
          LOG_INTERVAL_MS
      )
        continue;
      const use = used.get(spec.team) ?? NO_USE;
      const headroom = this.guarantees.headroom(spec.team, use);
      const taskCount = spec.kind === "gang" ? spec.tasks : 1;
      if (
        !headroom ||
        spec.cpus * taskCount > headroom[0] + EPSILON ||
        spec.gpus * taskCount > headroom[1] + EPSILON
      )
        continue;
      loggedTeams.add(spec.team);
      this.loggedMs.set(spec.team, this.context.nowMs);
      const share = this.quota.share(spec.team);
      const teamsBeyondGuarantee = [
        ...this.context.settings.teams.keys(),
      ].filter(
        (name) =>
          name !== spec.team &&
          this.reclaims
            .reclaimableFrom(name)
            .some((amount) => amount > EPSILON),
      );
      const reason =
        use.cpus + spec.cpus * taskCount > share[0] + EPSILON ||
        use.gpus + spec.gpus * taskCount > share[1] + EPSILON
          ? "waiting for quota from other partitions"
          : !this.isCapacityExhausted(spec)
            ? "waiting for machines that are booting or can be rented"
            : teamsBeyondGuarantee.length > 0
              ? "other teams exceed their guarantees: their tasks are being preempted, or preempting them here would not make room"
              : "no more machines can be rented and no other team exceeds its guarantee";
      this.context.log("guarantee not met", {
        team: spec.team,
        partition: this.state.partition,
        job: spec.id,
        waitingS: Math.round((this.context.wallMs - readyAt) / 1000),
        missingCpus: Number.isFinite(headroom[0])
          ? Math.round(headroom[0])
          : null,
        reason,
      });
    }
  }
}
