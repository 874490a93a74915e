import assert from "node:assert/strict";
import { test } from "node:test";
import type { Answer } from "../../../src/coordination/effects.js";
import { World } from "../../simulation/world.js";

/** Where heartbeats are answered that come to a controller which does not lead the worker's partition. */

const LEADER_OF_EAST = "node-a";
const OTHER_CONTROLLER = "node-b";

/** Answers of `OTHER_CONTROLLER` to two heartbeats of a worker that shows its leader's token. */
function answersTo(incarnation: number, sequence: number): (Answer | null)[] {
  const world = new World(5, undefined, [], 2);
  world.run(6_000);
  const partition = world.nodes
    .get(LEADER_OF_EAST)!
    .core.partitions.partitionOf("east");
  const { token } = world.nodes
    .get(LEADER_OF_EAST)!
    .core.leaders.get(partition)!;
  const answers: (Answer | null)[] = [];
  for (let n = 0; n < 2; n++)
    world.ask(
      OTHER_CONTROLLER,
      (reqId) => ({
        type: "heartbeat",
        reqId,
        relayed: false,
        heartbeat: {
          worker: "n-000777",
          address: "10.0.0.1:777",
          type: "small",
          zone: "east",
          spot: false,
          incarnation,
          sequence: sequence + n,
          token,
          noticeS: null,
          tasks: [],
        },
      }),
      (answer) => answers.push(answer),
    );
  return answers;
}

const RELAYED = { kind: "relay", leader: LEADER_OF_EAST };
const REDIRECTED = { kind: "redirect", leader: LEADER_OF_EAST };

// Guards against workers that stay at a wrong controller: a fence shows them the leader's token before they have tried to reach it.
test("a worker that has just started and shows its leader's token is redirected to it, and relayed only if it comes back", () => {
  assert.deepEqual(answersTo(1, 3), [REDIRECTED, RELAYED]);
});

test("any other worker that shows its leader's token can't reach it and is relayed at once", () => {
  assert.deepEqual(answersTo(1, 40), [RELAYED, RELAYED]);
  assert.deepEqual(answersTo(2, 3), [RELAYED, RELAYED]);
});
