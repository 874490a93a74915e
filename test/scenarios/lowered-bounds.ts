/** Lowers bounds of the software in simulated controllers, so that fewer machines reach them. */
import assert from "node:assert/strict";
import type { Controller } from "../../src/coordination/controller.js";
import { Redirects } from "../../src/coordination/machines/redirects.js";
import type { PartitionLeader } from "../../src/coordination/scheduling/partition-leader.js";
import { RateLimitedLog } from "../../src/logging/rate-limited-log.js";
import type { World } from "../simulation/world.js";

/** Values that replace the software's own bounds. */
export interface LoweredBounds {
  maxRedirects: number;
  maxWarningSubjects: number;
}

/** Bounds in the same proportion to the number of machines as the software's own to 4,000 machines. */
export const boundsInProportion = (machines: number): LoweredBounds => ({
  maxRedirects: 2 * machines,
  maxWarningSubjects: 4 * machines,
});

/** Replaces the objects that have these bounds in each controller and leader before their first use. */
export function lowerBounds(world: World, bounds: LoweredBounds): void {
  const lowered = new WeakSet<Controller | PartitionLeader>();
  world.afterStep = (core) => {
    if (!lowered.has(core)) {
      lowered.add(core);
      lowerRedirects(core, bounds.maxRedirects);
    }
    for (const leader of core.leaders.values()) {
      if (lowered.has(leader)) continue;
      lowered.add(leader);
      lowerWarnings(core, leader, bounds.maxWarningSubjects);
    }
  };
}

function lowerRedirects(core: Controller, maxRedirects: number): void {
  const { heartbeats: holder } = core as unknown as {
    heartbeats: { redirects: Redirects };
  };
  assert.ok(holder.redirects instanceof Redirects);
  assert.equal(holder.redirects.size, 0);
  holder.redirects = new Redirects(maxRedirects);
}

function lowerWarnings(
  core: Controller,
  leader: PartitionLeader,
  maxSubjects: number,
): void {
  const holder = leader as unknown as { contradictions: RateLimitedLog };
  assert.ok(holder.contradictions instanceof RateLimitedLog);
  holder.contradictions = new RateLimitedLog(core, maxSubjects);
}
