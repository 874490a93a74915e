import { test } from "node:test";
import { expectDetected, expectRulesKept } from "./expect.js";
import { leaderChanges } from "./leader-changes.js";
import { withoutFailoverFence } from "../simulation/guards.js";

test("ten changes of leader in two minutes, some during outages, all controllers down for longer than a lease, one back at once: the rules hold", () => {
  expectRulesKept(leaderChanges, [0, 1, 2, 3], 3);
});

test("guard: a new leader starts a task of an existing job only once all machines are accounted for", () => {
  expectDetected(
    leaderChanges,
    [0, 1, 2, 3],
    "ran_twice",
    withoutFailoverFence,
  );
});
