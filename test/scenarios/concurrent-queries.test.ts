import { test } from "node:test";
import { FinalStatusReader } from "../../src/coordination/store/final-status-reader.js";
import { closeQuestions } from "./concurrent-queries.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { withoutReadBeforeAnswer } from "../simulation/guards.js";

test("questions, repeated submissions and cancellations at all controllers within milliseconds: no answer is older than what was told", () => {
  expectRulesKept(closeQuestions, [1, 2, 3, 4, 5], 5);
});

test("guard: an answer that is not final rests on a read sent after the question", () => {
  expectDetected(closeQuestions, [6], "went_back", withoutReadBeforeAnswer);
  expectDetected(closeQuestions, [1], "forgotten", withoutReadBeforeAnswer);
});

test("guard: that a job is unknown is told only by a read of its final record", () => {
  expectDetected(closeQuestions, [1, 2], "forgotten", () => {
    const before = FinalStatusReader.prototype.lookUp;
    FinalStatusReader.prototype.lookUp = (_id, done) => done(null, null);
    return () => (FinalStatusReader.prototype.lookUp = before);
  });
});
