/**
 * Commands that a worker is to receive, derived from what the partition leader knows of it. Nothing here keeps state:
 * commands are idempotent, so every answer to a heartbeat lists all that still applies.
 */

import type { Command } from "../model.js";
import {
  attemptKey,
  type JobRun,
  type TaskRun,
  type UnconfirmedTask,
  type Worker,
} from "./worker-state.js";

type ExitedTask = Worker["exited"][number];

/** Every command that applies to this worker now: clean-up of exited tasks, then stops of unconfirmed tasks, then its own tasks. */
export function commandsForWorker(
  worker: Worker,
  jobs: ReadonlyMap<string, JobRun>,
): Command[] {
  const commands: Command[] = [];
  for (const exited of worker.exited)
    if (mayForget(worker, exited, jobs.get(exited.job)))
      commands.push(forgetCommand(exited));
  for (const task of worker.unconfirmedTasks.values())
    commands.push(stopUnconfirmedCommand(task));
  for (const task of worker.tasks.values())
    commands.push(...commandsForTask(worker, task));
  return commands;
}

function mayForget(
  worker: Worker,
  exited: ExitedTask,
  job: JobRun | undefined,
): boolean {
  // Forgetting a result that is not written yet would have the task run again after a failover.
  const isResultUnwritten =
    job !== undefined &&
    exited.cause === "done" &&
    job.finished.has(exited.index) &&
    !job.writtenFinished.has(exited.index);
  if (isResultUnwritten) return false;
  return !worker.unansweredStarts.has(
    attemptKey(exited.job, exited.index, exited.attempt),
  );
}

function commandsForTask(worker: Worker, task: TaskRun): Command[] {
  if (task.stop && task.phase === "ordered") {
    const key = attemptKey(task.job.id, task.index, task.attempt);
    // Invariant (ran_cancelled): its start may still arrive, minutes late. Started and stopped in one answer,
    // the worker keeps the attempt as exited, and the late start has no effect.
    return worker.unansweredStarts.has(key)
      ? [startCommand(task), stopCommand(task, 0)]
      : [];
  }
  if (task.stop) {
    const isSaving = task.phase === "saving" && task.stop.graceS > 0;
    return isSaving ? [] : [stopCommand(task, task.stop.graceS)];
  }
  if (task.phase !== "ordered") return [];
  task.timesSent++;
  return [startCommand(task)];
}

function forgetCommand(exited: ExitedTask): Command {
  return {
    op: "forget",
    job: exited.job,
    index: exited.index,
    attempt: exited.attempt,
  };
}

function stopUnconfirmedCommand(task: UnconfirmedTask): Command {
  return {
    op: "stop",
    job: task.job,
    index: task.index,
    attempt: task.attempt,
    graceS: 0,
  };
}

function startCommand(task: TaskRun): Command {
  return {
    op: "start",
    job: task.job.id,
    index: task.index,
    attempt: task.attempt,
  };
}

function stopCommand(task: TaskRun, graceS: number): Command {
  return {
    op: "stop",
    job: task.job.id,
    index: task.index,
    attempt: task.attempt,
    graceS,
  };
}
