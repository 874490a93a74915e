import { test } from "node:test";
import { expectDetected, expectRulesKept } from "./expect.js";
import { staleHeartbeats } from "./stale-heartbeats.js";
import { withoutStaleCheck } from "../simulation/guards.js";

test("stale heartbeats sent to every controller as a new leader begins, and to the leader after its first commands: they change nothing", () => {
  expectRulesKept(staleHeartbeats, [0, 1, 2, 3, 4, 5], 3);
});

test("guard: a heartbeat that is no newer than the last known one is ignored", () => {
  expectDetected(staleHeartbeats, [1], "ran_twice", withoutStaleCheck);
});
