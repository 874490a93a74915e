import { test } from "node:test";
import { FinalStatusReader } from "../../src/coordination/store/final-status-reader.js";
import { StoreWatcher } from "../../src/coordination/store/store-watcher.js";
import { closeQuestions } from "./concurrent-queries.js";
import { expectDetected, expectRulesKept } from "./expect.js";

test("questions, repeated submissions and cancellations at all controllers within milliseconds: no answer is older than what was told", () => {
  expectRulesKept(closeQuestions, [1, 2, 3, 4, 5], 5);
});

test("guard: an answer that is not final rests on a read sent after the question", () => {
  const withoutRead = (): (() => void) => {
    const before = StoreWatcher.prototype.afterRead;
    StoreWatcher.prototype.afterRead = (req, id, next) => next(req, id);
    return () => (StoreWatcher.prototype.afterRead = before);
  };
  expectDetected(closeQuestions, [6], "went_back", withoutRead);
  expectDetected(closeQuestions, [1], "forgotten", withoutRead);
});

test("guard: that a job is unknown is told only by a read of its final record", () => {
  expectDetected(closeQuestions, [1, 2], "forgotten", () => {
    const before = FinalStatusReader.prototype.ask;
    FinalStatusReader.prototype.ask = (_id, done) => done(null, null);
    return () => (FinalStatusReader.prototype.ask = before);
  });
});
