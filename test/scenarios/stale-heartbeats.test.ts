import { test } from "node:test";
import { expectDetected, expectRulesKept } from "./expect.js";
import { oldReports } from "./stale-heartbeats.js";
import { withoutStaleCheck } from "../simulation/guards.js";

test("old reports at every controller as a new leader begins, and after it has acted: they establish nothing", () => {
  expectRulesKept(oldReports, [0, 1, 2, 3, 4, 5], 3);
});

test("guard: a report that is no newer than what is known says nothing", () => {
  expectDetected(oldReports, [1], "ran_twice", withoutStaleCheck);
});
