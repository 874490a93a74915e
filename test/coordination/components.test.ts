import assert from "node:assert/strict";
import { test } from "node:test";
import { DEFAULTS, parseOperator } from "../../src/config/operator.js";
import { parseSettings } from "../../src/config/settings.js";
import { PartitionMap } from "../../src/coordination/leadership/partition-map.js";
import type { JobSpec, MachineType } from "../../src/coordination/model.js";
import { storeLeaseTtlMs } from "../../src/coordination/leadership/store-lease-ttl.js";
import { SchedulingRound } from "../../src/coordination/scheduling/scheduling-round.js";
import { RangeSet } from "../../src/coordination/jobs/range-set.js";
import { partitionJob } from "../../src/coordination/jobs/job-partitioner.js";
import { capablePartitions } from "../../src/coordination/jobs/partition-capacity.js";
import {
  encodeFrame,
  encodeReply,
  decodeReply,
  Frame,
  FrameReader,
  MAX_FRAME_BYTES,
} from "../../src/protocol/frames.js";
import { parseJob } from "../../src/protocol/jobs.js";
import { parseHeartbeat } from "../../src/protocol/workers.js";
import {
  COMPLETION_BLOCK_SIZE,
  completionBlockOf,
  tasksInBlock,
  readCompletion,
  readJob,
  writeCompletion,
  writeJob,
} from "../../src/storage/records.js";
import { RateLimiter } from "../../src/transport/rate-limiter.js";
import { Rng } from "../simulation/rng.js";

const JOB = {
  id: "req-000412",
  jobclass: "train",
  crew: "vision",
  shape: "ensemble",
  urgency: "high",
  shards: 16,
  cores: 8,
  accelerators: 1,
  memoryGb: 64,
  bundle: "img-07",
  sizeGb: 6.2,
  hulls: ["g8"],
  yard: null,
  samePlace: true,
  spread: false,
  loaners: true,
  reckonS: 240,
  stashEveryS: 30,
  stashS: 4,
  dueS: 900,
};
const SPEC = (over: Partial<JobSpec> = {}): JobSpec => {
  const parsed = parseJob(JSON.stringify(JOB));
  assert.ok(parsed.ok);
  return { ...parsed.value.spec, ...over };
};

test("a RangeSet holds the same numbers as a plain Set after random additions and removals", () => {
  const rng = new Rng(1);
  for (let round = 0; round < 200; round++) {
    const a = RangeSet.empty();
    const b = new Set<number>();
    for (let k = 0; k < 60; k++) {
      const lo = rng.int(0, 40);
      const hi = lo + rng.int(0, 6);
      const add = rng.chance(0.6);
      if (add) a.addRange(lo, hi);
      else a.removeRange(lo, hi);
      for (let i = lo; i <= hi; i++) {
        if (add) b.add(i);
        else b.delete(i);
      }
      assert.deepEqual(
        [...a],
        [...b].sort((x, y) => x - y),
      );
      assert.equal(a.size, b.size);
      assert.equal(a.has(lo), b.has(lo));
    }
    assert.deepEqual([...a.take(5)], [...a].slice(0, 5));
    assert.deepEqual(
      [...a.slice(10, 20)],
      [...a].filter((i) => i >= 10 && i <= 20),
    );
  }
});

test("completion blocks fit the value limit however scattered the finished tasks are, and are read back unchanged", () => {
  const set = RangeSet.empty();
  for (let i = 0; i < 100_000; i += 2) set.add(i);
  const readBack = RangeSet.empty();
  for (let task = 0; task < 100_000; task += COMPLETION_BLOCK_SIZE) {
    const block = completionBlockOf(task);
    const text = JSON.stringify(writeCompletion(tasksInBlock(set, block)));
    assert.ok(text.length <= 1_024, `${text.length}`);
    readBack.addAll(readCompletion(JSON.parse(text), block)!);
  }
  assert.deepEqual(readBack.pairs(), set.pairs());
});

test("a job record is read back as it was written", () => {
  const job = {
    spec: SPEC(),
    acceptedAt: 17,
    assignment: new Map([["a", RangeSet.upTo(16)]]),
    dependsOn: [],
    releasedAt: 40,
  };
  const waiting = {
    ...job,
    assignment: new Map(),
    dependsOn: ["req-1", "req-2"],
    releasedAt: null,
  };
  for (const record of [job, waiting])
    assert.deepEqual(
      readJob(JSON.parse(JSON.stringify(writeJob(record)))),
      record,
    );
});

test("parseJob rejects missing, ill-typed and out-of-range fields and ignores unknown ones", () => {
  assert.ok(parseJob(JSON.stringify({ ...JOB, novel: 1 })).ok);
  const bad: [string, unknown][] = [
    ["id", "req-"],
    ["id", "job-1"],
    ["id", 5],
    ["shards", 0],
    ["shards", 100_001],
    ["shards", 1.5],
    ["cores", -1],
    ["cores", "2"],
    ["memoryGb", null],
    ["shape", "heap"],
    ["urgency", "low"],
    ["crew", undefined],
    ["hulls", []],
    ["hulls", "g8"],
    ["samePlace", 1],
    ["dueS", -3],
    ["awaits", "req-1"],
    ["awaits", {}],
    ["awaits", [5]],
    ["awaits", ["job-1"]],
    ["awaits", Array.from({ length: 65 }, (_, i) => `req-${i}`)],
  ];
  for (const [field, value] of bad) {
    const parsed = parseJob(JSON.stringify({ ...JOB, [field]: value }));
    assert.ok(
      !parsed.ok && parsed.error.startsWith(field),
      `${field}=${String(value)}: ${JSON.stringify(parsed)}`,
    );
  }
  const awaits = (list: unknown): unknown => {
    const parsed = parseJob(JSON.stringify({ ...JOB, awaits: list }));
    return parsed.ok ? parsed.value.dependsOn : parsed.error;
  };
  assert.deepEqual(
    [
      awaits(null),
      awaits(undefined),
      awaits([]),
      awaits(["req-2", "req-1", "req-2"]),
    ],
    [[], [], [], ["req-2", "req-1"]],
  );
  for (const text of ["", "[]", "null", "3", "{", '{"id":1e999}'])
    assert.ok(!parseJob(text).ok, text);
});

test("parseHeartbeat rejects malformed heartbeats", () => {
  const good = {
    berth: "n-1",
    address: "10.1.0.2:9000",
    hull: "g8",
    yard: "a",
    loaners: true,
    watch: 1,
    tally: 1,
    baton: 4,
    recallS: null,
    shards: [{ shard: "req-1/3", try: 2, status: "exited", cause: "done" }],
  };
  const parsed = parseHeartbeat(JSON.stringify(good));
  assert.ok(
    parsed.ok && parsed.value.tasks[0]!.index === 3 && parsed.value.token === 4,
  );
  // A start command without a task number once came back in a heartbeat, which every controller then rejected.
  for (const over of [
    { berth: "" },
    { watch: -1 },
    { address: "host" },
    { shards: [{ shard: "req-1/undefined", try: 1, status: "running" }] },
    { shards: [{ shard: "req-1/3", try: 1, status: "odd" }] },
  ])
    assert.ok(
      !parseHeartbeat(JSON.stringify({ ...good, ...over })).ok,
      JSON.stringify(over),
    );
});

test("frames are read however the stream is divided, and data that is no frame is rejected", () => {
  const rng = new Rng(3);
  const all = Buffer.concat([
    encodeFrame(Frame.Ping, 0, Buffer.alloc(0)),
    encodeFrame(Frame.Heartbeat, 7, Buffer.from("x".repeat(3_000))),
    encodeReply(7, 421, "{}"),
  ]);
  for (let round = 0; round < 50; round++) {
    const reader = new FrameReader();
    const got = [];
    for (let at = 0; at < all.length;) {
      const n = rng.int(1, 700);
      got.push(...reader.push(all.subarray(at, at + n))!);
      at += n;
    }
    assert.deepEqual(
      got.map((f) => [f.type, f.id, f.payload.length]),
      [
        [Frame.Ping, 0, 0],
        [Frame.Heartbeat, 7, 3_000],
        [Frame.Reply, 7, 4],
      ],
    );
    assert.deepEqual(decodeReply(got[2]!.payload), { status: 421, body: "{}" });
  }
  const other = Buffer.from(all);
  other.writeUInt8(9, 4);
  assert.equal(new FrameReader().push(other), null, "another version");
  const huge = Buffer.alloc(16);
  huge.writeUInt32BE(MAX_FRAME_BYTES + 1, 0);
  assert.equal(new FrameReader().push(huge), null, "too large");
  assert.equal(
    new FrameReader().push(Buffer.from("GET / HTTP/1.1\r\n")),
    null,
    "not a frame",
  );
});

const queued = (id: string, estimateS: number, acceptedAt: number) => ({
  spec: SPEC({ id, estimateS }),
  effectivePriority: { priority: "normal" as const, readyAt: acceptedAt },
  remainingTasks: 1,
  late: false,
  precedence: "no" as const,
});

test("one of every W tasks comes from the long queue while jobs wait there, and skip removes only the current head", () => {
  const round = new SchedulingRound(
    [queued("req-1", 10, 1), queued("req-2", 10, 2), queued("req-3", 900, 0)],
    { ...DEFAULTS, longEvery: 3 },
    { shortTasksSinceLong: 0 },
  );
  const order: string[] = [];
  for (let k = 0; k < 9; k++) {
    order.push(round.head()!.spec.id);
    round.served(1);
  }
  assert.deepEqual(order, [
    "req-1",
    "req-1",
    "req-3",
    "req-1",
    "req-1",
    "req-3",
    "req-1",
    "req-1",
    "req-3",
  ]);
  // Serving may change which queue is next, but `skip` still refers to the head that was returned last.
  const two = new SchedulingRound(
    [queued("req-1", 10, 1), queued("req-2", 10, 2), queued("req-3", 900, 0)],
    { ...DEFAULTS, longEvery: 2 },
    { shortTasksSinceLong: 0 },
  );
  assert.equal(two.head()!.spec.id, "req-1");
  two.served(1);
  two.skip();
  assert.equal(two.head()!.spec.id, "req-3");
  two.served(1);
  assert.equal(two.head()!.spec.id, "req-2");
});

test("every controller assigns zones without a controller to the same partitions", () => {
  const nodes = [
    ["n1", "a"],
    ["n2", "b"],
    ["n3", "c"],
  ] as const;
  const views = nodes.map(
    ([label, area]) =>
      new PartitionMap({
        label,
        area,
        peers: nodes
          .filter((n) => n[0] !== label)
          .map(([l, z]) => ({ label: l, area: z, host: "", port: 1 })),
        zones: ["z", "a", "y", "b", "c"],
      }),
  );
  for (const view of views)
    assert.deepEqual(
      ["a", "b", "c", "y", "z", "unheard-of"].map((z) => view.partitionOf(z)),
      ["n1", "n2", "n3", "n1", "n2", views[0]!.partitionOf("unheard-of")],
    );
});

const TYPES: MachineType[] = [
  {
    name: "m",
    cpus: 16,
    gpus: 4,
    memGb: 256,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.5,
    bootS: 20,
    zones: ["a", "b", "c"],
  },
];

test("partitionJob assigns each task once, keeps gangs whole, limits spread jobs and weights by reported capacity", () => {
  const partitions = new PartitionMap({
    label: "a",
    area: "a",
    peers: [
      { label: "b", area: "b", host: "", port: 1 },
      { label: "c", area: "c", host: "", port: 1 },
    ],
    zones: ["a", "b", "c"],
  });
  const rng = new Rng(5);
  for (let round = 0; round < 300; round++) {
    const spec = SPEC({
      id: `req-${round}`,
      kind: rng.pick(["array", "gang", "service"]),
      tasks: rng.int(1, 60),
      cpus: 2,
      gpus: 0,
      memGb: 1,
      machineTypes: null,
      samePlace: rng.chance(0.2),
      spread: false,
    });
    if (spec.kind !== "gang" && !spec.samePlace) spec.spread = rng.chance(0.4);
    const capacities = new Map(
      partitions.names.map((partition) => [
        partition,
        {
          rows: [
            {
              type: "m",
              zone: partition,
              spot: false,
              machines: 4,
              free: Array.from(
                { length: rng.int(0, 4) },
                (): [number, number, number, number] => [
                  rng.int(0, 16),
                  4,
                  256,
                  1,
                ],
              ),
              reserved: [],
            },
          ],
          queue: { plain: rng.int(0, 9), accelerated: 50 },
          running: new Map<string, number>(),
          soldOut: [],
          left: new Map<string, number>(),
          wants: new Map(),
          teams: null,
          isTruncated: false,
        },
      ]),
    );
    const split = partitionJob(
      spec,
      capablePartitions(spec, TYPES, partitions),
      capacities,
      TYPES,
      true,
      new Map(),
    );
    const all = RangeSet.empty();
    let taskCount = 0;
    for (const tasks of split.values()) {
      all.addAll(tasks);
      taskCount += tasks.size;
      if (spec.spread)
        assert.ok(
          tasks.size <= Math.ceil(spec.tasks / 2),
          `${tasks.size} of ${spec.tasks}`,
        );
    }
    assert.deepEqual(all.pairs(), [[0, spec.tasks - 1]]);
    assert.equal(taskCount, spec.tasks);
    if (spec.kind === "gang" || spec.samePlace) assert.equal(split.size, 1);
  }
  // Waiting accelerator tasks do not reduce the room for plain ones. When they did, every job went to one partition.
  const capacityWith = (free: number) => ({
    rows: [
      {
        type: "m",
        zone: "a",
        spot: false,
        machines: 1,
        free: [[free, 0, 256, 1] as [number, number, number, number]],
        reserved: [],
      },
    ],
    queue: { plain: 0, accelerated: 90 },
    running: new Map<string, number>(),
    soldOut: [],
    left: new Map<string, number>(),
    wants: new Map(),
    teams: null,
    isTruncated: false,
  });
  const one = partitionJob(
    SPEC({ tasks: 1, cpus: 8, gpus: 0, machineTypes: null, spot: false }),
    capablePartitions(
      SPEC({ cpus: 8, gpus: 0, machineTypes: null }),
      TYPES,
      partitions,
    ),
    new Map([
      ["a", capacityWith(4)],
      ["b", capacityWith(16)],
      ["c", capacityWith(4)],
    ]),
    TYPES,
    true,
    new Map(),
  );
  assert.deepEqual([...one.keys()], ["b"]);
});

test("the store lease ends before the worker leases where these are long enough, and always in time for cancellations", () => {
  // With a store lease as long as cancel_s allows, the peers of a controller that hung for 30 s took over only after the
  // leases of its workers had ended (docs/incidents/tremorline-hung-controller.md).
  for (const [cancelS, leaseS, reportS, ttlMs] of [
    [57, 27, 3, 18_250],
    [40, 10, 1, 28_000],
    [20, 12, 1, 6_000],
  ] as const) {
    assert.equal(storeLeaseTtlMs({ cancelS, leaseS, reportS }), ttlMs);
    assert.ok(ttlMs + leaseS * 1000 < cancelS * 1000);
  }
});

test("calls of lower priority leave part of a rate limit to user requests, and all calls are sent in the end", async () => {
  // Writes of partition leaders used to exhaust the limit, so that each user's submission waited for it to refill.
  const limiter = new RateLimiter([200], [5], 500, [0, 0, 0.25, 0.5]);
  const ran: number[] = [];
  const add = (priority: number, cost: number): void =>
    limiter.add({
      priority,
      cost: [cost],
      deadlineMs: performance.now() + 60_000,
      run: () => ran.push(priority),
      refuse: () => assert.fail("refused"),
    });
  for (let i = 0; i < 20; i++) add(3, 4);
  const sentAtOnce = ran.length;
  assert.ok(sentAtOnce < 3, `${sentAtOnce} were sent at once`);
  add(1, 1);
  assert.equal(ran.at(-1), 1, "the user's call is sent at once");
  while (ran.length < 21) await new Promise((r) => setTimeout(r, 5));
});

const TOML = `label = "n1"
area = "a"
client_listen = "127.0.0.1:8080"
mesh_addr = "127.0.0.1:8081"
novel = 1
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[cluster]
zones = ["a"]
[cluster.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = 40.0
[cluster.state]
rps = 100.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 12
[cluster.cloud]
rps = 5.0
list_lag_s = 3.0
`;

test("parseSettings applies announced limits from the start where they are lower", () => {
  const limits = (next: string): number[] => {
    const { state } = parseSettings(
      TOML.replace("[cluster.cloud]", `${next}\n[cluster.cloud]`),
      "f",
    );
    return [state.rps, state.writeRps, state.valueBytes, state.txnOps];
  };
  assert.deepEqual(limits(""), [100, 20, 7782, 12]);
  assert.deepEqual(
    limits(
      "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0",
    ),
    [100, 15, 1945, 4],
  );
  assert.deepEqual(
    limits("[cluster.state.next]\nvalue_kb = 64.0\nnovel = 1"),
    [100, 20, 7782, 12],
  );
  assert.throws(
    () => limits("[cluster.state.next]\ntxn_ops = 2"),
    /f: cluster\.state\.next\.txn_ops: /,
  );
  assert.throws(
    () => limits("[cluster.state.next]\nvalue_kb = 0.5"),
    /f: cluster\.state\.next\.value_kb: /,
  );
});

test("a mistake in either settings file is reported in one clear line", async () => {
  assert.equal(parseSettings(TOML, "f").leaseS, 10);
  assert.throws(
    () =>
      parseSettings(TOML.replace("lease_s = 10.0", 'lease_s = "x"'), "f.toml"),
    /^Error: f\.toml: cluster\.workers\.lease_s: /,
  );
  assert.throws(
    () => parseSettings(TOML.replace("8081", "port"), "f.toml"),
    /mesh_addr: IP:PORT expected/,
  );
  assert.throws(
    () => parseSettings("label = ", "f.toml"),
    /f\.toml: not TOML: line 1/,
  );
  assert.throws(
    () =>
      parseSettings(
        TOML.replace("cancel_s = 40.0", "cancel_s = 12.0"),
        "f.toml",
      ),
    /cancel_s/,
  );
  assert.deepEqual(await parseOperator("", "o"), {
    tuning: DEFAULTS,
    hooks: null,
    metrics: false,
  });
  assert.equal(
    (await parseOperator("long_every: 9 # often\nreserved_share: 0.25", "o"))
      .tuning.longEvery,
    9,
  );
  await assert.rejects(
    parseOperator("long_evry: 9", "o.txtpb"),
    /o\.txtpb: .*long_evry/,
  );
  await assert.rejects(
    parseOperator("reserved_share: 1.5", "o.txtpb"),
    /o\.txtpb: reserved_share: must lie within 0 and 0\.9/,
  );
  await assert.rejects(
    parseOperator("reserved_share: x y", "o.txtpb"),
    /o\.txtpb: /,
  );
});
