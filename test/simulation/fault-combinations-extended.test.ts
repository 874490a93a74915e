import assert from "node:assert/strict";
import { test } from "node:test";
import {
  expectGuardNeeded,
  describeWorkload,
  withoutStaleCheck,
} from "./guards.js";
import {
  drawMore,
  type AllFaultCombinationCounts,
  noFaultCombinations,
  playMore,
} from "./fault-combinations.js";
import type { World } from "./world.js";

/** The rest of the fault combinations that the operators name: docs/design/meetings.md has the table of fault combinations, tests and guards. */

test("two to five injected faults of all that the operators name, a third of the workloads with short limits: the rules hold, nobody is left waiting, each combination occurs", () => {
  const met = noFaultCombinations();
  for (const seed of [0, 1, 2, 15, 19, 32, 33, 51]) {
    const { world: w, occurred: m } = playMore(seed, drawMore(seed));
    assert.deepEqual(
      w.checker.broken,
      [],
      `seed ${seed}, ${JSON.stringify(drawMore(seed))}: ${describeWorkload(w)}`,
    );
    for (const k of Object.keys(met) as (keyof AllFaultCombinationCounts)[])
      met[k] += m[k];
  }
  for (const [k, n] of Object.entries(met))
    assert.ok(n > 0, `${k} never occurred: ${JSON.stringify(met)}`);
});

const drawn = (seed: number): World => playMore(seed, drawMore(seed)).world;

test("guard: a report that is older than what is known says nothing, also when it is kept for a new master", () => {
  expectGuardNeeded(drawn, [56], "ran_twice", withoutStaleCheck);
});
