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
  stage,
  tasksOnMachines,
} from "../scenarios/stage.js";
import { cancel, malformedRequest, submitWorkload } from "./workloads.js";
import type { World } from "./world.js";

/** Each of these checks of the simulation is seen to fail once what it watches is switched off. */

const LAST_JOB_MS = 20_000;

/** A day without injected faults: two controllers, some jobs. */
function quietDay(prepare: (world: World) => void = () => {}): World {
  const world = stage(4, { controllers: 2, runFactor: 8 });
  prepare(world);
  submitWorkload(world, LAST_JOB_MS, plainJob);
  runToEnd(world, LAST_JOB_MS + 10_000);
  return world;
}

/** Replaces a method for one day. */
function without<T extends object>(
  target: T,
  method: string,
  replacement: (...args: never[]) => unknown,
  day: () => World,
): World {
  const methods = target as Record<string, unknown>;
  const before = methods[method];
  methods[method] = replacement;
  try {
    return day();
  } finally {
    methods[method] = before;
  }
}

const breaks = (world: World, rule: string): void =>
  assert.ok(
    world.checker.broken.some((b) => b.startsWith(rule)),
    `${rule}: ${world.checker.broken.join("; ")}`,
  );

test("a quiet day passes every check", () => {
  const world = quietDay((w) =>
    w.every(1_000, () => malformedRequest(w, w.starts)),
  );
  assert.deepEqual(world.checker.broken, []);
});

test("seen to fail: a job is accepted that can't run", () => {
  const day = (): World =>
    quietDay((w) => {
      for (let n = 0; n < 10; n++)
        w.at(2_000 + n * 500, () => malformedRequest(w, n));
    });
  breaks(
    without(JobAdmission.prototype, "reasonItCannotRun", () => null, day),
    "accepted_unfit",
  );
});

test("seen to fail: a job waits beside a machine with room", () => {
  breaks(
    without(Scheduler.prototype, "runRound", () => {}, quietDay),
    "left_waiting",
  );
});

test("seen to fail: a job about which no question is answered", () => {
  const silent = function (
    this: { ports: Pick<StoreWatcherPorts, "refuse"> },
    req: number,
  ): void {
    this.ports.refuse(req, "never");
  };
  breaks(
    without(StoreWatcher.prototype, "afterRead", silent, () => quietDay()),
    "forgotten",
  );
});

/** Machines with tasks of a job hang for less than a lease, and the job is cancelled meanwhile. */
function hangDay(): World {
  return quietDay((world) =>
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

test("seen to fail: a cancelled task goes on after its machine hung", () => {
  assert.deepEqual(hangDay().checker.broken, []);
  type WithCommands = { commandsFor(worker: unknown): { op: string }[] };
  const { commandsFor } = PartitionLeader.prototype as unknown as WithCommands;
  const noStops = function (this: unknown, worker: never): unknown {
    return commandsFor.call(this, worker).filter((o) => o.op !== "stop");
  };
  breaks(
    without(PartitionLeader.prototype, "commandsFor", noStops, hangDay),
    "ran_cancelled",
  );
});

test("counted: tasks that start after their job's cancellation was confirmed", () => {
  const startsAfter = (world: World): number =>
    world.checker.startsAfterCancelled;
  const day = (): World =>
    quietDay((world) => {
      world.checker.onTold = (id, now) => {
        if (now === "accepted") world.at(300, () => cancel(world, id));
      };
    });
  const few = startsAfter(day());
  const many = startsAfter(
    without(PartitionLeader.prototype, "removeJob", () => {}, day),
  );
  assert.ok(many > few, `${many} with the guard off, ${few} with it`);
});
