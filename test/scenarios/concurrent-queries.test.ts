import { test } from "node:test";
import { FinalStatusReader } from "../../src/coordination/store/final-status-reader.js";
import { concurrentQueries } from "./concurrent-queries.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { withoutReadBeforeAnswer } from "../simulation/guards.js";

test("status queries, repeated submissions and cancellations at all controllers within milliseconds: no answer is older than one already given", () => {
  expectRulesKept(concurrentQueries, [1, 2, 3, 4, 5], 5);
});

test("guard: an answer that is not final is based on a read sent after the query", () => {
  expectDetected(concurrentQueries, [6], "went_back", withoutReadBeforeAnswer);
  expectDetected(concurrentQueries, [1], "forgotten", withoutReadBeforeAnswer);
});

test("guard: a job is reported as unknown only after a read of its final record", () => {
  expectDetected(concurrentQueries, [1, 2], "forgotten", () => {
    const before = FinalStatusReader.prototype.lookUp;
    FinalStatusReader.prototype.lookUp = (_id, done) => done(null, null);
    return () => (FinalStatusReader.prototype.lookUp = before);
  });
});
