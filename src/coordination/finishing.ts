import {
  endWrites,
  finBlock,
  finKey,
  inBlock,
  jobKey,
  type PastRecord,
  writeFin,
} from "../storage/records.js";
import type { Context } from "./context.js";
import { Urgent } from "./effects.js";
import type { GroupState } from "./group-state.js";
import type { JobSpec } from "./model.js";
import type { JobRun } from "./tasks.js";

/** What a group has finished of a job is written at most this often, until its part is complete. */
const FINISHED_MS = 1_500;

/**
 * A job's final record. Invariant (hooks, nothing lost): it is all that hooks are sent from, so what they need of the job is
 * written in the very transaction that ends it, whichever way that is.
 */
export function finalRecord(
  ctx: Context,
  spec: JobSpec,
  status: PastRecord["status"],
  done: number,
): PastRecord {
  return {
    status,
    tasks: spec.tasks,
    done,
    ...(ctx.tuning.tellEnds
      ? {
          end: {
            team: spec.team,
            class: spec.class,
            at: Math.round(ctx.wallMs),
          },
        }
      : {}),
  };
}

/** The writing of what a group has finished: ranges of tasks, and the ends of jobs. */
export class Finishing {
  constructor(
    private readonly ctx: Context,
    private readonly own: GroupState,
  ) {}

  finish(job: JobRun, index: number): void {
    // A gang's tasks complete together: if one is done, all of them are.
    if (job.view.spec.shape === "ensemble") job.finished.addAll(job.mine);
    else job.finished.add(index);
    job.waiting.removeAll(job.finished);
    this.finishJob(job);
  }

  /** Writes what is finished: the job's end if nothing is left, else this group's ranges. */
  finishJob(job: JobRun): void {
    if (job.gone || job.finished.isEmpty || job.view.spec.shape === "daemon")
      return;
    const all = this.ctx.mirror.allFinished(job.id);
    all.addAll(job.finished);
    job.complete = all.size >= job.view.spec.tasks;
    if (job.complete) this.finalize(job);
    else if (job.written.size < job.finished.size) this.writeFinished(job);
  }

  /** Invariant (rules not_done, went_back): the end is one conditional commit, told only after it. */
  private finalize(job: JobRun): void {
    if (job.finalizing || job.moving) return;
    job.finalizing = true;
    const id = job.id;
    const beside = this.ctx.mirror
      .sideKeys(id)
      .slice(0, this.ctx.settings.state.txnOps - 2);
    this.own.commit(
      [{ key: jobKey(id), version: job.view.version }],
      endWrites(
        id,
        finalRecord(this.ctx, job.view.spec, "done", job.view.spec.tasks),
        beside,
      ),
      Urgent.Master,
      (end) => {
        job.finalizing = false;
        if (end !== "ok")
          job.backoffUntilMs = Math.max(
            job.backoffUntilMs,
            this.ctx.nowMs + 300,
          );
      },
    );
  }

  private writeFinished(job: JobRun): void {
    if (job.writing) return;
    // Ranges are batched, as the design has it: with 5 changes a second, a write for each finished task kept users
    // waiting. What completes this group's part goes at once, for another group may be waiting for it to end the job.
    if (this.ctx.nowMs - job.wroteMs < FINISHED_MS) {
      const unfinished = job.mine.clone();
      unfinished.removeAll(job.finished);
      if (!unfinished.isEmpty) return;
    }
    const fresh = job.finished.clone();
    fresh.removeAll(job.written);
    const first = fresh.first();
    if (first === undefined) return;
    const block = finBlock(first);
    const covered = inBlock(job.finished, block);
    const key = finKey(job.id, this.own.group, block);
    job.writing = true;
    job.wroteMs = this.ctx.nowMs;
    this.own.commit(
      // Without the job's record the ranges would be left behind by a job that is over. Invariant (a task that is done stays
      // done): a commit without an answer that is carried out after a later one would take what that added off the record.
      [
        { key: jobKey(job.id), version: job.view.version },
        { key, version: this.ctx.mirror.revisionOf(key) },
      ],
      [{ op: "put", key, value: writeFin(covered) }],
      Urgent.Master,
      (end) => {
        job.writing = false;
        if (end === "ok") job.written.addAll(covered);
        else
          job.backoffUntilMs = Math.max(
            job.backoffUntilMs,
            this.ctx.nowMs + 300,
          );
      },
    );
  }

  /** What was not written, or not answered, is written again. */
  tick(job: JobRun): void {
    if (
      this.ctx.nowMs >= job.backoffUntilMs &&
      (job.complete || job.written.size < job.finished.size)
    )
      this.finishJob(job);
  }
}
