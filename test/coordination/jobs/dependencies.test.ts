import assert from "node:assert/strict";
import { test } from "node:test";
import type { Answer } from "../../../src/coordination/effects.js";
import { DependencyTracker } from "../../../src/coordination/jobs/dependency-tracker.js";
import type { Context } from "../../../src/coordination/context.js";
import { StoreCache } from "../../../src/coordination/store/store-cache.js";
import type { JobSpec } from "../../../src/coordination/model.js";
import { RangeSet } from "../../../src/coordination/jobs/range-set.js";
import { jobKey, finalKey, writeJob } from "../../../src/storage/records.js";
import { pipelines, randomJob } from "../../simulation/workloads.js";
import { World } from "../../simulation/world.js";

/** Jobs that wait for dependencies, one scenario per test. */

function createWorld(seed: number, productionNodes: string[] = []): World {
  const world = new World(seed, undefined, productionNodes);
  world.loss = 0;
  for (const zone of world.zones)
    world.cloud.add(world.types[0]!, zone, false, 0);
  return world;
}
const addJob = (
  world: World,
  number: number,
  dependencyNumbers: number[],
  overrides: Partial<JobSpec> = {},
): JobSpec => {
  const spec = {
    ...randomJob(world, number),
    team: "blue",
    kind: "array" as const,
    tasks: 2,
    cpus: 1,
    gpus: 0,
    machineTypes: null,
    zone: null,
    samePlace: false,
    spread: false,
    ...overrides,
  };
  world.specs.set(spec.id, spec);
  world.dependsOn.set(
    spec.id,
    dependencyNumbers.map((dependency) => randomJob(world, dependency).id),
  );
  return spec;
};
function submit(
  world: World,
  spec: JobSpec,
  node = "node-b",
): { answer: Answer | null } {
  const reply: { answer: Answer | null } = { answer: null };
  const askedMs = world.now;
  world.ask(
    node,
    (reqId) => ({
      type: "submit",
      reqId,
      spec,
      dependsOn: world.dependsOn.get(spec.id),
    }),
    (answer) => {
      reply.answer = answer;
      if (answer?.kind === "job")
        world.checker.answered(spec.id, answer.state, askedMs);
    },
  );
  return reply;
}
function query(
  world: World,
  type: "status" | "cancel",
  id: string,
  node: string,
): { answer: Answer | null } {
  const reply: { answer: Answer | null } = { answer: null };
  const askedMs = world.now;
  if (type === "cancel") world.checker.cancelRequests.add(id);
  world.ask(
    node,
    (reqId) => ({ type, reqId, id }),
    (answer) => {
      reply.answer = answer;
      if (answer?.kind === "job")
        world.checker.answered(id, answer.state, askedMs);
    },
  );
  return reply;
}
const stateOf = (answer: Answer | null): string =>
  answer?.kind === "job" ? answer.state : String(answer?.kind);
const runFor = (world: World, ms: number): void => world.run(world.now + ms);
const assertRulesKept = (world: World): void =>
  assert.deepEqual(
    world.checker.brokenRules,
    [],
    world.logs.slice(-20).join("\n"),
  );

test("a job waits for all its dependencies, lists them in its status, and starts once they are done", () => {
  const world = createWorld(1);
  runFor(world, 5_000);
  const submitted = [1, 2].map((n) => submit(world, addJob(world, n, [])));
  runFor(world, 100);
  for (const submission of submitted)
    assert.equal(stateOf(submission.answer), "queued");
  const dependent = addJob(world, 3, [1, 2]);
  const submission = submit(world, dependent);
  runFor(world, 100);
  assert.ok(
    submission.answer?.kind === "job" && submission.answer.status === 201,
  );
  const status = query(world, "status", dependent.id, "node-c");
  runFor(world, 100);
  assert.ok(status.answer?.kind === "job" && status.answer.state === "queued");
  assert.deepEqual([...status.answer.dependsOn!].sort(), [
    "req-000001",
    "req-000002",
  ]);
  // No partition leader holds a waiting job, so it counts neither in a queue nor against a team's limit.
  for (const node of world.nodes.values())
    for (const leader of node!.core.leaders.values())
      assert.ok(!leader.state.jobs.has(dependent.id));
  runFor(world, 60_000);
  const finalStatus = query(world, "status", dependent.id, "node-a");
  runFor(world, 100);
  assert.equal(stateOf(finalStatus.answer), "done");
  assertRulesKept(world);
});

test("dependencies: a job never accepted, or the job itself, gets 422, and an ended one counts as it ended, at every controller", () => {
  const world = createWorld(2);
  runFor(world, 5_000);
  submit(world, addJob(world, 1, []));
  submit(world, addJob(world, 2, [], { kind: "service", tasks: 1 }));
  runFor(world, 30_000);
  const cancellation = query(world, "cancel", "req-000002", "node-a");
  runFor(world, 20_000);
  assert.equal(stateOf(cancellation.answer), "cancelled");
  // After a restart no controller has the final records of these jobs in its cache.
  for (const name of world.names) {
    world.crash(name);
    world.boot(name);
  }
  runFor(world, 8_000);
  const cases: [number[], string][] = [
    [[9], "cannotRun"],
    [[1, 9], "cannotRun"],
    [[2, 9], "cannotRun"],
    [[1], "queued"],
    [[1, 2], "cancelled"],
    [[2], "cancelled"],
  ];
  cases.forEach(([numbers, expected], index) => {
    const submission = submit(
      world,
      addJob(world, 10 + index, numbers),
      world.names[index % 3],
    );
    runFor(world, 300);
    assert.equal(stateOf(submission.answer), expected, numbers.join());
    if (submission.answer?.kind === "job")
      assert.equal(submission.answer.status, 201);
  });
  const selfDependent = submit(world, addJob(world, 30, [30]));
  // It depends on a job that was cancelled with its own dependency.
  const indirect = submit(world, addJob(world, 31, [14]));
  runFor(world, 300);
  assert.equal(stateOf(selfDependent.answer), "cannotRun");
  assert.equal(stateOf(indirect.answer), "cancelled");
  // A repeated submission of an accepted job is answered with its state, whatever dependencies it lists.
  world.dependsOn.set("req-000013", ["req-000099"]);
  const repeated = submit(world, world.specs.get("req-000013")!, "node-c");
  runFor(world, 100);
  assert.ok(
    repeated.answer?.kind === "job" && repeated.answer.status === 200,
    JSON.stringify(repeated.answer),
  );
  world.dependsOn.set("req-000013", ["req-000001"]);
  runFor(world, 30_000);
  assertRulesKept(world);
});

test("a dependency that can't be looked up gets 503 while the state service is unavailable, and the job is accepted afterwards", () => {
  const world = createWorld(3);
  runFor(world, 5_000);
  submit(world, addJob(world, 1, []));
  runFor(world, 30_000);
  for (const name of world.names) {
    world.crash(name);
    world.boot(name);
  }
  runFor(world, 5_000);
  world.stateDown = true;
  const spec = addJob(world, 2, [1]);
  const duringOutage = submit(world, spec);
  runFor(world, 3_000);
  assert.equal(stateOf(duringOutage.answer), "retryLater");
  world.stateDown = false;
  world.state.restart();
  runFor(world, 2_000);
  const afterOutage = submit(world, spec);
  runFor(world, 20_000);
  assert.equal(stateOf(afterOutage.answer), "queued");
  const finalStatus = query(world, "status", spec.id, "node-a");
  runFor(world, 100);
  assert.equal(stateOf(finalStatus.answer), "done");
  assertRulesKept(world);
});

test("cancelling a job cancels a wide and deep tree of dependents at once, though writing them takes longer and the writer crashes", () => {
  for (const seed of [4, 5, 6]) {
    const world = createWorld(seed);
    runFor(world, 5_000);
    submit(world, addJob(world, 1, [], { kind: "service", tasks: 1 }));
    runFor(world, 100);
    for (let n = 2; n <= 120; n++) {
      const spec = addJob(world, n, [n <= 40 ? 1 : n - 39]);
      let state = "";
      // A controller whose watch fell behind answers 503 for a moment.
      for (let attempt = 0; attempt < 5 && state !== "queued"; attempt++) {
        const submission = submit(world, spec, world.names[n % 3]);
        runFor(world, 100);
        state = stateOf(submission.answer);
      }
      assert.equal(state, "queued");
    }
    // A controller that restarts must derive the same state from the records.
    world.crash("node-c");
    runFor(world, 500);
    world.boot("node-c");
    runFor(world, 4_000);
    const cancelled = query(world, "cancel", "req-000001", "node-a");
    runFor(world, 60);
    assert.equal(stateOf(cancelled.answer), "cancelled");
    for (const n of [2, 41, 80, 119, 120])
      for (const node of world.names) {
        const status = query(
          world,
          "status",
          world.specs.get(`req-${String(n).padStart(6, "0")}`)!.id,
          node,
        );
        runFor(world, 60);
        assert.equal(stateOf(status.answer), "cancelled", `${n} at ${node}`);
      }
    // The controller that cancelled the job and writes its dependents crashes; a restarted one knows only the records.
    world.crash("node-a");
    world.crash("node-b");
    runFor(world, 1_000);
    world.boot("node-b");
    runFor(world, world.settings.cancelS * 1000);
    for (let n = 1; n <= 120; n++) {
      const id = `req-${String(n).padStart(6, "0")}`;
      assert.ok(
        !world.state.data.has(jobKey(id)) && world.state.data.has(finalKey(id)),
        `seed ${seed}: ${id} is written`,
      );
    }
    assertRulesKept(world);
  }
});

test("a waiting job survives a crash of all controllers between the end of its dependency and its release", () => {
  for (const seed of [7, 8, 9]) {
    const world = createWorld(seed);
    runFor(world, 5_000);
    submit(world, addJob(world, 1, [], { estimateS: 2 }));
    runFor(world, 100);
    const spec = addJob(world, 2, [1]);
    submit(world, spec);
    // All controllers crash at the step in which the final record of the dependency is written.
    let endedAtMs = 0;
    world.afterStep = () => {
      if (endedAtMs > 0 || !world.state.data.has(finalKey("req-000001")))
        return;
      endedAtMs = world.now;
      for (const name of world.names) world.at(0, () => world.crash(name));
      world.names.forEach((name, index) =>
        world.at(3_000 + 1_000 * index, () => world.boot(name)),
      );
    };
    runFor(world, 70_000);
    assert.ok(endedAtMs > 0);
    const finalStatus = query(world, "status", spec.id, "node-a");
    runFor(world, 100);
    assert.equal(
      stateOf(finalStatus.answer),
      "done",
      world.logs.slice(-20).join("\n"),
    );
    assertRulesKept(world);
  }
});

test("controllers of the production version start no task of a waiting job, whichever partitions they lead, and can cancel it", () => {
  const world = createWorld(10, ["node-a", "node-b"]);
  runFor(world, 5_000);
  const blocking = addJob(world, 1, [], { kind: "service", tasks: 1, cpus: 1 });
  submit(world, blocking, "node-c");
  runFor(world, 100);
  const [waiting, cancelled] = [addJob(world, 2, [1]), addJob(world, 3, [1])];
  for (const spec of [waiting, cancelled]) submit(world, spec, "node-c");
  runFor(world, 1_000);
  // The controller of the present version crashes; one of the production version takes over its partition and records.
  world.crash("node-c");
  runFor(world, 40_000);
  const leaderships = [...world.nodes].flatMap(([name, node]) =>
    node
      ? [...node.core.leaders.keys()].map(
          (partition) => `${partition} by ${name}`,
        )
      : [],
  );
  assert.ok(
    leaderships.some((leadership) => /^node-c by node-[ab]$/.test(leadership)),
    leaderships.join(),
  );
  const cancellation = query(world, "cancel", cancelled.id, "node-a");
  const status = query(world, "status", waiting.id, "node-b");
  runFor(world, 100);
  assert.equal(stateOf(cancellation.answer), "cancelled");
  assert.equal(stateOf(status.answer), "queued");
  assertRulesKept(world);
});

test("a submission with names of the maximum length is accepted, or refused at once with the reason", () => {
  const world = createWorld(11);
  runFor(world, 5_000);
  const longName = "x".repeat(200);
  const longSpec = {
    ...addJob(world, 1, []),
    class: longName,
    image: longName,
    machineTypes: null,
  };
  const fitting = submit(world, longSpec);
  const tooLarge = submit(world, {
    ...longSpec,
    id: "req-000002",
    machineTypes: [
      "small",
      ...Array.from({ length: 15 }, (_, i) => `${i}${longName.slice(3)}`),
    ],
  });
  runFor(world, 200);
  assert.equal(stateOf(fitting.answer), "queued");
  assert.ok(
    tooLarge.answer?.kind === "recordTooLarge" &&
      tooLarge.answer.error.includes("at most 2048 fit"),
    JSON.stringify(tooLarge.answer),
  );
  assertRulesKept(world);
});

test("a job inherits the highest priority of its dependents and is due early enough for their deadlines, after every step", () => {
  const world = createWorld(12);
  let checkedDependents = 0;
  world.afterStep = (core) => {
    const { jobs } = core.cache;
    for (const view of jobs.values()) {
      if (core.dependencies.isCancelledByDependency(view.id)) continue;
      let { priority } = view.spec;
      let dueAt =
        view.spec.deadlineS === null
          ? Infinity
          : view.acceptedAt + view.spec.deadlineS * 1000;
      for (const dependent of jobs.values()) {
        if (
          !core.dependencies
            .unfinishedDependencies(dependent.id)
            .includes(view.id) ||
          core.dependencies.isCancelledByDependency(dependent.id)
        )
          continue;
        checkedDependents++;
        const priorities = ["best_effort", "normal", "high", "prod"] as const;
        if (
          priorities.indexOf(dependent.priority) > priorities.indexOf(priority)
        )
          priority = dependent.priority;
        dueAt = Math.min(
          dueAt,
          dependent.dueAt - dependent.spec.estimateS * 1000,
        );
      }
      assert.deepEqual(
        [view.priority, view.dueAt],
        [priority, dueAt],
        `${view.id} at ${world.now}`,
      );
    }
  };
  pipelines(world, 5_000, 60_000);
  world.run(90_000);
  assert.ok(
    checkedDependents > 1_000,
    `only ${checkedDependents} dependents were checked`,
  );
  assertRulesKept(world);
});

/** Injects a fault into the handling of waiting jobs and expects the checker to detect it. */
function expectDetected(rule: RegExp, injectFault: () => () => void): void {
  const restore = injectFault();
  try {
    for (let seed = 20; seed < 30; seed++) {
      const world = createWorld(seed);
      pipelines(world, 5_000, 60_000);
      world.run(100_000);
      if (rule.test(world.checker.brokenRules.join())) return;
    }
  } finally {
    restore();
  }
  assert.fail(`${rule} was not detected`);
}

test("the checker detects jobs that are released too early", () => {
  expectDetected(/too_early/, () => {
    const proto = DependencyTracker.prototype as unknown as {
      onJob: (view: { dependsOn: readonly string[] }) => void;
    };
    const { onJob } = proto;
    proto.onJob = function (view) {
      onJob.call(
        this,
        view.dependsOn.length > 1
          ? { ...view, dependsOn: view.dependsOn.slice(0, 1) }
          : view,
      );
    };
    return () => (proto.onJob = onJob);
  });
});

test("the checker detects jobs that are still reported as queued after a dependency was cancelled", () => {
  expectDetected(/orphaned/, () => {
    const proto = DependencyTracker.prototype as unknown as {
      cancelWithDependency: (waiting: object) => void;
    };
    const { cancelWithDependency } = proto;
    proto.cancelWithDependency = () => {};
    return () => (proto.cancelWithDependency = cancelWithDependency);
  });
});

test("users and chains of jobs do not wait for ticks: a submission that needs a read takes some tens of milliseconds", () => {
  const world = createWorld(14);
  runFor(world, 5_000);
  const durationsMs: number[] = [];
  let submittedCount = 0;
  const submitNext = (dependencyNumbers: number[]): void => {
    const spec = addJob(world, ++submittedCount, dependencyNumbers, {
      tasks: 1,
    });
    const askedMs = world.now;
    const send = (): void =>
      world.ask(
        world.names[submittedCount % 3]!,
        (reqId) => ({
          type: "submit",
          reqId,
          spec,
          dependsOn: world.dependsOn.get(spec.id),
        }),
        (answer) => {
          if (answer?.kind !== "job") return world.at(100, send);
          durationsMs.push(world.now - askedMs);
          // Each job is submitted to another controller as soon as its dependency is accepted.
          if (submittedCount < 60) submitNext([submittedCount]);
        },
      );
    send();
  };
  submitNext([]);
  runFor(world, 30_000);
  assert.equal(durationsMs.length, 60);
  durationsMs.sort((a, b) => a - b);
  // It took 190 ms when reads and watches started only at ticks.
  assert.ok(durationsMs[54]! < 120, durationsMs.join());
});

test("hundreds of jobs that wait for one are released without crowding out users' requests", () => {
  const world = createWorld(15);
  runFor(world, 5_000);
  submit(world, addJob(world, 1, [], { tasks: 1 }));
  runFor(world, 100);
  for (let n = 2; n <= 300; n++) {
    submit(world, addJob(world, n, [1], { tasks: 1 }), world.names[n % 3]);
    runFor(world, 10);
  }
  let maxCalls = 0;
  world.afterStep = (core) =>
    (maxCalls = Math.max(maxCalls, core.calls.storeCallCount));
  runFor(world, 150_000);
  const unreleased = [...world.specs.keys()].filter(
    (id) =>
      world.dependsOn.get(id)!.length > 0 &&
      world.state.data.has(jobKey(id)) &&
      (world.state.data.get(jobKey(id))!.value as { needs?: string[] })
        .needs !== undefined,
  );
  assert.deepEqual(unreleased, []);
  assert.ok(maxCalls > 5 && maxCalls < 40, `${maxCalls} calls in flight`);
  assertRulesKept(world);
});

test("a cancellation at the time of a release: only one of them takes effect, and all controllers report the same", () => {
  const orders = new Set<string>();
  // A cancellation needs a read first, so it rarely comes before the release.
  for (let seed = 40; seed < 240 && (seed < 60 || orders.size < 2); seed++) {
    const world = createWorld(seed);
    runFor(world, 5_000);
    submit(world, addJob(world, 1, [], { tasks: 1 }));
    runFor(world, 100);
    const spec = addJob(world, 2, [1]);
    submit(world, spec, "node-c");
    let reply: { answer: Answer | null } | null = null;
    world.afterStep = () => {
      if (reply || !world.state.data.has(finalKey("req-000001"))) return;
      reply = { answer: null };
      const cancel = (): void => {
        reply = query(world, "cancel", spec.id, world.rng.pick(world.names));
        // The controller's watch may have fallen too far behind just then, in which case users retry.
        world.at(1_000, () => reply?.answer?.kind === "retryLater" && cancel());
      };
      world.at(world.rng.real(0, 40), cancel);
    };
    runFor(world, 60_000);
    if (!reply) continue;
    assert.equal(
      stateOf((reply as { answer: Answer | null }).answer),
      "cancelled",
      `seed ${seed}`,
    );
    orders.add(
      world.logs.some(
        (l) => l.includes("job dependencies satisfied") && l.includes(spec.id),
      )
        ? "released first"
        : "cancelled first",
    );
    for (const node of world.names) {
      const status = query(world, "status", spec.id, node);
      runFor(world, 100);
      assert.equal(stateOf(status.answer), "cancelled");
    }
    assert.ok(
      world.state.data.has(finalKey(spec.id)) &&
        !world.state.data.has(jobKey(spec.id)),
    );
    assertRulesKept(world);
  }
  assert.equal(orders.size, 2, `both orders must occur: ${[...orders].join()}`);
});

test("a chain of thousands of jobs, each waiting for the one before, does not overflow the stack", () => {
  // A recursive traversal overflowed the stack at 5,000 jobs, and would in every controller that reads such records.
  const count = 6_000;
  const cache = new StoreCache();
  const tracker = new DependencyTracker(
    { nowMs: 0, wallMs: 0, cache } as unknown as Context,
    { assign: () => null, lookUpFinalRecord: () => {} },
  );
  const idOf = (i: number): string => `req-${String(i).padStart(6, "0")}`;
  const world = new World(1);
  for (let i = 1; i <= count; i++) {
    const spec = {
      ...randomJob(world, i),
      priority: i === count ? ("high" as const) : ("normal" as const),
      deadlineS: i === count ? 60 : null,
      estimateS: 1,
    };
    const value = writeJob({
      spec,
      acceptedAt: 0,
      assignment: new Map(i === 1 ? [["g", RangeSet.upTo(1)]] : []),
      dependsOn: i === 1 ? [] : [idOf(i - 1)],
      releasedAt: null,
    });
    for (const event of cache.apply(
      [
        {
          op: "put",
          key: jobKey(spec.id),
          value: JSON.parse(JSON.stringify(value)),
          version: i,
        },
      ],
      i,
    ))
      if (event.kind === "job") tracker.onJob(event.job);
  }
  const first = cache.jobs.get(idOf(1))!;
  assert.deepEqual(
    [first.priority, first.dueAt],
    ["high", 60_000 - (count - 1) * 1_000],
  );
  assert.equal(tracker.unresolvedDependency(idOf(count)), null);
  tracker.onFinalRecord(idOf(1), { status: "cancelled", tasks: 1, done: 0 });
  assert.ok(tracker.isCancelledByDependency(idOf(count)));
});
