import assert from "node:assert/strict";
import {
  expectGuardNeeded,
  describeWorkload,
  type SwitchOff,
} from "../simulation/guards.js";
import type { Scenario } from "./stage.js";

/** No rule breaks in the workloads of these seeds, and each conjunction occurs at least so often on all of them together. */
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

/** With a guard switched off the rule breaks in the workload of one of these seeds. */
export function expectDetected(
  scenario: Scenario,
  seeds: readonly number[],
  rule: string,
  switchOff: SwitchOff,
): void {
  expectGuardNeeded((seed) => scenario(seed).world, seeds, rule, switchOff);
}
