/**
 * Distinguishes faulty jobs from faulty machines by where tasks fail. Keeps its state in the `JobRun` and `Worker` objects.
 */

import type { Context } from "../context.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import { taskKey } from "../model.js";
import type { JobRun, TaskRun, Worker } from "./worker-state.js";

/** Failures of a job that follow each other within this time count as one, because a gang's tasks fail together. */
const FAILURE_BURST_MS = 5_000;
/** A job is quarantined once it has failed on this many machines without completing a task. */
const QUARANTINE_AFTER_MACHINES = 2;
/** Required number of machines instead if other tasks of the job have been running for longer without failing. */
const QUARANTINE_AFTER_MACHINES_DESPITE_RUNNING = 5;
/** Longest backoff between retries of a quarantined job. */
const MAX_BACKOFF_MS = 60_000;
/** A machine is returned to the cloud once this many jobs that are not quarantined have failed on it. */
const RETURN_AFTER_FAILED_JOBS = 2;

/**
 * Most failures are the machine's fault, but a faulty job fails on every machine. A job is quarantined once it has failed on two
 * machines and none of its tasks has ever completed. While it is quarantined, its failures count against no machine, it is
 * retried with growing backoff, and nothing is scaled out, reserved, moved or preempted for it.
 */
export class FailureTracker {
  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    /** Returns a machine to the cloud. */
    private readonly returnWorker: (worker: Worker, reason: string) => void,
  ) {}

  /** Handles a task that ended with an error. */
  onTaskFailed(task: TaskRun): void {
    const { job, worker } = task;
    const nowMs = this.ctx.nowMs;
    job.failuresByMachine.set(
      worker.id,
      (job.failuresByMachine.get(worker.id) ?? 0) + 1,
    );
    if (nowMs - job.lastFailureMs > FAILURE_BURST_MS) job.failureBurstCount++;
    job.lastFailureMs = nowMs;
    if (this.isJobProbablyFaulty(task)) this.quarantineJob(job);
    else this.recordMachineFailure(worker, task);
    if (
      worker.failedJobs.size >= RETURN_AFTER_FAILED_JOBS &&
      !worker.isReturning
    )
      this.returnWorker(worker, "tasks of several jobs failed on it");
  }

  /** Handles a completed task: its job is not faulty, so earlier failures were the machines' fault. */
  onTaskCompleted(job: JobRun): void {
    if (job.quarantinedSinceMs === null) return;
    job.quarantinedSinceMs = null;
    job.failureBurstCount = 0;
    job.backoffUntilMs = 0;
    job.failuresByMachine.clear();
    this.ctx.log("job recovered after failures", { job: job.id });
  }

  private isJobProbablyFaulty(task: TaskRun): boolean {
    const { job } = task;
    const hasCompleted =
      job.finished.size > 0 || this.ctx.cache.finishedCount(job.id) > 0;
    if (hasCompleted) return false;
    const minMachines = this.doOthersRunLonger(task)
      ? QUARANTINE_AFTER_MACHINES_DESPITE_RUNNING
      : QUARANTINE_AFTER_MACHINES;
    return job.failuresByMachine.size >= minMachines;
  }

  /** Whether other tasks of the job have been running for longer than this one ran, which suggests that the job is not faulty. */
  private doOthersRunLonger(task: TaskRun): boolean {
    const nowMs = this.ctx.nowMs;
    const ranMs = task.phase === "running" ? nowMs - task.phaseSinceMs : 0;
    return [...task.job.active.values()].some(
      (other) =>
        other !== task &&
        other.phase === "running" &&
        nowMs - other.phaseSinceMs > ranMs * 1.2 + 1_000,
    );
  }

  private recordMachineFailure(worker: Worker, task: TaskRun): void {
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
    const nowMs = this.ctx.nowMs;
    const backoffMs = 1_000 * 2 ** Math.min(10, job.failureBurstCount);
    job.backoffUntilMs = Math.max(
      job.backoffUntilMs,
      nowMs + Math.min(MAX_BACKOFF_MS, backoffMs),
    );
    if (job.quarantinedSinceMs !== null) return;
    job.quarantinedSinceMs = nowMs;
    for (const worker of this.state.workers.values())
      if (worker.failedJobs.delete(job.id) && worker.failedJobs.size === 0)
        worker.avoidUntilMs = Math.min(worker.avoidUntilMs, nowMs);
    this.ctx.log("job fails on every machine, retrying with backoff", {
      job: job.id,
      class: job.view.spec.jobClass,
      team: job.view.spec.team,
      machines: [...job.failuresByMachine.keys()].slice(0, 5),
      failures: [...job.failuresByMachine.values()].reduce((a, b) => a + b, 0),
    });
  }
}
