/** A live job as the store cache shows it to the core. */
import type { JobRecord } from "../../storage/records.js";
import type { EffectivePriority, JobSpec } from "../model.js";
import type { RangeSet } from "../jobs/range-set.js";

/** One object for the life of a job: the cache updates it in place. */
export interface JobView extends EffectivePriority {
  id: string;
  spec: JobSpec;
  /** Which partition runs which tasks; empty while the job waits for others. */
  assignment: Map<string, RangeSet>;
  /** Jobs that it waits for, as its record names them; empty once it may start. */
  dependsOn: readonly string[];
  /** Time of day (ms) when the last of them was found done; null: it never waited, or it still waits. */
  releasedAt: number | null;
  /** Store revision of the last change of its record. */
  revision: number;
}

/** A job's own deadline as time of day (ms); Infinity: it has none. */
export const ownDueAt = (spec: JobSpec, acceptedAt: number): number =>
  spec.deadlineS === null ? Infinity : acceptedAt + spec.deadlineS * 1000;

/** The view of a job whose record is seen for the first time. */
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

/** Takes over what a newer record of the same job says; the description of a job never changes. */
export function updateJobView(
  job: JobView,
  record: JobRecord,
  revision: number,
): void {
  job.assignment = record.assignment;
  job.dependsOn = record.dependsOn;
  // An earlier version that moves tasks leaves the time of release out.
  job.releasedAt = record.releasedAt ?? job.releasedAt;
  job.readyAt = job.releasedAt ?? job.acceptedAt;
  job.revision = revision;
}
