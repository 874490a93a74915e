import { test } from "node:test";
import { expectDetected, expectRulesKept } from "./expect.js";
import { unreachableTasks } from "./unreachable-tasks.js";
import { withoutFailoverFence } from "../simulation/guards.js";

const SEEDS = [0, 1, 2, 3, 4, 5];

test("a leader fails while machines with long tasks can't be reached or don't receive the new leader's answers: no task is started twice", () => {
  expectRulesKept(unreachableTasks, SEEDS, 1);
});

test("guard: tasks that unreachable machines may run are not started again until the machines send a heartbeat or their leases expire", () => {
  expectDetected(unreachableTasks, SEEDS, "ran_twice", withoutFailoverFence);
});
