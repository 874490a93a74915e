import assert from "node:assert/strict";
import { test } from "node:test";
import { parseHeartbeat } from "../../src/protocol/workers.js";
import { describeWorkload } from "../simulation/guards.js";
import { World } from "../simulation/world.js";

/** What contradicts itself or what is known changes nothing, and is told of in the log once a minute at most. */

const lines = (w: World, what: string): string[] =>
  w.logs.filter((l) => l.includes(what));
function quiet(seed: number): World {
  const w = new World(seed, undefined, [], 1);
  w.loss = 0;
  w.cloud.add(w.types[0]!, "east", false, 0);
  w.run(8_000);
  return w;
}

test("a reply of the state service that tells of a moment before the one asked about is no read: the permit ends", () => {
  for (const wrong of ["epoch", "stamp"]) {
    const w = quiet(1);
    const handle = w.state.handle.bind(w.state);
    w.state.handle = (call, done) => {
      if (call.op !== "changes") return handle(call, done);
      const key = "lc/now/job/req-000007";
      if (wrong === "epoch")
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
    const core = w.nodes.get("node-a")!.core;
    const had = core.cache.revision;
    w.run(30_000);
    assert.ok(
      core.leadershipLease.untilMs <= w.clockOf("node-a"),
      `${wrong}: a permit without any read\n${describeWorkload(w)}`,
    );
    assert.equal(core.cache.revision, had);
    assert.equal(
      lines(w, "inconsistent store response").length,
      1,
      describeWorkload(w),
    );
    w.run(75_000);
    assert.equal(
      lines(w, "inconsistent store response").length,
      2,
      "once a minute",
    );
    w.state.handle = handle;
    w.run(80_000);
    assert.ok(
      core.leadershipLease.untilMs > w.clockOf("node-a"),
      "and it goes on once replies make sense again",
    );
  }
});

test("a record that can't be read is told of with its key, once, and hides nothing else", () => {
  const w = quiet(2);
  w.state.handle(
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
  w.run(12_000);
  const { cache } = w.nodes.get("node-a")!.core;
  assert.equal(cache.capacities.has("node-z"), false);
  assert.equal(cache.leadershipBids.get("node-z")?.by, "node-b");
  assert.equal(lines(w, "unreadable record").length, 1);
  assert.match(lines(w, "unreadable record")[0]!, /lc\/now\/room\/node-z/);
});

test("a report that says another type, zone or kind of a known machine is not taken, and told of once a minute", () => {
  const w = quiet(3);
  const m = w.workers[0]!;
  const known = [
    ...w.nodes.get("node-a")!.core.leaders.values(),
  ][0]!.state.workers.get(m.id)!;
  const before = [known.sequence, known.zone, known.typeName];
  for (let k = 0; k < 5; k++)
    w.heartbeat(
      "node-a",
      { ...m.snapshot(), sequence: 90_000 + k, type: "big" },
      (a) => assert.equal(a?.kind, "retryLater"),
    );
  w.run(8_100);
  assert.deepEqual(
    [known.sequence >= 90_000, known.zone, known.typeName],
    [false, before[1], before[2]],
  );
  assert.equal(lines(w, "heartbeat contradicts").length, 1);
  w.run(20_000);
  assert.equal(known.leaseExpired, false, "its own reports count on");
});

test("a report that names an attempt of a task twice in different states is refused, whole", () => {
  const hello = (shards: object[]): string =>
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
  const r = parseHeartbeat(hello([running, done]));
  assert.deepEqual(r, {
    ok: false,
    error: "shards: req-000001/2: attempt 4 is running and exited",
  });
  assert.equal(
    parseHeartbeat(hello([running, { ...done, try: 5 }])).ok,
    true,
    "another attempt is another task",
  );
  assert.equal(
    parseHeartbeat(hello([running, running])).ok,
    true,
    "the same twice contradicts nothing",
  );
});
