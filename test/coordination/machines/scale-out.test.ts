import assert from "node:assert/strict";
import { test } from "node:test";
import { DEFAULTS } from "../../../src/config/operator.js";
import type { Context } from "../../../src/coordination/context.js";
import type {
  CloudCall,
  CloudReply,
} from "../../../src/coordination/effects.js";
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
import type {
  JobRun,
  Worker,
} from "../../../src/coordination/machines/worker-state.js";
import type { Write } from "../../../src/protocol/state.js";
import type { CapacityRecord } from "../../../src/storage/records.js";
import { jobRunOf, PLAIN_SPEC } from "../job-run.js";

/** What a partition rents and where a gang is assigned. These decisions were wrong in runs with hundreds of machines. */

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
  ...PLAIN_SPEC,
  kind: "gang",
  tasks: 4,
  cpus: 30,
  memGb: 40,
  samePlace: true,
};

function job(overrides: Partial<JobSpec>): JobRun {
  const spec = { ...SPEC, ...overrides };
  const run = jobRunOf(spec);
  run.assigned = RangeSet.upTo(spec.tasks);
  run.waiting = RangeSet.upTo(spec.tasks);
  return run;
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
    exited: [],
    leaseExpired: false,
    isReturning: false,
  }) as unknown as Worker;

/** Plans and sends rentals, and answers each request from `stock`, until nothing more is requested. Returns the requests. */
function requestedRentals(
  jobs: JobRun[],
  workers: Worker[],
  stock: Record<string, number>,
  wallMs = 0,
  objectives: object[] = [],
): string[] {
  const requests: string[] = [];
  const pendingReplies: (() => void)[] = [];
  const ctx = {
    settings: { label: "n", cloud: { rps: 3 }, objectives },
    tuning: DEFAULTS,
    partitions: { names: ["n"] },
    catalog: TYPES,
    nowMs: 0,
    wallMs,
    log: () => {},
    callCloud: (call: CloudCall, _u: unknown, cb: (r: CloudReply) => void) => {
      assert.equal(call.op, "rent");
      if (call.op !== "rent") return;
      const key = `${call.type}/${call.zone}/${call.spot ? "spot" : "ordinary"}`;
      const granted = Math.min(call.count, stock[key] ?? 0);
      stock[key] = (stock[key] ?? 0) - granted;
      requests.push(`${call.count} ${key}`);
      pendingReplies.push(() =>
        cb(
          granted > 0
            ? {
                kind: "rented",
                machines: Array.from(
                  { length: granted },
                  (_item, i) => `m-${requests.length}-${i}`,
                ),
              }
            : { kind: "noCapacity" },
        ),
      );
    },
  };
  const state = {
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
  const quota = {
    headroom: () => new Map([["t", { cpus: 1000, gpus: 100 }]]),
  };
  const scaleOut = new ScaleOut(
    ctx as unknown as Context,
    state as unknown as PartitionState,
    quota as unknown as QuotaAllocator,
    () => ["a", "b"],
  );
  for (let tick = 0; tick < 20; tick++) {
    ctx.nowMs += 600;
    scaleOut.tick(() => []);
    assert.ok(pendingReplies.length <= 1, "one request at a time");
    pendingReplies.shift()?.();
  }
  return requests;
}

test("a gang rents only its missing machines, in the zone where the fewest are missing, and none where it can't be completed", () => {
  const presentWorkers = [
    worker("w1", TYPES[0]!, "b"),
    worker("w2", TYPES[0]!, "b"),
    worker("w3", TYPES[0]!, "a"),
  ];
  assert.deepEqual(
    requestedRentals([job({})], presentWorkers, {
      "plain/a/ordinary": 10,
      "plain/b/ordinary": 10,
    }),
    ["2 plain/b/ordinary"],
  );
  // Zone b has one machine left. Once that is known, all that the gang needs is requested in zone a.
  const requests = requestedRentals(
    [job({ id: "req-000002", tasks: 5 })],
    presentWorkers,
    {
      "plain/a/ordinary": 10,
      "plain/b/ordinary": 1,
    },
  );
  assert.deepEqual(requests, ["3 plain/b/ordinary", "4 plain/a/ordinary"]);
});

test("a job with spread rents in zones that may still take its tasks, a gang only if all its tasks get a slot", () => {
  const presentWorkers = ["w1", "w2", "w3", "w4"].map((id) =>
    worker(id, TYPES[0]!, "a"),
  );
  const spread = { samePlace: false, spread: true };
  // Zone a fits all four tasks but may take only two. Without a rental in zone b, the gang would wait forever.
  assert.deepEqual(
    requestedRentals([job(spread)], presentWorkers, {
      "plain/a/ordinary": 10,
      "plain/b/ordinary": 10,
    }),
    ["2 plain/b/ordinary"],
  );
  assert.deepEqual(
    requestedRentals([job({ ...spread, zone: "a" })], presentWorkers, {
      "plain/a/ordinary": 10,
      "plain/b/ordinary": 10,
    }),
    [],
    "a gang with spread can't be completed in one zone",
  );
  assert.deepEqual(
    requestedRentals(
      [job({ ...spread, kind: "array", tasks: 6 })],
      presentWorkers,
      {
        "plain/b/ordinary": 10,
      },
    ),
    ["3 plain/b/ordinary"],
  );
  // The next job uses the slots that this one leaves free in zone a.
  assert.deepEqual(
    requestedRentals(
      [job({ ...spread }), job({ id: "req-000002", tasks: 2 })],
      presentWorkers,
      {
        "plain/a/ordinary": 10,
        "plain/b/ordinary": 2,
      },
    ),
    ["2 plain/b/ordinary"],
  );
});

test("an array in one zone rents whatever is available there, and no request exceeds the cloud's maximum", () => {
  // Thirty machines are needed and ten are available: an array takes what there is.
  const array = job({ id: "req-000003", kind: "array", tasks: 30 });
  assert.deepEqual(requestedRentals([array], [], { "plain/a/ordinary": 10 }), [
    "30 plain/a/ordinary",
  ]);
  assert.deepEqual(
    requestedRentals(
      [job({ id: "req-000005", kind: "array", tasks: 30 })],
      [],
      {
        "plain/b/ordinary": 40,
      },
    ),
    ["30 plain/a/ordinary", "30 plain/b/ordinary"],
  );
  const large = job({ id: "req-000004", tasks: 60, cpus: 10, memGb: 40 });
  assert.deepEqual(requestedRentals([large], [], { "plain/a/ordinary": 70 }), [
    "50 plain/a/ordinary",
    "10 plain/a/ordinary",
  ]);
});

test("nothing is rented beyond what the team may use", () => {
  assert.deepEqual(
    requestedRentals([job({ tasks: 34, samePlace: false })], [], {
      "plain/a/ordinary": 100,
    }),
    [],
  );
  assert.deepEqual(
    requestedRentals(
      [job({ tasks: 60, kind: "array", samePlace: false })],
      [],
      {
        "plain/a/ordinary": 100,
      },
    ),
    ["33 plain/a/ordinary"],
  );
});

test("an array with a deadline rents only for the work that present slots can't do one task after the other", () => {
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
    requestedRentals([job({ ...array, deadlineS })], [], {
      "plain/a/spot": 100,
    }).reduce((n, x) => n + Number(x.split(" ")[0]), 0);
  // 4,000 s of work, two slots per machine, 20 s to boot.
  assert.ok(machines(150) >= 17, `${machines(150)}`);
  assert.ok(machines(1_000) >= 2 && machines(1_000) <= 4, `${machines(1_000)}`);
  // Too late for the deadline: only a spot machine is worth renting.
  assert.deepEqual(
    requestedRentals(
      [job(array)],
      [],
      { "plain/a/ordinary": 100 },
      2_000_000,
    ).filter((x) => x.endsWith("ordinary")),
    [],
  );
});

test("work that is due counts even if a job without a deadline searched for the same machines in vain before", () => {
  const arrayJob = (id: string, overrides: Partial<JobSpec>): JobRun =>
    job({ id, kind: "array", samePlace: false, tasks: 4, ...overrides });
  const unplaceable = arrayJob("req-000001", { zone: "nowhere", cpus: 5 });
  const dueJob = arrayJob("req-000002", {
    zone: "nowhere",
    cpus: 5,
    tasks: 100,
    deadlineS: 1_000,
  });
  const nextJob = arrayJob("req-000003", {
    zone: "a",
    cpus: 17,
    deadlineS: 1_001,
  });
  const stock = (): Record<string, number> => ({ "plain/a/ordinary": 10 });
  const rentalsWithDueWork = requestedRentals([dueJob, nextJob], [], stock());
  assert.deepEqual(
    requestedRentals([unplaceable, dueJob, nextJob], [], stock()),
    rentalsWithDueWork,
  );
  assert.notDeepEqual(
    requestedRentals([unplaceable, nextJob], [], stock()),
    rentalsWithDueWork,
  );
});

test("a late job gets an ordinary machine only while it may still meet the objective of its class", () => {
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
  // Too late for its own deadline, and no spot machine is available.
  assert.ok(
    !requestedRentals([late], [], stock(), 180_000).some((x) =>
      x.includes("ordinary"),
    ),
  );
  assert.ok(
    requestedRentals([late], [], stock(), 180_000, finished).some((x) =>
      x.includes("gpu/a/ordinary"),
    ),
  );
  assert.ok(
    !requestedRentals([late], [], stock(), 400_000, finished).some((x) =>
      x.includes("ordinary"),
    ),
  );
  assert.ok(
    !requestedRentals([late], [], stock(), 180_000, [
      { ...finished[0], class: "other" },
    ]).some((x) => x.includes("ordinary")),
  );
});

test("plain work gets an accelerated machine only at a similar price, or if nothing else could run it", () => {
  const plain = { ...SPEC, spot: true };
  assert.ok(!isSuitable(plain, TYPES[1]!, false, TYPES));
  assert.ok(isSuitable(plain, TYPES[1]!, true, TYPES));
  assert.ok(
    isSuitable({ ...plain, machineTypes: ["gpu"] }, TYPES[1]!, false, TYPES),
  );
  assert.ok(isSuitable({ ...plain, cpus: 60 }, TYPES[1]!, false, TYPES));
  assert.ok(isSuitable({ ...plain, gpus: 1 }, TYPES[1]!, false, TYPES));
});

test("the parts of a gang in several partitions have the same place in the queue, however many tasks each has", () => {
  const gangParts = [1, 3].map((n) => {
    const part = job({ spread: true, samePlace: false, tasks: 4 });
    part.waiting = RangeSet.upTo(n);
    return part;
  });
  const state = {
    ctx: { tuning: DEFAULTS, cache: { finishedCount: () => 0 } },
  } as unknown as PartitionState;
  assert.deepEqual(
    gangParts.map((j) =>
      PartitionState.prototype.unfinishedTasks.call(state, j),
    ),
    [4, 4],
  );
});

test("whether a gang is short depends on the work of all its tasks", () => {
  const isShortJob = (tasks: number, kind: JobSpec["kind"]): boolean =>
    isShort({ ...SPEC, kind, tasks, estimateS: 200 }, DEFAULTS);
  assert.ok(isShortJob(3, "gang"));
  assert.ok(!isShortJob(16, "gang"));
  assert.ok(isShortJob(100, "array"));
  assert.ok(!isShortJob(1, "service"));
});

test("only requests that found no capacity in a scheduling round are skipped in the rest of it", () => {
  const cache = new UnplaceableCache();
  cache.add({ ...SPEC, tasks: 4 }, "short");
  assert.ok(cache.includes({ ...SPEC, tasks: 4 }, "short"));
  assert.ok(cache.includes({ ...SPEC, tasks: 8, cpus: 31 }, "short"));
  for (const other of [
    { tasks: 3 },
    { cpus: 20 },
    { spot: true },
    { zone: "a" },
    { machineTypes: ["plain"] },
    { samePlace: false },
  ])
    assert.ok(
      !cache.includes({ ...SPEC, ...other }, "short"),
      JSON.stringify(other),
    );
  assert.ok(!cache.includes(SPEC, "long"));
});

const record = (
  zone: string,
  free: number,
  machines: number,
  overrides: Partial<CapacityRecord> = {},
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
  ...overrides,
});

test("a gang that fits nowhere is assigned to the partition where it should fit first, counting machines that can still be rented", () => {
  const capable = [
    { partition: "x", zones: ["a"] },
    { partition: "y", zones: ["b"] },
  ];
  const spec = { ...SPEC, tasks: 16 };
  const chosen = (x: CapacityRecord, y: CapacityRecord): string =>
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
  // A partition with enough free slots comes first; of two, the one with more.
  assert.equal(chosen(record("a", 16, 20), record("b", 20, 30)), "y");
  assert.equal(chosen(record("a", 16, 20), record("b", 15, 30)), "x");
  // Twelve slots are free: with four rentable machines there are enough, with three there are not.
  const rentable = (n: number): Partial<CapacityRecord> => ({
    left: new Map([
      ["plain/a/ordinary", n],
      ["plain/b/ordinary", 0],
    ]),
  });
  const soldOut = {
    left: new Map([
      ["plain/a/ordinary", 0],
      ["plain/b/ordinary", 0],
    ]),
  };
  assert.equal(
    chosen(record("a", 12, 20, rentable(4)), record("b", 14, 60, soldOut)),
    "x",
  );
  assert.equal(
    chosen(record("a", 12, 20, rentable(3)), record("b", 14, 60, soldOut)),
    "y",
  );
  // Zones are not added up if one zone must hold all tasks.
  const bothZones = {
    ...record("a", 10, 20),
    rows: [...record("a", 10, 20).rows, ...record("b", 10, 20).rows],
    ...soldOut,
  };
  assert.equal(
    slotsForUndividedJob(spec, ["a", "b"], bothZones, TYPES, true).free,
    10,
  );
  assert.equal(
    slotsForUndividedJob(
      { ...spec, samePlace: false },
      ["a", "b"],
      bothZones,
      TYPES,
      true,
    ).free,
    20,
  );
});

test("a machine that was removed from the registry and comes back is in it only once a commit includes it again", () => {
  const commits: { writes: Write[]; done: (end: "ok") => void }[] = [];
  const ctx = {
    nowMs: 0,
    cache: { registries: new Map(), latestRevisionOf: () => 0 },
    settings: { state: { valueBytes: 2048, txnOps: 4 } },
  };
  const registry = new MachineRegistry(
    ctx as unknown as Context,
    "g",
    (_conditions, writes, done) => void commits.push({ writes, done }),
    () => {},
  );
  const completeNextCommit = (): string => {
    const commit = commits.shift()!;
    commit.done("ok");
    return JSON.stringify(commit.writes);
  };
  registry.set("m1", { isReturning: false, type: "t" });
  assert.ok(!registry.has("m1"));
  assert.match(completeNextCommit(), /m1/);
  assert.ok(registry.has("m1"));
  registry.remove("m1");
  assert.ok(!registry.has("m1"));
  // The machine comes back while the commit that removes it is in flight.
  registry.set("m1", { isReturning: false, type: "t" });
  assert.ok(!completeNextCommit().includes("m1"));
  assert.ok(!registry.has("m1"));
  assert.match(completeNextCommit(), /m1/);
  assert.ok(registry.has("m1"));
  assert.equal(commits.length, 0);
});
