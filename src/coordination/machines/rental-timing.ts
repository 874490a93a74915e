/**
 * Times that decide whether a machine is worth renting: how long until a job's deadline, until nothing is expected of it any
 * more, and until a machine asked for now could run a task. Owns no state.
 */
import type { Context } from "../context.js";
import type { EffectivePriority, JobSpec } from "../model.js";
import { canRunOn } from "../scheduling/placement.js";

/** Estimates and boot times are often this much too short. */
export const ESTIMATE_FACTOR = 1.4;

/** Seconds until the job's own deadline, not that of jobs which depend on it: those make it no cheaper to be late. */
export function timeToDeadlineS(
  context: Context,
  spec: JobSpec,
  priority: EffectivePriority | null,
): number {
  if (spec.deadlineS === null || !priority) return Infinity;
  return (priority.dueAt - context.wallMs) / 1000;
}

/** Seconds until a machine that is asked for now runs a task: its boot, as slow as most are, and fetching the image. */
export function timeToReadyS(context: Context, spec: JobSpec): number {
  let readyS = Infinity;
  for (const machineType of context.catalog ?? [])
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
 * Seconds until nothing is expected of the job any more: beside its own deadline, its class may have a time by which most
 * jobs are to be done. By the deadline alone, late jobs waited for spot machines that were sold out
 * (docs/incidents/claimdesk-fleet-late-jobs.md).
 */
function timeToLastObjectiveS(
  context: Context,
  spec: JobSpec,
  priority: EffectivePriority | null,
): number {
  let remainingS = timeToDeadlineS(context, spec, priority);
  for (const objective of context.settings.objectives)
    if (
      priority &&
      objective.kind === "finished" &&
      objective.class === spec.jobClass &&
      objective.withinS !== undefined
    )
      remainingS = Math.max(
        remainingS,
        (priority.readyAt - context.wallMs) / 1000 + objective.withinS,
      );
  return remainingS;
}

/**
 * Whether only spot machines are worth renting for the job: it can still wait for one and be in time on an ordinary machine,
 * or it is too late for all that is expected of it, and an ordinary machine would save nothing.
 */
export function isOnlySpotWorthwhile(
  context: Context,
  spec: JobSpec,
  priority: EffectivePriority | null,
): boolean {
  if (!spec.spot) return false;
  const readyS = timeToReadyS(context, spec);
  const canWaitForSpot =
    priority !== null &&
    spec.deadlineS !== null &&
    context.wallMs - priority.readyAt <
      (priority.dueAt - priority.readyAt) * context.tuning.cheapPatience &&
    timeToDeadlineS(context, spec, priority) >
      readyS + spec.estimateS * ESTIMATE_FACTOR;
  const isTooLate =
    timeToLastObjectiveS(context, spec, priority) < readyS + spec.estimateS / 2;
  return canWaitForSpot || isTooLate;
}
