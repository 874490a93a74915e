import assert from "node:assert/strict";
import type { World } from "./world.js";

/** What broke on a day, and the last that was logged. */
export const describeWorkload = (w: World): string =>
  `${w.checker.broken.join("; ")}\n${w.logs.slice(-20).join("\n")}`;

/** Switches a guard off, `off` returning what switches it on again, and expects the checker to notice on one of these days. */
export function expectGuardNeeded(
  day: (seed: number) => World,
  seeds: readonly number[],
  rule: string,
  off: () => () => void,
): void {
  const on = off();
  try {
    for (const seed of seeds)
      if (day(seed).checker.broken.some((b) => b.startsWith(rule))) return;
  } finally {
    on();
  }
  assert.fail(`${rule} was not caught`);
}
