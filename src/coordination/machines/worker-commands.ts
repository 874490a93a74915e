/**
 * Derives the commands for a worker from the partition leader's view of it. Stateless: commands are idempotent, so every answer
 * to a heartbeat contains all commands that still apply.
 */

import type { Command } from "../model.js";
import {
  attemptKey,
  type ExitedTask,
  type JobRun,
  type TaskRun,
  type UnconfirmedTask,
  type Worker,
} from "./worker-state.js";

/** All commands that apply to this worker now: for exited tasks, then for unconfirmed tasks, then for its own tasks. */
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
  // If a worker forgot a result that is not stored yet, the task would run again after a failover.
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
    // Invariant (ran_cancelled): the task's start may still arrive, minutes late. If one answer both starts and stops the task,
    // the worker records the attempt as exited, so that the late start has no effect.
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
