import { test } from "node:test";
import { Holdings } from "../src/coordination/holdings.js";
import { expectCaught, expectKept } from "./scenarios/expect.js";
import { leaderChanges } from "./scenarios/leader-changes.js";

test("ten changes of leader in two minutes, also inside outages, all away for longer than a lease, one back at once: the rules hold", () => {
  expectKept(leaderChanges, [0, 1, 2, 3], 3);
});

test("guard: a task of a former leader's job starts only once all machines are accounted for", () => {
  expectCaught(leaderChanges, [0, 1, 2, 3], "ran_twice", () => {
    const before = Holdings.prototype.mayStart;
    Holdings.prototype.mayStart = (job) => !job.gone && !job.waiting.isEmpty;
    return () => (Holdings.prototype.mayStart = before);
  });
});
