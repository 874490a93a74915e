/**
 * Unfinished tasks assigned to a partition that no settings name any more: nobody would ever start them. They are reassigned to a
 * partition that exists, once none of them can run. Owns which jobs are being reassigned.
 */
import {
  bytesOf,
  jobKey,
  partitionKey,
  writeJob,
} from "../../storage/records.js";
import type {
  Clock,
  Configuration,
  Context,
  MachineCatalog,
  StoreTransactions,
  StoreView,
} from "../context.js";
import { CallPriority } from "../effects.js";
import { reassignTasks } from "../jobs/job-partitioner.js";
import { capablePartitions } from "../jobs/partition-capacity.js";
import type { RangeSet } from "../jobs/range-set.js";
import type { JobSpec } from "../model.js";
import { maxTasksPerZone } from "../scheduling/placement.js";
import { isSpreadOverPartitions } from "../scheduling/spread-gangs.js";
import type { JobView } from "../store/job-view.js";
import type { LeaderlessPartitions } from "./leaderless-partitions.js";

/** Between two searches for such tasks: each reads all jobs. */
const CHECK_INTERVAL_MS = 5_000;

/** The tasks of a job in one partition that no settings name, and the token to act under there. */
interface OrphanedPart {
  partition: string;
  tasks: RangeSet;
  token: number;
}

/** A job's record with its orphaned tasks in another partition. */
interface Reassignment {
  to: string;
  tasks: RangeSet;
  value: object;
}

/**
 * Invariant (ran_twice): the partition has been this controller's for longer than a worker lease, so that nothing of it runs
 * (`LeaderlessPartitions`). The transaction is conditional on that token and on the job's record.
 */
export class OrphanedTasks {
  private lastCheckMs = 0;
  private readonly reassigning = new Set<string>();

  constructor(
    private readonly ctx: Clock &
      Configuration &
      MachineCatalog &
      StoreView &
      StoreTransactions &
      Pick<Context, "log">,
    private readonly leaderlessPartitions: Pick<LeaderlessPartitions, "token">,
    /** How a job would be assigned now, by partition; null: it cannot be decided yet. */
    private readonly partitionJob: (
      spec: JobSpec,
    ) => Map<string, RangeSet> | null,
  ) {}

  /** Only called by a controller that leads a partition. */
  tick(): void {
    const { nowMs } = this.ctx;
    if (nowMs - this.lastCheckMs < CHECK_INTERVAL_MS) return;
    this.lastCheckMs = nowMs;
    for (const job of this.ctx.cache.jobs.values()) this.check(job);
  }

  private check(job: JobView): void {
    const { names } = this.ctx.partitions;
    for (const [partition, tasks] of job.assignment) {
      if (tasks.isEmpty || names.includes(partition)) continue;
      const token = this.leaderlessPartitions.token(partition);
      if (token !== null) this.reassign(job, { partition, tasks, token });
    }
  }

  private reassign(job: JobView, part: OrphanedPart): void {
    if (this.reassigning.has(job.id)) return;
    const reassignment = this.plan(job, part);
    if (!reassignment) return;
    const { to, tasks, value } = reassignment;
    if (bytesOf(value) > this.ctx.settings.state.valueBytes) return;
    this.reassigning.add(job.id);
    this.ctx.log("reassigning tasks of removed partition", {
      job: job.id,
      tasks: tasks.size,
      from: part.partition,
      to,
    });
    this.ctx.commit(
      [
        { key: partitionKey(part.partition), version: part.token },
        { key: jobKey(job.id), version: job.revision },
      ],
      [{ op: "put", key: jobKey(job.id), value }],
      CallPriority.Background,
      () => this.reassigning.delete(job.id),
    );
  }

  private plan(job: JobView, part: OrphanedPart): Reassignment | null {
    const tasks = part.tasks.clone();
    const completed = this.ctx.cache
      .finishedByPartition(job.id)
      .get(part.partition);
    if (completed) tasks.removeAll(completed);
    const newAssignment = this.partitionJob(job.spec);
    if (!newAssignment) return null;
    const to = isSpreadGang(job)
      ? this.partitionForGangPart(job, tasks.size, newAssignment)
      : largestPartition(newAssignment);
    if (to === undefined) return null;
    const assignment = reassignTasks(job.assignment, part.partition, tasks, to);
    assignment.delete(part.partition);
    return { to, tasks, value: writeJob({ ...job, assignment }) };
  }

  /**
   * Where a part of a gang with `spread` goes, beside the parts that stay where they are and may run: to a partition whose zones may
   * hold it together with the part that is there. Those that such a gang would be assigned to now come first, then those that have
   * a part. Invariant (ran_twice): the parts start under a new attempt, which all of them announce first (`nextGangStep`); records of
   * former attempts are conditional on the revision of the job that this replaces.
   */
  private partitionForGangPart(
    { spec, assignment }: JobView,
    taskCount: number,
    newAssignment: ReadonlyMap<string, RangeSet>,
  ): string | undefined {
    const zonesByPartition = new Map(
      capablePartitions(spec, this.ctx.catalog ?? [], this.ctx.partitions).map(
        ({ partition, zones }) => [partition, zones.length],
      ),
    );
    const holdsPart = (partition: string): boolean => {
      const zones = zonesByPartition.get(partition) ?? 0;
      const present = assignment.get(partition)?.size ?? 0;
      return present + taskCount <= zones * maxTasksPerZone(spec);
    };
    return [
      ...newAssignment.keys(),
      ...assignment.keys(),
      ...zonesByPartition.keys(),
    ].find(holdsPart);
  }
}

/** A gang whose tasks lie in several partitions, which start under one attempt. */
function isSpreadGang({ spec, assignment }: JobView): boolean {
  return isSpreadOverPartitions(spec, assignment.size);
}

/** The partition with the most tasks, the first by name if several have as many. */
function largestPartition(
  assignment: ReadonlyMap<string, RangeSet>,
): string | undefined {
  const bySize = [...assignment].sort(
    ([firstName, first], [secondName, second]) =>
      second.size - first.size || (firstName < secondName ? -1 : 1),
  );
  return bySize[0]?.[0];
}
