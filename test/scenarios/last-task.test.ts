import { test } from "node:test";
import { expectDetected, expectRulesKept } from "./expect.js";
import { lastTask } from "./last-task.js";
import { withoutEndCondition } from "../simulation/guards.js";

test("a cancellation, a status query or a repeated submission races with the end of a job's last task, with no other injected fault", () => {
  expectRulesKept(lastTask, [0, 1, 2, 3, 4, 5, 6, 7], 3);
});

test("guard: the commit that ends a job is conditional on the job's record", () => {
  expectDetected(lastTask, [0, 1, 2, 3, 4, 5, 6, 7], "went_back", () =>
    withoutEndCondition("done"),
  );
});
