import { test } from "node:test";
import { withoutRaisedToken } from "../simulation/guards.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import {
  commandCopies,
  COPIED_START,
  type Situation,
  SITUATIONS,
} from "./command-copies.js";

const SEEDS = [0, 1, 2, 3, 4, 5];

test("copies of carried-out starts arrive after the machine has forgotten the attempts: the rules hold, and nothing starts again", () => {
  expectRulesKept(commandCopies, SEEDS, 3);
});

test("guard: an attempt is forgotten only with a higher token: otherwise a task runs on two machines", () => {
  expectDetected(commandCopies, [0, 3], "ran_twice", withoutRaisedToken);
});

/** A session that is over refuses copies by itself. */
const REFUSED_ANYWAY: Situation =
  "from before a restart of the machine, in its next incarnation";

test("guard: the same in each situation alone: otherwise an attempt starts again", () => {
  for (const situation of SITUATIONS)
    if (situation !== REFUSED_ANYWAY)
      expectDetected(
        (seed) => commandCopies(seed, [situation]),
        SEEDS,
        COPIED_START,
        withoutRaisedToken,
      );
});
