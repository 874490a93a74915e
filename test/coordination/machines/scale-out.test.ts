import assert from "node:assert/strict";
import { test } from "node:test";
import { DEFAULTS } from "../../../src/config/operator.js";
import type { Context } from "../../../src/coordination/context.js";
import type {
  CloudCall,
  CloudReply,
} from "../../../src/coordination/effects.js";
import { ownDueAt } from "../../../src/coordination/store/job-view.js";
import { PartitionState } from "../../../src/coordination/scheduling/partition-state.js";
import type { JobSpec, MachineType } from "../../../src/coordination/model.js";
import {
  UnplaceableCache,
  isSuitable,
} from "../../../src/coordination/scheduling/placement.js";
import { isShort } from "../../../src/coordination/scheduling/scheduling-round.js";
import { RangeSet } from "../../../src/coordination/jobs/range-set.js";
import { MachineRegistry } from "../../../src/coordination/machines/machine-registry.js";
import { ScaleOut } from "../../../src/coordination/machines/scale-out.js";
import type { QuotaAllocator } from "../../../src/coordination/quota/index.js";
import { partitionJob } from "../../../src/coordination/jobs/job-partitioner.js";
import { slotsForUndividedJob } from "../../../src/coordination/jobs/partition-capacity.js";
import {
  type JobRun,
  newJobRun,
  type Worker,
} from "../../../src/coordination/machines/worker-state.js";
import type { Write } from "../../../src/protocol/state.js";
import type { CapacityRecord } from "../../../src/storage/records.js";

/** What a group rents and where a gang goes: decisions that went wrong on days with hundreds of machines. */

const TYPES: MachineType[] = [
  {
    name: "plain",
    cpus: 32,
    gpus: 0,
    memGb: 64,
    cacheGb: 50,
    fetchGbPerS: 0.5,
    price: 2,
    spotPrice: 0.5,
    bootS: 20,
    zones: ["a", "b"],
  },
  {
    name: "gpu",
    cpus: 64,
    gpus: 8,
    memGb: 256,
    cacheGb: 50,
    fetchGbPerS: 0.5,
    price: 30,
    spotPrice: 6,
    bootS: 40,
    zones: ["a", "b"],
  },
];
const SPEC: JobSpec = {
  id: "req-000001",
  jobClass: "c",
  team: "t",
  kind: "gang",
  priority: "normal",
  tasks: 4,
  cpus: 30,
  gpus: 0,
  memGb: 40,
  image: "",
  imageGb: 0,
  machineTypes: null,
  zone: null,
  samePlace: true,
  spread: false,
  spot: false,
  estimateS: 100,
  checkpointS: 0,
  saveS: 0,
  deadlineS: null,
};

function job(over: Partial<JobSpec>): JobRun {
  const spec = { ...SPEC, ...over };
  const j = newJobRun(
    {
      id: spec.id,
      spec,
      acceptedAt: 0,
      readyAt: 0,
      releasedAt: null,
      dependsOn: [],
      priority: spec.priority,
      dueAt: ownDueAt(spec, 0),
      assignment: new Map(),
      revision: 1,
    },
    false,
    0,
  );
  j.assigned = RangeSet.upTo(spec.tasks);
  j.waiting = RangeSet.upTo(spec.tasks);
  return j;
}
const worker = (id: string, type: MachineType, zone: string): Worker =>
  ({
    id,
    typeName: type.name,
    type,
    zone,
    spot: false,
    tasks: new Map(),
    unconfirmedTasks: new Map(),
    leaseExpired: false,
    isReturning: false,
  }) as unknown as Worker;

/** Plans, sends, and answers every request from `stock`, until nothing more is asked for. */
function rents(
  jobs: JobRun[],
  workers: Worker[],
  stock: Record<string, number>,
  wallMs = 0,
  objectives: object[] = [],
): string[] {
  const asked: string[] = [];
  const pending: (() => void)[] = [];
  const ctx = {
    settings: { label: "n", cloud: { rps: 3 }, objectives },
    tuning: DEFAULTS,
    partitions: { names: ["n"] },
    catalog: TYPES,
    nowMs: 0,
    wallMs,
    log: () => {},
    callCloud: (call: CloudCall, _: unknown, done: (r: CloudReply) => void) => {
      assert.equal(call.op, "rent");
      if (call.op !== "rent") return;
      const key = `${call.type}/${call.zone}/${call.spot ? "spot" : "ordinary"}`;
      const got = Math.min(call.count, stock[key] ?? 0);
      stock[key] = (stock[key] ?? 0) - got;
      asked.push(`${call.count} ${key}`);
      pending.push(() =>
        done(
          got > 0
            ? {
                kind: "rented",
                machines: Array.from(
                  { length: got },
                  (_, i) => `m-${asked.length}-${i}`,
                ),
              }
            : { kind: "noCapacity" },
        ),
      );
    },
  };
  const own = {
    partition: "n",
    token: 7,
    jobs: new Map(jobs.map((j) => [j.id, j])),
    workers: new Map(workers.map((w) => [w.id, w])),
    registry: { has: () => true },
    mayStart: () => true,
    usableWorkers: () => ({ usable: workers, reserved: new Set<string>() }),
    unreachableMachines: () => [],
    maxConcurrentReplacements: () => 1,
  };
  const sharing = {
    headroom: () => new Map([["t", { cpus: 1000, gpus: 100 }]]),
  };
  const r = new ScaleOut(
    ctx as unknown as Context,
    own as unknown as PartitionState,
    sharing as unknown as QuotaAllocator,
    () => ["a", "b"],
  );
  for (let k = 0; k < 20; k++) {
    ctx.nowMs += 600;
    r.tick(() => []);
    assert.ok(pending.length <= 1, "one request at a time");
    pending.shift()?.();
  }
  return asked;
}

test("a gang rents only what is missing in the zone where the least is, and nothing where it can't be had whole", () => {
  const there = [
    worker("w1", TYPES[0]!, "b"),
    worker("w2", TYPES[0]!, "b"),
    worker("w3", TYPES[0]!, "a"),
  ];
  assert.deepEqual(
    rents([job({})], there, { "plain/a/ordinary": 10, "plain/b/ordinary": 10 }),
    ["2 plain/b/ordinary"],
  );
  // Zone b has one left: after that is known, the rest is asked for in zone a, where the gang fits whole.
  const asked = rents([job({ id: "req-000002", tasks: 5 })], there, {
    "plain/a/ordinary": 10,
    "plain/b/ordinary": 1,
  });
  assert.deepEqual(asked, ["3 plain/b/ordinary", "4 plain/a/ordinary"]);
});

test("a job with spread rents in the zones that may still take tasks of it, a gang only where all of it can be had", () => {
  const there = ["w1", "w2", "w3", "w4"].map((id) =>
    worker(id, TYPES[0]!, "a"),
  );
  const spread = { samePlace: false, spread: true };
  // Zone a has room for all four and may take two: nothing was rented in zone b, and the gang waited for ever.
  assert.deepEqual(
    rents([job(spread)], there, {
      "plain/a/ordinary": 10,
      "plain/b/ordinary": 10,
    }),
    ["2 plain/b/ordinary"],
  );
  assert.deepEqual(
    rents([job({ ...spread, zone: "a" })], there, {
      "plain/a/ordinary": 10,
      "plain/b/ordinary": 10,
    }),
    [],
    "never whole in one zone",
  );
  assert.deepEqual(
    rents([job({ ...spread, kind: "array", tasks: 6 })], there, {
      "plain/b/ordinary": 10,
    }),
    ["3 plain/b/ordinary"],
  );
  // What it leaves free of zone a is there for the next.
  assert.deepEqual(
    rents([job({ ...spread }), job({ id: "req-000002", tasks: 2 })], there, {
      "plain/a/ordinary": 10,
      "plain/b/ordinary": 2,
    }),
    ["2 plain/b/ordinary"],
  );
});

test("an array in one zone rents whatever can be had there; no request asks for more than the cloud allows", () => {
  // Sixty places are wanted and ten can be had: a gang asks for no more, an array takes what there is.
  const array = job({ id: "req-000003", kind: "array", tasks: 30 });
  assert.deepEqual(rents([array], [], { "plain/a/ordinary": 10 }), [
    "30 plain/a/ordinary",
  ]);
  assert.deepEqual(
    rents([job({ id: "req-000005", kind: "array", tasks: 30 })], [], {
      "plain/b/ordinary": 40,
    }),
    ["30 plain/a/ordinary", "30 plain/b/ordinary"],
  );
  const large = job({ id: "req-000004", tasks: 60, cpus: 10, memGb: 40 });
  assert.deepEqual(rents([large], [], { "plain/a/ordinary": 70 }), [
    "50 plain/a/ordinary",
    "10 plain/a/ordinary",
  ]);
});

test("nothing is rented beyond what the team may use", () => {
  assert.deepEqual(
    rents([job({ tasks: 34, samePlace: false })], [], {
      "plain/a/ordinary": 100,
    }),
    [],
  );
  assert.deepEqual(
    rents([job({ tasks: 60, kind: "array", samePlace: false })], [], {
      "plain/a/ordinary": 100,
    }),
    ["33 plain/a/ordinary"],
  );
});

test("an array with a deadline rents what its work needs beyond what present places can do in turns", () => {
  const array = {
    kind: "array" as const,
    samePlace: false,
    spot: true,
    tasks: 40,
    cpus: 15,
    memGb: 20,
    deadlineS: 1_000,
  };
  const machines = (deadlineS: number): number =>
    rents([job({ ...array, deadlineS })], [], { "plain/a/spot": 100 }).reduce(
      (n, x) => n + Number(x.split(" ")[0]),
      0,
    );
  // 4,000 s of work, two places a machine, a boot of 20 s.
  assert.ok(machines(150) >= 17, `${machines(150)}`);
  assert.ok(machines(1_000) >= 2 && machines(1_000) <= 4, `${machines(1_000)}`);
  // Too late for any deadline: only a cheap machine is worth it.
  assert.deepEqual(
    rents([job(array)], [], { "plain/a/ordinary": 100 }, 2_000_000).filter(
      (x) => x.endsWith("ordinary"),
    ),
    [],
  );
});

test("work that is due counts although a job without a deadline asked for the same in vain before it", () => {
  const array = (id: string, over: Partial<JobSpec>): JobRun =>
    job({ id, kind: "array", samePlace: false, tasks: 4, ...over });
  const vain = array("req-000001", { zone: "nowhere", cpus: 5 });
  const due = array("req-000002", {
    zone: "nowhere",
    cpus: 5,
    tasks: 100,
    deadlineS: 1_000,
  });
  const next = array("req-000003", { zone: "a", cpus: 17, deadlineS: 1_001 });
  const stock = (): Record<string, number> => ({ "plain/a/ordinary": 10 });
  const with100 = rents([due, next], [], stock());
  assert.deepEqual(rents([vain, due, next], [], stock()), with100);
  assert.notDeepEqual(rents([vain, next], [], stock()), with100);
});

test("a late job gets a dear machine only while its class may still be done in time", () => {
  const late = job({
    kind: "array",
    tasks: 4,
    samePlace: false,
    gpus: 1,
    estimateS: 90,
    deadlineS: 200,
    spot: true,
  });
  const finished = [{ kind: "finished", class: "c", withinS: 450 }];
  const stock = (): Record<string, number> => ({ "gpu/a/ordinary": 3 });
  // Too late for its own deadline, and no cheap machine to be had.
  assert.ok(
    !rents([late], [], stock(), 180_000).some((x) => x.includes("ordinary")),
  );
  assert.ok(
    rents([late], [], stock(), 180_000, finished).some((x) =>
      x.includes("gpu/a/ordinary"),
    ),
  );
  assert.ok(
    !rents([late], [], stock(), 400_000, finished).some((x) =>
      x.includes("ordinary"),
    ),
  );
  assert.ok(
    !rents([late], [], stock(), 180_000, [
      { ...finished[0], class: "other" },
    ]).some((x) => x.includes("ordinary")),
  );
});

test("plain work gets an accelerated machine only at a like price, or where nothing else could run it", () => {
  const plain = { ...SPEC, spot: true };
  assert.ok(!isSuitable(plain, TYPES[1]!, false, TYPES));
  assert.ok(isSuitable(plain, TYPES[1]!, true, TYPES));
  assert.ok(
    isSuitable({ ...plain, machineTypes: ["gpu"] }, TYPES[1]!, false, TYPES),
  );
  assert.ok(isSuitable({ ...plain, cpus: 60 }, TYPES[1]!, false, TYPES));
  assert.ok(isSuitable({ ...plain, gpus: 1 }, TYPES[1]!, false, TYPES));
});

test("the parts of a gang in several groups have one turn, however many tasks each has", () => {
  const parts = [1, 3].map((n) => {
    const j = job({ spread: true, samePlace: false, tasks: 4 });
    j.waiting = RangeSet.upTo(n);
    return j;
  });
  const holdings = {
    ctx: { tuning: DEFAULTS, cache: { finishedCount: () => 0 } },
  } as unknown as PartitionState;
  assert.deepEqual(
    parts.map((j) =>
      PartitionState.prototype.unfinishedTasks.call(holdings, j),
    ),
    [4, 4],
  );
});

test("a gang is short by the work of all its tasks", () => {
  const at = (tasks: number, shape: JobSpec["kind"]): boolean =>
    isShort({ ...SPEC, kind: shape, tasks, estimateS: 200 }, DEFAULTS);
  assert.ok(at(3, "gang"));
  assert.ok(!at(16, "gang"));
  assert.ok(at(100, "array"));
  assert.ok(!at(1, "service"));
});

test("what found no room in a pass is not looked for again, and nothing else is left out", () => {
  const m = new UnplaceableCache();
  m.add({ ...SPEC, tasks: 4 }, "short");
  assert.ok(m.includes({ ...SPEC, tasks: 4 }, "short"));
  assert.ok(m.includes({ ...SPEC, tasks: 8, cpus: 31 }, "short"));
  for (const other of [
    { tasks: 3 },
    { cpus: 20 },
    { spot: true },
    { zone: "a" },
    { machineTypes: ["plain"] },
    { samePlace: false },
  ])
    assert.ok(
      !m.includes({ ...SPEC, ...other }, "short"),
      JSON.stringify(other),
    );
  assert.ok(!m.includes(SPEC, "long"));
});

const room = (
  zone: string,
  free: number,
  machines: number,
  over: Partial<CapacityRecord> = {},
): CapacityRecord => ({
  rows: [
    {
      type: "plain",
      zone,
      spot: false,
      machines,
      free: [[32, 0, 64, free]],
      reserved: [],
    },
  ],
  queue: { plain: 0, accelerated: 0 },
  running: new Map(),
  soldOut: [],
  left: new Map(),
  wants: new Map(),
  teams: null,
  isTruncated: false,
  ...over,
});

test("a gang that fits nowhere goes where it is expected to fit first, counting what can still be rented there", () => {
  const capable = [
    { partition: "x", zones: ["a"] },
    { partition: "y", zones: ["b"] },
  ];
  const spec = { ...SPEC, tasks: 16 };
  const to = (x: CapacityRecord, y: CapacityRecord): string =>
    [
      ...partitionJob(
        spec,
        capable,
        new Map([
          ["x", x],
          ["y", y],
        ]),
        TYPES,
        true,
        new Map(),
      ).keys(),
    ].join();
  // Roomy enough now beats anything; of two, the roomiest.
  assert.equal(to(room("a", 16, 20), room("b", 20, 30)), "y");
  assert.equal(to(room("a", 16, 20), room("b", 15, 30)), "x");
  // Three can still be rented beside twelve free ones: too few. Four are enough.
  const left = (n: number): Partial<CapacityRecord> => ({
    left: new Map([
      ["plain/a/ordinary", n],
      ["plain/b/ordinary", 0],
    ]),
  });
  const none = {
    left: new Map([
      ["plain/a/ordinary", 0],
      ["plain/b/ordinary", 0],
    ]),
  };
  assert.equal(to(room("a", 12, 20, left(4)), room("b", 14, 60, none)), "x");
  assert.equal(to(room("a", 12, 20, left(3)), room("b", 14, 60, none)), "y");
  // Zones are not added up where one must hold all.
  const both = {
    ...room("a", 10, 20),
    rows: [...room("a", 10, 20).rows, ...room("b", 10, 20).rows],
    ...none,
  };
  assert.equal(
    slotsForUndividedJob(spec, ["a", "b"], both, TYPES, true).free,
    10,
  );
  assert.equal(
    slotsForUndividedJob(
      { ...spec, samePlace: false },
      ["a", "b"],
      both,
      TYPES,
      true,
    ).free,
    20,
  );
});

test("a machine that left the roster and comes back is in it only once a commit names it again", () => {
  const sent: { writes: Write[]; done: (end: "ok") => void }[] = [];
  const ctx = {
    nowMs: 0,
    cache: { registries: new Map(), latestRevisionOf: () => 0 },
    settings: { state: { valueBytes: 2048, txnOps: 4 } },
  };
  const r = new MachineRegistry(
    ctx as unknown as Context,
    "g",
    (_conditions, writes, done) => void sent.push({ writes, done }),
    () => {},
  );
  const next = (): string => {
    const s = sent.shift()!;
    s.done("ok");
    return JSON.stringify(s.writes);
  };
  r.set("m1", { isReturning: false, type: "t" });
  assert.ok(!r.has("m1"));
  assert.match(next(), /m1/);
  assert.ok(r.has("m1"));
  r.remove("m1");
  assert.ok(!r.has("m1"));
  // Back while the commit without it is on its way.
  r.set("m1", { isReturning: false, type: "t" });
  assert.ok(!next().includes("m1"));
  assert.ok(!r.has("m1"));
  assert.match(next(), /m1/);
  assert.ok(r.has("m1"));
  assert.equal(sent.length, 0);
});
