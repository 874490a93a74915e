import type { ResourceUse } from "../machines/resource-ledger.js";
import { fitWithinLimit, startsWhole } from "./placement.js";
import { backlogKindOf } from "../jobs/job-partitioner.js";
import type { JobRun } from "../machines/worker-state.js";

/** Waiting tasks, by the kind of machine that they need. */
export interface Backlog {
  plain: number;
  accelerated: number;
}

/** No team has a limit to keep within. */
const NO_LIMITS: ReadonlyMap<string, ResourceUse> = new Map();

/**
 * Tasks that wait for machines; without `headroom`, all tasks that wait. Those that only their team's limit keeps from starting wait for none: counted, they kept
 * a group with idle machines from taking tasks of any other team.
 */
export function backlogOf(
  jobs: Iterable<JobRun>,
  headroom = NO_LIMITS,
): Backlog {
  const left = new Map<string, ResourceUse>();
  for (const [team, use] of headroom) left.set(team, { ...use });
  const backlog: Backlog = { plain: 0, accelerated: 0 };
  for (const job of jobs) {
    const tasks = startable(job, left.get(job.view.spec.team));
    backlog[backlogKindOf(job.view.spec)] += tasks;
  }
  return backlog;
}

/** Waiting tasks of a job that the rest of its team's limit allows, which they then take. */
function startable(job: JobRun, left: ResourceUse | undefined): number {
  const { spec } = job.view;
  const waiting = job.waiting.size;
  if (!left || waiting === 0) return waiting;
  const allowed = Math.max(0, fitWithinLimit(spec, left));
  if (startsWhole(spec) && allowed < waiting) return 0;
  const tasks = Math.min(waiting, allowed);
  left.cpus -= tasks * spec.cpus;
  left.gpus -= tasks * spec.gpus;
  return tasks;
}
