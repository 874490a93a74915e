import { test } from "node:test";
import { expectDetected, expectRulesKept } from "./expect.js";
import { unreachedTasks } from "./unreachable-tasks.js";
import { withoutTakeoverFence } from "../simulation/guards.js";

const SEEDS = [0, 1, 2, 3, 4, 5];

test("a leader ends while machines with long tasks can't be reached or don't hear the new leader: nothing is started twice", () => {
  expectRulesKept(unreachedTasks, SEEDS, 1);
});

test("guard: what machines out of reach may run is not started again before they have spoken or their leases are over", () => {
  expectDetected(unreachedTasks, SEEDS, "ran_twice", withoutTakeoverFence);
});
