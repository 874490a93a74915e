/**
 * Counts the waiting tasks of a partition. Owns no state.
 */
import type { ResourceUse } from "../machines/resource-ledger.js";
import { fitWithinLimit, staysUndivided } from "./placement.js";
import { backlogKindOf } from "../jobs/partition-capacity.js";
import type { JobRun } from "../machines/worker-state.js";

/** Waiting tasks, by the kind of machine that they need. */
export interface Backlog {
  plain: number;
  accelerated: number;
}

/** No entries, so that no team is limited. */
const NO_LIMITS: ReadonlyMap<string, ResourceUse> = new Map();

/**
 * Counts the tasks that wait for machines. Tasks that only their team's limit keeps from starting are left out, because
 * counting them kept a partition with idle machines from taking tasks of other teams. Without `headroom`, all waiting
 * tasks are counted.
 */
export function backlogOf(
  jobs: Iterable<JobRun>,
  headroom = NO_LIMITS,
): Backlog {
  const headroomLeft = new Map<string, ResourceUse>();
  for (const [team, use] of headroom) headroomLeft.set(team, { ...use });
  const backlog: Backlog = { plain: 0, accelerated: 0 };
  for (const job of jobs) {
    const tasks = takeStartable(job, headroomLeft.get(job.view.spec.team));
    backlog[backlogKindOf(job.view.spec)] += tasks;
  }
  return backlog;
}

/** Returns how many waiting tasks of a job its team's headroom allows, and deducts them from the headroom. */
function takeStartable(job: JobRun, headroom: ResourceUse | undefined): number {
  const { spec } = job.view;
  const waiting = job.waiting.size;
  if (!headroom || waiting === 0) return waiting;
  const allowed = Math.max(0, fitWithinLimit(spec, headroom));
  if (staysUndivided(spec) && allowed < waiting) return 0;
  const tasks = Math.min(waiting, allowed);
  headroom.cpus -= tasks * spec.cpus;
  headroom.gpus -= tasks * spec.gpus;
  return tasks;
}
