/**
 * Unfinished tasks assigned to a partition that is no longer in the settings. No leader would ever start them, so they are reassigned to
 * an existing partition once none of them can be running. Owns which jobs are being reassigned.
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

/** Interval between two searches for such tasks, each of which reads all jobs. */
const CHECK_INTERVAL_MS = 5_000;

/** The tasks of a job in a partition that is not in the settings, and the token to act under for that partition. */
interface OrphanedPart {
  partition: string;
  tasks: RangeSet;
  token: number;
}

/** A job's new record, with its orphaned tasks assigned to another partition. */
interface Reassignment {
  to: string;
  tasks: RangeSet;
  value: object;
}

/**
 * Reassigns orphaned tasks.
 *
 * Invariant (ran_twice): this controller has owned the removed partition for longer than a worker lease, so none of its tasks is running
 * (`LeaderlessPartitions`). The transaction is conditional on the token of that ownership and on the job's record.
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
    private readonly leaderlessPartitions: Pick<
      LeaderlessPartitions,
      "requestToken"
    >,
    /** The tasks that each partition would get if the job were assigned now; null if that cannot be decided yet. */
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
      const token = this.leaderlessPartitions.requestToken(partition);
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
   * The partition for a part of a gang with `spread`, whose other parts stay where they are and may be running: one whose zones can hold
   * this part in addition to the part already there. Partitions that the gang would be assigned to now are preferred, then those that
   * have a part of it. Invariant (ran_twice): the parts start under a new attempt, for which each of them must first report ready
   * (`nextGangStep`). Records of earlier attempts are conditional on the revision of the job that this transaction replaces.
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
    const fitsPart = (partition: string): boolean => {
      const zones = zonesByPartition.get(partition) ?? 0;
      const assignedTasks = assignment.get(partition)?.size ?? 0;
      return assignedTasks + taskCount <= zones * maxTasksPerZone(spec);
    };
    return [
      ...newAssignment.keys(),
      ...assignment.keys(),
      ...zonesByPartition.keys(),
    ].find(fitsPart);
  }
}

/** Whether the job is a gang with tasks in several partitions, which must start under one attempt. */
function isSpreadGang({ spec, assignment }: JobView): boolean {
  return isSpreadOverPartitions(spec, assignment.size);
}

/** The partition with the most tasks; the first by name if there are several. */
function largestPartition(
  assignment: ReadonlyMap<string, RangeSet>,
): string | undefined {
  const bySize = [...assignment].sort(
    ([firstName, first], [secondName, second]) =>
      second.size - first.size || (firstName < secondName ? -1 : 1),
  );
  return bySize[0]?.[0];
}
