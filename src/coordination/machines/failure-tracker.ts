/**
 * Tells faulty jobs from faulty machines by where tasks fail. Its state is kept with the jobs and workers themselves.
 */

import type { Context } from "../context.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import { taskKey } from "../model.js";
import type { JobRun, TaskRun, Worker } from "./worker-state.js";

/** Failures of one job within this time count as one attempt: a gang's tasks fail together. */
const SAME_ATTEMPT_MS = 5_000;
/** Machines on which a job must have failed, and nothing of it completed, before the job is quarantined. */
const QUARANTINE_AFTER_MACHINES = 2;
/** The same where other tasks of it have run for longer without failing. */
const QUARANTINE_AFTER_MACHINES_DESPITE_RUNNING = 5;
/** Longest backoff between retries of a quarantined job. */
const MAX_BACKOFF_MS = 60_000;
/** A machine on which so many jobs failed that are not quarantined is returned to the cloud. */
const RETURN_AFTER_JOBS = 2;

/**
 * A failure is mostly the machine's fault, but a job that was submitted with a mistake fails on every machine. It is
 * quarantined once it has failed on two machines and nothing of it has ever completed: then its failures count against no
 * machine any more, nothing is scaled out, reserved, moved or preempted for it, and it is retried with growing backoff.
 */
export class FailureTracker {
  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    /** Returns a machine to the cloud. */
    private readonly returnWorker: (worker: Worker, why: string) => void,
  ) {}

  /** A task ended with an error. */
  onFailed(task: TaskRun): void {
    const { job, worker } = task;
    const now = this.ctx.nowMs;
    job.failuresByMachine.set(
      worker.id,
      (job.failuresByMachine.get(worker.id) ?? 0) + 1,
    );
    if (now - job.lastFailureMs > SAME_ATTEMPT_MS) job.failedTries++;
    job.lastFailureMs = now;
    if (this.seemsFaulty(task)) this.quarantineJob(job);
    else this.blameMachine(worker, task);
    if (worker.failedJobs.size >= RETURN_AFTER_JOBS && !worker.isReturning)
      this.returnWorker(worker, "tasks of several jobs failed on it");
  }

  /** Something of a job has completed: it has no mistake, and what failed before were machines. */
  onCompleted(job: JobRun): void {
    if (job.quarantinedSinceMs === null) return;
    job.quarantinedSinceMs = null;
    job.failedTries = 0;
    job.backoffUntilMs = 0;
    job.failuresByMachine.clear();
    this.ctx.log("job recovered after failures", { job: job.id });
  }

  private seemsFaulty(task: TaskRun): boolean {
    const { job } = task;
    const hasCompleted =
      job.finished.size > 0 || this.ctx.cache.finishedCount(job.id) > 0;
    if (hasCompleted) return false;
    const needed = this.othersRunLonger(task)
      ? QUARANTINE_AFTER_MACHINES_DESPITE_RUNNING
      : QUARANTINE_AFTER_MACHINES;
    return job.failuresByMachine.size >= needed;
  }

  /** Others of the job that have run for longer than this one did count in favor of the job, but not for ever. */
  private othersRunLonger(task: TaskRun): boolean {
    const now = this.ctx.nowMs;
    const ranMs = task.phase === "running" ? now - task.phaseSinceMs : 0;
    return [...task.job.active.values()].some(
      (other) =>
        other !== task &&
        other.phase === "running" &&
        now - other.phaseSinceMs > ranMs * 1.2 + 1_000,
    );
  }

  private blameMachine(worker: Worker, task: TaskRun): void {
    worker.failedJobs.add(task.job.id);
    worker.avoidUntilMs = Math.max(
      worker.avoidUntilMs,
      this.ctx.nowMs + 5_000 * worker.failedJobs.size,
    );
    this.ctx.log("task failed", {
      task: taskKey(task.job.id, task.index),
      worker: worker.id,
      jobsFailedHere: worker.failedJobs.size,
    });
  }

  private quarantineJob(job: JobRun): void {
    const now = this.ctx.nowMs;
    const backoffMs = 1_000 * 2 ** Math.min(10, job.failedTries);
    job.backoffUntilMs = Math.max(
      job.backoffUntilMs,
      now + Math.min(MAX_BACKOFF_MS, backoffMs),
    );
    if (job.quarantinedSinceMs !== null) return;
    job.quarantinedSinceMs = now;
    for (const worker of this.state.workers.values())
      if (worker.failedJobs.delete(job.id) && worker.failedJobs.size === 0)
        worker.avoidUntilMs = Math.min(worker.avoidUntilMs, now);
    this.ctx.log("job fails on every machine, retrying with backoff", {
      job: job.id,
      class: job.view.spec.jobClass,
      team: job.view.spec.team,
      machines: [...job.failuresByMachine.keys()].slice(0, 5),
      failures: [...job.failuresByMachine.values()].reduce((a, b) => a + b, 0),
    });
  }
}
