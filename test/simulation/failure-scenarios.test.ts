import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { DEFAULTS } from "../../src/config/operator.js";
import type { Effect } from "../../src/coordination/effects.js";
import { FairQueue } from "../../src/coordination/store/fair-queue.js";
import { FinalStatusReader } from "../../src/coordination/store/final-status-reader.js";
import type { JobSpec } from "../../src/coordination/model.js";
import { DeliveryTracker } from "../../src/coordination/machines/delivery-tracker.js";
import { playFailureScenario, randomJob } from "./workloads.js";
import {
  expectGuardNeeded,
  describeWorkload,
  withoutRestartFence,
} from "./guards.js";
import { World } from "./world.js";

/** Failure scenarios. The table of guards and tests is in docs/design/nights.md. */

test("failure scenarios with 1 to 7 controllers: the rules hold, and 75 s after the last injected fault no job is forgotten or stuck", () => {
  let starts = 0;
  let restarts = 0;
  let unreachable = 0;
  for (let seed = 0; seed < 12; seed++) {
    const world = playFailureScenario(seed);
    assert.deepEqual(
      world.checker.brokenRules,
      [],
      `seed ${seed}: ${describeWorkload(world)}`,
    );
    const unfinished = world.checker.unfinished();
    assert.ok(unfinished.length <= 2, `seed ${seed}: ${unfinished.join()}`);
    starts += world.starts;
    restarts += world.logs.filter((l) =>
      l.includes("machine restarted"),
    ).length;
    unreachable += world.logs.filter((l) =>
      l.includes("machine unreachable"),
    ).length;
  }
  assert.ok(
    starts > 2_500 && restarts > 20 && unreachable > 20,
    `${starts} starts, ${restarts} restarted machines, ${unreachable} unreachable machines`,
  );
});

test("guard: a heartbeat with a lower token than its machine has shown, or from before a restart, is stale", () => {
  expectGuardNeeded(playFailureScenario, [11, 29], "ran_twice", () => {
    const original = DeliveryTracker.prototype.isStale;
    DeliveryTracker.prototype.isStale = (worker, heartbeat) =>
      heartbeat.incarnation < worker.incarnation ||
      (heartbeat.incarnation === worker.incarnation &&
        (heartbeat.sequence <= worker.sequence || worker.leaseExpired));
    return () => (DeliveryTracker.prototype.isStale = original);
  });
});

test("guard: a machine's lease also counts from the end of the last command with starts", () => {
  expectGuardNeeded(playFailureScenario, [25, 151], "ran_twice", () => {
    const original = DeliveryTracker.prototype.noteHeartbeat;
    DeliveryTracker.prototype.noteHeartbeat = function (
      worker,
      heartbeat,
      isNewIncarnation,
    ) {
      Object.defineProperty(worker.delivery, "lastCommandMs", {
        get: () => -Infinity,
        set: () => {},
        configurable: true,
      });
      // An inspection would reveal the restart at once, so inspections are switched off, and so is the fence, which is one.
      worker.delivery.lastInspectedMs = Infinity;
      return original.call(this, worker, heartbeat, isNewIncarnation);
    };
    const restoreFence = withoutRestartFence();
    return () => {
      DeliveryTracker.prototype.noteHeartbeat = original;
      restoreFence();
    };
  });
});

test("guard: effects that need the leadership lease are not sent after its end, also if the controller paused before sending", () => {
  const world = new World(3, undefined, [], 1);
  const core = world.nodes.get("node-a")!.core;
  world.run(5_000);
  const leaseEndMs = core.leadershipLease.untilMs;
  assert.ok(leaseEndMs > 5_000 && Number.isFinite(leaseEndMs));
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
  const fence: Effect = {
    type: "inspect",
    callId: 2,
    address: "",
    fence: { token: 1, incarnation: 1 },
  };
  for (const effect of [commands, command, fence])
    assert.deepEqual(
      [core.maySend(effect, leaseEndMs - 1), core.maySend(effect, leaseEndMs)],
      [true, false],
    );
  assert.ok(
    core.maySend(
      {
        type: "answer",
        reqId: 1,
        answer: { kind: "retryLater", afterS: 1, reason: "" },
      },
      leaseEndMs + 1e6,
    ),
  );
});

const smallJob = (
  world: World,
  jobNumber: number,
  overrides: Partial<JobSpec>,
): JobSpec => {
  const spec = {
    ...randomJob(world, jobNumber),
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
    ...overrides,
  };
  world.specs.set(spec.id, spec);
  return spec;
};
const submit = (world: World, atMs: number, spec: JobSpec): void =>
  world.at(atMs, () =>
    world.ask(
      "node-a",
      (reqId) => ({ type: "submit", reqId, spec }),
      (a) => assert.equal(a?.kind, "job"),
    ),
  );
const isDone = (world: World, spec: JobSpec): boolean =>
  Array.from({ length: spec.tasks }, (_, i) =>
    world.results.has(`${spec.id}/${i}`),
  ).every(Boolean);

test("half of all machines receive nothing: their tasks run elsewhere, they get no new ones, and no second fleet is rented", () => {
  const world = new World(4, { ...DEFAULTS, idleReturnS: 1_000 }, [], 1);
  world.loss = 0;
  world.capacity = 40;
  for (let i = 0; i < 12; i++)
    world.cloud.add(world.types[0]!, "east", false, 0);
  const jobs = Array.from({ length: 100 }, (_, n) =>
    smallJob(world, n + 1, { machineTypes: ["small"], zone: "east" }),
  );
  jobs.forEach((s, n) => submit(world, 4_000 + n * 900, s));
  const unreachable = world.workers.slice(0, 6);
  world.at(20_000, () => unreachable.forEach((m) => (m.oneWay = true)));
  world.at(80_000, () => unreachable.forEach((m) => (m.oneWay = false)));
  world.run(19_000);
  const before = world.workers.length;
  world.run(80_000);
  assert.deepEqual(world.checker.brokenRules, [], describeWorkload(world));
  const startsBetween = (fromS: number, toS: number): number =>
    world.logs.filter(
      (line) =>
        line.includes("starting task") &&
        Number(line.split(" ")[0]) > fromS &&
        Number(line.split(" ")[0]) < toS &&
        unreachable.some((m) => line.includes(`"${m.id}"`)),
    ).length;
  assert.ok(startsBetween(10, 20) > 3, "tasks started on them before");
  assert.equal(
    startsBetween(45, 80),
    0,
    "25 s after they stopped receiving no task is started on them",
  );
  assert.ok(
    world.workers.length - before <= 6,
    `${world.workers.length - before} machines were rented meanwhile`,
  );
  world.run(130_000);
  for (const s of jobs)
    assert.ok(isDone(world, s), `${s.id}\n${describeWorkload(world)}`);
  assert.ok(
    world.logs.some((l) => l.includes("machine reachable again")),
    "they are used again once they receive again",
  );
});

test("a job that fails everywhere marks no machine as faulty, causes no rentals and delays no other job", () => {
  const world = new World(9, undefined, [], 1);
  world.loss = 0;
  world.capacity = 4;
  for (let i = 0; i < 4; i++)
    world.cloud.add(world.types[0]!, "east", false, 0);
  const failingJobs = Array.from({ length: 3 }, (_, n) =>
    smallJob(world, n + 1, { tasks: 4, zone: "east" }),
  );
  for (const s of failingJobs) world.faultyJobs.add(s.id);
  const goodJobs = Array.from({ length: 20 }, (_, n) =>
    smallJob(world, n + 10, { zone: "east" }),
  );
  failingJobs.forEach((s, n) => submit(world, 4_000 + n * 50, s));
  goodJobs.forEach((s, n) => submit(world, 6_000 + n * 1_500, s));
  world.run(90_000);
  assert.deepEqual(world.checker.brokenRules, [], describeWorkload(world));
  for (const s of goodJobs)
    assert.ok(isDone(world, s), `${s.id}\n${describeWorkload(world)}`);
  assert.equal(
    world.logs.filter((l) => l.includes("tasks of several jobs failed on it"))
      .length,
    0,
  );
  assert.equal(
    world.logs.filter((l) => l.includes("job fails on every machine")).length,
    3,
    "each failing job is logged once",
  );
  const lateStarts = world.logs.filter(
    (line) =>
      line.includes("starting task") &&
      failingJobs.some((s) => line.includes(s.id)) &&
      Number(line.split(" ")[0]) > 60,
  ).length;
  assert.ok(lateStarts < 30, `${lateStarts} starts in the last 30 s`);
});

/** How long, in seconds, a gang of six machines waits in a zone that small gangs keep full. */
function largestWait(beginWithinS: number): number {
  const world = new World(
    12,
    { ...DEFAULTS, silentReturnS: 20, beginWithinS, holdAfterS: 1e9 },
    [],
    1,
  );
  world.loss = 0;
  world.capacity = 8;
  for (let i = 0; i < 8; i++)
    world.cloud.add(world.types[0]!, "east", false, 0);
  const gang = (jobNumber: number, tasks: number): JobSpec =>
    smallJob(world, jobNumber, {
      jobClass: "merge",
      kind: "gang",
      tasks,
      cpus: 8,
      zone: "east",
      samePlace: true,
      estimateS: 10,
    });
  for (let n = 1; n < 400; n++) submit(world, 4_000 + n * 700, gang(n, 1));
  const large = gang(900, 6);
  submit(world, 20_000, large);
  let startedMs = Infinity;
  world.afterStep = () => {
    if (
      startedMs === Infinity &&
      world.workers.some((machine) =>
        [...machine.tasks.values()].some(
          (t) => t.job === large.id && t.state === "running",
        ),
      )
    )
      startedMs = world.now;
  };
  world.run(320_000);
  assert.deepEqual(world.checker.brokenRules, [], describeWorkload(world));
  return (startedMs - 20_000) / 1000;
}

test("the largest gang starts within the bound although small ones keep its zone full, and not without the guard", () => {
  const bounded = largestWait(120);
  assert.ok(bounded <= 120, `${bounded} s`);
  const unbounded = largestWait(0);
  assert.ok(unbounded > 120, `${unbounded} s: it did not have to wait`);
});

test("in a burst of queries each job is answered within the number of rounds that all jobs need, plus one", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 20 }),
      fc.integer({ min: 1, max: 60 }),
      fc.array(fc.nat(), { minLength: 50, maxLength: 50 }),
      (batchSize, jobs, order) => {
        const queue = new FairQueue<{ id: string }>(batchSize);
        const waitingSinceRound = new Map<string, number>();
        const maxRounds = Math.ceil(jobs / batchSize) + 1;
        for (let round = 0; round < 40; round++) {
          // All jobs are queried in each round, in a varying order, some of them twice.
          const askingJobs = Array.from(
            { length: jobs },
            (_, i) => (i * 7 + order[round]!) % jobs,
          );
          for (const jobNumber of [
            ...askingJobs,
            ...askingJobs.slice(0, order[round + 1]! % jobs),
          ]) {
            const id = `req-${jobNumber}`;
            if (!waitingSinceRound.has(id)) waitingSinceRound.set(id, round);
            queue.add({ id }, round);
          }
          for (const { id } of queue.take()) {
            queue.noteAnswered(id);
            waitingSinceRound.delete(id);
          }
          for (const [id, from] of waitingSinceRound)
            assert.ok(
              round - from < maxRounds,
              `${id} of ${jobs} unanswered for ${round - from} rounds of ${batchSize}`,
            );
        }
      },
    ),
    { seed: 25, numRuns: 60 },
  );
});

test("a job is reported unknown only by a read sent after the query; one read answers all earlier queries", () => {
  const ctx = { nowMs: 100 };
  const reads: {
    key: string;
    done: (r: { is: "item"; item: null }, sentMs: number) => void;
  }[] = [];
  const answers: string[] = [];
  const reader = new FinalStatusReader(
    ctx as never,
    ((call: { key: string }, _: number, done: never) =>
      reads.push({ key: call.key, done })) as never,
    () => {},
  );
  const lookUp = (label: string, id = "req-1"): void =>
    reader.lookUp(id, (p, failed) =>
      answers.push(`${label} ${failed ?? p?.status ?? "unknown"}`),
    );
  lookUp("a");
  ctx.nowMs = 110;
  lookUp("b");
  ctx.nowMs = 130;
  lookUp("c");
  assert.equal(reads.length, 1);
  reads.shift()!.done({ is: "item", item: null }, 120);
  assert.deepEqual(answers, ["a unknown", "b unknown"]);
  assert.equal(
    reads.length,
    1,
    "a second read for the query made after the first was sent",
  );
  reads.shift()!.done({ is: "item", item: null }, 140);
  assert.deepEqual(answers.slice(2), ["c unknown"]);
  for (let n = 0; n < 1_000; n++) lookUp(`n${n}`, `req-${n}`);
  assert.ok(reads.length <= 12, `${reads.length} reads at once`);
  assert.equal(
    answers.filter((t) => t.includes("too many")).length,
    1_000 - 12 - 300,
  );
  while (reads.length > 0)
    reads.shift()!.done({ is: "item", item: null }, ctx.nowMs);
  assert.equal(answers.length, 3 + 1_000);
});

test("a controller that reaches neither the state service nor a peer is not ready until the cut ends; in an outage all stay ready", () => {
  const world = new World(5);
  const ready = (): boolean[] =>
    world.names.map((n) => world.nodes.get(n)!.core.ready);
  world.run(8_000);
  assert.deepEqual(ready(), [true, true, true]);
  world.stateCut.set("node-b", "refused");
  world.meshCuts.add("node-b");
  world.run(25_000);
  assert.deepEqual(ready(), [true, false, true]);
  assert.ok(
    [
      ...world.nodes.get("node-a")!.core.leaders.keys(),
      ...world.nodes.get("node-c")!.core.leaders.keys(),
    ].includes("node-b"),
    "a peer leads its partition",
  );
  world.stateCut.delete("node-b");
  world.meshCuts.delete("node-b");
  world.run(32_000);
  assert.deepEqual(ready(), [true, true, true]);
  world.stateDown = true;
  world.run(45_000);
  assert.deepEqual(ready(), [true, true, true]);
});

test("a controller is removed for good: tasks assigned to it run elsewhere, once none of them can run where they were", () => {
  for (const seed of [3, 4, 5]) {
    const world = new World(seed);
    world.loss = 0;
    for (const z of world.zones)
      for (let i = 0; i < 3; i++) world.cloud.add(world.types[0]!, z, false, 0);
    const jobs = Array.from({ length: 12 }, (_, index) =>
      smallJob(world, index + 1, {
        tasks: 6,
        cpus: 2,
        kind: index % 3 === 0 ? "gang" : "array",
        samePlace: index % 3 === 0,
        spread: index % 3 === 1,
        machineTypes: ["small"],
      }),
    );
    jobs.forEach((s, n) => submit(world, 3_000 + n * 200, s));
    world.run(8_000);
    world.reconfigure(["node-a", "node-b"], world.settings.teams);
    world.crash("node-c");
    world.bootAll();
    world.run(120_000);
    assert.deepEqual(world.checker.brokenRules, [], describeWorkload(world));
    assert.ok(
      world.logs.some((l) =>
        l.includes("reassigning tasks of removed partition"),
      ),
      "tasks were assigned to it",
    );
    for (const spec of jobs)
      assert.ok(
        isDone(world, spec),
        `seed ${seed}: ${spec.id}\n${describeWorkload(world)}`,
      );
  }
});
