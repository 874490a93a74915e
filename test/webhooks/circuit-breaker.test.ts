import assert from "node:assert/strict";
import { test } from "node:test";
import type { WebhookInput } from "../../src/webhooks/webhook-core.js";
import { laneOf } from "../../src/webhooks/delivery-lanes.js";
import { laneOwnerKey } from "../../src/webhooks/records.js";
import { LIMITS, type Receiver, WebhookWorld } from "./webhook-world.js";

/**
 * Guards against a receiver that is never tried again: a webhook was removed while the only attempt that its half-open circuit
 * breaker allowed was in flight. Nobody told the breaker how the attempt ended, so that it allowed no other, and the receiver's other
 * webhooks sent nothing more.
 */

type Request = Extract<WebhookInput, { type: "request" }>["request"];

/** Longer than the longest pauses of the circuit breaker and of one notification, an attempt and a change of lanes together. */
const RECOVERY_MS = 300_000;
/** Pauses that end soon, so that the receiver's webhooks wait for their breaker and for nothing else. */
const SHORT_PAUSES = {
  ...LIMITS,
  backoff: { baseMs: 500, maxMs: 2_000 },
  breakerPause: { baseMs: 1_000, maxMs: 4_000 },
};
const PROBE_SEEN_MS = 1_000;

/** One controller and two webhooks of the same receiver, which has stopped answering; the only attempt in flight is a probe. */
interface ProbeInFlight {
  world: WebhookWorld;
  receiver: Receiver;
  /** The webhook whose notification the probe carries, and the receiver's other one. */
  probed: string;
  other: string;
}

function probeInFlight(seed: number): ProbeInFlight {
  const world = new WebhookWorld(seed, SHORT_PAUSES, 1);
  world.run(3_000);
  const receiver = world.add("first");
  world.add("second", { url: "http://r-first.example.org/in" });
  receiver.mode = "silent-lost";
  for (let i = 0; i < 8; i++) world.end(`req-00000${i}`);
  const node = world.nodes[0]!;
  for (let waitedMs = 0; waitedMs < 200_000; waitedMs += 100) {
    world.run(100);
    const inFlight = [...node.attemptsInFlight.values()];
    const { receivers } = node.core!.figures;
    const isProbe = receivers["half-open"] === 1 && inFlight.length === 1;
    if (!isProbe) continue;
    world.run(PROBE_SEEN_MS);
    assert.equal(node.attemptsInFlight.size, 1, "a second attempt beside it");
    const probed = inFlight[0]!.webhook;
    const other = probed === "first" ? "second" : "first";
    return { world, receiver, probed, other };
  }
  assert.fail("the breaker never became half-open with one attempt in flight");
}

function request(world: WebhookWorld, body: Request): void {
  const reqId = world.ask(world.nodes[0]!, body);
  world.run(2_000);
  assert.equal(world.replies.get(reqId)?.status, 200);
}

/** The receiver answers again, another job ends, and all notifications of these webhooks arrive. */
function expectRecovery(
  { world, receiver }: ProbeInFlight,
  webhooks: readonly string[],
): void {
  receiver.mode = "healthy";
  world.end("req-000009");
  world.run(RECOVERY_MS);
  for (const webhook of webhooks)
    assert.deepEqual(
      [...world.ended.keys()].filter(
        (id) => !receiver.delivered.has(`${webhook} ${id}`),
      ),
      [],
      `${webhook}: not told`,
    );
  assert.deepEqual(world.violations, []);
}

const SEEDS = [1, 2, 3];

test("a webhook removed while its receiver's only allowed attempt is in flight: the receiver's other webhook goes on", () => {
  for (const seed of SEEDS) {
    const scene = probeInFlight(seed);
    request(scene.world, { is: "remove", name: scene.probed });
    expectRecovery(scene, [scene.other]);
  }
});

test("a webhook whose URL is changed in that moment: the receiver's other webhook goes on", () => {
  for (const seed of SEEDS) {
    const scene = probeInFlight(seed);
    scene.world.add("elsewhere");
    request(scene.world, {
      is: "change",
      name: scene.probed,
      body: { url: "http://r-elsewhere.example.org/in" },
    });
    expectRecovery(scene, [scene.other]);
  }
});

test("a webhook whose lane is taken by another controller in that moment: the receiver's other webhook goes on", () => {
  for (const seed of SEEDS) {
    const scene = probeInFlight(seed);
    const { store } = scene.world;
    assert.notEqual(laneOf(scene.probed), laneOf(scene.other));
    const key = laneOwnerKey(laneOf(scene.probed));
    const value = { owner: "n9", hold: 999 };
    store.handle(
      { op: "commit", conditions: [], writes: [{ op: "put", key, value }] },
      () => {},
    );
    scene.world.run(2_000);
    expectRecovery(scene, [scene.other]);
  }
});

test("a controller that loses its store lease in that moment: both webhooks of the receiver go on once it owns their lanes again", () => {
  for (const seed of SEEDS) {
    const scene = probeInFlight(seed);
    const node = scene.world.nodes[0]!;
    node.disconnected = true;
    scene.world.run(20_000);
    node.disconnected = false;
    expectRecovery(scene, [scene.probed, scene.other]);
  }
});
