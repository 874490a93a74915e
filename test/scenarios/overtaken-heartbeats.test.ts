import { test } from "node:test";
import { expectRulesKept } from "./expect.js";
import { overtakenHeartbeats } from "./overtaken-heartbeats.js";

const SEEDS = [0, 1, 2, 3, 4, 5, 6, 7];

test("heartbeats that arrive after the answer to a start that was carried out later: no team above its limit, every task counted", () => {
  expectRulesKept(overtakenHeartbeats, SEEDS, 3);
});
