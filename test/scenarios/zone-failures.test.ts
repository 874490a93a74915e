import { test } from "node:test";
import { Leadership } from "../../src/coordination/leadership/leadership.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { zoneFailures } from "./zone-failures.js";

test("jobs restricted to a zone that loses machines, and zones cut off with their controller for longer than a lease: the rules hold", () => {
  expectRulesKept(zoneFailures, [0, 1, 2, 3], 3);
});

test("guard: a leader that is cut off with its machines answers them only until its leadership lease expires", () => {
  const withoutInvariants = (seed: number): ReturnType<typeof zoneFailures> =>
    zoneFailures(seed, false);
  expectDetected(withoutInvariants, [4, 5], "ran_cancelled", () => {
    const name = "leadershipLeaseUntilMs";
    const before = Object.getOwnPropertyDescriptor(Leadership.prototype, name)!;
    Object.defineProperty(Leadership.prototype, name, {
      get: () => Infinity,
      configurable: true,
    });
    return () => Object.defineProperty(Leadership.prototype, name, before);
  });
});
