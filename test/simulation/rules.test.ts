import assert from "node:assert/strict";
import { test } from "node:test";
import { Controller } from "../../src/coordination/controller.js";
import { PartitionState } from "../../src/coordination/scheduling/partition-state.js";
import { Leadership } from "../../src/coordination/leadership/leadership.js";
import { QuotaAllocator } from "../../src/coordination/quota/index.js";
import { freeOn } from "../../src/coordination/machines/worker-state.js";
import type { JobSpec } from "../../src/coordination/model.js";
import {
  largeJob,
  injectLargeFaults,
  randomJob,
  injectFaults,
  submitWorkload,
} from "./workloads.js";
import type { SimWorker } from "./machine.js";
import { World } from "./world.js";
import { withoutCountCheck, withoutTakeoverFence } from "./guards.js";

const DAY_MS = 240_000;

function day(seed: number, withFaults: boolean): World {
  const w = new World(seed);
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  submitWorkload(w, DAY_MS * 0.7);
  if (withFaults) injectFaults(w, DAY_MS * 0.7);
  w.run(DAY_MS);
  return w;
}

const report = (w: World, seed: number): string =>
  `seed ${seed}: ${w.checker.broken.join("; ")}\n${w.logs.slice(-30).join("\n")}`;

test("a quiet day keeps the rules and finishes its work", () => {
  for (let seed = 1; seed <= 4; seed++) {
    const w = day(seed, false);
    assert.deepEqual(w.checker.broken, [], report(w, seed));
    const open = w.checker.unfinished();
    assert.ok(w.starts > 100, `only ${w.starts} starts`);
    assert.deepEqual(
      open,
      [],
      `unfinished: ${open.map((id) => JSON.stringify(w.specs.get(id))).join("\n")}\n${w.logs.slice(-20).join("\n")}`,
    );
  }
});

test("workloads with many injected faults keep the rules", () => {
  let starts = 0;
  for (let seed = 100; seed < 125; seed++) {
    const w = day(seed, true);
    assert.deepEqual(w.checker.broken, [], report(w, seed));
    starts += w.starts;
  }
  assert.ok(starts > 2_000, `only ${starts} starts`);
});

/** Hundreds of machines, and teams that may use most of them. */
function largeWorld(seed: number, machines: number, controllers = 3): World {
  const w = new World(seed, undefined, [], controllers);
  w.capacity = machines;
  w.settings.teams.set("red", {
    name: "red",
    cpus: machines * 8,
    gpus: 0,
    cpusMax: machines * 16,
    gpusMax: 6,
  });
  w.settings.teams.set("blue", {
    name: "blue",
    cpus: machines * 8,
    gpus: 0,
    cpusMax: machines * 20,
    gpusMax: Infinity,
  });
  w.bootAll();
  for (const z of w.zones)
    for (let i = 0; i < machines; i++) w.cloud.add(w.types[0]!, z, false, 0);
  return w;
}

test("large days with gangs of up to 16 and large arrays keep the rules", () => {
  for (let seed = 400; seed < 404; seed++) {
    const w = largeWorld(seed, 50);
    submitWorkload(w, 80_000, largeJob);
    injectFaults(w, 90_000);
    w.run(120_000);
    assert.deepEqual(w.checker.broken, [], report(w, seed));
    assert.ok(w.starts > 300, `only ${w.starts} starts`);
    // Room leaves no machine out, however many there are: it once named forty at most. What is written of it fits: see the checker.
    for (const n of w.nodes.values())
      for (const m of n!.core.leaders.values()) {
        const room = m.capacityReport.current();
        for (const row of room.rows) {
          const free = [...m.state.workers.values()].filter(
            (x) =>
              m.state.isUsable(x) &&
              x.typeName === row.type &&
              x.zone === row.zone &&
              x.spot === row.spot &&
              freeOn(x).cpus > 0,
          );
          assert.equal(
            [...row.free, ...row.reserved].reduce((a, f) => a + f[3], 0),
            free.length,
          );
        }
      }
  }
});

/** Controllers that stand still and zones that are cut off, among all the other injected faults. */
function standingStill(seed: number): World {
  const w = new World(seed, undefined, [], [1, 2, 3, 5][seed % 4]);
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  // In a zone that no setting names.
  w.cloud.add(w.types[0]!, "cellar", false, 0);
  submitWorkload(w, 150_000);
  injectFaults(w, 150_000);
  injectLargeFaults(w, 160_000);
  w.run(220_000);
  return w;
}

test("controllers that stand still, zones cut off, machines dying together: the rules hold with 1, 2, 3 and 5 controllers", () => {
  let starts = 0;
  let ended = 0;
  for (let seed = 520; seed < 544; seed++) {
    const w = standingStill(seed);
    assert.deepEqual(w.checker.broken, [], report(w, seed));
    starts += w.starts;
    ended += w.logs.filter((l) => l.includes("store lease expired")).length;
  }
  assert.ok(starts > 1_500, `only ${starts} starts`);
  assert.ok(
    ended > 20,
    `only ${ended} holds ended: nobody stood still for long enough`,
  );
});

test("the same with hundreds of machines and 1, 2 and 5 controllers", () => {
  let starts = 0;
  for (const [seed, controllers] of [
    [530, 1],
    [531, 2],
    [532, 5],
  ] as const) {
    const w = largeWorld(seed, 75, controllers);
    submitWorkload(w, 60_000, largeJob);
    injectFaults(w, 70_000);
    injectLargeFaults(w, 80_000);
    w.run(110_000);
    assert.deepEqual(w.checker.broken, [], report(w, seed));
    starts += w.starts;
  }
  assert.ok(starts > 500, `only ${starts} starts`);
});

test("what is kept up to date as tasks come and go equals a fresh count after every step", () => {
  for (let seed = 300; seed < 304; seed++) {
    const w = new World(seed);
    w.afterStep = (core) => {
      for (const m of core.leaders.values()) {
        const teams = new Map<string, number>();
        const unconfirmed = new Map<string, number>();
        for (const x of m.state.workers.values()) {
          for (const t of x.tasks.values())
            teams.set(
              t.job.view.spec.team,
              (teams.get(t.job.view.spec.team) ?? 0) + t.job.view.spec.cpus,
            );
          for (const s of x.unconfirmedTasks.values()) {
            unconfirmed.set(s.job, (unconfirmed.get(s.job) ?? 0) + 1);
            if (s.need)
              teams.set(
                s.need.team,
                (teams.get(s.need.team) ?? 0) + s.need.cpus,
              );
          }
          assert.ok(freeOn(x).cpus <= (x.type?.cpus ?? 0));
          const kept = freeOn(x);
          x.free = null;
          assert.deepEqual(freeOn(x), kept);
        }
        for (const [team, u] of m.state.ledger.useByTeam())
          assert.ok(
            Math.abs(u.cpus - (teams.get(team) ?? 0)) < 1e-6,
            `${team}: ${u.cpus}`,
          );
        for (const [team, cpus] of teams)
          assert.ok(
            Math.abs((m.state.ledger.useByTeam().get(team)?.cpus ?? 0) - cpus) <
              1e-6,
            `${team}: ${cpus}`,
          );
        for (const [job, n] of unconfirmed)
          assert.equal(m.state.ledger.unconfirmedOfJob(job).size, n);
        for (const id of core.cache.jobs.keys())
          assert.equal(
            m.state.ledger.unconfirmedOfJob(id).size,
            unconfirmed.get(id) ?? 0,
          );
      }
    };
    for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
    submitWorkload(w, 60_000);
    injectFaults(w, 70_000);
    w.run(90_000);
    assert.ok(w.starts > 30);
  }
});

test("reports make no placing passes of their own, however many machines and waiting jobs there are", () => {
  const passes = (machines: number, jobs: number): number => {
    const w = largeWorld(5, machines);
    w.loss = 0;
    for (let n = 1; n <= jobs; n++) {
      // More than any team may ever use here at once, so that they wait all the time.
      const spec = {
        ...largeJob(w, n),
        kind: "service" as const,
        tasks: 90,
        cpus: 6,
        samePlace: false,
        spot: false,
      };
      w.specs.set(spec.id, spec);
      w.at(2_000 + n * 20, () =>
        w.ask(
          "node-a",
          (reqId) => ({ type: "submit", reqId, spec }),
          () => {},
        ),
      );
    }
    w.run(60_000);
    const before = [...w.nodes.values()].map((n) =>
      [...n!.core.leaders.values()].reduce((a, m) => a + m.schedulingRounds, 0),
    );
    w.run(80_000);
    const after = [...w.nodes.values()].map((n) =>
      [...n!.core.leaders.values()].reduce((a, m) => a + m.schedulingRounds, 0),
    );
    return Math.max(...after.map((a, i) => a - before[i]!));
  };
  const small = passes(4, 10);
  const large = passes(40, 60);
  assert.ok(small > 5, `${small} passes: nothing waits`);
  assert.ok(large <= small + 10, `${large} passes against ${small}`);
});

test("what is finished of an array is written in batches, and its end at once", () => {
  const w = new World(13);
  w.loss = 0;
  w.capacity = 4;
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  const spec = {
    ...randomJob(w, 1),
    kind: "array" as const,
    tasks: 200,
    cpus: 1,
    gpus: 0,
    machineTypes: null,
    zone: null,
    samePlace: false,
    spread: false,
    team: "blue",
  };
  w.specs.set(spec.id, spec);
  let toldMs = 0;
  const poll = (): void => {
    const askedMs = w.now;
    w.ask(
      "node-c",
      (reqId) => ({ type: "status", reqId, id: spec.id }),
      (a) => {
        if (a?.kind === "job") w.checker.answered(spec.id, a.state, askedMs);
        if (a?.kind === "job" && a.state === "done") toldMs ||= w.now;
      },
    );
    if (toldMs === 0) w.at(200, poll);
  };
  let endedMs = 0;
  w.afterStep = () =>
    void (endedMs ||= w.results.size === spec.tasks ? w.now : 0);
  w.at(3_000, () =>
    w.ask(
      "node-b",
      (reqId) => ({ type: "submit", reqId, spec }),
      () => poll(),
    ),
  );
  w.run(200_000);
  assert.deepEqual(w.checker.broken, [], report(w, 13));
  assert.ok(
    endedMs > 20_000 && toldMs > 0 && toldMs < endedMs + 3_000,
    `ended ${endedMs}, told ${toldMs}`,
  );
  const fins = w.checker.writes.get("fin") ?? 0;
  // Three groups, two blocks each, once in 1.5 s; a write a report made some 150.
  assert.ok(
    fins < 3 * (endedMs / 1_500 + 2) && fins < 100,
    `${fins} writes of finished ranges`,
  );
});

test("a gang with spread whose groups have one zone each runs in parts, also over crashes", () => {
  for (let seed = 500; seed < 506; seed++) {
    const w = new World(seed);
    w.capacity = 4;
    for (const z of ["east", "mid"])
      for (let i = 0; i < 2; i++) w.cloud.add(w.types[1]!, z, false, 0);
    for (let n = 1; n <= 5; n++) {
      // Only the big type has accelerators, in one zone of node-a and one of node-b.
      const spec = {
        ...randomJob(w, n),
        kind: "gang" as const,
        tasks: 2 + (n % 3),
        cpus: 2,
        gpus: 1,
        machineTypes: null,
        zone: null,
        samePlace: false,
        spread: true,
        team: "blue",
      };
      w.specs.set(spec.id, spec);
      w.at(3_000 + n * 500, () =>
        w.ask(
          "node-c",
          (reqId) => ({ type: "submit", reqId, spec }),
          (a) =>
            a?.kind === "job" && w.checker.answered(spec.id, a.state, w.now),
        ),
      );
    }
    if (seed >= 502) {
      const at = w.rng.real(4_000, 12_000);
      const node = w.rng.pick(["node-a", "node-b"]);
      w.at(at, () => w.crash(node));
      w.at(at + 6_000, () => w.nodes.get(node) ?? w.boot(node));
    }
    w.run(150_000);
    assert.deepEqual(w.checker.broken, [], report(w, seed));
    for (const [id, spec] of w.specs)
      for (let i = 0; i < spec.tasks; i++)
        assert.ok(
          w.results.has(`${id}/${i}`),
          `seed ${seed}: ${id}/${i} of ${spec.tasks} never ran\n${w.logs.slice(-20).join("\n")}`,
        );
  }
});

test("more unfinished jobs than memory allows are refused at once, known ones are still answered", () => {
  const w = new World(6);
  w.settings.memMb = 0.1;
  w.bootAll();
  const got: string[] = [];
  for (let n = 1; n <= 9; n++) {
    const spec = {
      ...randomJob(w, n),
      kind: "service" as const,
      tasks: 1,
      cpus: 1,
      gpus: 0,
      machineTypes: null,
    };
    w.specs.set(spec.id, spec);
    const ask = (): void => {
      const askedMs = w.now;
      w.ask(
        "node-a",
        (reqId) => ({ type: "submit", reqId, spec }),
        (a) => {
          got.push(`${n}: ${a?.kind === "job" ? a.status : a?.kind}`);
          assert.ok(w.now - askedMs < 1_000, "at once");
          if (a?.kind === "retryLater") assert.ok(a.afterS >= 1);
        },
      );
    };
    w.at(5_000 + n * 500, ask);
    if (n === 1) w.at(12_000, ask);
  }
  w.run(15_000);
  assert.deepEqual(got, [
    "1: 201",
    "2: 201",
    "3: 201",
    "4: 201",
    "5: 201",
    "6: retryLater",
    "7: retryLater",
    "8: retryLater",
    "9: retryLater",
    "1: 200",
  ]);
});

/** Breaks something on purpose and expects the checker to notice within some seeds. */
function expectDetected(rule: string, breakIt: () => () => void): void {
  const mend = breakIt();
  try {
    for (let seed = 200; seed < 240; seed++)
      if (day(seed, true).checker.broken.some((b) => b.startsWith(rule)))
        return;
  } finally {
    mend();
  }
  assert.fail(`${rule} was not detected`);
}

test("a team's limit is not handed to and fro between groups whose jobs wait for machines, and both run once there are some", () => {
  const w = new World(21);
  w.loss = 0;
  w.capacity = 0;
  w.settings.teams.set("red", {
    name: "red",
    cpus: 0,
    gpus: 0,
    cpusMax: 40,
    gpusMax: Infinity,
  });
  w.bootAll();
  // Each fits into the whole limit, and both together don't.
  const gang = (n: number, zone: string): JobSpec => ({
    ...randomJob(w, n),
    team: "red",
    kind: "gang",
    tasks: 3,
    cpus: 8,
    gpus: 0,
    machineTypes: ["small"],
    zone,
    samePlace: true,
    spread: false,
    spot: false,
    estimateS: 10,
    checkpointS: 0,
  });
  for (const [n, zone] of [
    [1, "east"],
    [2, "mid"],
  ] as const) {
    const spec = gang(n, zone);
    w.specs.set(spec.id, spec);
    w.at(5_000 + n * 1_000, () =>
      w.ask(
        "node-c",
        (reqId) => ({ type: "submit", reqId, spec }),
        (a) => assert.equal(a?.kind, "job"),
      ),
    );
  }
  w.run(65_000);
  const given = (): number =>
    w.logs.filter((l) => l.includes("transferring quota")).length;
  assert.ok(given() <= 40, `handed over ${given()} times`);
  w.capacity = 3;
  w.run(140_000);
  assert.deepEqual(w.checker.broken, [], report(w, 21));
  for (const id of ["req-000001", "req-000002"])
    for (let i = 0; i < 3; i++)
      assert.ok(
        w.results.has(`${id}/${i}`),
        `${id}\n${w.logs.slice(-20).join("\n")}`,
      );
});

test("while memory is short new jobs are refused, known ones answered, cancelled and finished", () => {
  const w = new World(8);
  w.loss = 0;
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  const got: string[] = [];
  const spec = (n: number): JobSpec => ({
    ...randomJob(w, n),
    kind: "array",
    tasks: 1,
    cpus: 1,
    gpus: 0,
    machineTypes: null,
    zone: null,
    spread: false,
  });
  const ask = (atMs: number, n: number, what: "submit" | "cancel"): void =>
    w.at(atMs, () => {
      const s = spec(n);
      w.specs.set(s.id, w.specs.get(s.id) ?? s);
      w.ask(
        "node-a",
        (reqId) =>
          what === "submit"
            ? { type: "submit", reqId, spec: w.specs.get(s.id)! }
            : { type: "cancel", reqId, id: s.id },
        (a) =>
          got.push(
            `${n}: ${a?.kind === "job" ? `${a.status} ${a.state}` : a?.kind}`,
          ),
      );
    });
  const memory = (atMs: number, short: boolean): void =>
    w.at(atMs, () =>
      w.feed("node-a", w.nodes.get("node-a")!.life, { type: "memory", short }),
    );
  ask(5_000, 1, "submit");
  ask(5_100, 2, "submit");
  memory(6_000, true);
  ask(6_500, 3, "submit");
  ask(6_600, 2, "submit");
  ask(6_700, 2, "cancel");
  ask(30_000, 1, "submit");
  memory(31_000, false);
  ask(31_500, 3, "submit");
  w.run(33_000);
  assert.deepEqual(
    got.map((x) => x.replace("running", "queued")),
    [
      "1: 201 queued",
      "2: 201 queued",
      "3: retryLater",
      "2: 200 queued",
      "2: 200 cancelled",
      "1: 200 done",
      "3: 201 queued",
    ],
  );
});

test("the checker detects a leader without a takeover fence", () => {
  expectDetected("ran_twice", withoutTakeoverFence);
});

test("the checker detects quota shares that ignore the other partitions", () => {
  expectDetected("quota", () => {
    const before = QuotaAllocator.prototype.share;
    QuotaAllocator.prototype.share = function (team) {
      const [c, g] = before.call(this, team);
      return [c * 3, g * 3];
    };
    return () => (QuotaAllocator.prototype.share = before);
  });
});

/** A master that the state service refuses for a minute, while a job on its machines is cancelled elsewhere. */
function cancelBehindBack(invariants = true): World {
  const w = new World(7);
  w.checker.invariants = invariants;
  w.loss = 0;
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  const spec = {
    ...randomJob(w, 1),
    kind: "service" as const,
    tasks: 1,
    cpus: 2,
    gpus: 0,
    machineTypes: null,
    zone: "east",
    samePlace: false,
    spread: false,
  };
  w.specs.set(spec.id, spec);
  w.at(3_000, () =>
    w.ask(
      "node-b",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
  w.at(15_000, () => w.stateCut.set("node-a", "refused"));
  w.at(16_000, () => {
    assert.ok(w.starts > 0, "the job runs");
    w.checker.asked.add(spec.id);
    w.ask(
      "node-b",
      (reqId) => ({ type: "cancel", reqId, id: spec.id }),
      (a) => a?.kind === "job" && w.checker.answered(spec.id, a.state, w.now),
    );
  });
  w.at(75_000, () => w.stateCut.delete("node-a"));
  w.run(90_000);
  assert.equal(w.checker.told.get(spec.id), "cancelled");
  return w;
}

test("a master that can't read cancellations lets its leases run out in time", () => {
  const w = cancelBehindBack();
  assert.deepEqual(w.checker.broken, [], report(w, 7));
});

test("the checker detects commands without a leadership lease", () => {
  const before = Leadership.prototype.mayAct;
  const leave = Controller.prototype.maySend;
  Leadership.prototype.mayAct = () => true;
  Controller.prototype.maySend = () => true;
  try {
    assert.match(
      cancelBehindBack(false).checker.broken.join(),
      /ran_cancelled/,
    );
  } finally {
    Leadership.prototype.mayAct = before;
    Controller.prototype.maySend = leave;
  }
});

/** One controller after the other can't reach the state service for longer than a cancellation may take; some stand still meanwhile. */
function outOfTouch(seed: number, invariants: boolean): World {
  const w = new World(seed);
  w.checker.invariants = invariants;
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  submitWorkload(w, 150_000);
  for (let at = 15_000; at < 150_000; at += 45_000) {
    const node = w.rng.pick(w.names);
    w.at(at, () =>
      w.stateCut.set(node, w.rng.pick(["refused", "held"] as const)),
    );
    w.at(at + w.rng.real(0, 20_000), () =>
      w.freeze(node, w.rng.real(1_000, 15_000)),
    );
    w.at(at + 40_000, () => w.stateCut.delete(node));
  }
  w.run(180_000);
  return w;
}

test("the checker detects a leadership lease whose age nobody checks", () => {
  const age = Object.getOwnPropertyDescriptor(
    Leadership.prototype,
    "leadershipLeaseUntilMs",
  )!;
  const broken = (invariants: boolean): string[] =>
    Array.from({ length: 12 }, (_, k) =>
      outOfTouch(600 + k, invariants).checker.broken.join(),
    ).filter((x) => x !== "");
  assert.deepEqual(broken(true), []);
  Object.defineProperty(Leadership.prototype, "leadershipLeaseUntilMs", {
    configurable: true,
    get(this: { storeLease: number | null }) {
      return this.storeLease === null ? -Infinity : Infinity;
    },
  });
  try {
    const without = broken(false);
    assert.ok(
      without.length >= 3 && without.join().includes("ran_cancelled"),
      without.join("\n"),
    );
  } finally {
    Object.defineProperty(Leadership.prototype, "leadershipLeaseUntilMs", age);
  }
});

test("a put attached to a hold that ended is told from a mistake, and the next hold is asked for at once", () => {
  const w = new World(17);
  w.loss = 0;
  w.run(5_000);
  const node = w.nodes.get("node-a")!;
  const { leadership } = node.core;
  // Back from standing still, it writes before it touches its hold.
  const { storeLease } = leadership as unknown as { storeLease: number };
  w.state.holds.get(storeLease)!.endsMs = w.now;
  w.state.tick();
  w.at(0, () =>
    node.core.commit(
      [],
      [
        {
          op: "put",
          key: "lc/now/group/node-a",
          value: { owner: "node-a", hold: storeLease },
          hold: storeLease,
        },
      ],
      0,
      () => {},
    ),
  );
  w.at(1, () =>
    w.ask(
      "node-a",
      (reqId) => ({ type: "status", reqId, id: "req-1" }),
      () => {},
    ),
  );
  w.run(5_200);
  assert.ok(
    w.logs.some((l) => l.includes("store lease expired")),
    w.logs.join("\n"),
  );
  assert.ok(
    !w.logs.some((l) => l.includes("transaction rejected by the store")),
  );
  w.run(7_000);
  assert.notEqual(
    (leadership as unknown as { storeLease: number | null }).storeLease,
    storeLease,
  );
  assert.ok(leadership.tokenOf("node-a") !== null, "it has its group again");
});

test("a gang of higher urgency gets its room where nothing more can be rented, single tasks being stopped for it", () => {
  const w = new World(9);
  w.loss = 0;
  w.capacity = 2;
  for (let i = 0; i < 2; i++) w.cloud.add(w.types[0]!, "west", false, 0);
  const spec = (n: number, over: object) => ({
    ...randomJob(w, n),
    cpus: 6,
    gpus: 0,
    machineTypes: ["small"],
    zone: "west",
    samePlace: true,
    spread: false,
    spot: false,
    team: "blue",
    checkpointS: 0,
    ...over,
  });
  const low = spec(1, { kind: "service", tasks: 2, priority: "best_effort" });
  const gang = spec(2, { kind: "gang", tasks: 2, priority: "high" });
  for (const [s, at] of [
    [low, 3_000],
    [gang, 20_000],
  ] as const) {
    w.specs.set(s.id, s);
    w.at(at, () =>
      w.ask(
        "node-b",
        (reqId) => ({ type: "submit", reqId, spec: s }),
        (a) => assert.equal(a?.kind, "job"),
      ),
    );
  }
  w.run(19_000);
  assert.equal(w.starts, 2, "both replicas run");
  w.run(70_000);
  assert.deepEqual(w.checker.broken, [], report(w, 9));
  assert.ok(
    w.results.has(`${gang.id}/0`) && w.results.has(`${gang.id}/1`),
    w.logs.slice(-15).join("\n"),
  );
});

test("a takeover does not wait for machines that were gone before it", () => {
  const w = new World(11);
  w.loss = 0;
  const [dead] = [0, 1, 2].map(() =>
    w.cloud.add(w.types[0]!, "east", false, 0),
  );
  const spec = {
    ...randomJob(w, 1),
    kind: "service" as const,
    tasks: 3,
    cpus: 5,
    gpus: 0,
    machineTypes: ["small"],
    zone: "east",
    samePlace: false,
    spread: false,
    spot: false,
    team: "blue",
  };
  w.specs.set(spec.id, spec);
  w.at(3_000, () =>
    w.ask(
      "node-b",
      (reqId) => ({ type: "submit", reqId, spec }),
      () => {},
    ),
  );
  w.at(8_000, () => dead!.vanish());
  for (const at of [30_000, 50_000]) {
    w.at(at, () => w.crash("node-a"));
    w.at(at + 1_000, () => w.boot("node-a"));
  }
  w.run(70_000);
  assert.deepEqual(w.checker.broken, [], report(w, 11));
  const taken = w.logs.filter(
    (l) => l.includes("failover complete") && l.includes("node-a"),
  );
  assert.equal(taken.length, 2, taken.join("\n"));
  for (const l of taken) assert.match(l, /every machine has reported/);
});

/** Three machines at work; node-a ends at 25 s, when one of them is gone or can't be reached, and is back at 26 s. */
function takeover(
  seed: number,
  third: "taken" | "cut off, up for a second",
  list: boolean,
): { w: World; afterMs: number } | null {
  const w = new World(seed);
  w.loss = 0;
  w.capacity = 0;
  const spec = {
    ...randomJob(w, 1),
    kind: "service" as const,
    tasks: 3,
    cpus: 6,
    gpus: 0,
    machineTypes: null,
    zone: "east",
    samePlace: false,
    spread: false,
    spot: false,
  };
  w.specs.set(spec.id, spec);
  w.at(2_000, () =>
    w.ask(
      "node-b",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
  const add = (): SimWorker => w.cloud.add(w.types[0]!, "east", false, 0);
  add();
  add();
  const late = third === "taken" ? add() : null;
  if (!list) w.at(25_000, () => (w.cloudDown = true));
  w.run(23_500);
  const m = late ?? add();
  w.run(25_000);
  // It never came up, or fetches its image for longer.
  if (m.tasks.size === 0 || w.starts < 3) return null;
  if (third === "taken") m.taken();
  else for (const n of w.names) m.cut.add(n);
  w.crash("node-a");
  // Room for the third elsewhere, should anybody take it for lost.
  add();
  w.at(1_000, () => w.boot("node-a"));
  w.run(60_000);
  const line =
    w.logs.find(
      (l) => l.includes("failover complete") && Number(l.split(" ")[0]) > 26,
    ) ?? assert.fail("no takeover");
  return { w, afterMs: Number(/"afterMs":(\d+)/.exec(line)![1]) };
}

test("a takeover waits no lease for a machine that was taken, but for one that the list can't name yet", () => {
  const seeds = Array.from({ length: 30 }, (_, k) => 31 + k);
  const all = (
    third: "taken" | "cut off, up for a second",
    list: boolean,
  ): { w: World; afterMs: number }[] =>
    seeds.flatMap((seed) => takeover(seed, third, list) ?? []);
  for (const { afterMs } of all("taken", false))
    assert.ok(afterMs > 10_000, "without the list, the lease");
  const quick = all("taken", true);
  assert.ok(quick.length > 15);
  for (const { w, afterMs } of quick) {
    assert.ok(afterMs < 9_700, `${afterMs}`);
    assert.deepEqual(w.checker.broken, []);
  }
  const late = all("cut off, up for a second", true);
  assert.ok(late.length > 5);
  for (const { w } of late) assert.deepEqual(w.checker.broken, []);
  // A list that does not know the machine yet, taken for the truth, starts its task twice.
  const proto = PartitionState.prototype as unknown as {
    noteMachineList: (m: Map<string, unknown>, asOfMs: number) => void;
  };
  const before = proto.noteMachineList;
  proto.noteMachineList = function (m) {
    before.call(this, m, Infinity);
  };
  const restoreCount = withoutCountCheck();
  try {
    assert.match(
      all("cut off, up for a second", true)
        .map((x) => x.w.checker.broken.join())
        .join(),
      /ran_twice/,
    );
  } finally {
    restoreCount();
    proto.noteMachineList = before;
  }
});

test("a machine that reports before the fence is lifted stays in the roster, whatever token it has seen", () => {
  const w = new World(12);
  w.loss = 0;
  const m = w.cloud.add(w.types[0]!, "east", false, 0);
  let checked = 0;
  w.at(10_000, () => {
    m.hung = true;
    w.crash("node-a");
  });
  w.at(11_000, () => w.boot("node-a"));
  // It comes back shortly before its lease would be over, and is not told of the new token.
  const sendHeartbeat = (): void => {
    w.ask(
      "node-a",
      (reqId) => ({
        type: "heartbeat",
        reqId,
        heartbeat: { ...m.snapshot(), token: 0 },
        relayed: false,
      }),
      () => {},
    );
    if (w.now < 28_000) w.at(700, sendHeartbeat);
  };
  w.at(20_000, sendHeartbeat);
  w.afterStep = (core) => {
    const own = core.leaders.get("node-a")?.state;
    if (w.now < 21_000 || !own?.workers.has(m.id)) return;
    checked++;
    assert.ok(own.registry.has(m.id), `at ${w.now}`);
  };
  w.run(28_000);
  assert.ok(checked > 20);
  assert.ok(
    w.logs.some((l) => l.includes("leases of silent machines have ended")),
    "the fence was lifted by time",
  );
});
