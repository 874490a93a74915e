/**
 * Records what is finished of jobs: ranges of tasks by partition, and the end of a job. Owns no state: progress is kept
 * in each `JobRun`.
 */
import {
  jobEndWrites,
  completionBlockOf,
  completionKey,
  tasksInBlock,
  jobKey,
  type FinalRecord,
  writeCompletion,
} from "../../storage/records.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { JobSpec } from "../model.js";
import type { JobRun } from "../machines/worker-state.js";

/** What a partition has finished of a job is written at most this often, until its tasks are complete. */
const COMPLETION_WRITE_INTERVAL_MS = 1_500;
/** A commit that failed is tried again after this time. */
const RETRY_MS = 300;
/** A job's end puts the final record and deletes the live one. */
const JOB_END_WRITES = 2;

/**
 * A job's final record. Invariant (hooks, nothing lost): it is all that hooks are sent from, so what they need of the job is
 * written in the very transaction that ends it, whichever way that is.
 */
export function finalRecordOf(
  ctx: Context,
  spec: JobSpec,
  status: FinalRecord["status"],
  done: number,
): FinalRecord {
  return {
    status,
    tasks: spec.tasks,
    done,
    ...(ctx.tuning.tellEnds
      ? {
          end: {
            team: spec.team,
            class: spec.jobClass,
            at: Math.round(ctx.wallMs),
          },
        }
      : {}),
  };
}

/** Records beside a job's own that go in the transaction which ends it: as many as fit beside the job's two writes. */
export function sideKeysToDelete(ctx: Context, id: string): string[] {
  const room = ctx.settings.state.txnOps - JOB_END_WRITES;
  return ctx.cache.sideKeys(id).slice(0, room);
}

/** Writes what a partition has finished: ranges of tasks, and the ends of jobs. */
export class JobCompletion {
  constructor(
    private readonly ctx: Context,
    private readonly partition: PartitionState,
  ) {}

  completeTask(job: JobRun, index: number): void {
    // A gang's tasks complete together: if one is done, all of them are.
    if (job.view.spec.kind === "gang") job.finished.addAll(job.assigned);
    else job.finished.add(index);
    job.waiting.removeAll(job.finished);
    this.writeProgress(job);
  }

  /** Writes what is finished: the job's end if nothing is left, else this partition's ranges. */
  writeProgress(job: JobRun): void {
    if (job.isOver || job.finished.isEmpty || job.view.spec.kind === "service")
      return;
    const all = this.ctx.cache.allFinished(job.id);
    all.addAll(job.finished);
    job.isComplete = all.size >= job.view.spec.tasks;
    if (job.isComplete) this.finalize(job);
    else if (job.writtenFinished.size < job.finished.size)
      this.writeCompletions(job);
  }

  /** Invariant (rules not_done, went_back): the end is one conditional commit, reported only after it. */
  private finalize(job: JobRun): void {
    if (job.isFinalizing || job.pendingTransfer) return;
    job.isFinalizing = true;
    const id = job.id;
    this.partition.commit(
      [{ key: jobKey(id), version: job.view.revision }],
      jobEndWrites(
        id,
        finalRecordOf(this.ctx, job.view.spec, "done", job.view.spec.tasks),
        sideKeysToDelete(this.ctx, id),
      ),
      CallPriority.Leader,
      (outcome) => {
        job.isFinalizing = false;
        if (outcome !== "ok") this.backOff(job);
      },
    );
  }

  private writeCompletions(job: JobRun): void {
    if (job.isWritingFinished) return;
    // Ranges are batched: with 5 changes a second, a write for each finished task kept users
    // waiting. What completes this partition's tasks goes at once, for another partition may be waiting for it to end the job.
    const isTooSoon =
      this.ctx.nowMs - job.lastFinishedWriteMs < COMPLETION_WRITE_INTERVAL_MS;
    if (isTooSoon && this.hasUnfinishedTasks(job)) return;
    const unwritten = job.finished.clone();
    unwritten.removeAll(job.writtenFinished);
    const first = unwritten.first();
    if (first === undefined) return;
    const block = completionBlockOf(first);
    const covered = tasksInBlock(job.finished, block);
    const key = completionKey(job.id, this.partition.partition, block);
    job.isWritingFinished = true;
    job.lastFinishedWriteMs = this.ctx.nowMs;
    this.partition.commit(
      // Without the job's record the ranges would be left behind by a job that is over. Invariant (a task that is done stays
      // done): a commit without an answer that is carried out after a later one would take what that added off the record.
      [
        { key: jobKey(job.id), version: job.view.revision },
        { key, version: this.ctx.cache.latestRevisionOf(key) },
      ],
      [{ op: "put", key, value: writeCompletion(covered) }],
      CallPriority.Leader,
      (outcome) => {
        job.isWritingFinished = false;
        if (outcome === "ok") job.writtenFinished.addAll(covered);
        else this.backOff(job);
      },
    );
  }

  private hasUnfinishedTasks(job: JobRun): boolean {
    const unfinished = job.assigned.clone();
    unfinished.removeAll(job.finished);
    return !unfinished.isEmpty;
  }

  private backOff(job: JobRun): void {
    job.backoffUntilMs = Math.max(
      job.backoffUntilMs,
      this.ctx.nowMs + RETRY_MS,
    );
  }

  /** What was not written, or not answered, is written again. */
  tick(job: JobRun): void {
    if (
      this.ctx.nowMs >= job.backoffUntilMs &&
      (job.isComplete || job.writtenFinished.size < job.finished.size)
    )
      this.writeProgress(job);
  }
}
