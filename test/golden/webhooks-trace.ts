import { createHash } from "node:crypto";
import { stateRequest } from "../../src/protocol/state.js";
import {
  endFaults,
  WebhookWorld,
  LIMITS,
  scheduleFaults,
} from "../webhooks/webhook-world.js";

const LOAD_MS = 60_000;
const SETTLE_MS = 30_000;

/**
 * A recorded run of webhook delivery: all calls to the state service in the form that they have on the wire, all requests that receivers
 * got, and all replies to users, as one hash.
 */
export function recordWebhooksTrace(seed: number): string {
  const hash = createHash("sha256");
  const world = new WebhookWorld(seed, LIMITS, 3, 15);
  const { store } = world;
  const handle = store.handle.bind(store);
  store.handle = (call, ...rest): void => {
    hash.update(`${world.now} ${JSON.stringify(stateRequest(call))}\n`);
    handle(call, ...rest);
  };
  world.run(3_000);
  world.add("all");
  world.add("red-only", { crews: ["red"], ordered: true });
  world.add("asked", { ask: true });
  world.callLossProbability = 0.02;
  scheduleFaults(world, LOAD_MS);
  for (let index = 0; index < 150; index++)
    world.at(index * 400, () =>
      world.end(
        `req-${index}`,
        world.rng.pick(["red", "blue"]),
        world.rng.chance(0.8) ? "done" : "cancelled",
      ),
    );
  world.run(LOAD_MS);
  endFaults(world);
  world.run(SETTLE_MS);
  const [node] = world.nodes;
  const requests = [
    { is: "list" },
    { is: "show", name: "all" },
    { is: "act", name: "all", act: "test" },
    { is: "act", name: "asked", act: "pause" },
    { is: "dead", name: "all", after: "" },
    { is: "remove", name: "red-only" },
  ] as const;
  for (const request of requests) {
    world.ask(node!, request);
    world.run(5_000);
  }
  for (const receiver of world.receivers.values())
    for (const call of receiver.calls)
      hash.update(
        `${JSON.stringify([call.webhook, call.id, call.attempt, call.reason, call.node, call.atMs])}\n`,
      );
  for (const [request, { status, body }] of world.replies)
    hash.update(`${request} ${status} ${JSON.stringify(body)}\n`);
  hash.update(JSON.stringify(world.violations));
  return hash.digest("hex");
}
