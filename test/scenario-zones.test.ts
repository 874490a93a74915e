import { test } from "node:test";
import { Ownership } from "../src/coordination/ownership.js";
import { expectCaught, expectKept } from "./scenarios/expect.js";
import { zones } from "./scenarios/zones.js";

test("jobs bound to a zone that loses machines, and zones cut off with their controller for longer than a lease: the rules hold", () => {
  expectKept(zones, [0, 1, 2, 3], 3);
});

test("guard: a leader that is cut off with its machines answers them only for as long as its permit lasts", () => {
  const withoutInvariants = (seed: number): ReturnType<typeof zones> =>
    zones(seed, false);
  expectCaught(withoutInvariants, [0, 1, 2, 3], "ran_cancelled", () => {
    const name = "permitUntilMs";
    const before = Object.getOwnPropertyDescriptor(Ownership.prototype, name)!;
    Object.defineProperty(Ownership.prototype, name, {
      get: () => Infinity,
      configurable: true,
    });
    return () => Object.defineProperty(Ownership.prototype, name, before);
  });
});
