/**
 * Derives the commands for a worker from the partition leader's view of it. Stateless: commands are idempotent, so every answer
 * to a heartbeat contains the commands that still apply, as many as a message may have.
 */

import { MAX_COMMANDS } from "../../protocol/message-size.js";
import type { Command } from "../model.js";
import {
  attemptKey,
  type ExitedTask,
  type JobRun,
  type TaskRun,
  type UnconfirmedTask,
  type Worker,
} from "./worker-state.js";

/** The commands for one task, which only make sense in the same message. */
interface TaskCommands {
  readonly commands: readonly Command[];
  /** The task, if the commands start it and don't stop it. */
  readonly started?: TaskRun;
}

/**
 * The commands for the next message to this worker: for exited tasks, then for unconfirmed tasks, then for its own tasks, as far as
 * `maySend` allows them. What has no space in the message does not count as sent.
 */
export function commandsForWorker(
  worker: Worker,
  jobs: ReadonlyMap<string, JobRun>,
  maySend: (command: Command) => boolean = () => true,
): Command[] {
  const message: Command[] = [];
  for (const { commands, started } of applicableCommands(worker, jobs)) {
    const sent = commands.filter(maySend);
    if (message.length + sent.length > MAX_COMMANDS) break;
    message.push(...sent);
    if (started) started.timesSent++;
  }
  return message;
}

function* applicableCommands(
  worker: Worker,
  jobs: ReadonlyMap<string, JobRun>,
): Generator<TaskCommands> {
  for (const exited of worker.exited)
    if (mayForget(worker, exited, jobs.get(exited.job)))
      yield { commands: [forgetCommand(exited)] };
  for (const task of worker.unconfirmedTasks.values())
    yield { commands: [stopUnconfirmedCommand(task)] };
  for (const task of worker.tasks.values()) yield commandsForTask(worker, task);
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
  // Invariant (ran_twice, ran_cancelled): see `CommandFence`.
  return worker.commandFence.areRefusedAfterAnswer(exitedKey(exited));
}

const exitedKey = ({ job, index, attempt }: ExitedTask): string =>
  attemptKey(job, index, attempt);

/** Whether the worker keeps an exited task because a message may arrive that starts it once it is forgotten. */
export function keepsExitedForToken(worker: Worker): boolean {
  return worker.exited.some(
    (exited) => !worker.commandFence.areRefusedAfterAnswer(exitedKey(exited)),
  );
}

function commandsForTask(worker: Worker, task: TaskRun): TaskCommands {
  if (task.stop && task.phase === "ordered") {
    const key = attemptKey(task.job.id, task.index, task.attempt);
    // Invariant (ran_cancelled): the task's start may still arrive, minutes late. If one answer both starts and stops the task,
    // the worker records the attempt as exited, so that the late start has no effect.
    return worker.commandFence.isUnanswered(key)
      ? { commands: [startCommand(task), stopCommand(task, 0)] }
      : NO_COMMANDS;
  }
  if (task.stop) {
    const isSaving = task.phase === "saving" && task.stop.graceS > 0;
    return isSaving
      ? NO_COMMANDS
      : { commands: [stopCommand(task, task.stop.graceS)] };
  }
  if (task.phase !== "ordered") return NO_COMMANDS;
  return { commands: [startCommand(task)], started: task };
}

const NO_COMMANDS: TaskCommands = { commands: [] };

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
