import assert from "node:assert/strict";
import { expectGuardNeeded, describeWorkload } from "../simulation/guards.js";
import type { Scenario } from "./stage.js";

/** No rule breaks on these days, and each conjunction occurs at least so often on all of them together. */
export function expectRulesKept(
  scenario: Scenario,
  seeds: readonly number[],
  least: number,
): void {
  const total = new Map<string, number>();
  for (const seed of seeds) {
    const { world, occurred } = scenario(seed);
    if (world.checker.broken.length > 0)
      assert.fail(`seed ${seed}: ${describeWorkload(world)}`);
    for (const [name, n] of occurred)
      total.set(name, (total.get(name) ?? 0) + n);
  }
  for (const [name, n] of total)
    assert.ok(n >= least, `"${name}" occurred ${n} times, not ${least}`);
}

/** With a guard switched off, `off` returning what switches it on again, the rule breaks on one of these days. */
export function expectDetected(
  scenario: Scenario,
  seeds: readonly number[],
  rule: string,
  off: () => () => void,
): void {
  expectGuardNeeded((seed) => scenario(seed).world, seeds, rule, off);
}
