import { test } from "node:test";
import { GroupState } from "../src/coordination/group-state.js";
import { expectCaught, expectKept } from "./scenarios/expect.js";
import { unreachedTasks } from "./scenarios/unreached-tasks.js";

const SEEDS = [0, 1, 2, 3, 4, 5];

test("a leader ends while machines with long tasks can't be reached or don't hear the new leader: nothing is started twice", () => {
  expectKept(unreachedTasks, SEEDS, 1);
});

test("guard: what machines out of reach may run is not started again before they have spoken or their leases are over", () => {
  expectCaught(unreachedTasks, SEEDS, "ran_twice", () => {
    const before = GroupState.prototype.mayStart;
    GroupState.prototype.mayStart = (job) => !job.gone && !job.waiting.isEmpty;
    return () => (GroupState.prototype.mayStart = before);
  });
});
