import assert from "node:assert/strict";
import {
  expectGuardNeeded,
  describeWorkload,
  type SwitchOff,
} from "../simulation/guards.js";
import type { Scenario } from "./stage.js";

/** Expects that no rule is broken with any seed, and that each combination of faults occurs at least `minCount` times over all seeds. */
export function expectRulesKept(
  scenario: Scenario,
  seeds: readonly number[],
  minCount: number,
): void {
  const total = new Map<string, number>();
  for (const seed of seeds) {
    const { world, occurred } = scenario(seed);
    if (world.checker.brokenRules.length > 0)
      assert.fail(`seed ${seed}: ${describeWorkload(world)}`);
    for (const [name, n] of occurred)
      total.set(name, (total.get(name) ?? 0) + n);
  }
  for (const [name, n] of total)
    assert.ok(
      n >= minCount,
      `"${name}" occurred ${n} times, expected at least ${minCount}`,
    );
}

/** Expects that, with a guard switched off, the checker detects a broken `rule` with at least one of these seeds. */
export function expectDetected(
  scenario: Scenario,
  seeds: readonly number[],
  rule: string,
  switchOff: SwitchOff,
): void {
  expectGuardNeeded((seed) => scenario(seed).world, seeds, rule, switchOff);
}
