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

/** Jobs that wait for others, one situation at a time. */

function world(seed: number, old: string[] = []): World {
  const w = new World(seed, undefined, old);
  w.loss = 0;
  for (const z of w.zones) w.cloud.add(w.types[0]!, z, false, 0);
  return w;
}
const job = (
  w: World,
  n: number,
  awaits: number[],
  over: Partial<JobSpec> = {},
): JobSpec => {
  const spec = {
    ...randomJob(w, n),
    team: "blue",
    kind: "array" as const,
    tasks: 2,
    cpus: 1,
    gpus: 0,
    machineTypes: null,
    zone: null,
    samePlace: false,
    spread: false,
    ...over,
  };
  w.specs.set(spec.id, spec);
  w.dependsOn.set(
    spec.id,
    awaits.map((k) => randomJob(w, k).id),
  );
  return spec;
};
function submit(
  w: World,
  spec: JobSpec,
  node = "node-b",
): { answer: Answer | null } {
  const got: { answer: Answer | null } = { answer: null };
  const askedMs = w.now;
  w.ask(
    node,
    (reqId) => ({
      type: "submit",
      reqId,
      spec,
      dependsOn: w.dependsOn.get(spec.id),
    }),
    (a) => {
      got.answer = a;
      if (a?.kind === "job") w.checker.answered(spec.id, a.state, askedMs);
    },
  );
  return got;
}
function ask(
  w: World,
  type: "status" | "cancel",
  id: string,
  node: string,
): { answer: Answer | null } {
  const got: { answer: Answer | null } = { answer: null };
  const askedMs = w.now;
  if (type === "cancel") w.checker.asked.add(id);
  w.ask(
    node,
    (reqId) => ({ type, reqId, id }),
    (a) => {
      got.answer = a;
      if (a?.kind === "job") w.checker.answered(id, a.state, askedMs);
    },
  );
  return got;
}
const stateOf = (a: Answer | null): string =>
  a?.kind === "job" ? a.state : String(a?.kind);
const after = (w: World, ms: number): void => w.run(w.now + ms);
const kept = (w: World): void =>
  assert.deepEqual(w.checker.broken, [], w.logs.slice(-20).join("\n"));

test("a job waits for all it names, is told so, and starts once they are done", () => {
  const w = world(1);
  after(w, 5_000);
  const first = [1, 2].map((n) => submit(w, job(w, n, [])));
  after(w, 100);
  for (const f of first) assert.equal(stateOf(f.answer), "queued");
  const last = job(w, 3, [1, 2]);
  const sent = submit(w, last);
  after(w, 100);
  assert.ok(sent.answer?.kind === "job" && sent.answer.status === 201);
  const told = ask(w, "status", last.id, "node-c");
  after(w, 100);
  assert.ok(told.answer?.kind === "job" && told.answer.state === "queued");
  assert.deepEqual([...told.answer.dependsOn!].sort(), [
    "req-000001",
    "req-000002",
  ]);
  // While it waits no master has anything of it: no queue, no share of a limit.
  for (const n of w.nodes.values())
    for (const m of n!.core.leaders.values())
      assert.ok(!m.state.jobs.has(last.id));
  after(w, 60_000);
  const end = ask(w, "status", last.id, "node-a");
  after(w, 100);
  assert.equal(stateOf(end.answer), "done");
  kept(w);
});

test("named jobs: never accepted ones and the job itself get 422, ended ones count as they ended, whoever is asked", () => {
  const w = world(2);
  after(w, 5_000);
  submit(w, job(w, 1, []));
  submit(w, job(w, 2, [], { kind: "service", tasks: 1 }));
  after(w, 30_000);
  const stopped = ask(w, "cancel", "req-000002", "node-a");
  after(w, 20_000);
  assert.equal(stateOf(stopped.answer), "cancelled");
  // Nobody remembers what ended long ago.
  for (const n of w.names) {
    w.crash(n);
    w.boot(n);
  }
  after(w, 8_000);
  const cases: [number[], string][] = [
    [[9], "cannotRun"],
    [[1, 9], "cannotRun"],
    [[2, 9], "cannotRun"],
    [[1], "queued"],
    [[1, 2], "cancelled"],
    [[2], "cancelled"],
  ];
  cases.forEach(([awaits, want], i) => {
    const got = submit(w, job(w, 10 + i, awaits), w.names[i % 3]);
    after(w, 300);
    assert.equal(stateOf(got.answer), want, awaits.join());
    if (got.answer?.kind === "job") assert.equal(got.answer.status, 201);
  });
  const self = submit(w, job(w, 30, [30]));
  // It needs a cancelled job, and one that needs it does as well.
  const third = submit(w, job(w, 31, [14]));
  after(w, 300);
  assert.equal(stateOf(self.answer), "cannotRun");
  assert.equal(stateOf(third.answer), "cancelled");
  // A retry of an accepted job is answered with its state, whatever it names.
  w.dependsOn.set("req-000013", ["req-000099"]);
  const again = submit(w, w.specs.get("req-000013")!, "node-c");
  after(w, 100);
  assert.ok(
    again.answer?.kind === "job" && again.answer.status === 200,
    JSON.stringify(again.answer),
  );
  w.dependsOn.set("req-000013", ["req-000001"]);
  after(w, 30_000);
  kept(w);
});

test("what can't be looked up is not decided: 503 while the state service is away, and the answer after it", () => {
  const w = world(3);
  after(w, 5_000);
  submit(w, job(w, 1, []));
  after(w, 30_000);
  for (const n of w.names) {
    w.crash(n);
    w.boot(n);
  }
  after(w, 5_000);
  w.stateDown = true;
  const spec = job(w, 2, [1]);
  const down = submit(w, spec);
  after(w, 3_000);
  assert.equal(stateOf(down.answer), "retryLater");
  w.stateDown = false;
  w.state.restart();
  after(w, 2_000);
  const up = submit(w, spec);
  after(w, 20_000);
  assert.equal(stateOf(up.answer), "queued");
  const end = ask(w, "status", spec.id, "node-a");
  after(w, 100);
  assert.equal(stateOf(end.answer), "done");
  kept(w);
});

test("a cancelled job takes a wide and deep tree with it, at once, though writing it takes longer and its writer ends", () => {
  for (const seed of [4, 5, 6]) {
    const w = world(seed);
    after(w, 5_000);
    submit(w, job(w, 1, [], { kind: "service", tasks: 1 }));
    after(w, 100);
    for (let n = 2; n <= 120; n++) {
      const spec = job(w, n, [n <= 40 ? 1 : n - 39]);
      let got = "";
      // A controller whose watch fell behind answers 503 for a moment.
      for (let k = 0; k < 5 && got !== "queued"; k++) {
        const sent = submit(w, spec, w.names[n % 3]);
        after(w, 100);
        got = stateOf(sent.answer);
      }
      assert.equal(got, "queued");
    }
    // Records are read back as what they are by a controller that starts now, too.
    w.crash("node-c");
    after(w, 500);
    w.boot("node-c");
    after(w, 4_000);
    const cancelled = ask(w, "cancel", "req-000001", "node-a");
    after(w, 60);
    assert.equal(stateOf(cancelled.answer), "cancelled");
    for (const n of [2, 41, 80, 119, 120])
      for (const node of w.names) {
        const got = ask(
          w,
          "status",
          w.specs.get(`req-${String(n).padStart(6, "0")}`)!.id,
          node,
        );
        after(w, 60);
        assert.equal(stateOf(got.answer), "cancelled", `${n} at ${node}`);
      }
    // The one that cancelled it, and writes, is gone; whoever starts anew knows only the records.
    w.crash("node-a");
    w.crash("node-b");
    after(w, 1_000);
    w.boot("node-b");
    after(w, w.settings.cancelS * 1000);
    for (let n = 1; n <= 120; n++) {
      const id = `req-${String(n).padStart(6, "0")}`;
      assert.ok(
        !w.state.data.has(jobKey(id)) && w.state.data.has(finalKey(id)),
        `seed ${seed}: ${id} is written`,
      );
    }
    kept(w);
  }
});

test("an awaiting job survives the end of every controller between what it waits for and its release", () => {
  for (const seed of [7, 8, 9]) {
    const w = world(seed);
    after(w, 5_000);
    submit(w, job(w, 1, [], { estimateS: 2 }));
    after(w, 100);
    const spec = job(w, 2, [1]);
    submit(w, spec);
    // At the very step at which the first is over, everything ends.
    let over = 0;
    w.afterStep = () => {
      if (over > 0 || !w.state.data.has(finalKey("req-000001"))) return;
      over = w.now;
      for (const n of w.names) w.at(0, () => w.crash(n));
      w.names.forEach((n, i) => w.at(3_000 + 1_000 * i, () => w.boot(n)));
    };
    after(w, 70_000);
    assert.ok(over > 0);
    const end = ask(w, "status", spec.id, "node-a");
    after(w, 100);
    assert.equal(stateOf(end.answer), "done", w.logs.slice(-20).join("\n"));
    kept(w);
  }
});

test("production's controllers start nothing of a job that waits, whoever holds the groups, and can cancel it", () => {
  const w = world(10, ["node-a", "node-b"]);
  after(w, 5_000);
  const long = job(w, 1, [], { kind: "service", tasks: 1, cpus: 1 });
  submit(w, long, "node-c");
  after(w, 100);
  const [waiting, cancelled] = [job(w, 2, [1]), job(w, 3, [1])];
  for (const s of [waiting, cancelled]) submit(w, s, "node-c");
  after(w, 1_000);
  // The present version's controller goes: production's takes its group and reads all its records.
  w.crash("node-c");
  after(w, 40_000);
  const owners = [...w.nodes].flatMap(([name, n]) =>
    n ? [...n.core.leaders.keys()].map((g) => `${g} by ${name}`) : [],
  );
  assert.ok(
    owners.some((o) => /^node-c by node-[ab]$/.test(o)),
    owners.join(),
  );
  const gone = ask(w, "cancel", cancelled.id, "node-a");
  const still = ask(w, "status", waiting.id, "node-b");
  after(w, 100);
  assert.equal(stateOf(gone.answer), "cancelled");
  assert.equal(stateOf(still.answer), "queued");
  kept(w);
});

test("the longest submission is accepted or refused at once with its reason", () => {
  const w = world(11);
  after(w, 5_000);
  const name = "x".repeat(200);
  const long = {
    ...job(w, 1, []),
    class: name,
    image: name,
    machineTypes: null,
  };
  const fits = submit(w, long);
  const all = submit(w, {
    ...long,
    id: "req-000002",
    machineTypes: [
      "small",
      ...Array.from({ length: 15 }, (_, i) => `${i}${name.slice(3)}`),
    ],
  });
  after(w, 200);
  assert.equal(stateOf(fits.answer), "queued");
  assert.ok(
    all.answer?.kind === "recordTooLarge" &&
      all.answer.error.includes("at most 2048 fit"),
    JSON.stringify(all.answer),
  );
  kept(w);
});

test("a job is as urgent as the most urgent one that needs it, and due when that can still be in time, step by step", () => {
  const w = world(12);
  let looked = 0;
  w.afterStep = (core) => {
    const { jobs } = core.cache;
    for (const view of jobs.values()) {
      if (core.dependencies.isCancelledByDependency(view.id)) continue;
      let { priority } = view.spec;
      let dueAt =
        view.spec.deadlineS === null
          ? Infinity
          : view.acceptedAt + view.spec.deadlineS * 1000;
      for (const o of jobs.values()) {
        if (
          !core.dependencies.unfinishedDependencies(o.id).includes(view.id) ||
          core.dependencies.isCancelledByDependency(o.id)
        )
          continue;
        looked++;
        const rank = ["best_effort", "normal", "high", "prod"] as const;
        if (rank.indexOf(o.priority) > rank.indexOf(priority))
          priority = o.priority;
        dueAt = Math.min(dueAt, o.dueAt - o.spec.estimateS * 1000);
      }
      assert.deepEqual(
        [view.priority, view.dueAt],
        [priority, dueAt],
        `${view.id} at ${w.now}`,
      );
    }
  };
  pipelines(w, 5_000, 60_000);
  w.run(90_000);
  assert.ok(looked > 1_000, `${looked} jobs that are needed`);
  kept(w);
});

/** Breaks the way jobs wait on purpose and expects the checker to notice. */
function expectDetected(rule: RegExp, breakIt: () => () => void): void {
  const mend = breakIt();
  try {
    for (let seed = 20; seed < 30; seed++) {
      const w = world(seed);
      pipelines(w, 5_000, 60_000);
      w.run(100_000);
      if (rule.test(w.checker.broken.join())) return;
    }
  } finally {
    mend();
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

test("the checker detects jobs that go on being called queued after one that they need is cancelled", () => {
  expectDetected(/orphaned/, () => {
    const proto = DependencyTracker.prototype as unknown as {
      cancelWithDependency: (e: object) => void;
    };
    const { cancelWithDependency } = proto;
    proto.cancelWithDependency = () => {};
    return () => (proto.cancelWithDependency = cancelWithDependency);
  });
});

test("users and stages do not wait for ticks: a submission that needs a read takes some tens of milliseconds", () => {
  const w = world(14);
  after(w, 5_000);
  const tookMs: number[] = [];
  let n = 0;
  const line = (awaits: number[]): void => {
    const spec = job(w, ++n, awaits, { tasks: 1 });
    const askedMs = w.now;
    const asking = (): void =>
      w.ask(
        w.names[n % 3]!,
        (reqId) => ({
          type: "submit",
          reqId,
          spec,
          dependsOn: w.dependsOn.get(spec.id),
        }),
        (a) => {
          if (a?.kind !== "job") return w.at(100, asking);
          tookMs.push(w.now - askedMs);
          // The next is submitted elsewhere as soon as this is accepted, over and over.
          if (n < 60) line([n]);
        },
      );
    asking();
  };
  line([]);
  after(w, 30_000);
  assert.equal(tookMs.length, 60);
  tookMs.sort((a, b) => a - b);
  // It was 190 ms.
  assert.ok(tookMs[54]! < 120, tookMs.join());
});

test("hundreds of jobs that wait for one are released without crowding users out", () => {
  const w = world(15);
  after(w, 5_000);
  submit(w, job(w, 1, [], { tasks: 1 }));
  after(w, 100);
  for (let n = 2; n <= 300; n++) {
    submit(w, job(w, n, [1], { tasks: 1 }), w.names[n % 3]);
    after(w, 10);
  }
  let most = 0;
  w.afterStep = (core) => (most = Math.max(most, core.calls.storeCallCount));
  after(w, 150_000);
  const open = [...w.specs.keys()].filter(
    (id) =>
      w.dependsOn.get(id)!.length > 0 &&
      w.state.data.has(jobKey(id)) &&
      (w.state.data.get(jobKey(id))!.value as { needs?: string[] }).needs !==
        undefined,
  );
  assert.deepEqual(open, []);
  assert.ok(most > 5 && most < 40, `${most} calls at once`);
  kept(w);
});

test("a withdrawal that meets a release: only one of them happens, and everybody is told the same", () => {
  const ends = new Set<string>();
  // Whoever withdraws needs a read first: that it comes before the release is rare.
  for (let seed = 40; seed < 240 && (seed < 60 || ends.size < 2); seed++) {
    const w = world(seed);
    after(w, 5_000);
    submit(w, job(w, 1, [], { tasks: 1 }));
    after(w, 100);
    const spec = job(w, 2, [1]);
    submit(w, spec, "node-c");
    let asked: { answer: Answer | null } | null = null;
    w.afterStep = () => {
      if (asked || !w.state.data.has(finalKey("req-000001"))) return;
      asked = { answer: null };
      const withdraw = (): void => {
        asked = ask(w, "cancel", spec.id, w.rng.pick(w.names));
        // Its watch may have fallen too far behind at this very moment: users ask again.
        w.at(1_000, () => asked?.answer?.kind === "retryLater" && withdraw());
      };
      w.at(w.rng.real(0, 40), withdraw);
    };
    after(w, 60_000);
    if (!asked) continue;
    assert.equal(
      stateOf((asked as { answer: Answer | null }).answer),
      "cancelled",
      `seed ${seed}`,
    );
    ends.add(
      w.logs.some(
        (l) => l.includes("job dependencies satisfied") && l.includes(spec.id),
      )
        ? "released first"
        : "cancelled first",
    );
    for (const node of w.names) {
      const told = ask(w, "status", spec.id, node);
      after(w, 100);
      assert.equal(stateOf(told.answer), "cancelled");
    }
    assert.ok(
      w.state.data.has(finalKey(spec.id)) && !w.state.data.has(jobKey(spec.id)),
    );
    kept(w);
  }
  assert.equal(ends.size, 2, `both orders were met: ${[...ends].join()}`);
});

test("a line of thousands of jobs, each waiting for the one before, overflows nothing", () => {
  // Once a controller's stack overflowed at 5,000, as would every controller's that reads such records.
  const n = 6_000;
  const cache = new StoreCache();
  const core = new DependencyTracker(
    { nowMs: 0, wallMs: 0, cache } as unknown as Context,
    { assign: () => null, lookUpFinalRecord: () => {} },
  );
  const id = (i: number): string => `req-${String(i).padStart(6, "0")}`;
  const w = new World(1);
  for (let i = 1; i <= n; i++) {
    const spec = {
      ...randomJob(w, i),
      priority: i === n ? ("high" as const) : ("normal" as const),
      deadlineS: i === n ? 60 : null,
      estimateS: 1,
    };
    const value = writeJob({
      spec,
      acceptedAt: 0,
      assignment: new Map(i === 1 ? [["g", RangeSet.upTo(1)]] : []),
      dependsOn: i === 1 ? [] : [id(i - 1)],
      releasedAt: null,
    });
    for (const s of cache.apply(
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
      if (s.kind === "job") core.onJob(s.job);
  }
  const first = cache.jobs.get(id(1))!;
  assert.deepEqual(
    [first.priority, first.dueAt],
    ["high", 60_000 - (n - 1) * 1_000],
  );
  assert.equal(core.unresolvedDependency(id(n)), null);
  core.onFinalRecord(id(1), { status: "cancelled", tasks: 1, done: 0 });
  assert.ok(core.isCancelledByDependency(id(n)));
});
