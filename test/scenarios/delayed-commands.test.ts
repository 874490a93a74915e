import { test } from "node:test";
import { expectDetected, expectRulesKept } from "./expect.js";
import { heldCommands } from "./delayed-commands.js";
import { withoutPinnedStarts } from "../simulation/guards.js";

test("direct commands that are held up and carried out once, after a new leader's, on machines that can't report, for jobs that are cancelled", () => {
  expectRulesKept(heldCommands, [0, 1, 2, 3], 3);
});

test("guard: a start without an answer pins its task to its machine", () => {
  expectDetected(heldCommands, [0], "quota", withoutPinnedStarts);
});
