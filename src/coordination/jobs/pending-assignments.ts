/** Tasks assigned to partitions since they last wrote their capacity records; later assignments take them into account. */
import type { JobSpec } from "../model.js";
import type { PendingAssignment } from "./partition-capacity.js";

/**
 * Assignments kept for each partition; the oldest is dropped first. Each assignment is one commit, so their rate is bounded by
 * the state service's rate of changes, whatever the number of machines. The bound also limits the work of an assignment, which
 * reads all of them.
 */
const MAX_PENDING_ASSIGNMENTS = 1_000;

/** Keeps the latest assignments to each partition. */
export class PendingAssignments {
  private readonly assignments = new Map<string, PendingAssignment[]>();

  /** Each partition's assignments, oldest first. */
  get byPartition(): ReadonlyMap<string, readonly PendingAssignment[]> {
    return this.assignments;
  }

  /** Records that tasks of a job were assigned to the partition. */
  note(partition: string, spec: JobSpec, tasks: number): void {
    let pending = this.assignments.get(partition);
    if (!pending) this.assignments.set(partition, (pending = []));
    pending.push({ spec, tasks });
    if (pending.length > MAX_PENDING_ASSIGNMENTS) pending.shift();
  }

  /** Drops a partition's assignments once it has written its capacity record. */
  forget(partition: string): void {
    this.assignments.delete(partition);
  }
}
