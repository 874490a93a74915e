/** The scenario of a large fleet, with fewer machines and bounds lowered in proportion; `test/simulation/hunt.ts` runs it at full size. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Redirects } from "../../src/coordination/machines/redirects.js";
import { RateLimitedLog } from "../../src/logging/rate-limited-log.js";
import { expectDetected, expectRulesKept } from "./expect.js";
import { largeFleet } from "./large-fleet.js";
import { boundsInProportion } from "./lowered-bounds.js";
import type { ScenarioRun } from "./stage.js";

const MACHINES = 300;
/** For the tests that expect a check to detect a fault. */
const FEW_MACHINES = 100;

const fleet =
  (controllers: 1 | 3, machines: number, lowered = {}) =>
  (seed: number): ScenarioRun =>
    largeFleet(seed, {
      machines,
      controllers,
      lowered: { ...boundsInProportion(machines), ...lowered },
    });

test("a large fleet under one controller that restarts: the rules hold and the log stays bounded", () => {
  expectRulesKept(fleet(1, MACHINES), [1], 1);
});

test("a large fleet under three controllers, a failover to one that its workers can't reach and a zone cut off: the rules hold, workers are relayed", () => {
  expectRulesKept(fleet(3, MACHINES), [0, 2], 2);
});

test("more warning subjects than a log remembers in a large fleet: one line a minute counts the others", () => {
  const { world, occurred } = fleet(1, FEW_MACHINES, {
    maxWarningSubjects: 20,
  })(1);
  assert.deepEqual(world.checker.brokenRules, []);
  const counted = occurred.get(
    "further subjects of warnings counted in one line",
  );
  assert.ok(counted !== undefined && counted >= 1, `${counted}`);
});

test("guard: the bound on remembered redirects covers all workers of a partition", () => {
  const withFewRedirects = fleet(3, FEW_MACHINES, { maxRedirects: 3 });
  expectDetected(withFewRedirects, [0], "sent_back", () => () => {});
});

test("guard: a worker that comes back after a redirect is relayed", () => {
  expectDetected(fleet(3, FEW_MACHINES), [0], "sent_back", () => {
    const before = Redirects.prototype.wasJustRedirected;
    Redirects.prototype.wasJustRedirected = () => false;
    return () => (Redirects.prototype.wasJustRedirected = before);
  });
});

test("guard: warnings about a subject are logged once a minute", () => {
  expectDetected(fleet(1, FEW_MACHINES), [1], "log_flood", () => {
    const before = RateLimitedLog.prototype.warn;
    RateLimitedLog.prototype.warn = function (event, subject, details) {
      const { ctx } = this as unknown as {
        ctx: { log: (event: string, fields: object) => void };
      };
      ctx.log(event, { subject, ...details, occurrences: 1 });
    };
    return () => (RateLimitedLog.prototype.warn = before);
  });
});
