import { test } from "node:test";
import { expectDetected, expectRulesKept } from "./expect.js";
import { delayedCommands } from "./delayed-commands.js";
import { withoutPinnedStarts } from "../simulation/guards.js";

test("direct commands that are delayed and carried out once: after a new leader's commands, on machines that can't send heartbeats, for cancelled jobs", () => {
  expectRulesKept(delayedCommands, [0, 1, 2, 3], 3);
});

test("guard: a start command without an answer pins its task to its machine", () => {
  expectDetected(delayedCommands, [0], "quota", withoutPinnedStarts);
});
