/**
 * Reconciles the leader's view of a worker's tasks with the status that the worker reports. Keeps no state except a counter.
 */

import type { Context } from "../context.js";
import type { FailureTracker } from "./failure-tracker.js";
import type { JobCompletion } from "../jobs/job-completion.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import { type ExitCause, type ReportedTask, taskKey } from "../model.js";
import { tokenOfAttempt } from "../scheduling/attempt-sequence.js";
import { isAllowedOn } from "../scheduling/placement.js";
import type { DeliveryTracker } from "./delivery-tracker.js";
import {
  attemptKey,
  type ExitedTask,
  type UnconfirmedTask,
  type TaskRun,
  type Worker,
} from "./worker-state.js";

/**
 * How long a machine that refused a task for lack of resources gets no tasks, and how long no tasks are started of a job that a
 * machine did not know.
 */
const PAUSE_AFTER_REFUSAL_MS = 2_000;

/** Reported tasks by `attemptKey`. */
type ReportedTasks = ReadonlyMap<string, ReportedTask>;

/** What a heartbeat shows about the starts contained in earlier answers. */
interface StartEvidence {
  /** A started task is missing from the heartbeat. */
  isStartMissing: boolean;
  /** A started task appears in a heartbeat for the first time. */
  isStartCarriedOut: boolean;
}

/** Matches a worker's known tasks with those that it reports, and handles tasks that ended or are missing. */
export class Reconciliation {
  /**
   * Times that a heartbeat lacked a task because it was made before the task's start command was answered, but arrived after that
   * answer.
   */
  overtakenHeartbeats = 0;
  /** Attempts that machines reported as started although this leader had ended them or never gave them. */
  unexpectedStarts = 0;

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly deliveries: DeliveryTracker,
    private readonly completion: JobCompletion,
    private readonly failures: FailureTracker,
  ) {}

  /**
   * `followsAnswers`: the status was made after the worker received or discarded every earlier answer, as heartbeats are. The
   * reply to a status query is not: a command may reach the machine later, so a task that it does not show may still start.
   */
  reconcile(
    worker: Worker,
    tasks: readonly ReportedTask[],
    followsAnswers = true,
  ): void {
    const reported = new Map<string, ReportedTask>();
    for (const task of tasks)
      reported.set(attemptKey(task.job, task.index, task.attempt), task);
    const unconfirmed = new Map(worker.unconfirmedTasks);
    this.state.ledger.clearUnconfirmed(worker);
    const evidence = this.reconcileKnown(worker, reported, followsAnswers);
    const exited: ExitedTask[] = [];
    for (const [key, task] of reported) {
      if (task.state === "exited")
        exited.push(this.noteExited(worker, key, task));
      else if (!worker.tasks.has(key) && !this.adopt(worker, task))
        this.addUnconfirmed(worker, task, unconfirmed.get(key));
    }
    this.state.ledger.setExited(worker, exited);
    this.deliveries.noteStartEvidence(
      worker,
      evidence.isStartMissing,
      evidence.isStartCarriedOut,
    );
    // The end of an unconfirmed task frees resources, and a waiting task that had to wait for it may start now.
    for (const key of unconfirmed.keys())
      if (!worker.unconfirmedTasks.has(key)) this.state.needsScheduling = true;
  }

  /** Reconciles the tasks that this leader knows or has ordered to start on the machine. */
  private reconcileKnown(
    worker: Worker,
    reported: ReportedTasks,
    followsAnswers: boolean,
  ): StartEvidence {
    const evidence: StartEvidence = {
      isStartMissing: false,
      isStartCarriedOut: false,
    };
    for (const [key, task] of [...worker.tasks]) {
      const reportedTask = reported.get(key);
      if (!reportedTask) {
        if (this.reconcileAbsent(worker, key, task, followsAnswers))
          evidence.isStartMissing = true;
        continue;
      }
      if (task.phase === "ordered") evidence.isStartCarriedOut = true;
      if (reportedTask.state === "exited")
        this.onExited(task, reportedTask.cause, reportedTask.checkpointed);
      else this.notePhase(worker, task, reportedTask.state);
    }
    return evidence;
  }

  /** Handles a known task that the status does not show. Returns whether this is a missing start that was sent in an answer. */
  private reconcileAbsent(
    worker: Worker,
    key: string,
    task: TaskRun,
    followsAnswers: boolean,
  ): boolean {
    const mayStartLater = worker.commandFence.mayArrive(key);
    if (task.phase !== "ordered") {
      if (mayStartLater) worker.commandFence.requestHigherToken();
      else this.onVanished(task);
      return false;
    }
    // A start that a later heartbeat does not show was not carried out. If it was sent in an answer it never will be, since the
    // worker discards answers that it no longer waits for. A start sent directly may still arrive.
    if (!followsAnswers) return false;
    if (this.isOlderThanStart(worker, task)) {
      this.noteOvertaken(worker, task);
      return false;
    }
    if (task.stop && mayStartLater) worker.commandFence.requestHigherToken();
    if (task.stop && !mayStartLater) {
      this.state.requeue(task, "start not carried out");
      return false;
    }
    if (task.timesSent === 0) return false;
    // A start for an unreachable machine is placed elsewhere as soon as the machine can't carry it out any more.
    if (worker.delivery.unreachableSinceMs !== null && !mayStartLater)
      this.state.requeue(task, "machine unreachable");
    return true;
  }

  /**
   * Whether the worker's last heartbeat was made before it carried out the task's start. Invariant (quota, ran_twice): the answer
   * to a command may overtake a heartbeat that was made before the command. Such a heartbeat does not show whether the command's
   * tasks run (docs/incidents/heartbeat-overtaken.md).
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
    phase: TaskRun["phase"],
  ): void {
    const nowMs = this.ctx.nowMs;
    if (task.phase !== phase) {
      this.ctx.log("task phase changed", {
        task: taskKey(task.job.id, task.index),
        worker: worker.id,
        from: task.phase,
        to: phase,
        afterMs: Math.round(nowMs - task.phaseSinceMs),
      });
      task.phase = phase;
      task.phaseSinceMs = nowMs;
    }
    if (phase === "running" || phase === "waiting")
      this.noteImage(worker, task);
  }

  private noteExited(
    worker: Worker,
    key: string,
    reported: ReportedTask,
  ): ExitedTask {
    const { job, index, attempt, cause } = reported;
    if (!worker.tasks.has(key) && cause === "done")
      this.onReportedDone(reported);
    return { job, index, attempt, cause };
  }

  /** Records a task that is not expected here and can't be adopted. It is stopped, and its resources count until it is gone. */
  private addUnconfirmed(
    worker: Worker,
    reported: ReportedTask,
    previous: UnconfirmedTask | undefined,
  ): void {
    const spec = (
      this.state.jobs.get(reported.job)?.view ??
      this.ctx.cache.jobs.get(reported.job)
    )?.spec;
    if (!previous && this.isOwnAttempt(reported))
      this.noteUnexpectedStart(worker, reported);
    const knownNeed = spec && {
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
      need: knownNeed ?? previous?.need ?? null,
      firstReportedMs: previous?.firstReportedMs ?? this.ctx.nowMs,
    });
  }

  /** Whether this leader numbered the attempt, so that it knows all machines that may have it. */
  private isOwnAttempt({ attempt }: ReportedTask): boolean {
    return tokenOfAttempt(attempt) === this.state.token;
  }

  private noteUnexpectedStart(worker: Worker, reported: ReportedTask): void {
    const { job, index, attempt, state } = reported;
    const start = worker.commandFence.lastSent(attemptKey(job, index, attempt));
    this.unexpectedStarts++;
    this.ctx.log("stopping a task that was not to start", {
      task: taskKey(job, index),
      attempt,
      state,
      worker: worker.id,
      incarnation: worker.incarnation,
      shownToken: worker.token,
      startToken: start?.token ?? null,
      startSentMsAgo: this.msSince(start?.sentMs ?? null),
    });
  }

  private msSince(timeMs: number | null): number | null {
    return timeMs === null ? null : Math.round(this.ctx.nowMs - timeMs);
  }

  private noteImage(worker: Worker, task: TaskRun): void {
    const { image, imageGb } = task.job.view.spec;
    if (!image) return;
    worker.images.delete(image);
    worker.images.set(image, { sizeGb: imageGb, lastUsedMs: this.ctx.nowMs });
    let totalGb = 0;
    for (const cached of worker.images.values()) totalGb += cached.sizeGb;
    for (const [name, cached] of worker.images) {
      const fitsCache = totalGb <= (worker.type?.cacheGb ?? 0);
      if (fitsCache || worker.images.size === 1) break;
      worker.images.delete(name);
      totalGb -= cached.sizeGb;
    }
  }

  /** A task counts as done even if it was completed under another attempt. */
  private onReportedDone(reported: ReportedTask): void {
    const job = this.state.jobs.get(reported.job);
    if (
      !job ||
      job.view.spec.kind === "service" ||
      !job.assigned.has(reported.index) ||
      job.finished.has(reported.index)
    )
      return;
    const activeTask = job.active.get(reported.index);
    this.completion.completeTask(job, reported.index);
    if (activeTask) this.state.stop(activeTask, 0, "done elsewhere");
  }

  /** Takes over a task that a former leader started, if it may run here. */
  private adopt(worker: Worker, reported: ReportedTask): boolean {
    const job = this.state.jobs.get(reported.job);
    if (
      !job ||
      job.isOver ||
      !job.waiting.has(reported.index) ||
      reported.state === "exited" ||
      this.isOwnAttempt(reported)
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
      this.failures.onTaskCompleted(job);
    }
    if (cause === "error") this.failures.onTaskFailed(task);
    if (cause === "no_room" || cause === "busy")
      worker.avoidUntilMs = this.ctx.nowMs + PAUSE_AFTER_REFUSAL_MS;
    if (cause === "no_such")
      job.backoffUntilMs = this.ctx.nowMs + PAUSE_AFTER_REFUSAL_MS;
    this.state.requeue(task, "exited");
  }
}
