import { test } from "node:test";
import { Controller } from "../../src/coordination/controller.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { lostAnswers } from "./lost-replies.js";

test("transactions of every kind whose answers alone are lost, while others read what was written and commit on top of it", () => {
  expectRulesKept(lostAnswers, [0, 1, 2, 3, 4, 5, 6, 7, 8], 1);
});

test("guard: a transaction without an answer is not taken for one that was refused", () => {
  expectDetected(lostAnswers, [10], "ran_twice", () => {
    const before = Controller.prototype.commit;
    Controller.prototype.commit = function (conditions, writes, urgent, done) {
      before.call(this, conditions, writes, urgent, (end) =>
        done(end === "unknown" ? "refused" : end),
      );
    };
    return () => (Controller.prototype.commit = before);
  });
});
