import { test } from "node:test";
import { GroupState } from "../src/coordination/group-state.js";
import { expectCaught, expectKept } from "./scenarios/expect.js";
import { limitsOutOfReach } from "./scenarios/limits-out-of-reach.js";

test("jobs cancelled at their teams' limits, on machines out of reach, and a new leader within the lease: the limits hold, and they are gone in time", () => {
  expectKept(limitsOutOfReach, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9], 1);
});

test("guard: what silent machines of the former leader may run counts for the limits", () => {
  expectCaught(limitsOutOfReach, [1], "quota", () => {
    const before = GroupState.prototype.usage;
    GroupState.prototype.usage = function () {
      const own = this as unknown as { fence: unknown };
      const { fence } = own;
      own.fence = null;
      const used = before.call(this);
      own.fence = fence;
      return used;
    };
    return () => (GroupState.prototype.usage = before);
  });
});
