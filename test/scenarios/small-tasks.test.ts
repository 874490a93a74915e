import assert from "node:assert/strict";
import { test } from "node:test";
import { expectRulesKept } from "./expect.js";
import { MAX_TASKS_PER_MACHINE } from "../../src/protocol/message-size.js";
import { smallTasks } from "./small-tasks.js";
import type { ScenarioRun } from "./stage.js";

/** Runs the scenario and expects that no machine held more tasks than it could report. */
function expectAllReported(seed: number): ScenarioRun {
  const run = smallTasks(seed);
  const { oversized, mostTasks } = run.statistics;
  assert.equal(oversized, 0, `seed ${seed}: heartbeats refused for their size`);
  assert.ok(mostTasks <= MAX_TASKS_PER_MACHINE, `seed ${seed}: ${mostTasks}`);
  return run;
}

test("a machine is given no more small tasks than its heartbeats can list: it keeps its lease, and all jobs end", () => {
  const { world } = expectAllReported(0);
  assert.deepEqual(world.checker.brokenRules, []);
  assert.deepEqual(world.checker.unfinished(), []);
});

test("the same while leaders of full machines end, full machines restart and the state service is down", () => {
  expectRulesKept(expectAllReported, [1, 3], 2);
});
