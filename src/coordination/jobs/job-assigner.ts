/**
 * Assigns the tasks of a job to partitions by their current capacity. Owns no state: pending assignments are kept by the
 * partition's leader if it runs on this controller, otherwise by the context.
 */
import type { CapacityRecord } from "../../storage/records.js";
import type { Context } from "../context.js";
import type { JobSpec } from "../model.js";
import type { PartitionLeader } from "../scheduling/partition-leader.js";
import { isShort } from "../scheduling/scheduling-round.js";
import { partitionJob } from "./job-partitioner.js";
import {
  capablePartitions,
  type PendingAssignment,
} from "./partition-capacity.js";
import type { RangeSet } from "./range-set.js";

/** Tasks of a job by partition. */
export type JobAssignment = Map<string, RangeSet>;

export class JobAssigner {
  constructor(
    private readonly ctx: Context,
    private readonly leaders: ReadonlyMap<string, PartitionLeader>,
  ) {}

  /**
   * Assigns a job's tasks to the partitions that can run them and notes them there as pending. Returns null if the catalog is
   * not known yet or no partition can run the job.
   */
  assign(spec: JobSpec): JobAssignment | null {
    const { catalog, partitions, tuning } = this.ctx;
    if (!catalog) return null;
    const capable = capablePartitions(spec, catalog, partitions);
    if (capable.length === 0) return null;
    const { capacities, pending } = this.latestCapacities();
    const assignment = partitionJob(
      spec,
      capable,
      capacities,
      catalog,
      isShort(spec, tuning),
      pending,
    );
    this.notePending(spec, assignment);
    return assignment;
  }

  /** Capacity and pending assignments of each partition: as counted by its leader if that runs here, else from its latest record. */
  private latestCapacities(): {
    capacities: Map<string, CapacityRecord>;
    pending: Map<string, readonly PendingAssignment[]>;
  } {
    const capacities = new Map(this.ctx.cache.capacities);
    const pending = new Map(this.ctx.pendingAssignments);
    for (const [partition, leader] of this.leaders) {
      const recent = leader.capacityReport.recent();
      capacities.set(partition, recent.capacity);
      pending.set(partition, recent.pendingAssignments);
    }
    return { capacities, pending };
  }

  private notePending(
    spec: JobSpec,
    assignment: ReadonlyMap<string, RangeSet>,
  ): void {
    for (const [partition, tasks] of assignment) {
      const leader = this.leaders.get(partition);
      if (leader) leader.capacityReport.notePendingAssignment(spec, tasks.size);
      else this.ctx.notePendingAssignment(partition, spec, tasks.size);
    }
  }
}
