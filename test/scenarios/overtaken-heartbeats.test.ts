import { test } from "node:test";
import { withoutOvertakenCheck } from "../simulation/guards.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { overtakenHeartbeats } from "./overtaken-heartbeats.js";

const SEEDS = [0, 1, 2, 3, 4, 5, 6, 7];

test("heartbeats that arrive after the answer to a start command carried out after they were made: no team above its limit, every task counted", () => {
  expectRulesKept(overtakenHeartbeats, SEEDS, 3);
});

test("guard: a heartbeat older than the answer to a start is ignored for its task: otherwise a team exceeds its limit", () => {
  expectDetected(overtakenHeartbeats, [1, 14], "quota", withoutOvertakenCheck);
});

test("guard: the same, detected before a limit is exceeded: a task on a machine that its leader does not count", () => {
  expectDetected(overtakenHeartbeats, [0], "uncounted", withoutOvertakenCheck);
});
