import { test } from "node:test";
import { PartitionState } from "../../src/coordination/scheduling/partition-state.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { lateTransactions } from "./late-transactions.js";

const SEEDS = [0, 1, 2, 3, 4, 5];

test("transactions without an answer that arrive after newer ones of their controller don't overwrite these", () => {
  expectRulesKept(lateTransactions, SEEDS, 1);
});

test("guard: the commits of a leader are conditional on the records that they replace, not on its token alone", () => {
  expectDetected(lateTransactions, SEEDS, "ran_twice", () => {
    const before = PartitionState.prototype.commit;
    PartitionState.prototype.commit = function (
      _conditions,
      writes,
      urgent,
      done,
    ) {
      before.call(this, [], writes, urgent, done);
    };
    return () => (PartitionState.prototype.commit = before);
  });
});
