import assert from "node:assert/strict";
import { test } from "node:test";
import { expectDetected, expectRulesKept } from "./expect.js";
import { oneTaskJobs } from "./one-task-jobs.js";
import { withoutEndCondition } from "../simulation/guards.js";

/** The least that a deployment of the operators allows: changes a second. */
const CHANGES_PER_S = 60;

test("one-task jobs, four a second for three minutes, a quarter cancelled: the rules hold, nobody waits, no records pile up", () => {
  expectRulesKept(oneTaskJobs, [0, 1], 10);
  const { figures } = oneTaskJobs(1);
  assert.deepEqual(figures.leftover, []);
  assert.ok(figures.mostInOneS <= CHANGES_PER_S, JSON.stringify(figures));
});

test("guard: a cancellation that meets the end of the last task is conditional on the job's record", () => {
  expectDetected(oneTaskJobs, [0], "went_back", () =>
    withoutEndCondition("cancelled"),
  );
});
