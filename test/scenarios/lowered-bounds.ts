/** Runs simulated controllers with lower bounds of the software, so that fewer machines reach them. */
import assert from "node:assert/strict";
import type { Controller } from "../../src/coordination/controller.js";
import { Redirects } from "../../src/coordination/machines/redirects.js";
import type { PartitionLeader } from "../../src/coordination/scheduling/partition-leader.js";
import { RateLimitedLog } from "../../src/logging/rate-limited-log.js";
import type { World } from "../simulation/world.js";

/** The software's bounds, where they are not to be its own. */
export interface LoweredBounds {
  maxRedirects: number;
  maxWarningSubjects: number;
}

/** Bounds in the proportion that the software's own have to 4,000 machines. */
export const boundsInProportion = (machines: number): LoweredBounds => ({
  maxRedirects: 2 * machines,
  maxWarningSubjects: 4 * machines,
});

/** Replaces what holds the bounds in each controller and leader before it is first used. */
export function lowerBounds(world: World, bounds: LoweredBounds): void {
  const seen = new WeakSet<Controller | PartitionLeader>();
  world.afterStep = (core) => {
    if (!seen.has(core)) {
      seen.add(core);
      lowerRedirects(core, bounds.maxRedirects);
    }
    for (const leader of core.leaders.values()) {
      if (seen.has(leader)) continue;
      seen.add(leader);
      lowerWarnings(core, leader, bounds.maxWarningSubjects);
    }
  };
}

function lowerRedirects(core: Controller, max: number): void {
  const { heartbeats: holder } = core as unknown as {
    heartbeats: { redirects: Redirects };
  };
  assert.ok(holder.redirects instanceof Redirects);
  assert.equal(holder.redirects.size, 0);
  holder.redirects = new Redirects(max);
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
