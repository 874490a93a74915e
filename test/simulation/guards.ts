/**
 * Switches single guards of the core off, so that tests can show that the checker detects the fault which each guard prevents.
 * Each function replaces a method and returns a function that restores it.
 */
import assert from "node:assert/strict";
import { Controller } from "../../src/coordination/controller.js";
import { CommandFence } from "../../src/coordination/machines/command-fence.js";
import { DeliveryTracker } from "../../src/coordination/machines/delivery-tracker.js";
import { MachineInspection } from "../../src/coordination/machines/inspection.js";
import { Reconciliation } from "../../src/coordination/machines/reconciliation.js";
import { PartitionState } from "../../src/coordination/scheduling/partition-state.js";
import { StoreWatcher } from "../../src/coordination/store/store-watcher.js";
import { FINAL_PREFIX, readFinal } from "../../src/storage/records.js";
import { Checker, UNCOUNTED } from "./checker.js";
import { World } from "./world.js";

/** Switches a guard off and returns a function that switches it on again. */
export type SwitchOff = () => () => void;

/** The broken rules of a workload and the last 20 lines of its log. */
export const describeWorkload = (world: World): string =>
  `${world.checker.brokenRules.join("; ")}\n${world.logs.slice(-20).join("\n")}`;

/** Switches a guard off and expects the checker to find `rule` broken in the workload of at least one of these seeds. */
export function expectGuardNeeded(
  workload: (seed: number) => World,
  seeds: readonly number[],
  rule: string,
  switchOff: SwitchOff,
): void {
  const restore = switchOff();
  const restoreCount = rule === UNCOUNTED ? () => {} : withoutCountCheck();
  try {
    for (const seed of seeds)
      if (
        workload(seed).checker.brokenRules.some((text) => text.startsWith(rule))
      )
        return;
  } finally {
    restoreCount();
    restore();
  }
  assert.fail(`${rule} was not detected`);
}

/**
 * Switches off the checker's count of tasks. It would end a workload before the rule that follows from it breaks, and a test is to
 * show that this rule itself is detected.
 */
export function withoutCountCheck(): () => void {
  const original = Checker.prototype.checkEveryTaskCounted;
  Checker.prototype.checkEveryTaskCounted = () => {};
  return () => (Checker.prototype.checkEveryTaskCounted = original);
}

/** Switches off the failover fence: a new leader starts tasks that machines of the former leader may still run. */
export function withoutFailoverFence(): () => void {
  const original = PartitionState.prototype.mayStart;
  PartitionState.prototype.mayStart = (job) =>
    !job.isOver && !job.waiting.isEmpty;
  return () => (PartitionState.prototype.mayStart = original);
}

/** Switches off the stale check: a heartbeat is applied although a newer one has arrived. */
export function withoutStaleCheck(): () => void {
  const original = DeliveryTracker.prototype.isStale;
  DeliveryTracker.prototype.isStale = () => false;
  return () => (DeliveryTracker.prototype.isStale = original);
}

/**
 * Switches off the check for overtaken heartbeats: one is applied also to tasks whose start was confirmed after it was made. The
 * wait for a higher token, which prevents the same faults, is switched off too.
 */
export function withoutOvertakenCheck(): () => void {
  const original = Reconciliation.prototype.isOlderThanStart;
  Reconciliation.prototype.isOlderThanStart = () => false;
  const restoreWait = withoutWaitForToken();
  return () => {
    Reconciliation.prototype.isOlderThanStart = original;
    restoreWait();
  };
}

/** Switches off the raised token: an attempt is forgotten as soon as no start of it is unanswered. */
export function withoutRaisedToken(): () => void {
  const original = CommandFence.prototype.areRefusedAfterAnswer;
  CommandFence.prototype.areRefusedAfterAnswer = function (key) {
    return !this.isUnanswered(key);
  };
  const restoreWait = withoutWaitForToken();
  return () => {
    CommandFence.prototype.areRefusedAfterAnswer = original;
    restoreWait();
  };
}

/** Switches off the wait for a higher token: a task that was started directly and is missing may start elsewhere at once. */
function withoutWaitForToken(): () => void {
  const original = CommandFence.prototype.mayArrive;
  CommandFence.prototype.mayArrive = function (key) {
    return this.isUnanswered(key);
  };
  return () => (CommandFence.prototype.mayArrive = original);
}

/** Switches off the fence of machines that may have restarted: they are only asked for their status, after a silence. */
export function withoutRestartFence(): () => void {
  const original = MachineInspection.prototype.fence;
  MachineInspection.prototype.fence = () => {};
  return () => (MachineInspection.prototype.fence = original);
}

/** Switches off the read before an answer: users are answered from the cache, however old it is. */
export function withoutReadBeforeAnswer(): () => void {
  const original = StoreWatcher.prototype.afterRead;
  StoreWatcher.prototype.afterRead = (reqId, id, next) => next(reqId, id);
  return () => (StoreWatcher.prototype.afterRead = original);
}

/** Switches off pinned starts: a task whose start command got no answer may start on another machine. */
export function withoutPinnedStarts(): () => void {
  const original = World.prototype.run;
  World.prototype.run = function (untilMs) {
    this.afterStep = (core) => {
      for (const leader of core.leaders.values())
        for (const worker of leader.state.workers.values())
          if (!worker.commandInFlight) worker.commandFence.clear();
    };
    original.call(this, untilMs);
  };
  return () => (World.prototype.run = original);
}

/** Removes the conditions of the commit that ends a job with this status, so that it overwrites what another controller wrote. */
export function withoutEndCondition(status: "done" | "cancelled"): () => void {
  const original = Controller.prototype.commit;
  Controller.prototype.commit = function (conditions, writes, priority, done) {
    const endsJob = writes.some(
      (write) =>
        write.op === "put" &&
        write.key.startsWith(FINAL_PREFIX) &&
        readFinal(write.value)?.status === status,
    );
    original.call(this, endsJob ? [] : conditions, writes, priority, done);
  };
  return () => (Controller.prototype.commit = original);
}
