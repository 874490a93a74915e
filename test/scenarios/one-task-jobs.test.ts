import assert from "node:assert/strict";
import { test } from "node:test";
import { expectDetected, expectRulesKept } from "./expect.js";
import { oneTaskJobs } from "./one-task-jobs.js";
import { withoutEndCondition } from "../simulation/guards.js";

/** The lowest limit on written records (puts and deletes) per second in the operators' deployments. */
const MAX_WRITES_PER_S = 60;

test("one-task jobs, four a second for three minutes, a quarter cancelled: the rules hold, no job is left waiting, no records are left over", () => {
  expectRulesKept(oneTaskJobs, [0, 1], 10);
  const { statistics: figures } = oneTaskJobs(1);
  assert.deepEqual(figures.leftoverKeys, []);
  assert.ok(figures.peakPerS <= MAX_WRITES_PER_S, JSON.stringify(figures));
});

test("guard: the commit of a cancellation that races with the end of the last task is conditional on the job's record", () => {
  expectDetected(oneTaskJobs, [32, 37], "went_back", () =>
    withoutEndCondition("cancelled"),
  );
});
