/**
 * Brings what the leader knows of a worker's tasks in line with the status that the worker reports. Keeps no state but a count.
 */

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

/** For so long no task is placed on a machine that refused one for lack of resources, nor one of a job that is unknown there. */
const REFUSED_PAUSE_MS = 2_000;

/** Reported tasks by job, index and attempt. */
type ReportedTasks = ReadonlyMap<string, ReportedTask>;

/** What a heartbeat says of the starts that answers before it contained. */
interface CommandEvidence {
  /** One that should be there is not. */
  missing: boolean;
  carriedOut: boolean;
}

/** Reconciles the known tasks of a worker with those that it reports, and handles those that ended or vanished. */
export class Reconciliation {
  /** Times that a heartbeat said nothing of a task because the answer to its start had overtaken it. */
  overtakenHeartbeats = 0;

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly deliveries: DeliveryTracker,
    private readonly completion: JobCompletion,
    private readonly failures: FailureTracker,
  ) {}

  /**
   * `ordered`: the status was made after every answer before it, as heartbeats are. The answer to a status query is not: a
   * command may reach the machine after that, so that an ordered task which it does not show may still start.
   */
  reconcile(
    worker: Worker,
    tasks: readonly ReportedTask[],
    ordered = true,
  ): void {
    const shown = new Map<string, ReportedTask>();
    for (const task of tasks)
      shown.set(attemptKey(task.job, task.index, task.attempt), task);
    worker.exited = [];
    const unconfirmed = new Map(worker.unconfirmedTasks);
    this.state.ledger.clearUnconfirmed(worker);
    const seen = this.reconcileKnown(worker, shown, ordered);
    for (const [key, task] of shown) {
      if (task.state === "exited") this.noteExited(worker, key, task);
      else if (!worker.tasks.has(key) && !this.adopt(worker, task))
        this.addUnconfirmed(worker, task, unconfirmed.get(key));
    }
    this.deliveries.noteCommands(worker, seen.missing, seen.carriedOut);
    // What is gone from a machine has freed resources, or was what a waiting task had to wait for.
    for (const key of unconfirmed.keys())
      if (!worker.unconfirmedTasks.has(key)) this.state.needsScheduling = true;
  }

  /** The tasks that are known to be, or were ordered to be, on the machine. */
  private reconcileKnown(
    worker: Worker,
    shown: ReportedTasks,
    ordered: boolean,
  ): CommandEvidence {
    const seen: CommandEvidence = { missing: false, carriedOut: false };
    for (const [key, task] of [...worker.tasks]) {
      const reported = shown.get(key);
      if (!reported) {
        if (this.reconcileAbsent(worker, key, task, ordered))
          seen.missing = true;
        continue;
      }
      if (task.phase === "ordered") seen.carriedOut = true;
      if (reported.state === "exited")
        this.onExited(task, reported.cause, reported.checkpointed);
      else this.notePhase(worker, task, reported.state);
    }
    return seen;
  }

  /** Whether a start that was sent to the machine is missing. */
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
    // A start that no later heartbeat shows was not carried out, and if it was part of an answer it never will be: the
    // worker drops answers that it no longer waits for. One sent straight to it may still arrive.
    if (!ordered) return false;
    if (this.isOlderThanStart(worker, task)) {
      this.noteOvertaken(worker, task);
      return false;
    }
    if (task.stop && !worker.unansweredStarts.has(key)) {
      this.state.requeue(task, "start not carried out");
      return false;
    }
    if (task.timesSent === 0) return false;
    // What a machine that receives nothing was to start goes elsewhere as soon as it can't be carried out any more.
    if (
      worker.delivery.unreachableSinceMs !== null &&
      !worker.unansweredStarts.has(key)
    )
      this.state.requeue(task, "machine unreachable");
    return true;
  }

  /**
   * Invariant (quota, ran_twice): the answer to a command overtakes a heartbeat that was made before it and is still on its
   * way. That heartbeat says nothing of what the command started (docs/incidents/heartbeat-overtaken.md).
   */
  isOlderThanStart(worker: Worker, task: TaskRun): boolean {
    return worker.sequence < task.startAnsweredSequence;
  }

  private noteOvertaken(worker: Worker, task: TaskRun): void {
    this.overtakenHeartbeats++;
    this.ctx.log("heartbeat older than answered start", {
      task: taskKey(task.job.id, task.index),
      worker: worker.id,
      incarnation: worker.incarnation,
      sequence: worker.sequence,
      answeredSequence: task.startAnsweredSequence,
    });
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
        afterMs: Math.round(now - task.phaseSinceMs),
      });
      task.phase = state;
      task.phaseSinceMs = now;
    }
    if (state === "running" || state === "waiting")
      this.noteImage(worker, task);
  }

  private noteExited(
    worker: Worker,
    key: string,
    reported: ReportedTask,
  ): void {
    worker.exited.push({
      job: reported.job,
      index: reported.index,
      attempt: reported.attempt,
      cause: reported.cause,
    });
    if (!worker.tasks.has(key) && reported.cause === "done")
      this.onFoundDone(reported);
  }

  /** A task that this leader did not start and may not adopt: it is stopped, and counts until it is gone. */
  private addUnconfirmed(
    worker: Worker,
    reported: ReportedTask,
    before: UnconfirmedTask | undefined,
  ): void {
    const spec = (
      this.state.jobs.get(reported.job)?.view ??
      this.ctx.cache.jobs.get(reported.job)
    )?.spec;
    const known = spec && {
      team: spec.team,
      cpus: spec.cpus,
      gpus: spec.gpus,
      memGb: spec.memGb,
    };
    this.state.ledger.addUnconfirmed({
      worker,
      job: reported.job,
      index: reported.index,
      attempt: reported.attempt,
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
  private onFoundDone(reported: ReportedTask): void {
    const job = this.state.jobs.get(reported.job);
    if (
      !job ||
      job.view.spec.kind === "service" ||
      !job.assigned.has(reported.index) ||
      job.finished.has(reported.index)
    )
      return;
    const running = job.active.get(reported.index);
    this.completion.completeTask(job, reported.index);
    if (running) this.state.stop(running, 0, "done elsewhere");
  }

  /** Takes over a task that a former leader started, or whose start was taken for lost, if it may run here. */
  private adopt(worker: Worker, reported: ReportedTask): boolean {
    const job = this.state.jobs.get(reported.job);
    if (
      !job ||
      job.isOver ||
      !job.waiting.has(reported.index) ||
      reported.state === "exited"
    )
      return false;
    const spec = job.view.spec;
    if (
      spec.kind === "gang" &&
      [...job.active.values()].some((task) => task.attempt !== reported.attempt)
    )
      return false;
    if (!isAllowedOn(spec, worker.typeName, worker.zone, worker.spot))
      return false;
    job.waiting.remove(reported.index);
    const task: TaskRun = {
      job,
      index: reported.index,
      attempt: reported.attempt,
      worker,
      phase: reported.state,
      timesSent: 0,
      startAnsweredSequence: -1,
      phaseSinceMs: this.ctx.nowMs,
      stop: null,
    };
    job.active.set(reported.index, task);
    this.state.ledger.addTask(task);
    this.noteImage(worker, task);
    return true;
  }

  private onVanished(task: TaskRun): void {
    this.ctx.log("task missing from its worker", {
      task: taskKey(task.job.id, task.index),
      worker: task.worker.id,
    });
    this.state.requeue(task, "missing from its worker");
  }

  private onExited(
    task: TaskRun,
    cause: ExitCause | null,
    checkpointed: boolean,
  ): void {
    const { job, worker } = task;
    this.ctx.log("task ended", {
      task: taskKey(job.id, task.index),
      worker: worker.id,
      cause,
      checkpointed,
    });
    if (cause === "done" && !job.isOver && job.view.spec.kind !== "service")
      this.completion.completeTask(job, task.index);
    if (cause === "done") {
      worker.failedJobs.clear();
      this.failures.onCompleted(job);
    }
    if (cause === "error") this.failures.onFailed(task);
    if (cause === "no_room" || cause === "busy")
      worker.avoidUntilMs = this.ctx.nowMs + REFUSED_PAUSE_MS;
    if (cause === "no_such")
      job.backoffUntilMs = this.ctx.nowMs + REFUSED_PAUSE_MS;
    this.state.requeue(task, "exited");
  }
}
