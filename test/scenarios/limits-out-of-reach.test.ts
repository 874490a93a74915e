import { test } from "node:test";
import { PartitionState } from "../../src/coordination/scheduling/partition-state.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { limitsOutOfReach } from "./limits-out-of-reach.js";

test("jobs cancelled at their teams' limits, on unreachable machines, and a new leader within the lease: the limits hold, and the tasks end in time", () => {
  expectRulesKept(limitsOutOfReach, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9], 1);
});

test("guard: tasks that silent machines of the former leader may run count towards the limits", () => {
  expectDetected(limitsOutOfReach, [1], "quota", () => {
    const before = PartitionState.prototype.usage;
    PartitionState.prototype.usage = function () {
      const own = this as unknown as { failoverFence: unknown };
      const { failoverFence } = own;
      own.failoverFence = null;
      const used = before.call(this);
      own.failoverFence = failoverFence;
      return used;
    };
    return () => (PartitionState.prototype.usage = before);
  });
});
