/** A live job as the store cache shows it to the core. */
import type { JobRecord } from "../../storage/records.js";
import type { EffectivePriority, JobSpec } from "../model.js";
import type { RangeSet } from "../jobs/range-set.js";

/** There is one object for each live job, which the cache updates in place. */
export interface JobView extends EffectivePriority {
  id: string;
  spec: JobSpec;
  /** Tasks by the partition that runs them; empty while the job waits for dependencies. */
  assignment: Map<string, RangeSet>;
  /** Dependencies listed in its record; empty once it may start. */
  dependsOn: readonly string[];
  /** Time of day (ms) at which its dependencies were found done; null if it never had any or still waits for them. */
  releasedAt: number | null;
  /** Store revision of the last change of its record. */
  revision: number;
}

/** A job's own deadline as time of day (ms); Infinity if it has none. */
export const ownDueAt = (spec: JobSpec, acceptedAt: number): number =>
  spec.deadlineS === null ? Infinity : acceptedAt + spec.deadlineS * 1000;

/** Creates the view of a job whose record is read for the first time. */
export function newJobView(
  id: string,
  record: JobRecord,
  revision: number,
): JobView {
  const { spec, ...rest } = record;
  return {
    id,
    spec,
    ...rest,
    readyAt: record.releasedAt ?? record.acceptedAt,
    priority: spec.priority,
    dueAt: ownDueAt(spec, record.acceptedAt),
    revision,
  };
}

/** Updates a view from a newer record of the same job; the spec of a job never changes. */
export function updateJobView(
  job: JobView,
  record: JobRecord,
  revision: number,
): void {
  job.assignment = record.assignment;
  job.dependsOn = record.dependsOn;
  // An earlier version of the software omits `releasedAt` when it moves tasks.
  job.releasedAt = record.releasedAt ?? job.releasedAt;
  job.readyAt = job.releasedAt ?? job.acceptedAt;
  job.revision = revision;
}
