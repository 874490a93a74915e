import assert from "node:assert/strict";
import { test } from "node:test";
import { PartitionLeader } from "../../src/coordination/scheduling/partition-leader.js";
import { Scheduler } from "../../src/coordination/scheduling/scheduler.js";
import {
  StoreWatcher,
  type StoreWatcherPorts,
} from "../../src/coordination/store/store-watcher.js";
import { JobAdmission } from "../../src/coordination/jobs/job-admission.js";
import {
  plainJob,
  runToEnd,
  setUp,
  tasksOnMachines,
} from "../scenarios/stage.js";
import { cancel, malformedRequest, submitWorkload } from "./workloads.js";
import type { World } from "./world.js";

/** Shows that checks of the simulation fail once the code that they watch is switched off. */

const LAST_JOB_MS = 20_000;

/** A workload without injected faults: two controllers and some jobs. */
function runQuietWorkload(prepare: (world: World) => void = () => {}): World {
  const world = setUp(4, { controllers: 2, runFactor: 8 });
  prepare(world);
  submitWorkload(world, LAST_JOB_MS, plainJob);
  runToEnd(world, LAST_JOB_MS + 10_000);
  return world;
}

/** Replaces a method for one workload. */
function without<T extends object>(
  target: T,
  method: string,
  replacement: (...args: never[]) => unknown,
  runWorkload: () => World,
): World {
  const methods = target as Record<string, unknown>;
  const original = methods[method];
  methods[method] = replacement;
  try {
    return runWorkload();
  } finally {
    methods[method] = original;
  }
}

const assertBroken = (world: World, rule: string): void =>
  assert.ok(
    world.checker.brokenRules.some((b) => b.startsWith(rule)),
    `${rule}: ${world.checker.brokenRules.join("; ")}`,
  );

test("a workload without faults passes every check", () => {
  const world = runQuietWorkload((w) =>
    w.every(1_000, () => malformedRequest(w, w.starts)),
  );
  assert.deepEqual(world.checker.brokenRules, []);
});

test("the checker detects an accepted job that can't run", () => {
  const workload = (): World =>
    runQuietWorkload((world) => {
      for (let n = 0; n < 10; n++)
        world.at(2_000 + n * 500, () => malformedRequest(world, n));
    });
  assertBroken(
    without(JobAdmission.prototype, "reasonItCannotRun", () => null, workload),
    "accepted_unfit",
  );
});

test("the checker detects a job that waits although a machine has room for it", () => {
  assertBroken(
    without(Scheduler.prototype, "runRound", () => {}, runQuietWorkload),
    "left_waiting",
  );
});

test("the checker detects a job about which no query is answered", () => {
  const refuseAll = function (
    this: { ports: Pick<StoreWatcherPorts, "refuse"> },
    reqId: number,
  ): void {
    this.ports.refuse(reqId, "never");
  };
  assertBroken(
    without(StoreWatcher.prototype, "afterRead", refuseAll, () =>
      runQuietWorkload(),
    ),
    "forgotten",
  );
});

/** All machines with tasks hang for 5 s, less than a lease, and the jobs of these tasks are cancelled meanwhile. */
function runHangWorkload(): World {
  return runQuietWorkload((world) =>
    world.at(12_000, () => {
      const busy = [...tasksOnMachines(world)];
      assert.ok(busy.length > 3, "tasks are on machines");
      for (const { machine, task } of busy) {
        machine.hung = true;
        world.at(5_000, () => (machine.hung = false));
        world.at(1_000, () => cancel(world, task.job));
      }
    }),
  );
}

test("the checker detects a cancelled task that goes on after its machine hung", () => {
  assert.deepEqual(runHangWorkload().checker.brokenRules, []);
  type WithCommands = {
    commandsFor(worker: unknown, maySend: unknown): { op: string }[];
  };
  const { commandsFor } = PartitionLeader.prototype as unknown as WithCommands;
  const noStops = function (
    this: unknown,
    worker: never,
    maySend: never,
  ): unknown {
    return commandsFor
      .call(this, worker, maySend)
      .filter((o) => o.op !== "stop");
  };
  assertBroken(
    without(PartitionLeader.prototype, "commandsFor", noStops, runHangWorkload),
    "ran_cancelled",
  );
});

test("the checker counts tasks that start after the cancellation of their job was confirmed", () => {
  const countStartsAfter = (world: World): number =>
    world.checker.startsAfterCancelled;
  const workload = (): World =>
    runQuietWorkload((world) => {
      world.checker.onStateTold = (id, status) => {
        if (status === "accepted") world.at(300, () => cancel(world, id));
      };
    });
  const few = countStartsAfter(workload());
  const many = countStartsAfter(
    without(PartitionLeader.prototype, "removeJob", () => {}, workload),
  );
  assert.ok(many > few, `${many} without removeJob, ${few} with it`);
});
