import assert from "node:assert/strict";
import { test } from "node:test";
import type { Answer } from "../src/coordination/effects.js";
import type { Master } from "../src/coordination/master.js";
import type { Report } from "../src/coordination/model.js";
import { randomJob, users } from "./sim/days.js";
import { World } from "./sim/world.js";

/** What a late copy of a report may establish: the rows of the table in docs/design.md. */

/** A world whose reports are kept as they were sent. */
function recorded(
  seed: number,
  controllers = 1,
): { w: World; sent: Report[]; master: () => Master } {
  const w = new World(seed, undefined, [], controllers);
  w.loss = 0;
  w.capacity = 6;
  const sent: Report[] = [];
  const pass = w.report.bind(w);
  w.report = (name, r, done) => {
    sent.push(structuredClone(r));
    pass(name, r, done);
  };
  for (let i = 0; i < 4; i++) w.cloud.add(w.types[0]!, "east", false, 0);
  return {
    w,
    sent,
    master: () => w.nodes.get("node-a")!.core.masters.get("node-a")!,
  };
}
function feed(w: World, r: Report): Answer | null {
  let got: Answer | null = null;
  w.ask(
    "node-a",
    (req) => ({
      is: "report",
      req,
      report: structuredClone(r),
      relayed: false,
    }),
    (a) => (got = a),
  );
  return got;
}
/** All that a master concludes from reports. */
const knows = (m: Master): unknown =>
  [...m.own.workers.values()].map((x) => ({
    id: x.id,
    // Rows "alive", "session", "renewed", "notice", "idle", "image", "receives".
    at: [
      x.session,
      x.tally,
      x.token,
      x.answeredMs,
      x.heardMs,
      x.lost,
      x.takenAtMs,
      x.idleSinceMs,
      x.going,
      [...x.images.keys()],
      x.receipt.deafMs,
      x.receipt.proven,
    ],
    // Rows "there", "absent", "ended".
    tasks: [...x.tasks].map(([k, t]) => [k, t.phase, t.told]),
    strays: [...x.strays.keys()],
    exited: x.exited,
  }));

test("a copy no newer than what is known changes nothing, uses up no order and is not answered", () => {
  const { w, sent, master } = recorded(31);
  users(w, 40_000, (x, n) => ({
    ...randomJob(x, n),
    team: "blue",
    zone: "east",
    types: ["small"],
    gpus: 0,
    samePlace: false,
    spread: false,
  }));
  let fed = 0;
  for (let atMs = 10_000; atMs <= 45_000; atMs += 500) {
    w.run(atMs);
    const m = master();
    for (const r of sent.filter(
      (x) => (m.own.workers.get(x.worker)?.tally ?? -1) >= x.tally,
    )) {
      const before = [
        knows(m),
        [...m.own.untold].map((x) => x.id),
        m.own.roster.machines().size,
        m.own.usage(),
      ];
      assert.equal(feed(w, r)?.is, "later");
      assert.deepEqual(
        [
          knows(m),
          [...m.own.untold].map((x) => x.id),
          m.own.roster.machines().size,
          m.own.usage(),
        ],
        before,
        `${r.worker} ${r.tally}`,
      );
      fed++;
    }
  }
  assert.ok(fed > 1_000 && w.starts > 20, `${fed} copies, ${w.starts} starts`);
  assert.deepEqual(w.checker.broken, []);
});

test("a copy of a machine that the cloud has taken back revives nothing", () => {
  const { w, sent, master } = recorded(32);
  w.run(60_000);
  const gone = sent.find((r) => !master().own.workers.has(r.worker))!;
  assert.ok(gone, "idle machines were given back");
  const before = knows(master());
  assert.equal(feed(w, gone)?.is, "later");
  assert.deepEqual(knows(master()), before);
});

test("to a master that has just begun, a copy from before accounts for no machine, hides no use and proves no receipt of strangers", () => {
  const { w, sent, master } = recorded(33);
  users(w, 20_000, (x, n) => ({
    ...randomJob(x, n),
    team: "blue",
    zone: "east",
    types: ["small"],
    gpus: 0,
    samePlace: false,
    spread: false,
    shape: "daemon",
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
  const m = master();
  assert.ok(m.own.fenced, "machines of the former master are waited for");
  const free = m.own.usage().get("red")!.cpus;
  for (const r of copies) feed(w, r);
  assert.ok(
    m.own.fenced,
    "an empty list under an older token accounts for nothing",
  );
  assert.equal(
    m.own.usage().get("red")!.cpus,
    free,
    "and what may run there still counts, for every team",
  );
  // A machine that this group's roster does not name: it has to show that it receives.
  const stranger = { ...copies[0]!, worker: "n-009999" };
  feed(w, stranger);
  const s = m.own.workers.get("n-009999")!;
  assert.ok(!m.own.usable(s), "not used on the word of one report");
  feed(w, { ...stranger, tally: stranger.tally + 1, token: m.token });
  assert.ok(s.receipt.proven, "the master's own token is evidence");
});

test("answers that never arrive are seen by a token that is never shown, and by orders that are not carried out", () => {
  const { w, master } = recorded(34);
  w.run(8_000);
  const [a, b] = [...master().own.workers.values()];
  const report = (x: typeof a, tally: number, token: number): Report => ({
    worker: x!.id,
    address: x!.address,
    type: x!.typeName,
    zone: "east",
    spot: false,
    session: x!.session,
    tally,
    token,
    noticeS: null,
    tasks: [],
  });
  for (const x of w.workers) for (const n of w.names) x.cut.add(n);
  // The master's token is not seen although two reports were answered under it.
  a!.token = 0;
  for (let k = 1; k <= 2; k++) feed(w, report(a, a!.tally + 1, 0));
  assert.equal(a!.receipt.deafMs, null);
  feed(w, report(a, a!.tally + 1, 0));
  assert.notEqual(a!.receipt.deafMs, null);
  assert.ok(!master().own.usable(a!));
  feed(w, report(a, a!.tally + 1, master().token));
  assert.equal(a!.receipt.deafMs, null, "it comes back by the same evidence");
  // A lease that ends although its reports are answered.
  feed(w, report(b, b!.tally + 1, master().token));
  feed(w, {
    ...report(b, b!.tally + 1, master().token),
    session: b!.session + 1,
  });
  assert.notEqual(b!.receipt.deafMs, null);
});

test("a machine's answer that it has begun anew, made before it carried out a start and heard after that, takes nothing of the start back", () => {
  const { w, master } = recorded(11);
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
    shape: "batch" as const,
    tasks: w.workers.filter((x) => x.up).length,
    cpus: 8,
    gpus: 0,
    types: null,
    zone: "east",
    samePlace: false,
    spread: false,
    spot: false,
  };
  w.specs.set(spec.id, spec);
  w.ask(
    "node-a",
    (req) => ({ is: "submit", req, spec }),
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
  const x = master().own.workers.get(m.id)!;
  assert.deepEqual([...x.tasks.keys()], carriedOut, "the start counts on");
  w.run(110_000);
  assert.deepEqual(w.checker.broken, []);
  for (let i = 0; i < spec.tasks; i++)
    assert.ok(w.results.has(`${spec.id}/${i}`), `${i} is done`);
});
