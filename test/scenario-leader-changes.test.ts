import { test } from "node:test";
import { GroupState } from "../src/coordination/group-state.js";
import { expectCaught, expectKept } from "./scenarios/expect.js";
import { leaderChanges } from "./scenarios/leader-changes.js";

test("ten changes of leader in two minutes, also inside outages, all away for longer than a lease, one back at once: the rules hold", () => {
  expectKept(leaderChanges, [0, 1, 2, 3], 3);
});

test("guard: a task of a former leader's job starts only once all machines are accounted for", () => {
  expectCaught(leaderChanges, [0, 1, 2, 3], "ran_twice", () => {
    const before = GroupState.prototype.mayStart;
    GroupState.prototype.mayStart = (job) => !job.gone && !job.waiting.isEmpty;
    return () => (GroupState.prototype.mayStart = before);
  });
});
