import assert from "node:assert/strict";
import { test } from "node:test";
import { commandsForWorker } from "../../../src/coordination/machines/worker-commands.js";
import {
  attemptKey,
  type ExitedTask,
  newWorker,
  type TaskRun,
  type Worker,
} from "../../../src/coordination/machines/worker-state.js";
import type { Command } from "../../../src/coordination/model.js";
import { MAX_JOB_ID_DIGITS, MAX_TASKS } from "../../../src/protocol/jobs.js";
import {
  commandBody,
  heartbeatAnswerBody,
} from "../../../src/protocol/workers.js";
import { MAX_BODY_BYTES } from "../../simulation/heartbeat-size.js";
import { jobRunOf, PLAIN_SPEC } from "../job-run.js";

/**
 * Guards against commands that a leader takes for sent although its message had no space for them. Then a start that was left out
 * counted against the machine as not carried out, and a message could end between the start and the stop of a cancelled task.
 */

const NOW_MS = 1_000;

const JOB = jobRunOf({ ...PLAIN_SPEC, tasks: 400, cpus: 0.01 });

/** A worker with this many ordered tasks, which are to be stopped if `isCancelled`, and exited tasks that it may forget. */
function workerWith(
  orderedTasks: number,
  exitedTasks: number,
  isCancelled: boolean,
): Worker {
  const worker = newWorker(
    {
      worker: "n-1",
      address: "10.0.0.1:1",
      type: "small",
      zone: "east",
      spot: false,
      incarnation: 1,
      sequence: 1,
      token: 1,
      noticeS: null,
      tasks: [],
    },
    {
      type: null,
      isProven: true,
      isReturning: false,
      token: 1,
      nowMs: NOW_MS,
    },
  );
  worker.exited = Array.from(
    { length: exitedTasks },
    (_, index): ExitedTask => ({
      job: "req-000002",
      index,
      attempt: 1,
      cause: "error",
    }),
  );
  for (let index = 0; index < orderedTasks; index++) {
    const key = attemptKey(JOB.id, index, 1);
    worker.tasks.set(key, {
      job: JOB,
      index,
      attempt: 1,
      worker,
      phase: "ordered",
      timesSent: 0,
      startAnsweredSequence: -1,
      phaseSinceMs: NOW_MS,
      stop: isCancelled ? { graceS: 0, reason: "job over" } : null,
    });
    // Its start was sent directly, was not answered, and may still arrive.
    if (isCancelled) worker.commandFence.noteSent(key, NOW_MS);
  }
  return worker;
}

/** The commands that a message to the worker contains, by operation and key. */
function sentTo(worker: Worker): { op: string; key: string }[] {
  const commands = commandsForWorker(worker, new Map([[JOB.id, JOB]]));
  const { orders } = heartbeatAnswerBody(1, commands) as {
    orders: { verb: string; shard: string; try: number }[];
  };
  return orders.map(({ verb, shard, try: attempt }) => ({
    op: verb,
    key: `${shard}#${attempt}`,
  }));
}

const tasksSent = (worker: Worker): TaskRun[] =>
  [...worker.tasks.values()].filter(({ timesSent }) => timesSent > 0);

test("a start counts as sent only if the message contains it", () => {
  for (const exitedTasks of [0, 1, 150, 400]) {
    const worker = workerWith(400, exitedTasks, false);
    const started = sentTo(worker)
      .filter(({ op }) => op === "start")
      .map(({ key }) => key);
    assert.deepEqual(
      tasksSent(worker).map(({ index }) => attemptKey(JOB.id, index, 1)),
      started,
      `${exitedTasks} exited tasks`,
    );
  }
});

test("no message starts a cancelled task without stopping it", () => {
  for (const exitedTasks of [0, 1, 2, 199, 200]) {
    const sent = sentTo(workerWith(400, exitedTasks, true));
    const keysOf = (verb: string): string[] =>
      sent.filter(({ op }) => op === verb).map(({ key }) => key);
    assert.deepEqual(
      keysOf("start"),
      keysOf("kill"),
      `${exitedTasks} exited tasks`,
    );
  }
});

test("as many of the largest commands as a message may have are within 64 KiB", () => {
  const worker = workerWith(400, 0, false);
  const count = sentTo(worker).length;
  assert.ok(count >= 100, `only ${count} commands`);
  const longest: Command = {
    op: "stop",
    job: `req-${"9".repeat(MAX_JOB_ID_DIGITS)}`,
    index: MAX_TASKS - 1,
    attempt: 2 ** 64,
    graceS: 1 / 3,
  };
  const commands = Array.from({ length: count }, () => longest);
  for (const body of [
    heartbeatAnswerBody(2 ** 64, commands),
    commandBody(2 ** 64, 2 ** 64, commands),
  ])
    assert.ok(Buffer.byteLength(JSON.stringify(body)) <= MAX_BODY_BYTES);
});
