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
import { withoutCountCheck, withoutFailoverFence } from "./guards.js";

const WORKLOAD_MS = 240_000;

function runWorkload(seed: number, withFaults: boolean): World {
  const world = new World(seed);
  for (const z of world.zones) world.cloud.add(world.types[0]!, z, false, 0);
  submitWorkload(world, WORKLOAD_MS * 0.7);
  if (withFaults) injectFaults(world, WORKLOAD_MS * 0.7);
  world.run(WORKLOAD_MS);
  return world;
}

const describeSeed = (world: World, seed: number): string =>
  `seed ${seed}: ${world.checker.brokenRules.join("; ")}\n${world.logs.slice(-30).join("\n")}`;

test("a workload without faults keeps the rules and finishes all jobs", () => {
  for (let seed = 1; seed <= 4; seed++) {
    const world = runWorkload(seed, false);
    assert.deepEqual(world.checker.brokenRules, [], describeSeed(world, seed));
    const unfinished = world.checker.unfinished();
    assert.ok(world.starts > 100, `only ${world.starts} starts`);
    assert.deepEqual(
      unfinished,
      [],
      `unfinished: ${unfinished.map((id) => JSON.stringify(world.specs.get(id))).join("\n")}\n${world.logs.slice(-20).join("\n")}`,
    );
  }
});

test("workloads with many injected faults keep the rules", () => {
  let starts = 0;
  for (let seed = 100; seed < 125; seed++) {
    const world = runWorkload(seed, true);
    assert.deepEqual(world.checker.brokenRules, [], describeSeed(world, seed));
    starts += world.starts;
  }
  assert.ok(starts > 2_000, `only ${starts} starts`);
});

/** Hundreds of machines, and teams that may use most of them. */
function largeWorld(seed: number, machines: number, controllers = 3): World {
  const world = new World(seed, undefined, [], controllers);
  world.capacity = machines;
  world.settings.teams.set("red", {
    name: "red",
    cpus: machines * 8,
    gpus: 0,
    cpusMax: machines * 16,
    gpusMax: 6,
  });
  world.settings.teams.set("blue", {
    name: "blue",
    cpus: machines * 8,
    gpus: 0,
    cpusMax: machines * 20,
    gpusMax: Infinity,
  });
  world.bootAll();
  for (const z of world.zones)
    for (let i = 0; i < machines; i++)
      world.cloud.add(world.types[0]!, z, false, 0);
  return world;
}

test("large workloads with gangs of up to 16 and large arrays keep the rules", () => {
  for (let seed = 400; seed < 404; seed++) {
    const world = largeWorld(seed, 50);
    submitWorkload(world, 80_000, largeJob);
    injectFaults(world, 90_000);
    world.run(120_000);
    assert.deepEqual(world.checker.brokenRules, [], describeSeed(world, seed));
    assert.ok(world.starts > 300, `only ${world.starts} starts`);
    // The capacity report covers all machines, not only the first forty. The checker verifies that the stored report fits the limits.
    for (const node of world.nodes.values())
      for (const leader of node!.core.leaders.values()) {
        const capacityReport = leader.capacityReport.current();
        for (const row of capacityReport.rows) {
          const free = [...leader.state.workers.values()].filter(
            (worker) =>
              leader.state.isUsable(worker) &&
              worker.typeName === row.type &&
              worker.zone === row.zone &&
              worker.spot === row.spot &&
              freeOn(worker).cpus > 0,
          );
          assert.equal(
            [...row.free, ...row.reserved].reduce((a, f) => a + f[3], 0),
            free.length,
          );
        }
      }
  }
});

/** Pauses of controllers and cut-off zones, together with all other injected faults. */
function withPausesAndZoneCuts(seed: number): World {
  const world = new World(seed, undefined, [], [1, 2, 3, 5][seed % 4]);
  for (const z of world.zones) world.cloud.add(world.types[0]!, z, false, 0);
  // A machine in a zone that the settings don't name.
  world.cloud.add(world.types[0]!, "cellar", false, 0);
  submitWorkload(world, 150_000);
  injectFaults(world, 150_000);
  injectLargeFaults(world, 160_000);
  world.run(220_000);
  return world;
}

test("paused controllers, zones cut off, machines failing together: the rules hold with 1, 2, 3 and 5 controllers", () => {
  let starts = 0;
  let expiredLeases = 0;
  for (let seed = 520; seed < 544; seed++) {
    const world = withPausesAndZoneCuts(seed);
    assert.deepEqual(world.checker.brokenRules, [], describeSeed(world, seed));
    starts += world.starts;
    expiredLeases += world.logs.filter((l) =>
      l.includes("store lease expired"),
    ).length;
  }
  assert.ok(starts > 1_500, `only ${starts} starts`);
  assert.ok(
    expiredLeases > 20,
    `only ${expiredLeases} store leases expired: no controller paused for long enough`,
  );
});

test("the same with hundreds of machines and 1, 2 and 5 controllers", () => {
  let starts = 0;
  for (const [seed, controllers] of [
    [530, 1],
    [531, 2],
    [532, 5],
  ] as const) {
    const world = largeWorld(seed, 75, controllers);
    submitWorkload(world, 60_000, largeJob);
    injectFaults(world, 70_000);
    injectLargeFaults(world, 80_000);
    world.run(110_000);
    assert.deepEqual(world.checker.brokenRules, [], describeSeed(world, seed));
    starts += world.starts;
  }
  assert.ok(starts > 500, `only ${starts} starts`);
});

test("incrementally updated counts equal a fresh count after every step", () => {
  for (let seed = 300; seed < 304; seed++) {
    const world = new World(seed);
    world.afterStep = (core) => {
      for (const leader of core.leaders.values()) {
        const cpusByTeam = new Map<string, number>();
        const unconfirmedByJob = new Map<string, number>();
        for (const worker of leader.state.workers.values()) {
          for (const task of worker.tasks.values())
            cpusByTeam.set(
              task.job.view.spec.team,
              (cpusByTeam.get(task.job.view.spec.team) ?? 0) +
                task.job.view.spec.cpus,
            );
          for (const unconfirmedTask of worker.unconfirmedTasks.values()) {
            unconfirmedByJob.set(
              unconfirmedTask.job,
              (unconfirmedByJob.get(unconfirmedTask.job) ?? 0) + 1,
            );
            if (unconfirmedTask.need)
              cpusByTeam.set(
                unconfirmedTask.need.team,
                (cpusByTeam.get(unconfirmedTask.need.team) ?? 0) +
                  unconfirmedTask.need.cpus,
              );
          }
          assert.ok(freeOn(worker).cpus <= (worker.type?.cpus ?? 0));
          const cachedFree = freeOn(worker);
          worker.free = null;
          assert.deepEqual(freeOn(worker), cachedFree);
        }
        for (const [team, use] of leader.state.ledger.useByTeam())
          assert.ok(
            Math.abs(use.cpus - (cpusByTeam.get(team) ?? 0)) < 1e-6,
            `${team}: ${use.cpus}`,
          );
        for (const [team, cpus] of cpusByTeam)
          assert.ok(
            Math.abs(
              (leader.state.ledger.useByTeam().get(team)?.cpus ?? 0) - cpus,
            ) < 1e-6,
            `${team}: ${cpus}`,
          );
        for (const [job, n] of unconfirmedByJob)
          assert.equal(leader.state.ledger.unconfirmedOfJob(job).size, n);
        for (const id of core.cache.jobs.keys())
          assert.equal(
            leader.state.ledger.unconfirmedOfJob(id).size,
            unconfirmedByJob.get(id) ?? 0,
          );
      }
    };
    for (const z of world.zones) world.cloud.add(world.types[0]!, z, false, 0);
    submitWorkload(world, 60_000);
    injectFaults(world, 70_000);
    world.run(90_000);
    assert.ok(world.starts > 30);
  }
});

test("heartbeats cause no scheduling rounds of their own, however many machines and waiting jobs there are", () => {
  const schedulingRounds = (machines: number, jobs: number): number => {
    const world = largeWorld(5, machines);
    world.loss = 0;
    for (let jobNumber = 1; jobNumber <= jobs; jobNumber++) {
      // Too many tasks for any team's limit, so that the jobs wait all the time.
      const spec = {
        ...largeJob(world, jobNumber),
        kind: "service" as const,
        tasks: 90,
        cpus: 6,
        samePlace: false,
        spot: false,
      };
      world.specs.set(spec.id, spec);
      world.at(2_000 + jobNumber * 20, () =>
        world.ask(
          "node-a",
          (reqId) => ({ type: "submit", reqId, spec }),
          () => {},
        ),
      );
    }
    world.run(60_000);
    const before = [...world.nodes.values()].map((n) =>
      [...n!.core.leaders.values()].reduce((a, m) => a + m.schedulingRounds, 0),
    );
    world.run(80_000);
    const after = [...world.nodes.values()].map((n) =>
      [...n!.core.leaders.values()].reduce((a, m) => a + m.schedulingRounds, 0),
    );
    return Math.max(...after.map((a, i) => a - before[i]!));
  };
  const small = schedulingRounds(4, 10);
  const large = schedulingRounds(40, 60);
  assert.ok(small > 5, `${small} scheduling rounds: nothing waits`);
  assert.ok(large <= small + 10, `${large} scheduling rounds against ${small}`);
});

test("completed tasks of an array are written in batches, and its end at once", () => {
  const world = new World(13);
  world.loss = 0;
  world.capacity = 4;
  for (const z of world.zones) world.cloud.add(world.types[0]!, z, false, 0);
  const spec = {
    ...randomJob(world, 1),
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
  world.specs.set(spec.id, spec);
  let reportedDoneMs = 0;
  const poll = (): void => {
    const askedMs = world.now;
    world.ask(
      "node-c",
      (reqId) => ({ type: "status", reqId, id: spec.id }),
      (answer) => {
        if (answer?.kind === "job")
          world.checker.answered(spec.id, answer.state, askedMs);
        if (answer?.kind === "job" && answer.state === "done")
          reportedDoneMs ||= world.now;
      },
    );
    if (reportedDoneMs === 0) world.at(200, poll);
  };
  let endedMs = 0;
  world.afterStep = () =>
    void (endedMs ||= world.results.size === spec.tasks ? world.now : 0);
  world.at(3_000, () =>
    world.ask(
      "node-b",
      (reqId) => ({ type: "submit", reqId, spec }),
      () => poll(),
    ),
  );
  world.run(200_000);
  assert.deepEqual(world.checker.brokenRules, [], describeSeed(world, 13));
  assert.ok(
    endedMs > 20_000 && reportedDoneMs > 0 && reportedDoneMs < endedMs + 3_000,
    `ended ${endedMs}, reported ${reportedDoneMs}`,
  );
  const completionWrites = world.checker.writesByKind.get("fin") ?? 0;
  // Three partitions each write two blocks once per 1.5 s. One write per heartbeat made about 150 writes.
  assert.ok(
    completionWrites < 3 * (endedMs / 1_500 + 2) && completionWrites < 100,
    `${completionWrites} writes of completion records`,
  );
});

test("a gang with spread runs in parts in two partitions with one zone each, also across crashes", () => {
  for (let seed = 500; seed < 506; seed++) {
    const world = new World(seed);
    world.capacity = 4;
    for (const z of ["east", "mid"])
      for (let i = 0; i < 2; i++) world.cloud.add(world.types[1]!, z, false, 0);
    for (let jobNumber = 1; jobNumber <= 5; jobNumber++) {
      // Only the big type has GPUs, in one zone of node-a and one of node-b.
      const spec = {
        ...randomJob(world, jobNumber),
        kind: "gang" as const,
        tasks: 2 + (jobNumber % 3),
        cpus: 2,
        gpus: 1,
        machineTypes: null,
        zone: null,
        samePlace: false,
        spread: true,
        team: "blue",
      };
      world.specs.set(spec.id, spec);
      world.at(3_000 + jobNumber * 500, () =>
        world.ask(
          "node-c",
          (reqId) => ({ type: "submit", reqId, spec }),
          (a) =>
            a?.kind === "job" &&
            world.checker.answered(spec.id, a.state, world.now),
        ),
      );
    }
    if (seed >= 502) {
      const at = world.rng.real(4_000, 12_000);
      const node = world.rng.pick(["node-a", "node-b"]);
      world.at(at, () => world.crash(node));
      world.at(at + 6_000, () => world.nodes.get(node) ?? world.boot(node));
    }
    world.run(150_000);
    assert.deepEqual(world.checker.brokenRules, [], describeSeed(world, seed));
    for (const [id, spec] of world.specs)
      for (let i = 0; i < spec.tasks; i++)
        assert.ok(
          world.results.has(`${id}/${i}`),
          `seed ${seed}: ${id}/${i} of ${spec.tasks} never ran\n${world.logs.slice(-20).join("\n")}`,
        );
  }
});

test("more unfinished jobs than memory allows are rejected at once, accepted ones are still answered", () => {
  const world = new World(6);
  world.settings.memMb = 0.1;
  world.bootAll();
  const outcomes: string[] = [];
  for (let jobNumber = 1; jobNumber <= 9; jobNumber++) {
    const spec = {
      ...randomJob(world, jobNumber),
      kind: "service" as const,
      tasks: 1,
      cpus: 1,
      gpus: 0,
      machineTypes: null,
    };
    world.specs.set(spec.id, spec);
    const submitOnce = (): void => {
      const askedMs = world.now;
      world.ask(
        "node-a",
        (reqId) => ({ type: "submit", reqId, spec }),
        (answer) => {
          outcomes.push(
            `${jobNumber}: ${answer?.kind === "job" ? answer.status : answer?.kind}`,
          );
          assert.ok(world.now - askedMs < 1_000, "at once");
          if (answer?.kind === "retryLater") assert.ok(answer.afterS >= 1);
        },
      );
    };
    world.at(5_000 + jobNumber * 500, submitOnce);
    if (jobNumber === 1) world.at(12_000, submitOnce);
  }
  world.run(15_000);
  assert.deepEqual(outcomes, [
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

/** Switches a guard off and expects the checker to detect the broken rule for one of 40 seeds. */
function expectDetected(rule: string, switchOff: () => () => void): void {
  const restore = switchOff();
  try {
    for (let seed = 200; seed < 240; seed++)
      if (
        runWorkload(seed, true).checker.brokenRules.some((b) =>
          b.startsWith(rule),
        )
      )
        return;
  } finally {
    restore();
  }
  assert.fail(`${rule} was not detected`);
}

test("a team's limit is not passed back and forth between partitions whose jobs wait for machines, and both run once there are some", () => {
  const world = new World(21);
  world.loss = 0;
  world.capacity = 0;
  world.settings.teams.set("red", {
    name: "red",
    cpus: 0,
    gpus: 0,
    cpusMax: 40,
    gpusMax: Infinity,
  });
  world.bootAll();
  // Each gang alone fits into the limit, but not both together.
  const gang = (jobNumber: number, zone: string): JobSpec => ({
    ...randomJob(world, jobNumber),
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
  for (const [jobNumber, zone] of [
    [1, "east"],
    [2, "mid"],
  ] as const) {
    const spec = gang(jobNumber, zone);
    world.specs.set(spec.id, spec);
    world.at(5_000 + jobNumber * 1_000, () =>
      world.ask(
        "node-c",
        (reqId) => ({ type: "submit", reqId, spec }),
        (a) => assert.equal(a?.kind, "job"),
      ),
    );
  }
  world.run(65_000);
  const transfers = (): number =>
    world.logs.filter((l) => l.includes("transferring quota")).length;
  assert.ok(transfers() <= 40, `transferred ${transfers()} times`);
  world.capacity = 3;
  world.run(140_000);
  assert.deepEqual(world.checker.brokenRules, [], describeSeed(world, 21));
  for (const id of ["req-000001", "req-000002"])
    for (let i = 0; i < 3; i++)
      assert.ok(
        world.results.has(`${id}/${i}`),
        `${id}\n${world.logs.slice(-20).join("\n")}`,
      );
});

test("while memory is low new jobs are rejected, accepted ones are answered, cancelled and finished", () => {
  const world = new World(8);
  world.loss = 0;
  for (const z of world.zones) world.cloud.add(world.types[0]!, z, false, 0);
  const outcomes: string[] = [];
  const spec = (jobNumber: number): JobSpec => ({
    ...randomJob(world, jobNumber),
    kind: "array",
    tasks: 1,
    cpus: 1,
    gpus: 0,
    machineTypes: null,
    zone: null,
    spread: false,
  });
  const ask = (
    atMs: number,
    jobNumber: number,
    request: "submit" | "cancel",
  ): void =>
    world.at(atMs, () => {
      const job = spec(jobNumber);
      world.specs.set(job.id, world.specs.get(job.id) ?? job);
      world.ask(
        "node-a",
        (reqId) =>
          request === "submit"
            ? { type: "submit", reqId, spec: world.specs.get(job.id)! }
            : { type: "cancel", reqId, id: job.id },
        (answer) =>
          outcomes.push(
            `${jobNumber}: ${answer?.kind === "job" ? `${answer.status} ${answer.state}` : answer?.kind}`,
          ),
      );
    });
  const reportMemory = (atMs: number, short: boolean): void =>
    world.at(atMs, () =>
      world.feed("node-a", world.nodes.get("node-a")!.processNumber, {
        type: "memory",
        short,
      }),
    );
  ask(5_000, 1, "submit");
  ask(5_100, 2, "submit");
  reportMemory(6_000, true);
  ask(6_500, 3, "submit");
  ask(6_600, 2, "submit");
  ask(6_700, 2, "cancel");
  ask(30_000, 1, "submit");
  reportMemory(31_000, false);
  ask(31_500, 3, "submit");
  world.run(33_000);
  assert.deepEqual(
    outcomes.map((x) => x.replace("running", "queued")),
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

test("the checker detects a leader without a failover fence", () => {
  expectDetected("ran_twice", withoutFailoverFence);
});

test("the checker detects quota shares that ignore the other partitions", () => {
  expectDetected("quota", () => {
    const original = QuotaAllocator.prototype.share;
    QuotaAllocator.prototype.share = function (team) {
      const [cpus, gpus] = original.call(this, team);
      return [cpus * 3, gpus * 3];
    };
    return () => (QuotaAllocator.prototype.share = original);
  });
});

/** A leader that the state service refuses for a minute, while a job on its machines is cancelled at another controller. */
function cancelWhileLeaderRefused(invariants = true): World {
  const world = new World(7);
  world.checker.invariants = invariants;
  world.loss = 0;
  for (const z of world.zones) world.cloud.add(world.types[0]!, z, false, 0);
  const spec = {
    ...randomJob(world, 1),
    kind: "service" as const,
    tasks: 1,
    cpus: 2,
    gpus: 0,
    machineTypes: null,
    zone: "east",
    samePlace: false,
    spread: false,
  };
  world.specs.set(spec.id, spec);
  world.at(3_000, () =>
    world.ask(
      "node-b",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
  world.at(15_000, () => world.stateCut.set("node-a", "refused"));
  world.at(16_000, () => {
    assert.ok(world.starts > 0, "the job runs");
    world.checker.cancelRequests.add(spec.id);
    world.ask(
      "node-b",
      (reqId) => ({ type: "cancel", reqId, id: spec.id }),
      (a) =>
        a?.kind === "job" &&
        world.checker.answered(spec.id, a.state, world.now),
    );
  });
  world.at(75_000, () => world.stateCut.delete("node-a"));
  world.run(90_000);
  assert.equal(world.checker.toldStates.get(spec.id), "cancelled");
  return world;
}

test("a leader that can't read cancellations lets its leases expire in time", () => {
  const world = cancelWhileLeaderRefused();
  assert.deepEqual(world.checker.brokenRules, [], describeSeed(world, 7));
});

test("the checker detects commands without a leadership lease", () => {
  const mayAct = Leadership.prototype.mayAct;
  const maySend = Controller.prototype.maySend;
  Leadership.prototype.mayAct = () => true;
  Controller.prototype.maySend = () => true;
  try {
    assert.match(
      cancelWhileLeaderRefused(false).checker.brokenRules.join(),
      /ran_cancelled/,
    );
  } finally {
    Leadership.prototype.mayAct = mayAct;
    Controller.prototype.maySend = maySend;
  }
});

/** One controller after the other can't reach the state service for 40 s, longer than a cancellation may take, and pauses meanwhile. */
function withUnreachableStore(seed: number, invariants: boolean): World {
  const world = new World(seed);
  world.checker.invariants = invariants;
  for (const z of world.zones) world.cloud.add(world.types[0]!, z, false, 0);
  submitWorkload(world, 150_000);
  for (let atMs = 15_000; atMs < 150_000; atMs += 45_000) {
    const node = world.rng.pick(world.names);
    world.at(atMs, () =>
      world.stateCut.set(node, world.rng.pick(["refused", "held"] as const)),
    );
    world.at(atMs + world.rng.real(0, 20_000), () =>
      world.freeze(node, world.rng.real(1_000, 15_000)),
    );
    world.at(atMs + 40_000, () => world.stateCut.delete(node));
  }
  world.run(180_000);
  return world;
}

test("the checker detects a leadership lease whose age is not checked", () => {
  const descriptor = Object.getOwnPropertyDescriptor(
    Leadership.prototype,
    "leadershipLeaseUntilMs",
  )!;
  const brokenRules = (invariants: boolean): string[] =>
    Array.from({ length: 12 }, (_, k) =>
      withUnreachableStore(600 + k, invariants).checker.brokenRules.join(),
    ).filter((x) => x !== "");
  assert.deepEqual(brokenRules(true), []);
  Object.defineProperty(Leadership.prototype, "leadershipLeaseUntilMs", {
    configurable: true,
    get(this: { storeLease: number | null }) {
      return this.storeLease === null ? -Infinity : Infinity;
    },
  });
  try {
    const brokenWithoutCheck = brokenRules(false);
    assert.ok(
      brokenWithoutCheck.length >= 3 &&
        brokenWithoutCheck.join().includes("ran_cancelled"),
      brokenWithoutCheck.join("\n"),
    );
  } finally {
    Object.defineProperty(
      Leadership.prototype,
      "leadershipLeaseUntilMs",
      descriptor,
    );
  }
});

test("a put attached to an expired store lease is recognized as such, and a new lease is requested at once", () => {
  const world = new World(17);
  world.loss = 0;
  world.run(5_000);
  const node = world.nodes.get("node-a")!;
  const { leadership } = node.core;
  // After a pause it writes before it renews its store lease.
  const { storeLease } = leadership as unknown as { storeLease: number };
  world.state.storeLeases.get(storeLease)!.endsMs = world.now;
  world.state.tick();
  world.at(0, () =>
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
  world.at(1, () =>
    world.ask(
      "node-a",
      (reqId) => ({ type: "status", reqId, id: "req-1" }),
      () => {},
    ),
  );
  world.run(5_200);
  assert.ok(
    world.logs.some((l) => l.includes("store lease expired")),
    world.logs.join("\n"),
  );
  assert.ok(
    !world.logs.some((l) => l.includes("transaction rejected by the store")),
  );
  world.run(7_000);
  assert.notEqual(
    (leadership as unknown as { storeLease: number | null }).storeLease,
    storeLease,
  );
  assert.ok(
    leadership.tokenOf("node-a") !== null,
    "it leads its partition again",
  );
});

test("a gang of higher priority preempts other tasks where no more machines can be rented", () => {
  const world = new World(9);
  world.loss = 0;
  world.capacity = 2;
  for (let i = 0; i < 2; i++)
    world.cloud.add(world.types[0]!, "west", false, 0);
  const spec = (jobNumber: number, overrides: object) => ({
    ...randomJob(world, jobNumber),
    cpus: 6,
    gpus: 0,
    machineTypes: ["small"],
    zone: "west",
    samePlace: true,
    spread: false,
    spot: false,
    team: "blue",
    checkpointS: 0,
    ...overrides,
  });
  const lowPriority = spec(1, {
    kind: "service",
    tasks: 2,
    priority: "best_effort",
  });
  const gang = spec(2, { kind: "gang", tasks: 2, priority: "high" });
  for (const [job, at] of [
    [lowPriority, 3_000],
    [gang, 20_000],
  ] as const) {
    world.specs.set(job.id, job);
    world.at(at, () =>
      world.ask(
        "node-b",
        (reqId) => ({ type: "submit", reqId, spec: job }),
        (a) => assert.equal(a?.kind, "job"),
      ),
    );
  }
  world.run(19_000);
  assert.equal(world.starts, 2, "both replicas run");
  world.run(70_000);
  assert.deepEqual(world.checker.brokenRules, [], describeSeed(world, 9));
  assert.ok(
    world.results.has(`${gang.id}/0`) && world.results.has(`${gang.id}/1`),
    world.logs.slice(-15).join("\n"),
  );
});

test("a takeover does not wait for machines that were gone before it", () => {
  const world = new World(11);
  world.loss = 0;
  const [deadMachine] = [0, 1, 2].map(() =>
    world.cloud.add(world.types[0]!, "east", false, 0),
  );
  const spec = {
    ...randomJob(world, 1),
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
  world.specs.set(spec.id, spec);
  world.at(3_000, () =>
    world.ask(
      "node-b",
      (reqId) => ({ type: "submit", reqId, spec }),
      () => {},
    ),
  );
  world.at(8_000, () => deadMachine!.vanish());
  for (const at of [30_000, 50_000]) {
    world.at(at, () => world.crash("node-a"));
    world.at(at + 1_000, () => world.boot("node-a"));
  }
  world.run(70_000);
  assert.deepEqual(world.checker.brokenRules, [], describeSeed(world, 11));
  const failovers = world.logs.filter(
    (l) => l.includes("failover complete") && l.includes("node-a"),
  );
  assert.equal(failovers.length, 2, failovers.join("\n"));
  for (const l of failovers) assert.match(l, /every machine has reported/);
});

/** Three busy machines; at 25 s one is removed or cut off and node-a crashes; node-a restarts at 26 s. */
function runFailover(
  seed: number,
  third: "taken" | "cut off, up for a second",
  isListAvailable: boolean,
): { world: World; afterMs: number } | null {
  const world = new World(seed);
  world.loss = 0;
  world.capacity = 0;
  const spec = {
    ...randomJob(world, 1),
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
  world.specs.set(spec.id, spec);
  world.at(2_000, () =>
    world.ask(
      "node-b",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
  const addMachine = (): SimWorker =>
    world.cloud.add(world.types[0]!, "east", false, 0);
  addMachine();
  addMachine();
  const removedMachine = third === "taken" ? addMachine() : null;
  if (!isListAvailable) world.at(25_000, () => (world.cloudDown = true));
  world.run(23_500);
  const machine = removedMachine ?? addMachine();
  world.run(25_000);
  // The machine never came up, or a task is still fetching its image.
  if (machine.tasks.size === 0 || world.starts < 3) return null;
  if (third === "taken") machine.reclaim();
  else for (const n of world.names) machine.cut.add(n);
  world.crash("node-a");
  // A free machine, on which the third task would start if its machine were wrongly taken for lost.
  addMachine();
  world.at(1_000, () => world.boot("node-a"));
  world.run(60_000);
  const line =
    world.logs.find(
      (l) => l.includes("failover complete") && Number(l.split(" ")[0]) > 26,
    ) ?? assert.fail("no failover");
  return { world, afterMs: Number(/"afterMs":(\d+)/.exec(line)![1]) };
}

test("a failover does not wait a lease for a machine that the cloud removed, but for one that the cloud's list does not contain yet", () => {
  const seeds = Array.from({ length: 30 }, (_, k) => 31 + k);
  const runFailovers = (
    third: "taken" | "cut off, up for a second",
    list: boolean,
  ): { world: World; afterMs: number }[] =>
    seeds.flatMap((seed) => runFailover(seed, third, list) ?? []);
  for (const { afterMs } of runFailovers("taken", false))
    assert.ok(afterMs > 10_000, "without the list it waits a lease");
  const withList = runFailovers("taken", true);
  assert.ok(withList.length > 15);
  for (const { world, afterMs } of withList) {
    assert.ok(afterMs < 9_700, `${afterMs}`);
    assert.deepEqual(world.checker.brokenRules, []);
  }
  const notListed = runFailovers("cut off, up for a second", true);
  assert.ok(notListed.length > 5);
  for (const { world } of notListed)
    assert.deepEqual(world.checker.brokenRules, []);
  // Trusting a list that does not contain the machine yet starts its task twice.
  const prototype = PartitionState.prototype as unknown as {
    noteMachineList: (m: Map<string, unknown>, asOfMs: number) => void;
  };
  const original = prototype.noteMachineList;
  prototype.noteMachineList = function (m) {
    original.call(this, m, Infinity);
  };
  const restoreCount = withoutCountCheck();
  try {
    assert.match(
      runFailovers("cut off, up for a second", true)
        .map((x) => x.world.checker.brokenRules.join())
        .join(),
      /ran_twice/,
    );
  } finally {
    restoreCount();
    prototype.noteMachineList = original;
  }
});

test("a machine that sends heartbeats before the fence is lifted stays in the registry, whatever token it has seen", () => {
  const world = new World(12);
  world.loss = 0;
  const machine = world.cloud.add(world.types[0]!, "east", false, 0);
  let checked = 0;
  world.at(10_000, () => {
    machine.hung = true;
    world.crash("node-a");
  });
  world.at(11_000, () => world.boot("node-a"));
  // It comes back shortly before its lease would expire, and does not learn the new token.
  const sendHeartbeat = (): void => {
    world.ask(
      "node-a",
      (reqId) => ({
        type: "heartbeat",
        reqId,
        heartbeat: { ...machine.snapshot(), token: 0 },
        relayed: false,
      }),
      () => {},
    );
    if (world.now < 28_000) world.at(700, sendHeartbeat);
  };
  world.at(20_000, sendHeartbeat);
  world.afterStep = (core) => {
    const state = core.leaders.get("node-a")?.state;
    if (world.now < 21_000 || !state?.workers.has(machine.id)) return;
    checked++;
    assert.ok(state.registry.has(machine.id), `at ${world.now}`);
  };
  world.run(28_000);
  assert.ok(checked > 20);
  assert.ok(
    world.logs.some((l) => l.includes("leases of silent machines have ended")),
    "the fence was lifted by time",
  );
});
