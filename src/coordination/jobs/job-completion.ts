/**
 * Writes the progress of jobs to the store: ranges of finished tasks by partition, and the end of a job. Owns no state:
 * progress is kept in each `JobRun`.
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

/** A partition's finished tasks of a job are written at most this often, until all of them are finished. */
const COMPLETION_WRITE_INTERVAL_MS = 1_500;
/** Delay before a failed commit is repeated. */
const RETRY_MS = 300;
/** Writes that every end of a job takes: its final record is put and its live record deleted. */
const JOB_END_WRITES = 2;

/**
 * Builds a job's final record. Invariant (hooks, nothing lost): webhooks are sent from final records alone, so whatever they
 * need to know of the job is written in the same transaction that ends it, in whichever way it ends.
 */
export function finalRecordOf(
  ctx: Context,
  spec: JobSpec,
  status: FinalRecord["status"],
  doneTasks: number,
): FinalRecord {
  return {
    status,
    tasks: spec.tasks,
    done: doneTasks,
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

/** Keys of a job's progress records that the transaction ending it deletes: as many as fit in addition to its other two writes. */
export function progressKeysToDelete(ctx: Context, id: string): string[] {
  const remainingWrites = ctx.settings.state.txnOps - JOB_END_WRITES;
  return ctx.cache.progressKeys(id).slice(0, remainingWrites);
}

/** Writes a partition's finished tasks, and the ends of jobs. */
export class JobCompletion {
  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
  ) {}

  completeTask(job: JobRun, index: number): void {
    // A gang's tasks complete together: if one is done, all of them are.
    if (job.view.spec.kind === "gang") job.finished.addAll(job.assigned);
    else job.finished.add(index);
    job.waiting.removeAll(job.finished);
    this.writeProgress(job);
  }

  /** Writes the job's end if all its tasks are finished, otherwise this partition's ranges of finished tasks. */
  writeProgress(job: JobRun): void {
    if (job.isOver || job.finished.isEmpty || job.view.spec.kind === "service")
      return;
    const allFinished = this.ctx.cache.allFinished(job.id);
    allFinished.addAll(job.finished);
    job.isComplete = allFinished.size >= job.view.spec.tasks;
    if (job.isComplete) this.finalize(job);
    else if (job.writtenFinished.size < job.finished.size)
      this.writeCompletions(job);
  }

  /** Invariant (rules not_done, went_back): the end of a job is one conditional commit, and is reported only after it. */
  private finalize(job: JobRun): void {
    if (job.isFinalizing || job.pendingTransfer) return;
    job.isFinalizing = true;
    const id = job.id;
    this.state.commit(
      [{ key: jobKey(id), version: job.view.revision }],
      jobEndWrites(
        id,
        finalRecordOf(this.ctx, job.view.spec, "done", job.view.spec.tasks),
        progressKeysToDelete(this.ctx, id),
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
    // Ranges are batched: with 5 changes a second, a write for each finished task delayed users' requests. The write that
    // completes this partition's tasks is sent at once, since another partition may need it to end the job.
    const isTooSoon =
      this.ctx.nowMs - job.lastFinishedWriteMs < COMPLETION_WRITE_INTERVAL_MS;
    if (isTooSoon && this.hasUnfinishedTasks(job)) return;
    const unwritten = job.finished.clone();
    unwritten.removeAll(job.writtenFinished);
    const first = unwritten.first();
    if (first === undefined) return;
    const block = completionBlockOf(first);
    const finishedInBlock = tasksInBlock(job.finished, block);
    const key = completionKey(job.id, this.state.partition, block);
    job.isWritingFinished = true;
    job.lastFinishedWriteMs = this.ctx.nowMs;
    this.state.commit(
      // The first condition keeps ranges from being written after the job has ended, which would leave them behind. Invariant
      // (a task that is done stays done): without the second, an indeterminate transaction that is carried out after a later
      // one would remove the tasks that the later one added to the record.
      [
        { key: jobKey(job.id), version: job.view.revision },
        { key, version: this.ctx.cache.latestRevisionOf(key) },
      ],
      [{ op: "put", key, value: writeCompletion(finishedInBlock) }],
      CallPriority.Leader,
      (outcome) => {
        job.isWritingFinished = false;
        if (outcome === "ok") job.writtenFinished.addAll(finishedInBlock);
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

  /** Repeats a write that failed or whose outcome is unknown. */
  tick(job: JobRun): void {
    if (
      this.ctx.nowMs >= job.backoffUntilMs &&
      (job.isComplete || job.writtenFinished.size < job.finished.size)
    )
      this.writeProgress(job);
  }
}
