import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { DEFAULTS } from "../../src/config/operator.js";
import type { Effect } from "../../src/coordination/effects.js";
import { FairQueue } from "../../src/coordination/store/fair-queue.js";
import { FinalStatusReader } from "../../src/coordination/store/final-status-reader.js";
import type { JobSpec } from "../../src/coordination/model.js";
import { DeliveryTracker } from "../../src/coordination/machines/delivery-tracker.js";
import { failureScenario, randomJob } from "./workloads.js";
import { expectGuardNeeded, describeWorkload } from "./guards.js";
import { World } from "./world.js";

/** Failure scenarios: docs/design/nights.md has the table of guards and tests. */

test("failure scenarios with 1 to 7 controllers: the rules hold, and 75 s after the last injected fault no job is forgotten or rests", () => {
  let starts = 0;
  let anew = 0;
  let deaf = 0;
  for (let seed = 0; seed < 12; seed++) {
    const w = failureScenario(seed);
    assert.deepEqual(
      w.checker.broken,
      [],
      `seed ${seed}: ${describeWorkload(w)}`,
    );
    const open = w.checker.unfinished();
    assert.ok(open.length <= 2, `seed ${seed}: ${open.join()}`);
    starts += w.starts;
    anew += w.logs.filter((l) => l.includes("machine restarted")).length;
    deaf += w.logs.filter((l) => l.includes("machine unreachable")).length;
  }
  assert.ok(
    starts > 2_500 && anew > 20 && deaf > 20,
    `${starts} starts, ${anew} began anew, ${deaf} received nothing`,
  );
});

test("guard: a report with a lower token than its machine has shown, or of a life before, is late", () => {
  expectGuardNeeded(failureScenario, [8, 14], "ran_twice", () => {
    const before = DeliveryTracker.prototype.isStale;
    DeliveryTracker.prototype.isStale = (w, r) =>
      r.incarnation < w.incarnation ||
      (r.incarnation === w.incarnation &&
        (r.sequence <= w.sequence || w.leaseExpired));
    return () => (DeliveryTracker.prototype.isStale = before);
  });
});

test("guard: a machine's lease counts from the end of the last command with starts as well", () => {
  expectGuardNeeded(failureScenario, [77, 69], "ran_twice", () => {
    const before = DeliveryTracker.prototype.noteHeartbeat;
    DeliveryTracker.prototype.noteHeartbeat = function (w, r, rose) {
      Object.defineProperty(w.delivery, "lastCommandMs", {
        get: () => -Infinity,
        set: () => {},
        configurable: true,
      });
      // Asked at once it would be known to have begun anew: here nobody asks it.
      w.delivery.lastInspectedMs = Infinity;
      return before.call(this, w, r, rose);
    };
    return () => (DeliveryTracker.prototype.noteHeartbeat = before);
  });
});

test("guard: what only a permit allows does not leave after it, although the controller stood still in between", () => {
  const w = new World(3, undefined, [], 1);
  const core = w.nodes.get("node-a")!.core;
  w.run(5_000);
  const until = core.leadershipLease.untilMs;
  assert.ok(until > 5_000 && Number.isFinite(until));
  const commands: Effect = {
    type: "answer",
    reqId: 1,
    answer: { kind: "commands", token: 1, commands: [] },
  };
  const command: Effect = {
    type: "workerCommand",
    callId: 1,
    address: "",
    token: 1,
    incarnation: 1,
    commands: [],
  };
  for (const e of [commands, command])
    assert.deepEqual(
      [core.maySend(e, until - 1), core.maySend(e, until)],
      [true, false],
    );
  assert.ok(
    core.maySend(
      {
        type: "answer",
        reqId: 1,
        answer: { kind: "retryLater", afterS: 1, reason: "" },
      },
      until + 1e6,
    ),
  );
});

const plain = (w: World, n: number, over: Partial<JobSpec>): JobSpec => {
  const spec = {
    ...randomJob(w, n),
    team: "blue",
    kind: "array" as const,
    tasks: 1,
    cpus: 4,
    gpus: 0,
    machineTypes: ["small"],
    zone: null,
    samePlace: false,
    spread: false,
    spot: false,
    priority: "normal" as const,
    estimateS: 6,
    checkpointS: 0,
    ...over,
  };
  w.specs.set(spec.id, spec);
  return spec;
};
const submit = (w: World, atMs: number, spec: JobSpec): void =>
  w.at(atMs, () =>
    w.ask(
      "node-a",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
const isDone = (w: World, s: JobSpec): boolean =>
  Array.from({ length: s.tasks }, (_, i) =>
    w.results.has(`${s.id}/${i}`),
  ).every(Boolean);

test("half of all machines receive nothing: their work goes elsewhere, they draw none, and no second fleet is rented", () => {
  const w = new World(4, { ...DEFAULTS, idleReturnS: 1_000 }, [], 1);
  w.loss = 0;
  w.capacity = 40;
  for (let i = 0; i < 12; i++) w.cloud.add(w.types[0]!, "east", false, 0);
  const jobs = Array.from({ length: 100 }, (_, n) =>
    plain(w, n + 1, { machineTypes: ["small"], zone: "east" }),
  );
  jobs.forEach((s, n) => submit(w, 4_000 + n * 900, s));
  const deaf = w.workers.slice(0, 6);
  w.at(20_000, () => deaf.forEach((m) => (m.oneWay = true)));
  w.at(80_000, () => deaf.forEach((m) => (m.oneWay = false)));
  w.run(19_000);
  const before = w.workers.length;
  w.run(80_000);
  assert.deepEqual(w.checker.broken, [], describeWorkload(w));
  const starts = (from: number, to: number): number =>
    w.logs.filter(
      (l) =>
        l.includes("starting task") &&
        Number(l.split(" ")[0]) > from &&
        Number(l.split(" ")[0]) < to &&
        deaf.some((m) => l.includes(`"${m.id}"`)),
    ).length;
  assert.ok(starts(10, 20) > 3, "they worked before");
  assert.equal(
    starts(45, 80),
    0,
    "a lease and a few reports after they fell deaf they draw nothing",
  );
  assert.ok(
    w.workers.length - before <= 6,
    `${w.workers.length - before} machines rented meanwhile`,
  );
  w.run(130_000);
  for (const s of jobs)
    assert.ok(isDone(w, s), `${s.id}\n${describeWorkload(w)}`);
  assert.ok(
    w.logs.some((l) => l.includes("machine reachable again")),
    "they come back by the same evidence",
  );
});

test("a job submitted with a mistake accuses no machine, rents nothing and hurts no other job", () => {
  const w = new World(9, undefined, [], 1);
  w.loss = 0;
  w.capacity = 4;
  for (let i = 0; i < 4; i++) w.cloud.add(w.types[0]!, "east", false, 0);
  const bad = Array.from({ length: 3 }, (_, n) =>
    plain(w, n + 1, { tasks: 4, zone: "east" }),
  );
  for (const s of bad) w.faultyJobs.add(s.id);
  const good = Array.from({ length: 20 }, (_, n) =>
    plain(w, n + 10, { zone: "east" }),
  );
  bad.forEach((s, n) => submit(w, 4_000 + n * 50, s));
  good.forEach((s, n) => submit(w, 6_000 + n * 1_500, s));
  w.run(90_000);
  assert.deepEqual(w.checker.broken, [], describeWorkload(w));
  for (const s of good)
    assert.ok(isDone(w, s), `${s.id}\n${describeWorkload(w)}`);
  assert.equal(
    w.logs.filter((l) => l.includes("tasks of several jobs failed on it"))
      .length,
    0,
  );
  assert.equal(
    w.logs.filter((l) => l.includes("job fails on every machine")).length,
    3,
    "each told of once",
  );
  const tries = w.logs.filter(
    (l) =>
      l.includes("starting task") &&
      bad.some((s) => l.includes(s.id)) &&
      Number(l.split(" ")[0]) > 60,
  ).length;
  assert.ok(tries < 30, `${tries} tries in the last 30 s`);
});

/** A zone that small gangs keep full, and one of six machines among them; how long that waits, in seconds. */
function largestWait(beginWithinS: number): number {
  const w = new World(
    12,
    { ...DEFAULTS, silentReturnS: 20, beginWithinS, holdAfterS: 1e9 },
    [],
    1,
  );
  w.loss = 0;
  w.capacity = 8;
  for (let i = 0; i < 8; i++) w.cloud.add(w.types[0]!, "east", false, 0);
  const gang = (n: number, tasks: number): JobSpec =>
    plain(w, n, {
      jobClass: "merge",
      kind: "gang",
      tasks,
      cpus: 8,
      zone: "east",
      samePlace: true,
      estimateS: 10,
    });
  for (let n = 1; n < 400; n++) submit(w, 4_000 + n * 700, gang(n, 1));
  const large = gang(900, 6);
  submit(w, 20_000, large);
  let beganMs = Infinity;
  w.afterStep = () => {
    if (
      beganMs === Infinity &&
      w.workers.some((m) =>
        [...m.tasks.values()].some(
          (t) => t.job === large.id && t.state === "running",
        ),
      )
    )
      beganMs = w.now;
  };
  w.run(320_000);
  assert.deepEqual(w.checker.broken, [], describeWorkload(w));
  return (beganMs - 20_000) / 1000;
}

test("the largest gang begins within the bound although small ones keep its zone full, and not without the guard", () => {
  const bounded = largestWait(120);
  assert.ok(bounded <= 120, `${bounded} s`);
  const without = largestWait(0);
  assert.ok(without > 120, `${without} s: nothing kept it waiting`);
});

test("of a storm of questions each job is answered after as many rounds as all jobs fill", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 20 }),
      fc.integer({ min: 1, max: 60 }),
      fc.array(fc.nat(), { minLength: 50, maxLength: 50 }),
      (most, jobs, order) => {
        const q = new FairQueue<{ id: string }>(most);
        const since = new Map<string, number>();
        const bound = Math.ceil(jobs / most) + 1;
        for (let round = 0; round < 40; round++) {
          // All ask, each time in another order, some of them often.
          const ask = Array.from(
            { length: jobs },
            (_, i) => (i * 7 + order[round]!) % jobs,
          );
          for (const j of [...ask, ...ask.slice(0, order[round + 1]! % jobs)]) {
            const id = `req-${j}`;
            if (!since.has(id)) since.set(id, round);
            q.add({ id }, round);
          }
          for (const { id } of q.take()) {
            q.answered(id);
            since.delete(id);
          }
          for (const [id, from] of since)
            assert.ok(
              round - from < bound,
              `${id} of ${jobs} unanswered for ${round - from} rounds of ${most}`,
            );
        }
      },
    ),
    { seed: 25, numRuns: 60 },
  );
});

test("that a job is unknown is told only by a read that was sent after the question; one read serves all before it", () => {
  const ctx = { nowMs: 100 };
  const reads: {
    key: string;
    done: (r: { is: "item"; item: null }, sentMs: number) => void;
  }[] = [];
  const told: string[] = [];
  const l = new FinalStatusReader(
    ctx as never,
    ((call: { key: string }, _: number, done: never) =>
      reads.push({ key: call.key, done })) as never,
    () => {},
  );
  const ask = (who: string, id = "req-1"): void =>
    l.lookUp(id, (p, failed) =>
      told.push(`${who} ${failed ?? p?.status ?? "unknown"}`),
    );
  ask("a");
  ctx.nowMs = 110;
  ask("b");
  ctx.nowMs = 130;
  ask("c");
  assert.equal(reads.length, 1);
  reads.shift()!.done({ is: "item", item: null }, 120);
  assert.deepEqual(told, ["a unknown", "b unknown"]);
  assert.equal(reads.length, 1, "read again for who asked after it was sent");
  reads.shift()!.done({ is: "item", item: null }, 140);
  assert.deepEqual(told.slice(2), ["c unknown"]);
  for (let n = 0; n < 1_000; n++) ask(`n${n}`, `req-${n}`);
  assert.ok(reads.length <= 12, `${reads.length} reads at once`);
  assert.equal(
    told.filter((t) => t.includes("too many")).length,
    1_000 - 12 - 300,
  );
  while (reads.length > 0)
    reads.shift()!.done({ is: "item", item: null }, ctx.nowMs);
  assert.equal(told.length, 3 + 1_000);
});

test("a controller that reaches neither the state service nor a peer is not ready, and is again when the cut ends; an outage makes nobody unready", () => {
  const w = new World(5);
  const ready = (): boolean[] => w.names.map((n) => w.nodes.get(n)!.core.ready);
  w.run(8_000);
  assert.deepEqual(ready(), [true, true, true]);
  w.stateCut.set("node-b", "refused");
  w.meshCuts.add("node-b");
  w.run(25_000);
  assert.deepEqual(ready(), [true, false, true]);
  assert.ok(
    [
      ...w.nodes.get("node-a")!.core.leaders.keys(),
      ...w.nodes.get("node-c")!.core.leaders.keys(),
    ].includes("node-b"),
    "a peer has its group",
  );
  w.stateCut.delete("node-b");
  w.meshCuts.delete("node-b");
  w.run(32_000);
  assert.deepEqual(ready(), [true, true, true]);
  w.stateDown = true;
  w.run(45_000);
  assert.deepEqual(ready(), [true, true, true]);
});

test("a controller is taken away for good: what was split to it runs elsewhere, once nothing of it can run where it was", () => {
  for (const seed of [3, 4, 5]) {
    const w = new World(seed);
    w.loss = 0;
    for (const z of w.zones)
      for (let i = 0; i < 3; i++) w.cloud.add(w.types[0]!, z, false, 0);
    const jobs = Array.from({ length: 12 }, (_, n) =>
      plain(w, n + 1, {
        tasks: 6,
        cpus: 2,
        kind: n % 3 === 0 ? "gang" : "array",
        samePlace: n % 3 === 0,
        spread: n % 3 === 1,
        machineTypes: ["small"],
      }),
    );
    jobs.forEach((s, n) => submit(w, 3_000 + n * 200, s));
    w.run(8_000);
    w.reconfigure(["node-a", "node-b"], w.settings.teams);
    w.crash("node-c");
    w.bootAll();
    w.run(120_000);
    assert.deepEqual(w.checker.broken, [], describeWorkload(w));
    assert.ok(
      w.logs.some((l) => l.includes("reassigning tasks of removed partition")),
      "something was split to it",
    );
    for (const s of jobs)
      assert.ok(isDone(w, s), `seed ${seed}: ${s.id}\n${describeWorkload(w)}`);
  }
});
