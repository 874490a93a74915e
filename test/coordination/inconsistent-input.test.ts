import assert from "node:assert/strict";
import { test } from "node:test";
import { parseHeartbeat } from "../../src/protocol/workers.js";
import { describeWorkload } from "../simulation/guards.js";
import { World } from "../simulation/world.js";

/** Input that contradicts itself or the known state changes nothing, and is logged at most once a minute. */

const logLinesWith = (world: World, text: string): string[] =>
  world.logs.filter((l) => l.includes(text));
function createQuietWorld(seed: number): World {
  const world = new World(seed, undefined, [], 1);
  world.loss = 0;
  world.cloud.add(world.types[0]!, "east", false, 0);
  world.run(8_000);
  return world;
}

test("a store reply with inconsistent revisions does not count as a read, so the leadership lease expires", () => {
  for (const faultyField of ["epoch", "version"]) {
    const world = createQuietWorld(1);
    const handle = world.state.handle.bind(world.state);
    world.state.handle = (call, done) => {
      if (call.op !== "changes") return handle(call, done);
      const key = "lc/now/job/req-000007";
      if (faultyField === "epoch")
        done({ is: "changes", epoch: call.since - 1, changes: [] });
      else
        done({
          is: "changes",
          epoch: call.since,
          changes: [
            { op: "put", key, value: { spec: 1 }, version: call.since + 5 },
          ],
        });
    };
    const core = world.nodes.get("node-a")!.core;
    const revisionBefore = core.cache.revision;
    world.run(30_000);
    assert.ok(
      core.leadershipLease.untilMs <= world.clockOf("node-a"),
      `${faultyField}: a leadership lease without any read\n${describeWorkload(world)}`,
    );
    assert.equal(core.cache.revision, revisionBefore);
    assert.equal(
      logLinesWith(world, "inconsistent store response").length,
      1,
      describeWorkload(world),
    );
    world.run(75_000);
    assert.equal(
      logLinesWith(world, "inconsistent store response").length,
      2,
      "once a minute",
    );
    world.state.handle = handle;
    world.run(80_000);
    assert.ok(
      core.leadershipLease.untilMs > world.clockOf("node-a"),
      "the lease is renewed once replies are consistent again",
    );
  }
});

test("an unreadable record is logged once with its key and does not affect other records", () => {
  const world = createQuietWorld(2);
  world.state.handle(
    {
      op: "commit",
      conditions: [],
      writes: [
        { op: "put", key: "lc/now/room/node-z", value: { rows: 7 } },
        {
          op: "put",
          key: "lc/now/claim/node-z",
          value: { by: "node-b", token: 3 },
        },
      ],
    },
    () => {},
  );
  world.run(12_000);
  const { cache } = world.nodes.get("node-a")!.core;
  assert.equal(cache.capacities.has("node-z"), false);
  assert.equal(cache.leadershipBids.get("node-z")?.by, "node-b");
  assert.equal(logLinesWith(world, "unreadable record").length, 1);
  assert.match(
    logLinesWith(world, "unreadable record")[0]!,
    /lc\/now\/room\/node-z/,
  );
});

test("a heartbeat with another type, zone or kind of a known machine is rejected, and logged at most once a minute", () => {
  const world = createQuietWorld(3);
  const worker = world.workers[0]!;
  const workerState = [
    ...world.nodes.get("node-a")!.core.leaders.values(),
  ][0]!.state.workers.get(worker.id)!;
  const before = [workerState.sequence, workerState.zone, workerState.typeName];
  for (let count = 0; count < 5; count++)
    world.heartbeat(
      "node-a",
      { ...worker.snapshot(), sequence: 90_000 + count, type: "big" },
      (answer) => assert.equal(answer?.kind, "retryLater"),
    );
  world.run(8_100);
  assert.deepEqual(
    [workerState.sequence >= 90_000, workerState.zone, workerState.typeName],
    [false, before[1], before[2]],
  );
  assert.equal(logLinesWith(world, "heartbeat contradicts").length, 1);
  world.run(20_000);
  assert.equal(
    workerState.leaseExpired,
    false,
    "its consistent heartbeats still count",
  );
});

test("a heartbeat that contains an attempt of a task in two different states is rejected as a whole", () => {
  const heartbeatJson = (shards: object[]): string =>
    JSON.stringify({
      berth: "n-1",
      address: "10.0.0.1:1",
      hull: "m",
      yard: "east",
      watch: 1,
      tally: 3,
      shards,
    });
  const running = { shard: "req-000001/2", try: 4, status: "running" };
  const done = {
    shard: "req-000001/2",
    try: 4,
    status: "exited",
    cause: "done",
  };
  const parsed = parseHeartbeat(heartbeatJson([running, done]));
  assert.deepEqual(parsed, {
    ok: false,
    error: "shards: req-000001/2: attempt 4 is running and exited",
  });
  assert.equal(
    parseHeartbeat(heartbeatJson([running, { ...done, try: 5 }])).ok,
    true,
    "another attempt is another task",
  );
  assert.equal(
    parseHeartbeat(heartbeatJson([running, running])).ok,
    true,
    "the same entry twice is consistent",
  );
});
