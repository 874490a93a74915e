import { test } from "node:test";
import { Lookups } from "../src/coordination/lookups.js";
import { StateReader } from "../src/coordination/state-reader.js";
import { closeQuestions } from "./scenarios/close-questions.js";
import { expectCaught, expectKept } from "./scenarios/expect.js";

test("questions, repeated submissions and cancellations at all controllers within milliseconds: no answer is older than what was told", () => {
  expectKept(closeQuestions, [1, 2, 3, 4, 5], 5);
});

test("guard: an answer that is not final rests on a read sent after the question", () => {
  const withoutRead = (): (() => void) => {
    const before = StateReader.prototype.afterRead;
    StateReader.prototype.afterRead = (req, id, next) => next(req, id);
    return () => (StateReader.prototype.afterRead = before);
  };
  expectCaught(closeQuestions, [6], "went_back", withoutRead);
  expectCaught(closeQuestions, [1], "forgotten", withoutRead);
});

test("guard: that a job is unknown is told only by a read of its final record", () => {
  expectCaught(closeQuestions, [1, 2], "forgotten", () => {
    const before = Lookups.prototype.ask;
    Lookups.prototype.ask = (_id, done) => done(null, null);
    return () => (Lookups.prototype.ask = before);
  });
});
