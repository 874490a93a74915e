import assert from "node:assert/strict";
import { test } from "node:test";
import type { JobSpec } from "../../../src/coordination/model.js";
import { describeWorkload } from "../../simulation/guards.js";
import { submit } from "../../simulation/workloads.js";
import type { World } from "../../simulation/world.js";
import { plainJob, runToEnd, setUp } from "../../scenarios/stage.js";

/**
 * Guards against gangs that never begin: what a team may still use counted as 1,000 tasks at most where its limit did not bound
 * them, so that an accepted gang of more tasks waited for ever.
 */

const GANG_TASKS = 1_100;
const TASK_CPUS = 0.01;

/** A gang of more than 1,000 tasks of a team without a limit on `cpus`, or of tasks that need none. */
function runGang(cpusMax: number, cpus: number): World {
  const world = setUp(3, {
    machinesPerZone: 4,
    teams: new Map([
      ["red", { name: "red", cpus: 10, gpus: 0, cpusMax, gpusMax: Infinity }],
    ]),
  });
  const gang: JobSpec = {
    ...plainJob(world, 1),
    team: "red",
    kind: "gang",
    tasks: GANG_TASKS,
    cpus,
    memGb: 0,
    samePlace: false,
  };
  world.specs.set(gang.id, gang);
  world.at(4_000, () => submit(world, gang, world.now));
  runToEnd(world, 30_000);
  return world;
}

for (const [what, cpusMax, cpus] of [
  ["of a team without limits", Infinity, TASK_CPUS],
  ["whose tasks need nothing that the limit covers", 20, 0],
] as const)
  test(`a gang of more than 1,000 tasks ${what} begins and ends`, () => {
    const world = runGang(cpusMax, cpus);
    assert.deepEqual(world.checker.brokenRules, [], describeWorkload(world));
    assert.deepEqual(world.checker.unfinished(), []);
  });
