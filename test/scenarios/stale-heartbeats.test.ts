import { test } from "node:test";
import { DeliveryTracker } from "../../src/coordination/machines/delivery-tracker.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { oldReports } from "./stale-heartbeats.js";

test("old reports at every controller as a new leader begins, and after it has acted: they establish nothing", () => {
  expectRulesKept(oldReports, [0, 1, 2, 3, 4, 5], 3);
});

test("guard: a report that is no newer than what is known says nothing", () => {
  expectDetected(oldReports, [1], "ran_twice", () => {
    const before = DeliveryTracker.prototype.isStale;
    DeliveryTracker.prototype.isStale = () => false;
    return () => (DeliveryTracker.prototype.isStale = before);
  });
});
