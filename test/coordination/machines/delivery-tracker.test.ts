import assert from "node:assert/strict";
import { test } from "node:test";
import type { Answer } from "../../../src/coordination/effects.js";
import type { PartitionLeader } from "../../../src/coordination/scheduling/partition-leader.js";
import type { Heartbeat } from "../../../src/coordination/model.js";
import { randomJob, submitWorkload } from "../../simulation/workloads.js";
import { World } from "../../simulation/world.js";

/** What a late copy of a report may establish: the rows of the table in docs/design.md. */

/** A world whose reports are kept as they were sent. */
function recorded(
  seed: number,
  controllers = 1,
): { w: World; sent: Heartbeat[]; leader: () => PartitionLeader } {
  const w = new World(seed, undefined, [], controllers);
  w.loss = 0;
  w.capacity = 6;
  const sent: Heartbeat[] = [];
  const pass = w.heartbeat.bind(w);
  w.heartbeat = (name, r, done) => {
    sent.push(structuredClone(r));
    pass(name, r, done);
  };
  for (let i = 0; i < 4; i++) w.cloud.add(w.types[0]!, "east", false, 0);
  return {
    w,
    sent,
    leader: () => w.nodes.get("node-a")!.core.leaders.get("node-a")!,
  };
}
function feed(w: World, r: Heartbeat): Answer | null {
  let got: Answer | null = null;
  w.ask(
    "node-a",
    (reqId) => ({
      type: "heartbeat",
      reqId,
      heartbeat: structuredClone(r),
      relayed: false,
    }),
    (a) => (got = a),
  );
  return got;
}
/** All that a master concludes from reports. */
const knows = (m: PartitionLeader): unknown =>
  [...m.state.workers.values()].map((x) => ({
    id: x.id,
    // Rows "alive", "session", "renewed", "notice", "idle", "image", "receives".
    at: [
      x.incarnation,
      x.sequence,
      x.token,
      x.lastAnsweredMs,
      x.lastHeardMs,
      x.leaseExpired,
      x.reclaimedAtMs,
      x.idleSinceMs,
      x.isReturning,
      [...x.images.keys()],
      x.delivery.unreachableSinceMs,
      x.delivery.isProven,
    ],
    // Rows "there", "absent", "ended".
    tasks: [...x.tasks].map(([k, t]) => [k, t.phase, t.timesSent]),
    strays: [...x.unconfirmedTasks.keys()],
    exited: x.exited,
  }));

test("a copy no newer than what is known changes nothing, uses up no order and is not answered", () => {
  const { w, sent, leader } = recorded(31);
  submitWorkload(w, 40_000, (x, n) => ({
    ...randomJob(x, n),
    team: "blue",
    zone: "east",
    machineTypes: ["small"],
    gpus: 0,
    samePlace: false,
    spread: false,
  }));
  let fed = 0;
  for (let atMs = 10_000; atMs <= 45_000; atMs += 500) {
    w.run(atMs);
    const m = leader();
    for (const r of sent.filter(
      (x) => (m.state.workers.get(x.worker)?.sequence ?? -1) >= x.sequence,
    )) {
      const before = [
        knows(m),
        [...m.state.workersWithPendingCommands].map((x) => x.id),
        m.state.registry.machines().size,
        m.state.usage(),
      ];
      assert.equal(feed(w, r)?.kind, "retryLater");
      assert.deepEqual(
        [
          knows(m),
          [...m.state.workersWithPendingCommands].map((x) => x.id),
          m.state.registry.machines().size,
          m.state.usage(),
        ],
        before,
        `${r.worker} ${r.sequence}`,
      );
      fed++;
    }
  }
  assert.ok(fed > 1_000 && w.starts > 20, `${fed} copies, ${w.starts} starts`);
  assert.deepEqual(w.checker.broken, []);
});

test("a copy of a machine that the cloud has taken back revives nothing", () => {
  const { w, sent, leader } = recorded(32);
  w.run(60_000);
  const gone = sent.find((r) => !leader().state.workers.has(r.worker))!;
  assert.ok(gone, "idle machines were given back");
  const before = knows(leader());
  assert.equal(feed(w, gone)?.kind, "retryLater");
  assert.deepEqual(knows(leader()), before);
});

test("to a master that has just begun, a copy from before accounts for no machine, hides no use and proves no receipt of strangers", () => {
  const { w, sent, leader } = recorded(33);
  submitWorkload(w, 20_000, (x, n) => ({
    ...randomJob(x, n),
    team: "blue",
    zone: "east",
    machineTypes: ["small"],
    gpus: 0,
    samePlace: false,
    spread: false,
    kind: "service",
  }));
  w.run(20_000);
  const copies = [
    ...new Map(
      sent.filter((r) => r.tasks.length === 0).map((r) => [r.worker, r]),
    ).values(),
  ];
  assert.ok(copies.length >= 2);
  for (const x of w.workers) for (const n of w.names) x.cut.add(n);
  w.crash("node-a");
  w.at(200, () => w.boot("node-a"));
  w.run(22_500);
  const m = leader();
  assert.ok(m.state.isFenced, "machines of the former master are waited for");
  const free = m.state.usage().get("red")!.cpus;
  for (const r of copies) feed(w, r);
  assert.ok(
    m.state.isFenced,
    "an empty list under an older token accounts for nothing",
  );
  assert.equal(
    m.state.usage().get("red")!.cpus,
    free,
    "and what may run there still counts, for every team",
  );
  // A machine that this group's roster does not name: it has to show that it receives.
  const stranger = { ...copies[0]!, worker: "n-009999" };
  feed(w, stranger);
  const s = m.state.workers.get("n-009999")!;
  assert.ok(!m.state.isUsable(s), "not used on the word of one report");
  feed(w, { ...stranger, sequence: stranger.sequence + 1, token: m.token });
  assert.ok(s.delivery.isProven, "the master's own token is evidence");
});

test("answers that never arrive are seen by a token that is never shown, and by orders that are not carried out", () => {
  const { w, leader } = recorded(34);
  w.run(8_000);
  const [a, b] = [...leader().state.workers.values()];
  const report = (x: typeof a, sequence: number, token: number): Heartbeat => ({
    worker: x!.id,
    address: x!.address,
    type: x!.typeName,
    zone: "east",
    spot: false,
    incarnation: x!.incarnation,
    sequence,
    token,
    noticeS: null,
    tasks: [],
  });
  for (const x of w.workers) for (const n of w.names) x.cut.add(n);
  // The master's token is not seen although two reports were answered under it.
  a!.token = 0;
  for (let k = 1; k <= 2; k++) feed(w, report(a, a!.sequence + 1, 0));
  assert.equal(a!.delivery.unreachableSinceMs, null);
  feed(w, report(a, a!.sequence + 1, 0));
  assert.notEqual(a!.delivery.unreachableSinceMs, null);
  assert.ok(!leader().state.isUsable(a!));
  feed(w, report(a, a!.sequence + 1, leader().token));
  assert.equal(
    a!.delivery.unreachableSinceMs,
    null,
    "it comes back by the same evidence",
  );
  // A lease that ends although its reports are answered.
  feed(w, report(b, b!.sequence + 1, leader().token));
  feed(w, {
    ...report(b, b!.sequence + 1, leader().token),
    incarnation: b!.incarnation + 1,
  });
  assert.notEqual(b!.delivery.unreachableSinceMs, null);
});

test("a machine's answer that it has begun anew, made before it carried out a start and heard after that, takes nothing of the start back", () => {
  const { w, leader } = recorded(11);
  w.runFactor = 4;
  w.run(9_000);
  const m = w.workers.find((x) => x.up)!;
  let asked = 0;
  m.inspect = (_, done) => {
    asked ||= w.now;
    const before = m.snapshot();
    w.at(1_500, () => done(before));
  };
  m.restart(100);
  while (asked === 0) w.run(w.now + 20);
  // One task for each machine, sent to it directly.
  const spec = {
    ...randomJob(w, 1),
    team: "blue",
    kind: "array" as const,
    tasks: w.workers.filter((x) => x.up).length,
    cpus: 8,
    gpus: 0,
    machineTypes: null,
    zone: "east",
    samePlace: false,
    spread: false,
    spot: false,
  };
  w.specs.set(spec.id, spec);
  w.ask(
    "node-a",
    (reqId) => ({ type: "submit", reqId, spec }),
    () => {},
  );
  w.run(asked + 1_400);
  const carriedOut = [...m.tasks.keys()];
  assert.equal(carriedOut.length, 1, "its new life has carried out a start");
  assert.equal(
    w.logs.some((l) => l.includes("machine restarted")),
    false,
  );
  w.run(asked + 1_700);
  const x = leader().state.workers.get(m.id)!;
  assert.deepEqual([...x.tasks.keys()], carriedOut, "the start counts on");
  w.run(110_000);
  assert.deepEqual(w.checker.broken, []);
  for (let i = 0; i < spec.tasks; i++)
    assert.ok(w.results.has(`${spec.id}/${i}`), `${i} is done`);
});
