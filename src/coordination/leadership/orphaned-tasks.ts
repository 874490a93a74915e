import {
  bytesOf,
  partitionKey,
  jobKey,
  writeJob,
} from "../../storage/records.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import type { JobView } from "../store/job-view.js";
import type { JobSpec } from "../model.js";
import type { RangeSet } from "../jobs/range-set.js";
import { reassigned } from "../jobs/job-partitioner.js";
import type { LeaderlessPartitions } from "./leaderless-partitions.js";

const CHECK_INTERVAL_MS = 5_000;

/**
 * Parts of jobs in splits that name a group which no settings name any more: nobody would ever start them. They go to a group
 * that there is, once nothing of them can run.
 *
 * Invariant (ran_twice): the group has been this controller's for longer than a lease, so that nothing of it runs (`UnownedGroups`). The
 * commit is conditional on that token and on the job's record.
 */
export class OrphanedTasks {
  private checkedMs = 0;
  private readonly busy = new Set<string>();

  constructor(
    private readonly ctx: Context,
    private readonly leaderlessPartitions: Pick<LeaderlessPartitions, "token">,
    private readonly partitionJob: (
      spec: JobSpec,
    ) => Map<string, RangeSet> | null,
  ) {}

  /** Only called by a controller that has a group. */
  tick(): void {
    const now = this.ctx.nowMs;
    if (now - this.checkedMs < CHECK_INTERVAL_MS) return;
    this.checkedMs = now;
    const { names } = this.ctx.partitions;
    for (const job of this.ctx.cache.jobs.values())
      for (const [partition, part] of job.assignment) {
        if (part.isEmpty || names.includes(partition)) continue;
        const token = this.leaderlessPartitions.token(partition);
        if (token !== null) this.move(job, partition, part, token);
      }
  }

  private move(
    job: JobView,
    partition: string,
    part: RangeSet,
    token: number,
  ): void {
    if (this.busy.has(job.id)) return;
    const rest = part.clone();
    const done = this.ctx.cache.finished(job.id).get(partition);
    if (done) rest.removeAll(done);
    const split = this.partitionJob(job.spec);
    // A gang whose parts lie in several groups starts under one attempt that all have called: it is left alone.
    if (
      !split ||
      (job.spec.kind === "gang" && job.spec.spread && job.assignment.size > 1)
    )
      return;
    const to = [...split].sort(
      ([a, x], [b, y]) => y.size - x.size || (a < b ? -1 : 1),
    )[0]?.[0];
    if (to === undefined) return;
    const next = reassigned(job.assignment, partition, rest, to);
    next.delete(partition);
    const value = writeJob({ ...job, assignment: next });
    if (bytesOf(value) > this.ctx.settings.state.valueBytes) return;
    this.busy.add(job.id);
    this.ctx.log("reassigning tasks of removed partition", {
      job: job.id,
      tasks: rest.size,
      from: partition,
      to,
    });
    this.ctx.commit(
      [
        { key: partitionKey(partition), version: token },
        { key: jobKey(job.id), version: job.revision },
      ],
      [{ op: "put", key: jobKey(job.id), value }],
      CallPriority.Background,
      () => this.busy.delete(job.id),
    );
  }
}
