import assert from "node:assert/strict";
import { test } from "node:test";
import type { Answer } from "../../../src/coordination/effects.js";
import type { PartitionLeader } from "../../../src/coordination/scheduling/partition-leader.js";
import type { Heartbeat } from "../../../src/coordination/model.js";
import { randomJob, submitWorkload } from "../../simulation/workloads.js";
import { World } from "../../simulation/world.js";

/** What a late copy of a heartbeat may establish. The comments refer to the rows of the table in docs/design.md. */

/** A world that records every heartbeat as it was sent. */
function recordingWorld(
  seed: number,
  controllers = 1,
): {
  world: World;
  sentHeartbeats: Heartbeat[];
  leader: () => PartitionLeader;
} {
  const world = new World(seed, undefined, [], controllers);
  world.loss = 0;
  world.capacity = 6;
  const sentHeartbeats: Heartbeat[] = [];
  const forward = world.heartbeat.bind(world);
  world.heartbeat = (name, heartbeat, done) => {
    sentHeartbeats.push(structuredClone(heartbeat));
    forward(name, heartbeat, done);
  };
  for (let i = 0; i < 4; i++)
    world.cloud.add(world.types[0]!, "east", false, 0);
  return {
    world,
    sentHeartbeats,
    leader: () => world.nodes.get("node-a")!.core.leaders.get("node-a")!,
  };
}
function deliver(world: World, heartbeat: Heartbeat): Answer | null {
  let answer: Answer | null = null;
  world.ask(
    "node-a",
    (reqId) => ({
      type: "heartbeat",
      reqId,
      heartbeat: structuredClone(heartbeat),
      relayed: false,
    }),
    (a) => (answer = a),
  );
  return answer;
}
/** Everything that a leader derives from heartbeats. */
const leaderView = (leader: PartitionLeader): unknown =>
  [...leader.state.workers.values()].map((worker) => ({
    id: worker.id,
    // Rows "alive", "session", "renewed", "notice", "idle", "image", "receives".
    at: [
      worker.incarnation,
      worker.sequence,
      worker.token,
      worker.lastAnsweredMs,
      worker.lastStatusMs,
      worker.leaseExpired,
      worker.reclaimedAtMs,
      worker.idleSinceMs,
      worker.isReturning,
      [...worker.images.keys()],
      worker.delivery.unreachableSinceMs,
      worker.delivery.isProven,
    ],
    // Rows "there", "absent", "ended".
    tasks: [...worker.tasks].map(([k, t]) => [k, t.phase, t.timesSent]),
    strays: [...worker.unconfirmedTasks.keys()],
    exited: worker.exited,
  }));

test("a copy no newer than the known state changes nothing, uses up no command and is not answered", () => {
  const { world, sentHeartbeats, leader } = recordingWorld(31);
  submitWorkload(world, 40_000, (x, n) => ({
    ...randomJob(x, n),
    team: "blue",
    zone: "east",
    machineTypes: ["small"],
    gpus: 0,
    samePlace: false,
    spread: false,
  }));
  let deliveredCopies = 0;
  for (let atMs = 10_000; atMs <= 45_000; atMs += 500) {
    world.run(atMs);
    // A scheduling round that is due would run with the first copy.
    world.feed("node-a", world.processNumberOf("node-a"), { type: "wake" });
    const currentLeader = leader();
    for (const copy of sentHeartbeats.filter(
      (sent) =>
        (currentLeader.state.workers.get(sent.worker)?.sequence ?? -1) >=
        sent.sequence,
    )) {
      const before = [
        leaderView(currentLeader),
        [...currentLeader.state.workersWithPendingCommands].map((x) => x.id),
        currentLeader.state.registry.machines().size,
        currentLeader.state.usage(),
      ];
      assert.equal(deliver(world, copy)?.kind, "retryLater");
      assert.deepEqual(
        [
          leaderView(currentLeader),
          [...currentLeader.state.workersWithPendingCommands].map((x) => x.id),
          currentLeader.state.registry.machines().size,
          currentLeader.state.usage(),
        ],
        before,
        `${copy.worker} ${copy.sequence}`,
      );
      deliveredCopies++;
    }
  }
  assert.ok(
    deliveredCopies > 1_000 && world.starts > 20,
    `${deliveredCopies} copies, ${world.starts} starts`,
  );
  assert.deepEqual(world.checker.brokenRules, []);
});

test("a late heartbeat of a returned machine does not add the machine again", () => {
  const { world, sentHeartbeats, leader } = recordingWorld(32);
  world.run(60_000);
  const fromReturnedMachine = sentHeartbeats.find(
    (r) => !leader().state.workers.has(r.worker),
  )!;
  assert.ok(fromReturnedMachine, "idle machines were returned");
  const before = leaderView(leader());
  assert.equal(deliver(world, fromReturnedMachine)?.kind, "retryLater");
  assert.deepEqual(leaderView(leader()), before);
});

test("after a failover, a copy from before accounts for no machine, hides no use and does not prove that an unknown machine is reachable", () => {
  const { world, sentHeartbeats, leader } = recordingWorld(33);
  submitWorkload(world, 20_000, (x, n) => ({
    ...randomJob(x, n),
    team: "blue",
    zone: "east",
    machineTypes: ["small"],
    gpus: 0,
    samePlace: false,
    spread: false,
    kind: "service",
  }));
  world.run(20_000);
  const copies = [
    ...new Map(
      sentHeartbeats
        .filter((r) => r.tasks.length === 0)
        .map((r) => [r.worker, r]),
    ).values(),
  ];
  assert.ok(copies.length >= 2);
  for (const x of world.workers) for (const n of world.names) x.cut.add(n);
  world.crash("node-a");
  world.at(200, () => world.boot("node-a"));
  world.run(22_500);
  const newLeader = leader();
  assert.ok(
    newLeader.state.isFenced,
    "the new leader waits for machines of the former leader",
  );
  const free = newLeader.state.usage().get("red")!.cpus;
  for (const copy of copies) deliver(world, copy);
  assert.ok(
    newLeader.state.isFenced,
    "an empty task list under an older token accounts for no machine",
  );
  assert.equal(
    newLeader.state.usage().get("red")!.cpus,
    free,
    "tasks that may run there still count for every team",
  );
  // A machine that is missing from this partition's registry has to show that it receives messages.
  const fromUnknownMachine = { ...copies[0]!, worker: "n-009999" };
  deliver(world, fromUnknownMachine);
  const unknownWorker = newLeader.state.workers.get("n-009999")!;
  assert.ok(
    !newLeader.state.isUsable(unknownWorker),
    "one heartbeat is not enough to use it",
  );
  deliver(world, {
    ...fromUnknownMachine,
    sequence: fromUnknownMachine.sequence + 1,
    token: newLeader.token,
  });
  assert.ok(
    unknownWorker.delivery.isProven,
    "the leader's own token is evidence",
  );
});

test("a machine that receives no answers is detected by the leader's token that it never shows and by its lease that expires", () => {
  const { world, leader } = recordingWorld(34);
  world.run(8_000);
  const [first, second] = [...leader().state.workers.values()];
  const heartbeatOf = (
    worker: typeof first,
    sequence: number,
    token: number,
  ): Heartbeat => ({
    worker: worker!.id,
    address: worker!.address,
    type: worker!.typeName,
    zone: "east",
    spot: false,
    incarnation: worker!.incarnation,
    sequence,
    token,
    noticeS: null,
    tasks: [],
  });
  for (const x of world.workers) for (const n of world.names) x.cut.add(n);
  // The machine does not show the leader's token although two of its heartbeats were answered under it.
  first!.token = 0;
  for (let k = 1; k <= 2; k++)
    deliver(world, heartbeatOf(first, first!.sequence + 1, 0));
  assert.equal(first!.delivery.unreachableSinceMs, null);
  deliver(world, heartbeatOf(first, first!.sequence + 1, 0));
  assert.notEqual(first!.delivery.unreachableSinceMs, null);
  assert.ok(!leader().state.isUsable(first!));
  deliver(world, heartbeatOf(first, first!.sequence + 1, leader().token));
  assert.equal(
    first!.delivery.unreachableSinceMs,
    null,
    "the same evidence makes it reachable again",
  );
  // The lease expires although the machine's heartbeats are answered.
  deliver(world, heartbeatOf(second, second!.sequence + 1, leader().token));
  deliver(world, {
    ...heartbeatOf(second, second!.sequence + 1, leader().token),
    incarnation: second!.incarnation + 1,
  });
  assert.notEqual(second!.delivery.unreachableSinceMs, null);
});

test("a status made by a restarted machine before it carried out a start, and received after that, does not revert the start", () => {
  const { world, leader } = recordingWorld(11);
  world.runFactor = 4;
  world.run(9_000);
  const machine = world.workers.find((x) => x.up)!;
  let queriedMs = 0;
  machine.inspect = (_, done) => {
    queriedMs ||= world.now;
    const statusBefore = machine.snapshot();
    world.at(1_500, () => done(statusBefore));
  };
  machine.restart(100);
  while (queriedMs === 0) world.run(world.now + 20);
  // One task for each machine, started by a direct command.
  const spec = {
    ...randomJob(world, 1),
    team: "blue",
    kind: "array" as const,
    tasks: world.workers.filter((x) => x.up).length,
    cpus: 8,
    gpus: 0,
    machineTypes: null,
    zone: "east",
    samePlace: false,
    spread: false,
    spot: false,
  };
  world.specs.set(spec.id, spec);
  world.ask(
    "node-a",
    (reqId) => ({ type: "submit", reqId, spec }),
    () => {},
  );
  world.run(queriedMs + 1_400);
  const carriedOut = [...machine.tasks.keys()];
  assert.equal(
    carriedOut.length,
    1,
    "the restarted machine has carried out a start",
  );
  assert.equal(
    world.logs.some((l) => l.includes("machine restarted")),
    false,
  );
  world.run(queriedMs + 1_700);
  const worker = leader().state.workers.get(machine.id)!;
  assert.deepEqual(
    [...worker.tasks.keys()],
    carriedOut,
    "the start still counts",
  );
  world.run(110_000);
  assert.deepEqual(world.checker.brokenRules, []);
  for (let i = 0; i < spec.tasks; i++)
    assert.ok(world.results.has(`${spec.id}/${i}`), `${i} is done`);
});
