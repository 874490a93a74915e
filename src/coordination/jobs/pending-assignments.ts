/** Tasks assigned to partitions since these last wrote their capacity records: other assignments take them into account. */
import type { JobSpec } from "../model.js";
import type { PendingAssignment } from "./partition-capacity.js";

/**
 * Latest jobs assigned to a partition since it wrote its capacity that are remembered; the oldest is forgotten. Each was a commit, so
 * there are as many a second as the state service takes changes, however many machines there are; each assignment reads them all.
 */
const MAX_PENDING_ASSIGNMENTS = 1_000;

/** Remembers assignments by partition, the latest of each. */
export class PendingAssignments {
  private readonly assignments = new Map<string, PendingAssignment[]>();

  /** Each partition's assignments, oldest first. */
  get byPartition(): ReadonlyMap<string, readonly PendingAssignment[]> {
    return this.assignments;
  }

  /** Tasks of a job were assigned to the partition. */
  note(partition: string, spec: JobSpec, tasks: number): void {
    let pending = this.assignments.get(partition);
    if (!pending) this.assignments.set(partition, (pending = []));
    pending.push({ spec, tasks });
    if (pending.length > MAX_PENDING_ASSIGNMENTS) pending.shift();
  }

  /** The partition has written its capacity record. */
  forget(partition: string): void {
    this.assignments.delete(partition);
  }
}
