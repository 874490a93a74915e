import { test } from "node:test";
import { PartitionState } from "../../src/coordination/scheduling/partition-state.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { unreachedTasks } from "./unreachable-tasks.js";

const SEEDS = [0, 1, 2, 3, 4, 5];

test("a leader ends while machines with long tasks can't be reached or don't hear the new leader: nothing is started twice", () => {
  expectRulesKept(unreachedTasks, SEEDS, 1);
});

test("guard: what machines out of reach may run is not started again before they have spoken or their leases are over", () => {
  expectDetected(unreachedTasks, SEEDS, "ran_twice", () => {
    const before = PartitionState.prototype.mayStart;
    PartitionState.prototype.mayStart = (job) =>
      !job.isOver && !job.waiting.isEmpty;
    return () => (PartitionState.prototype.mayStart = before);
  });
});
