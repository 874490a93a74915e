import type { Context } from "../context.js";
import type { FailureTracker } from "./failure-tracker.js";
import type { JobCompletion } from "../jobs/job-completion.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import { type ExitCause, type ReportedTask, taskKey } from "../model.js";
import { isAllowedOn } from "../scheduling/placement.js";
import type { DeliveryTracker } from "./delivery-tracker.js";
import {
  attemptKey,
  type UnconfirmedTask,
  type TaskRun,
  type Worker,
} from "./worker-state.js";

/** A machine that refused a task for want of room, or a job that is not known there, is left alone for so long. */
const REFUSED_PAUSE_MS = 2_000;

/** Reported tasks by job, index and attempt. */
type ReportedTasks = ReadonlyMap<string, ReportedTask>;

/** What a report says of the starts that answers before it bore. */
interface CommandEvidence {
  /** One that should be there is not. */
  missing: boolean;
  carriedOut: boolean;
}

/** Brings what the master knows of a machine's tasks in line with what the machine reports. */
export class Reconciliation {
  constructor(
    private readonly ctx: Context,
    private readonly own: PartitionState,
    private readonly receipts: DeliveryTracker,
    private readonly finishing: JobCompletion,
    private readonly failures: FailureTracker,
  ) {}

  /**
   * `ordered`: the report was made after every answer before it, as a machine's own reports are. Its answer to a question is
   * not: an order may reach it after that, so that an ordered task which it does not show may still start.
   */
  reconcile(
    worker: Worker,
    reported: readonly ReportedTask[],
    ordered = true,
  ): void {
    const shown = new Map<string, ReportedTask>();
    for (const r of reported)
      shown.set(attemptKey(r.job, r.index, r.attempt), r);
    worker.exited = [];
    const unconfirmed = new Map(worker.unconfirmedTasks);
    this.own.ledger.clearUnconfirmed(worker);
    const seen = this.reconcileKnown(worker, shown, ordered);
    for (const [key, r] of shown) {
      if (r.state === "exited") this.noteExited(worker, key, r);
      else if (!worker.tasks.has(key) && !this.adopt(worker, r))
        this.addUnconfirmed(worker, r, unconfirmed.get(key));
    }
    this.receipts.noteCommands(worker, seen.missing, seen.carriedOut);
    // What is gone from a machine has made room, or was what a waiting task had to wait for.
    for (const key of unconfirmed.keys())
      if (!worker.unconfirmedTasks.has(key)) this.own.needsScheduling = true;
  }

  /** The tasks that are known to be, or were ordered to be, on the machine. */
  private reconcileKnown(
    worker: Worker,
    shown: ReportedTasks,
    ordered: boolean,
  ): CommandEvidence {
    const seen: CommandEvidence = { missing: false, carriedOut: false };
    for (const [key, task] of [...worker.tasks]) {
      const r = shown.get(key);
      if (!r) {
        if (this.reconcileAbsent(worker, key, task, ordered))
          seen.missing = true;
        continue;
      }
      if (task.phase === "ordered") seen.carriedOut = true;
      if (r.state === "exited") this.onExited(task, r.cause, r.checkpointed);
      else this.notePhase(worker, task, r.state);
    }
    return seen;
  }

  /** Whether a start that the machine was told of is missing. */
  private reconcileAbsent(
    worker: Worker,
    key: string,
    task: TaskRun,
    ordered: boolean,
  ): boolean {
    if (task.phase !== "ordered") {
      this.onVanished(task);
      return false;
    }
    // A start that no report shows was not carried out, and if it rode in an answer it never will be: the
    // worker drops answers that it no longer waits for. One sent straight to it may still arrive.
    if (!ordered) return false;
    if (task.stop && !worker.unansweredStarts.has(key)) {
      this.own.requeue(task);
      return false;
    }
    if (task.timesSent === 0) return false;
    // What a machine that receives nothing was to start goes elsewhere as soon as it can't be carried out any more.
    if (
      worker.delivery.unreachableSinceMs !== null &&
      !worker.unansweredStarts.has(key)
    )
      this.own.requeue(task);
    return true;
  }

  private notePhase(
    worker: Worker,
    task: TaskRun,
    state: TaskRun["phase"],
  ): void {
    const now = this.ctx.nowMs;
    if (task.phase !== state) {
      this.ctx.log("task phase changed", {
        task: taskKey(task.job.id, task.index),
        worker: worker.id,
        from: task.phase,
        to: state,
        afterMs: Math.round(now - task.sinceMs),
      });
      task.phase = state;
      task.sinceMs = now;
    }
    if (state === "running" || state === "waiting")
      this.noteImage(worker, task);
  }

  private noteExited(worker: Worker, key: string, r: ReportedTask): void {
    worker.exited.push({
      job: r.job,
      index: r.index,
      attempt: r.attempt,
      cause: r.cause,
    });
    if (!worker.tasks.has(key) && r.cause === "done") this.onFoundDone(r);
  }

  /** A task that is not this master's: it is stopped, and counts until it is gone. */
  private addUnconfirmed(
    worker: Worker,
    r: ReportedTask,
    before: UnconfirmedTask | undefined,
  ): void {
    const spec = (
      this.own.jobs.get(r.job)?.view ?? this.ctx.cache.jobs.get(r.job)
    )?.spec;
    const known = spec && {
      team: spec.team,
      cpus: spec.cpus,
      gpus: spec.gpus,
      memGb: spec.memGb,
    };
    this.own.ledger.addUnconfirmed({
      worker,
      job: r.job,
      index: r.index,
      attempt: r.attempt,
      need: known ?? before?.need ?? null,
      sinceMs: before?.sinceMs ?? this.ctx.nowMs,
    });
  }

  private noteImage(worker: Worker, task: TaskRun): void {
    const { image, imageGb } = task.job.view.spec;
    if (!image) return;
    worker.images.delete(image);
    worker.images.set(image, { gb: imageGb, usedMs: this.ctx.nowMs });
    let total = 0;
    for (const cached of worker.images.values()) total += cached.gb;
    for (const [name, cached] of worker.images) {
      const isWithin = total <= (worker.type?.cacheGb ?? 0);
      if (isWithin || worker.images.size === 1) break;
      worker.images.delete(name);
      total -= cached.gb;
    }
  }

  /** A result that was reported under another attempt counts all the same. */
  private onFoundDone(r: ReportedTask): void {
    const job = this.own.jobs.get(r.job);
    if (
      !job ||
      job.view.spec.kind === "service" ||
      !job.assigned.has(r.index) ||
      job.finished.has(r.index)
    )
      return;
    const running = job.active.get(r.index);
    this.finishing.completeTask(job, r.index);
    if (running) this.own.stop(running, 0, "done elsewhere");
  }

  /** A task that a former master started (or whose start we forgot): ours from now on, if it may be. */
  private adopt(worker: Worker, r: ReportedTask): boolean {
    const job = this.own.jobs.get(r.job);
    if (!job || job.isOver || !job.waiting.has(r.index) || r.state === "exited")
      return false;
    const spec = job.view.spec;
    if (
      spec.kind === "gang" &&
      [...job.active.values()].some((t) => t.attempt !== r.attempt)
    )
      return false;
    if (!isAllowedOn(spec, worker.typeName, worker.zone, worker.spot))
      return false;
    job.waiting.remove(r.index);
    const task: TaskRun = {
      job,
      index: r.index,
      attempt: r.attempt,
      worker,
      phase: r.state,
      timesSent: 0,
      sinceMs: this.ctx.nowMs,
      stop: null,
    };
    job.active.set(r.index, task);
    this.own.ledger.add(task);
    this.noteImage(worker, task);
    return true;
  }

  private onVanished(task: TaskRun): void {
    this.ctx.log("task missing from its worker", {
      task: taskKey(task.job.id, task.index),
      worker: task.worker.id,
    });
    this.own.requeue(task);
  }

  private onExited(
    task: TaskRun,
    cause: ExitCause | null,
    saved: boolean,
  ): void {
    const { job, worker } = task;
    this.ctx.log("task ended", {
      task: taskKey(job.id, task.index),
      worker: worker.id,
      cause,
      checkpointed: saved,
    });
    if (cause === "done" && !job.isOver && job.view.spec.kind !== "service")
      this.finishing.completeTask(job, task.index);
    if (cause === "done") {
      worker.failedJobs.clear();
      this.failures.onCompleted(job);
    }
    if (cause === "error") this.failures.onFailed(task);
    if (cause === "no_room" || cause === "busy")
      worker.avoidUntilMs = this.ctx.nowMs + REFUSED_PAUSE_MS;
    if (cause === "no_such")
      job.backoffUntilMs = this.ctx.nowMs + REFUSED_PAUSE_MS;
    this.own.requeue(task);
  }
}
