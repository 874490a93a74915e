/**
 * Times that decide whether a machine is worth renting for a job: until the job's deadline, until its last objective can't be met
 * any more, and until a machine requested now could run a task. Owns no state.
 */
import type { Context } from "../context.js";
import type { EffectivePriority, JobSpec } from "../model.js";
import { canRunOn } from "../scheduling/placement.js";

/** Actual run and boot times are often longer than estimated by about this factor. */
export const ESTIMATE_FACTOR = 1.4;

/**
 * Seconds until the job is due; Infinity for a job without a deadline of its own. If only jobs that depend on it have deadlines,
 * it never counts as too late to be worth an on-demand machine.
 */
export function timeToDeadlineS(
  ctx: Context,
  spec: JobSpec,
  priority: EffectivePriority | null,
): number {
  if (spec.deadlineS === null || !priority) return Infinity;
  return (priority.dueAt - ctx.wallMs) / 1000;
}

/**
 * Seconds until a machine requested now could run a task: a boot that is as slow as most are, and fetching the image. The fastest
 * suitable machine type counts; 0 if there is none.
 */
export function timeToReadyS(ctx: Context, spec: JobSpec): number {
  let readyS = Infinity;
  for (const machineType of ctx.catalog ?? [])
    if (machineType.zones.some((zone) => canRunOn(spec, machineType, zone))) {
      const fetchS =
        machineType.fetchGbPerS > 0
          ? spec.imageGb / machineType.fetchGbPerS
          : 0;
      readyS = Math.min(readyS, machineType.bootS * ESTIMATE_FACTOR + fetchS);
    }
  return Number.isFinite(readyS) ? readyS : 0;
}

/**
 * Seconds until the last of the job's objectives: its own deadline, or the time within which jobs of its class should be finished.
 * When only the deadline counted, late jobs waited for spot machines that were sold out
 * (docs/incidents/claimdesk-fleet-late-jobs.md).
 */
function timeToLastObjectiveS(
  ctx: Context,
  spec: JobSpec,
  priority: EffectivePriority | null,
): number {
  let remainingS = timeToDeadlineS(ctx, spec, priority);
  for (const objective of ctx.settings.objectives)
    if (
      priority &&
      objective.kind === "finished" &&
      objective.class === spec.jobClass &&
      objective.withinS !== undefined
    )
      remainingS = Math.max(
        remainingS,
        (priority.readyAt - ctx.wallMs) / 1000 + objective.withinS,
      );
  return remainingS;
}

/**
 * Whether only spot machines are worth renting for the job. Either it can wait for one and would still meet its deadline on an
 * on-demand machine, or it is too late for all its objectives, so that an on-demand machine would gain nothing.
 */
export function isOnlySpotWorthwhile(
  ctx: Context,
  spec: JobSpec,
  priority: EffectivePriority | null,
): boolean {
  if (!spec.spot) return false;
  const readyS = timeToReadyS(ctx, spec);
  const canWaitForSpot =
    priority !== null &&
    spec.deadlineS !== null &&
    ctx.wallMs - priority.readyAt <
      (priority.dueAt - priority.readyAt) * ctx.tuning.cheapPatience &&
    timeToDeadlineS(ctx, spec, priority) >
      readyS + spec.estimateS * ESTIMATE_FACTOR;
  const isTooLate =
    timeToLastObjectiveS(ctx, spec, priority) < readyS + spec.estimateS / 2;
  return canWaitForSpot || isTooLate;
}
