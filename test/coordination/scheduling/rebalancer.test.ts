import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobSpec } from "../../../src/coordination/model.js";
import { submit } from "../../simulation/workloads.js";
import { describeWorkload } from "../../simulation/guards.js";
import { plainJob } from "../../scenarios/stage.js";
import { World } from "../../simulation/world.js";

/** An array whose tasks need two CPUs each and run for half a minute. */
function arrayOf(world: World, id: number, over: Partial<JobSpec>): JobSpec {
  const spec: JobSpec = {
    ...plainJob(world, id),
    kind: "array",
    samePlace: false,
    priority: "normal",
    cpus: 2,
    ...over,
  };
  world.specs.set(spec.id, spec);
  return spec;
}

function submitArray(world: World, id: number, over: Partial<JobSpec>): string {
  const spec = arrayOf(world, id, over);
  submit(world, spec, world.now);
  return spec.id;
}

/** Submits an array like `submitArray`, but without a user who may cancel it. */
function submitUncancelled(
  world: World,
  id: number,
  over: Partial<JobSpec>,
): string {
  const spec = arrayOf(world, id, over);
  world.ask(
    "node-a",
    (reqId) => ({ type: "submit", reqId, spec }),
    () => {},
  );
  return spec.id;
}

/** Two partitions and nothing to rent: one machine in the second's zone, and six in the first's from 8 s on. */
function twoPartitions(): World {
  const world = new World(5, undefined, [], 2);
  world.capacity = 0;
  world.runFactor = 4;
  world.settings.teams = new Map([
    ["red", { name: "red", cpus: 10, gpus: 0, cpusMax: 100, gpusMax: 8 }],
    ["blue", { name: "blue", cpus: 4, gpus: 0, cpusMax: 8, gpusMax: 8 }],
  ]);
  world.bootAll();
  world.cloud.add(world.types[0]!, "mid", false, 0);
  world.at(8_000, () => {
    for (let n = 0; n < 6; n++)
      world.cloud.add(world.types[0]!, "east", false, 0);
  });
  return world;
}

/**
 * Submits `waiting`, which goes to the partition that gets idle machines later, then work that keeps the other partition busy,
 * and then an array, part of which is queued behind `waiting`. Checks that the array is done in time nevertheless.
 */
function expectArrayDoneBeside(waiting: Partial<JobSpec>): void {
  const world = twoPartitions();
  let arrayId = "";
  world.at(2_500, () => submitArray(world, 3, { ...waiting, zone: "east" }));
  world.at(4_000, () =>
    submitArray(world, 1, { team: "red", tasks: 40, zone: "mid" }),
  );
  world.at(5_000, () => {
    arrayId = submitArray(world, 2, { team: "red", tasks: 60 });
  });
  world.run(160_000);
  assert.deepEqual(world.checker.brokenRules, [], describeWorkload(world));
  assert.equal(
    world.checker.toldStates.get(arrayId),
    "done",
    describeWorkload(world),
  );
}

test("tasks that only their team's limit keeps waiting don't keep other jobs from the idle machines of their partition", () => {
  // More tasks than the other partition has slots for; they wait for their team's limit throughout.
  expectArrayDoneBeside({ team: "blue", tasks: 400 });
});

test("a gang that does not fit doesn't keep other jobs from the idle machines of its partition", () => {
  // Seven tasks that need a whole machine each, where there are six machines.
  expectArrayDoneBeside({
    team: "red",
    kind: "gang",
    tasks: 7,
    cpus: 8,
    samePlace: true,
  });
});

test("a longer queue that only its own zone can run doesn't keep another partition from moving tasks to idle machines", () => {
  const world = new World(5, undefined, [], 3);
  world.capacity = 0;
  world.runFactor = 4;
  for (const zone of ["east", "mid", "west"])
    world.cloud.add(world.types[0]!, zone, false, 0);
  world.at(12_000, () => {
    for (let n = 0; n < 6; n++)
      world.cloud.add(world.types[0]!, "mid", false, 0);
  });
  const ids: string[] = [];
  const submitAt = (atMs: number, over: Partial<JobSpec>): void =>
    world.at(atMs, () => ids.push(submitUncancelled(world, ids.length, over)));
  submitAt(2_500, { team: "blue", tasks: 400, zone: "east" });
  submitAt(3_500, { team: "red", tasks: 8, zone: "mid" });
  // Most of these tasks go to the third partition, which has no other work.
  submitAt(5_000, { team: "red", tasks: 60 });
  world.at(11_000, () => {
    const leader = world.nodes.get("node-c")!.core.leaders.get("node-c")!;
    assert.ok(
      leader.state.backlog().plain > 40,
      "the tasks wait in the third partition",
    );
  });
  world.run(150_000);
  assert.deepEqual(world.checker.brokenRules, [], describeWorkload(world));
  assert.ok(world.checker.isDone(ids[2]!), describeWorkload(world));
});
