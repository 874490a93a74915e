import assert from "node:assert/strict";
import { test } from "node:test";
import { RangeSet } from "../../src/coordination/jobs/range-set.js";
import type { Item } from "../../src/protocol/state.js";
import * as webhooks from "../../src/webhooks/records.js";
import { jobEndOf } from "../../src/webhooks/change-feed.js";
import * as records from "../../src/storage/records.js";
import { expectJson, expectStored, expectText } from "./expect.js";
import { JOB } from "./protocol.js";

test("golden: keys of records", () => {
  expectJson(
    [records.ROOT_PREFIX, records.LIVE_PREFIX, records.FINAL_PREFIX],
    '["lc/","lc/now/","lc/past/"]',
  );
  expectText(records.partitionKey("east"), "lc/now/group/east");
  expectText(records.leadershipBidKey("east"), "lc/now/claim/east");
  expectText(records.jobKey("req-1"), "lc/now/job/req-1");
  expectText(records.finalKey("req-1"), "lc/past/req-1");
  expectText(
    records.completionKey("req-1", "east", 1003),
    "lc/now/fin/req-1/east/1003",
  );
  expectText(records.gangKey("req-1"), "lc/now/gang/req-1");
  expectText(records.readyKey("req-1", "east"), "lc/now/ready/req-1/east");
  expectText(records.registryKey("east", 2), "lc/now/roster/east/2");
  expectText(records.capacityKey("east"), "lc/now/room/east");
  expectText(records.QUOTA_KEY, "lc/now/quota");
  expectText(records.quotaKey(3), "lc/now/limit/3");
  expectText(records.observedLimitsKey("node-a"), "lc/now/belief/node-a");
  expectText(records.RECLAIM_KEY, "lc/now/reclaim");
});

test("golden: parsing of keys", () => {
  const expected: readonly [string, records.StoreKey | null][] = [
    ["lc/now/group/east", { kind: "group", partition: "east" }],
    ["lc/now/claim/east", { kind: "claim", partition: "east" }],
    ["lc/now/room/east", { kind: "room", partition: "east" }],
    ["lc/now/job/req-1", { kind: "job", id: "req-1" }],
    ["lc/past/req-1", { kind: "past", id: "req-1" }],
    [
      "lc/now/fin/req-1/east/1003",
      { kind: "fin", id: "req-1", partition: "east", chunk: 1003 },
    ],
    ["lc/now/roster/east/2", { kind: "roster", partition: "east", chunk: 2 }],
    ["lc/now/gang/req-1", { kind: "gang", id: "req-1" }],
    [
      "lc/now/ready/req-1/east",
      { kind: "ready", id: "req-1", partition: "east" },
    ],
    ["lc/now/quota", { kind: "limits" }],
    ["lc/now/limit/3", { kind: "limits" }],
    ["lc/now/reclaim", { kind: "reclaim" }],
    ["lc/now/belief/node-a", { kind: "belief", label: "node-a" }],
    ["lc/now/other", null],
    ["lc/hook/now/sub/alerts", null],
  ];
  for (const [key, parsed] of expected)
    assert.deepEqual(records.parseKey(key), parsed);
});

test("golden: jobs, live and final", () => {
  const ranges = RangeSet.of([
    [0, 3],
    [5, 6],
  ]);
  const live: records.JobRecord = {
    spec: JOB,
    acceptedAt: 1_700_000_000_123,
    assignment: new Map([["east", ranges]]),
    dependsOn: [],
    releasedAt: null,
  };
  expectStored(
    live,
    records.writeJob,
    records.readJob,
    '{"spec":{"id":"req-000412","class":"arrays","team":"red","shape":"ensemble","urgency":"best_effort","tasks":7,"cpus":2.5,"gpus":1,"memGb":16,"image":"img-3","imageGb":4,"types":["small","big"],"zone":"east","samePlace":true,"spread":false,"spot":true,"estimateS":120,"checkpointS":30,"saveS":5,"deadlineS":900},"at":1700000000123,"split":[["east",[[0,3],[5,6]]]]}',
  );
  expectStored(
    {
      ...live,
      spec: { ...JOB, machineTypes: null, zone: null, deadlineS: null },
      assignment: new Map(),
      dependsOn: ["req-1", "req-2"],
    },
    records.writeJob,
    records.readJob,
    '{"spec":{"id":"req-000412","class":"arrays","team":"red","shape":"ensemble","urgency":"best_effort","tasks":7,"cpus":2.5,"gpus":1,"memGb":16,"image":"img-3","imageGb":4,"types":null,"zone":null,"samePlace":true,"spread":false,"spot":true,"estimateS":120,"checkpointS":30,"saveS":5,"deadlineS":null},"at":1700000000123,"split":[],"needs":["req-1","req-2"]}',
  );
  expectStored(
    { ...live, releasedAt: 1_700_000_000_456 },
    records.writeJob,
    records.readJob,
    '{"spec":{"id":"req-000412","class":"arrays","team":"red","shape":"ensemble","urgency":"best_effort","tasks":7,"cpus":2.5,"gpus":1,"memGb":16,"image":"img-3","imageGb":4,"types":["small","big"],"zone":"east","samePlace":true,"spread":false,"spot":true,"estimateS":120,"checkpointS":30,"saveS":5,"deadlineS":900},"at":1700000000123,"split":[["east",[[0,3],[5,6]]]],"rel":1700000000456}',
  );
  const done: records.FinalRecord = { status: "done", tasks: 7, done: 7 };
  expectStored(
    done,
    records.writeFinal,
    records.readFinal,
    '{"s":"done","n":7,"d":7}',
  );
  expectStored(
    {
      status: "cancelled",
      tasks: 7,
      done: 3,
      end: { team: "red", class: "arrays", at: 1_700_000_000_789 },
    },
    records.writeFinal,
    records.readFinal,
    '{"s":"cancelled","n":7,"d":3,"h":["red","arrays",1700000000789]}',
  );
  expectJson(
    records.jobEndWrites("req-1", done, ["lc/now/gang/req-1"]),
    '[{"op":"put","key":"lc/past/req-1","value":{"s":"done","n":7,"d":7}},{"op":"delete","key":"lc/now/job/req-1"},{"op":"delete","key":"lc/now/gang/req-1"}]',
  );
});

test("golden: finished tasks, gangs, registry", () => {
  const ranges = RangeSet.of([
    [384, 390],
    [400, 400],
  ]);
  expectStored(
    ranges,
    records.writeCompletion,
    (stored) => records.readCompletion(stored, 1003),
    '{"r":[[384,390],[400,400]]}',
  );
  expectJson(
    [records.COMPLETION_BLOCK_SIZE, records.completionBlockOf(384)],
    "[128,1003]",
  );
  expectJson(
    records.readCompletion(JSON.parse('{"b":"BQ=="}'), 1)?.pairs(),
    "[[16384,16384],[16386,16386]]",
  );
  assert.equal(
    records.readGangAttempt(JSON.parse('{"attempt":4000001}')),
    4000001,
  );
  expectStored(
    {
      complete: true,
      machines: new Map([
        ["n-1", { isReturning: false, type: "small" }],
        ["n-2", { isReturning: true, type: "big" }],
        ["n-3", { isReturning: false, type: "small" }],
      ]),
    },
    records.writeRegistry,
    records.readRegistry,
    '{"t":["small","big"],"m":[["n-1",0,0],["n-2",1,1],["n-3",0,0]],"c":1}',
  );
  expectStored(
    { complete: false, machines: new Map() },
    records.writeRegistry,
    records.readRegistry,
    '{"t":[],"m":[]}',
  );
});

const CAPACITY: records.CapacityRecord = {
  rows: [
    {
      type: "small",
      zone: "east",
      spot: true,
      machines: 4,
      free: [[6, 0, 20.5, 2]],
      reserved: [[8, 0, 32, 1]],
      preemptible: [[8, 0, 32, 1, 1, 3]],
    },
    {
      type: "big",
      zone: "mid",
      spot: false,
      machines: 1,
      free: [],
      reserved: [],
    },
  ],
  queue: { plain: 5, accelerated: 2 },
  queueByMinPriority: [
    [5, 2],
    [4, 1],
    [3, 0],
    [1, 0],
  ],
  running: new Map([["req-000412", 3]]),
  soldOut: ["small/east/true"],
  left: new Map([["big/mid/false", 2]]),
  wants: new Map([["red", { cpus: 8, gpus: 1, since: 1_700_000_000_001 }]]),
  teams: new Map([
    [
      "red",
      {
        use: [1, 2],
        possibleUse: [3, 4],
        startable: [5, 6],
        startableSinceMs: [1_700_000_000_002, 1_700_000_000_003],
        awaitingMachines: [7, 8],
        awaitingMachinesSinceMs: [1_700_000_000_004, 1_700_000_000_005],
        baseShare: [9, 10],
        waiting: [11, 12.25],
      },
    ],
    [
      "blue",
      {
        use: [0, 0],
        possibleUse: [0, 0],
        startable: [0, 0],
        startableSinceMs: [Infinity, Infinity],
        awaitingMachines: [0, 0],
        awaitingMachinesSinceMs: [Infinity, Infinity],
        baseShare: [0, 0],
        waiting: [0, 0],
      },
    ],
  ]),
  isTruncated: true,
};

test("golden: capacity of a partition", () => {
  expectStored(
    CAPACITY,
    records.writeCapacity,
    records.readCapacity,
    '{"rows":[{"t":"small","z":"east","s":true,"n":4,"f":[[6,0,20.5,2]],"r":[[8,0,32,1]],"y":[[8,0,32,1,1,3]]},{"t":"big","z":"mid","s":false,"n":1,"f":[],"r":[]}],"q":[5,2],"qu":[[5,2],[4,1],[3,0],[1,0]],"run":[["req-000412",3]],"out":["small/east/true"],"left":[["big/mid/false",2]],"want":[["red",8,1,1700000000001]],"team":[["red",1,2,3,4,5,6,1700000000002,7,8,1700000000004,9,10,11,12.25,1700000000003,1700000000005],["blue",0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0]],"cut":true}',
  );
  const { queueByMinPriority: _, ...empty } = CAPACITY;
  expectStored(
    {
      ...empty,
      rows: [],
      running: new Map(),
      soldOut: [],
      left: new Map(),
      wants: new Map(),
      teams: null,
      isTruncated: false,
    },
    records.writeCapacity,
    records.readCapacity,
    '{"rows":[],"q":[5,2],"run":[],"out":[],"left":[],"want":[]}',
  );
});

test("golden: idle share, backfill and reservation of a team in a capacity record", () => {
  const row = {
    use: [1, 0],
    possibleUse: [1, 0],
    startable: [4, 1],
    startableSinceMs: [1_700_000_000_002, 1_700_000_000_003],
    awaitingMachines: [0, 0],
    awaitingMachinesSinceMs: [Infinity, Infinity],
    baseShare: [3.8, 0],
    waiting: [12, 1],
  } satisfies records.TeamRow;
  expectStored(
    {
      ...CAPACITY,
      rows: [],
      teams: new Map<string, records.TeamRow>([
        ["lends", { ...row, idle: [2.8, 0] }],
        ["asks", { ...row, backfill: [0.2, 1] }],
        [
          "reserves",
          {
            ...row,
            reservation: {
              missing: [4.2, 1],
              readyAt: 1_700_000_000_004,
              priority: 2,
            },
          },
        ],
      ]),
    },
    records.writeCapacity,
    records.readCapacity,
    '{"rows":[],"q":[5,2],"qu":[[5,2],[4,1],[3,0],[1,0]],"run":[["req-000412",3]],"out":["small/east/true"],"left":[["big/mid/false",2]],"want":[["red",8,1,1700000000001]],"team":[["lends",1,0,1,0,4,1,1700000000002,0,0,0,3.8,0,12,1,1700000000003,0,2.8,0,0,0],["asks",1,0,1,0,4,1,1700000000002,0,0,0,3.8,0,12,1,1700000000003,0,0,0,0.2,1],["reserves",1,0,1,0,4,1,1700000000002,0,0,0,3.8,0,12,1,1700000000003,0,0,0,0,0,4.2,1,1700000000004,2]],"cut":true}',
  );
});

test("golden: partition, leadership bid, quota, observed limits and reclaims", () => {
  const partition: records.PartitionRecord = { owner: "node-a", hold: 77 };
  assert.deepEqual(
    records.readPartition(JSON.parse('{"owner":"node-a","hold":77}')),
    partition,
  );
  const bid: records.LeadershipBidRecord = { by: "node-b", token: 12 };
  assert.deepEqual(
    records.readLeadershipBid(JSON.parse('{"by":"node-b","token":12}')),
    bid,
  );
  assert.deepEqual(
    records.readQuota(
      JSON.parse('{"red":{"east":[1,2],"/cap":[3,4]},"blue":{}}'),
    ),
    { red: { east: [1, 2], "/cap": [3, 4] }, blue: {} },
  );
  assert.equal(
    records.readObservedLimits(JSON.parse('{"limits":"[\\"red\\",48]"}')),
    '["red",48]',
  );
  expectStored<Map<string, records.Reclaim[]>>(
    new Map([
      [
        "east",
        [
          {
            token: 12,
            team: "red",
            coveredDeficit: [8, 1],
            from: [["blue", 4, 1]],
            expiresAt: 1_700_000_000_006,
          },
        ],
      ],
    ]),
    records.writeReclaims,
    records.readReclaims,
    '{"by":{"east":[{"t":12,"team":"red","n":[8,1],"from":[["blue",4,1]],"u":1700000000006}]}}',
  );
});

test("golden: keys of webhook records", () => {
  expectJson(
    [
      webhooks.WEBHOOKS_PREFIX,
      webhooks.WEBHOOKS_LIVE_PREFIX,
      webhooks.SUBSCRIPTIONS_PREFIX,
      webhooks.SETTLED_UP_TO_KEY,
    ],
    '["lc/hook/","lc/hook/now/","lc/hook/now/sub/","lc/hook/now/upto"]',
  );
  expectText(webhooks.subscriptionKey("alerts"), "lc/hook/now/sub/alerts");
  expectText(webhooks.progressKey("alerts"), "lc/hook/now/at/alerts");
  expectText(webhooks.laneOwnerKey(3), "lc/hook/now/own/3");
  expectText(webhooks.presenceKey("node-a"), "lc/hook/now/here/node-a");
  expectText(webhooks.spoolPrefix("alerts"), "lc/hook/spool/alerts/");
  expectText(webhooks.deadPrefix("alerts"), "lc/hook/dead/alerts/");
  expectText(
    webhooks.spoolKey("alerts", 12),
    "lc/hook/spool/alerts/0000000012",
  );
  expectText(webhooks.deadKey("alerts", 13), "lc/hook/dead/alerts/0000000013");
  assert.equal(webhooks.batchNumber("lc/hook/spool/alerts/0000000012"), 12);
  assert.equal(webhooks.LANE_COUNT, 16);
});

const SUBSCRIPTION: webhooks.Subscription = {
  url: "https://example.org/in",
  teams: ["red"],
  classes: null,
  outcomes: ["done", "cancelled"],
  keys: ["k2", "k1"],
  ordered: true,
  ask: false,
  state: "paused",
  redrives: 4,
  tests: 5,
};
const PENDING_DELIVERIES: readonly webhooks.PendingDelivery[] = (
  ["done", "cancelled", "test"] as const
).map((outcome, index) => ({
  end: {
    id: `req-${index}`,
    outcome,
    tasks: 7,
    done: index,
    team: "red",
    class: "arrays",
    at: 1_700_000_000_000,
    since: 1_700_000_000_000 + index,
  },
  attempts: index,
}));

function packedDeliveries(): webhooks.Packer {
  const packer = new webhooks.Packer(1_000);
  for (const delivery of PENDING_DELIVERIES) assert.ok(packer.add(delivery));
  return packer;
}

test("golden: webhook records", () => {
  expectStored(
    SUBSCRIPTION,
    webhooks.writeSubscription,
    webhooks.readSubscription,
    '{"u":"https://example.org/in","t":["red"],"c":null,"o":["done","cancelled"],"k":["k2","k1"],"ord":true,"ask":false,"st":"paused","rd":4,"ts":5}',
  );
  expectStored(
    { ...SUBSCRIPTION, teams: null, classes: ["arrays"], state: "ended" },
    webhooks.writeSubscription,
    webhooks.readSubscription,
    '{"u":"https://example.org/in","t":null,"c":["arrays"],"o":["done","cancelled"],"k":["k2","k1"],"ord":true,"ask":false,"st":"ended","rd":4,"ts":5}',
  );
  const progress: webhooks.ProgressRecord = {
    seq: 1,
    token: 2,
    cursor: { version: 3, id: "req-0" },
    window: [...PENDING_DELIVERIES],
    spool: { first: 4, taken: 5, next: 6 },
    dead: { first: 7, next: 8 },
    redrives: 9,
    tests: 10,
    listing: { to: 11, after: "lc/past/req-0" },
  };
  const writeProgress = (record: webhooks.ProgressRecord): object =>
    webhooks.writeProgress(record, packedDeliveries());
  expectStored(
    progress,
    writeProgress,
    webhooks.readProgress,
    '{"q":1,"tk":2,"c":[3,"req-0"],"nm":["red","arrays"],"w":[["req-0",0,7,0,0,1,1700000000000,0,0],["req-1",1,7,1,0,1,1700000000000,1,1],["req-2",2,7,2,0,1,1700000000000,2,2]],"sp":[4,5,6],"dd":[7,8],"rd":9,"ts":10,"ls":[11,"lc/past/req-0"]}',
  );
  expectJson(
    webhooks.newProgress(),
    '{"q":0,"tk":0,"c":null,"nm":[],"w":[],"sp":[0,0,0],"dd":[0,0],"rd":0,"ts":0}',
  );
  const writeBatch = (batch: webhooks.Batch): object =>
    webhooks.writeBatch(packedDeliveries(), batch.to);
  expectStored(
    { to: { version: 3, id: "req-0" }, entries: [...PENDING_DELIVERIES] },
    writeBatch,
    webhooks.readBatch,
    '{"to":[3,"req-0"],"nm":["red","arrays"],"e":[["req-0",0,7,0,0,1,1700000000000,0,0],["req-1",1,7,1,0,1,1700000000000,1,1],["req-2",2,7,2,0,1,1700000000000,2,2]]}',
  );
  expectStored(
    { to: null, entries: [...PENDING_DELIVERIES] },
    writeBatch,
    webhooks.readBatch,
    '{"to":null,"nm":["red","arrays"],"e":[["req-0",0,7,0,0,1,1700000000000,0,0],["req-1",1,7,1,0,1,1700000000000,1,1],["req-2",2,7,2,0,1,1700000000000,2,2]]}',
  );
  assert.deepEqual(
    webhooks.readLaneOwner(JSON.parse('{"owner":"node-a","hold":77}')),
    {
      owner: "node-a",
      hold: 77,
    },
  );
  assert.deepEqual(webhooks.readPresence(JSON.parse('{"hold":77}')), {
    hold: 77,
  });
  assert.deepEqual(webhooks.readSettledUpTo(JSON.parse('{"3":41}')), { 3: 41 });
});

test("golden: job end in a final record", () => {
  const change: Item = {
    key: "lc/past/req-9",
    value: JSON.parse(
      '{"s":"cancelled","n":7,"d":3,"h":["red","arrays",1700000000789]}',
    ) as unknown,
    version: 5,
  };
  const end: webhooks.JobEnd = {
    id: "req-9",
    outcome: "cancelled",
    tasks: 7,
    done: 3,
    team: "red",
    class: "arrays",
    at: 1_700_000_000_789,
    since: 1_700_000_000_789,
  };
  assert.deepEqual(jobEndOf(change), { at: { version: 5, id: "req-9" }, end });
});
