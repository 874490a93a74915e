import { test } from "node:test";
import { withoutRestartFence } from "../simulation/guards.js";
import { COPIED_START } from "./command-copies.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { forgottenTokens } from "./forgotten-tokens.js";

const SEEDS = [0, 1, 2, 3, 4, 5];

test("machines are back without their tokens, and copies of all their starts arrive after their first heartbeat: the rules hold, and nothing starts again", () => {
  expectRulesKept(forgottenTokens, SEEDS, 30);
});

test("guard: a machine that may have restarted is shown a token at once: otherwise a task runs on two machines", () => {
  expectDetected(forgottenTokens, [19, 22], "ran_twice", withoutRestartFence);
});

test("guard: the same: otherwise an attempt starts again", () => {
  expectDetected(forgottenTokens, [0], COPIED_START, withoutRestartFence);
});
