import { test } from "node:test";
import { Controller } from "../../src/coordination/controller.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { lostReplies } from "./lost-replies.js";

test("transactions of every kind that are carried out while their replies are lost, and other controllers read the records and commit on top of them", () => {
  expectRulesKept(lostReplies, [0, 1, 2, 3, 4, 5, 6, 7, 8], 1);
});

test("guard: a transaction without a reply is not treated as refused", () => {
  expectDetected(lostReplies, [10], "ran_twice", () => {
    const before = Controller.prototype.commit;
    Controller.prototype.commit = function (conditions, writes, urgent, done) {
      before.call(this, conditions, writes, urgent, (end) =>
        done(end === "unknown" ? "refused" : end),
      );
    };
    return () => (Controller.prototype.commit = before);
  });
});
