import { test } from "node:test";
import { Controller } from "../../src/coordination/controller.js";
import { FINAL_PREFIX, readFinal } from "../../src/storage/records.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { lastTask } from "./last-task.js";

test("a cancellation, a question or a repeated submission meets the end of a job's last task, with no other trouble", () => {
  expectRulesKept(lastTask, [0, 1, 2, 3, 4, 5, 6, 7], 3);
});

test("guard: the end of a job is conditional on the job's record", () => {
  expectDetected(lastTask, [0, 1, 2, 3, 4, 5, 6, 7], "went_back", () => {
    const before = Controller.prototype.commit;
    Controller.prototype.commit = function (conditions, writes, urgent, done) {
      const endsJob = writes.some(
        (w) =>
          w.op === "put" &&
          w.key.startsWith(FINAL_PREFIX) &&
          readFinal(w.value)?.status === "done",
      );
      before.call(this, endsJob ? [] : conditions, writes, urgent, done);
    };
    return () => (Controller.prototype.commit = before);
  });
});
