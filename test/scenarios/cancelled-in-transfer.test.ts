import { test } from "node:test";
import { PartitionLeader } from "../../src/coordination/scheduling/partition-leader.js";
import { cancelledInTransfer } from "./cancelled-in-transfer.js";
import { expectDetected, expectRulesKept } from "./expect.js";

test("jobs cancelled in each phase of a leadership transfer: none of their tasks starts, and running ones are stopped in time", () => {
  expectRulesKept(cancelledInTransfer, [0, 1, 2, 3, 4, 5, 6, 7], 3);
});

test("guard: a new leader stops tasks of jobs that are unknown to it", () => {
  expectDetected(cancelledInTransfer, [0], "ran_cancelled", () => {
    type WithCommands = {
      commandsFor(
        worker: { unconfirmedTasks: Map<string, unknown> },
        maySend: unknown,
      ): unknown;
    };
    const leader = PartitionLeader.prototype as unknown as WithCommands;
    const before = leader.commandsFor;
    leader.commandsFor = function (worker, maySend) {
      const { unconfirmedTasks } = worker;
      worker.unconfirmedTasks = new Map();
      const commands = before.call(this, worker, maySend);
      worker.unconfirmedTasks = unconfirmedTasks;
      return commands;
    };
    return () => (leader.commandsFor = before);
  });
});
