/**
 * Guards of the core that tests switch off, to show that the checker detects what each of them prevents. A switch-off replaces a
 * method of the core and returns the function that restores it.
 */
import assert from "node:assert/strict";
import { Controller } from "../../src/coordination/controller.js";
import { DeliveryTracker } from "../../src/coordination/machines/delivery-tracker.js";
import { Reconciliation } from "../../src/coordination/machines/reconciliation.js";
import { PartitionState } from "../../src/coordination/scheduling/partition-state.js";
import { StoreWatcher } from "../../src/coordination/store/store-watcher.js";
import { FINAL_PREFIX, readFinal } from "../../src/storage/records.js";
import { Checker, UNCOUNTED } from "./checker.js";
import { World } from "./world.js";

/** Switches a guard off; the function it returns switches the guard on again. */
export type SwitchOff = () => () => void;

/** The broken rules of a workload, and the last lines of its log. */
export const describeWorkload = (world: World): string =>
  `${world.checker.broken.join("; ")}\n${world.logs.slice(-20).join("\n")}`;

/** Switches a guard off and expects the checker to detect a broken `rule` in the workload of one of these seeds. */
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
      if (workload(seed).checker.broken.some((text) => text.startsWith(rule)))
        return;
  } finally {
    restoreCount();
    restore();
  }
  assert.fail(`${rule} was not detected`);
}

/**
 * Without the checker's own count of tasks, which ends a day before the broken rule that follows from it: where a test is to see
 * that the rules themselves would notice.
 */
export function withoutCountCheck(): () => void {
  const before = Checker.prototype.everyTaskCounted;
  Checker.prototype.everyTaskCounted = () => {};
  return () => (Checker.prototype.everyTaskCounted = before);
}

/** Without the fence a new leader starts tasks that machines of the former leader may still run. */
export function withoutTakeoverFence(): () => void {
  const before = PartitionState.prototype.mayStart;
  PartitionState.prototype.mayStart = (job) =>
    !job.isOver && !job.waiting.isEmpty;
  return () => (PartitionState.prototype.mayStart = before);
}

/** Without the stale check a heartbeat counts although a newer one is known. */
export function withoutStaleCheck(): () => void {
  const before = DeliveryTracker.prototype.isStale;
  DeliveryTracker.prototype.isStale = () => false;
  return () => (DeliveryTracker.prototype.isStale = before);
}

/** Without the check a heartbeat counts for tasks whose starts were carried out, and answered, after it was made. */
export function withoutOvertakenCheck(): () => void {
  const before = Reconciliation.prototype.isOlderThanStart;
  Reconciliation.prototype.isOlderThanStart = () => false;
  return () => (Reconciliation.prototype.isOlderThanStart = before);
}

/** Without the read an answer rests on the cache as it is, however old that may be. */
export function withoutReadBeforeAnswer(): () => void {
  const before = StoreWatcher.prototype.afterRead;
  StoreWatcher.prototype.afterRead = (req, id, next) => next(req, id);
  return () => (StoreWatcher.prototype.afterRead = before);
}

/** Without the pin a task whose start command got no answer is free to start on another machine. */
export function withoutPinnedStarts(): () => void {
  const before = World.prototype.run;
  World.prototype.run = function (untilMs) {
    this.afterStep = (core) => {
      for (const leader of core.leaders.values())
        for (const worker of leader.state.workers.values())
          if (!worker.commandInFlight) worker.unansweredStarts.clear();
    };
    before.call(this, untilMs);
  };
  return () => (World.prototype.run = before);
}

/** Without its conditions the commit that ends a job with this status replaces whatever another has written. */
export function withoutEndCondition(status: "done" | "cancelled"): () => void {
  const before = Controller.prototype.commit;
  Controller.prototype.commit = function (conditions, writes, urgent, done) {
    const endsJob = writes.some(
      (write) =>
        write.op === "put" &&
        write.key.startsWith(FINAL_PREFIX) &&
        readFinal(write.value)?.status === status,
    );
    before.call(this, endsJob ? [] : conditions, writes, urgent, done);
  };
  return () => (Controller.prototype.commit = before);
}
