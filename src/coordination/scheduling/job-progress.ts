/** The progress of a job across all partitions. Owns no state. */
import type { StoreView } from "../context.js";
import type { JobRun } from "../machines/worker-state.js";

/** Whether any task of the job is on a machine or finished, in any partition. */
export function hasBegun({ cache }: StoreView, job: JobRun): boolean {
  if (
    job.active.size > 0 ||
    job.finished.size > 0 ||
    cache.finishedCount(job.id) > 0
  )
    return true;
  for (const { running } of cache.capacities.values())
    if ((running.get(job.id) ?? 0) > 0) return true;
  return false;
}
