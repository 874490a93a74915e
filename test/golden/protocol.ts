import assert from "node:assert/strict";
import { test } from "node:test";
import type {
  JobSpec,
  Command,
  Heartbeat,
} from "../../src/coordination/model.js";
import {
  listPath,
  parseCatalog,
  parseList,
  parseRented,
  rentBody,
  returnBody,
} from "../../src/protocol/cloud.js";
import {
  decodeReply,
  encodeFrame,
  encodeReply,
  Frame,
  FrameReader,
  MAX_FRAME_BYTES,
  FRAME_VERSION,
} from "../../src/protocol/frames.js";
import { jobBody, parseJob } from "../../src/protocol/jobs.js";
import {
  type StateCall,
  type StateReply,
  stateReply,
  stateRequest,
} from "../../src/protocol/state.js";
import {
  heartbeatAnswerBody,
  commandBody,
  parseHeartbeat,
  redirectBody,
} from "../../src/protocol/workers.js";
import { expectJson, expectText } from "./expect.js";

/** A job with a different value in each field. */
export const JOB: JobSpec = {
  id: "req-000412",
  jobClass: "arrays",
  team: "red",
  kind: "gang",
  priority: "best_effort",
  tasks: 7,
  cpus: 2.5,
  gpus: 1,
  memGb: 16,
  image: "img-3",
  imageGb: 4,
  machineTypes: ["small", "big"],
  zone: "east",
  samePlace: true,
  spread: false,
  spot: true,
  estimateS: 120,
  checkpointS: 30,
  saveS: 5,
  deadlineS: 900,
};

const JOB_BODY =
  '{"id":"req-000412","jobclass":"arrays","crew":"red","shape":"ensemble","urgency":"best_effort","shards":7,"cores":2.5,"accelerators":1,"memoryGb":16,"bundle":"img-3","sizeGb":4,"hulls":["small","big"],"yard":"east","samePlace":true,"spread":false,"loaners":true,"reckonS":120,"stashEveryS":30,"stashS":5,"dueS":900,"awaits":["req-1","req-2","req-1"]}';
const MINIMAL_JOB_BODY =
  '{"id":"req-1","jobclass":"arrays","crew":"red","shape":"batch","urgency":"prod","shards":1,"cores":1,"memoryGb":2}';

const HEARTBEAT_BODY =
  '{"berth":"n-17","address":"10.0.0.7:8001","hull":"small","yard":"east","loaners":true,"watch":3,"tally":41,"baton":9,"recallS":12.5,"shards":[{"shard":"req-000412/3","try":2,"status":"exited","cause":"no_room","kept":true},{"shard":"req-000413/0","try":5,"status":"fetching"},{"shard":"req-000413/1","try":5,"status":"waiting"},{"shard":"req-000413/2","try":5,"status":"running"},{"shard":"req-000413/3","try":5,"status":"saving"}]}';
const HEARTBEAT: Heartbeat = {
  worker: "n-17",
  address: "10.0.0.7:8001",
  type: "small",
  zone: "east",
  spot: true,
  incarnation: 3,
  sequence: 41,
  token: 9,
  noticeS: 12.5,
  tasks: [
    {
      job: "req-000412",
      index: 3,
      attempt: 2,
      state: "exited",
      cause: "no_room",
      checkpointed: true,
    },
    ...(["fetching", "waiting", "running", "saving"] as const).map(
      (state, index) => ({
        job: "req-000413",
        index,
        attempt: 5,
        state,
        cause: null,
        checkpointed: false,
      }),
    ),
  ],
};

/** One command of each kind. */
export const COMMANDS: readonly Command[] = [
  { op: "start", job: "req-000412", index: 3, attempt: 2 },
  { op: "stop", job: "req-000412", index: 4, attempt: 6, graceS: 1.5 },
  { op: "forget", job: "req-000412", index: 5, attempt: 7 },
];

test("golden: bodies of users' requests", () => {
  assert.deepEqual(parseJob(JOB_BODY), {
    ok: true,
    value: { dependsOn: ["req-1", "req-2"], spec: JOB },
  });
  assert.deepEqual(parseJob(MINIMAL_JOB_BODY), {
    ok: true,
    value: {
      dependsOn: [],
      spec: {
        ...JOB,
        id: "req-1",
        kind: "array",
        priority: "prod",
        tasks: 1,
        cpus: 1,
        gpus: 0,
        memGb: 2,
        image: "",
        imageGb: 0,
        machineTypes: null,
        zone: null,
        samePlace: false,
        spot: false,
        estimateS: 0,
        checkpointS: 0,
        saveS: 0,
        deadlineS: null,
      } satisfies JobSpec,
    },
  });
  expectJson(parseJob("{"), '{"ok":false,"error":"body: not JSON"}');
  expectJson(parseJob("[]"), '{"ok":false,"error":"body: not a JSON object"}');
  expectJson(
    parseJob("{}"),
    '{"ok":false,"error":"id: Invalid key: Expected \\"id\\" but received undefined"}',
  );
  expectJson(
    parseJob(JOB_BODY.replace('"red"', "4")),
    '{"ok":false,"error":"crew: Invalid type: Expected string but received 4"}',
  );
  expectJson(
    parseJob(JOB_BODY.replace("req-1", "job-1")),
    '{"ok":false,"error":"awaits.0: must look like req-000412"}',
  );
  expectJson(
    jobBody("req-000412", "queued"),
    '{"id":"req-000412","status":"queued"}',
  );
  expectJson(
    jobBody("req-000412", "running", { done: 3, running: 2 }, ["req-1"]),
    '{"id":"req-000412","status":"running","done":3,"running":2,"awaits":["req-1"]}',
  );
});

test("golden: workers' heartbeats, replies and commands", () => {
  assert.deepEqual(parseHeartbeat(HEARTBEAT_BODY), {
    ok: true,
    value: HEARTBEAT,
  });
  const minimalBody =
    '{"berth":"n-17","address":"10.0.0.7:8001","hull":"small","yard":"east","watch":3,"tally":41}';
  assert.deepEqual(parseHeartbeat(minimalBody), {
    ok: true,
    value: {
      ...HEARTBEAT,
      spot: false,
      token: 0,
      noticeS: null,
      tasks: [],
    } satisfies Heartbeat,
  });
  expectJson(
    parseHeartbeat("{}"),
    '{"ok":false,"error":"berth: Invalid key: Expected \\"berth\\" but received undefined"}',
  );
  expectJson(
    parseHeartbeat(HEARTBEAT_BODY.replace("no_room", "lost")),
    '{"ok":false,"error":"shards.0.cause: Invalid type: Expected (\\"done\\" | \\"stopped\\" | \\"peers\\" | \\"incomplete\\" | \\"error\\" | \\"no_room\\" | \\"busy\\" | \\"no_such\\") but received \\"lost\\""}',
  );
  expectJson(
    parseHeartbeat(HEARTBEAT_BODY.replace("/3", "/999999")),
    '{"ok":false,"error":"shards: req-000412/999999: no such task number"}',
  );
  expectJson(
    heartbeatAnswerBody(9, COMMANDS),
    '{"baton":9,"orders":[{"verb":"start","shard":"req-000412/3","try":2},{"verb":"kill","shard":"req-000412/4","try":6,"leewayS":1.5},{"verb":"clear","shard":"req-000412/5","try":7}]}',
  );
  expectJson(
    commandBody(9, 3, COMMANDS),
    '{"baton":9,"watch":3,"orders":[{"verb":"start","shard":"req-000412/3","try":2},{"verb":"kill","shard":"req-000412/4","try":6,"leewayS":1.5},{"verb":"clear","shard":"req-000412/5","try":7}]}',
  );
  expectJson(redirectBody("node-b"), '{"harbormaster":"node-b"}');
  expectJson(redirectBody(null), "{}");
});

test("golden: the cloud's bodies", () => {
  expectJson(
    rentBody("node-a-1", "small", "east", true, 3),
    '{"charter":"node-a-1","hull":"small","yard":"east","loaners":true,"number":3}',
  );
  expectJson(returnBody(["n-1", "n-2"]), '{"berths":["n-1","n-2"]}');
  expectText(listPath(""), "/hosts?most=500");
  expectText(listPath("n 7/é"), "/hosts?most=500&since=n%207%2F%C3%A9");
  const catalog =
    '{"hulls":[{"name":"big","cores":24,"accelerators":4,"memoryGb":128,"localGb":50,"pullGbPerS":2,"price":8,"marketPrice":3,"startupS":6,"yards":["east","mid"]},{"name":"bare","price":5,"yards":[]}]}';
  assert.deepEqual(parseCatalog(JSON.parse(catalog)), [
    {
      name: "big",
      cpus: 24,
      gpus: 4,
      memGb: 128,
      cacheGb: 50,
      fetchGbPerS: 2,
      price: 8,
      spotPrice: 3,
      bootS: 6,
      zones: ["east", "mid"],
    },
    {
      name: "bare",
      cpus: 0,
      gpus: 0,
      memGb: 0,
      cacheGb: 0,
      fetchGbPerS: 1,
      price: 5,
      spotPrice: 5,
      bootS: 0,
      zones: [],
    },
  ]);
  assert.deepEqual(parseRented(JSON.parse('{"berths":["n-1","n-2"]}')), [
    "n-1",
    "n-2",
  ]);
  const list =
    '{"berths":[{"id":"n-1","address":"10.0.0.7:8001","hull":"small","yard":"east","loaners":true,"status":"running","ageS":7},{"id":"n-2","hull":"big","yard":"mid","status":"starting"},{"id":"n-3","hull":"big","yard":"mid","status":"failed"}],"truncated":true}';
  const minimal = {
    address: "",
    type: "big",
    zone: "mid",
    spot: false,
    ageS: 0,
  };
  assert.deepEqual(parseList(JSON.parse(list)), {
    more: true,
    machines: [
      {
        id: "n-1",
        address: "10.0.0.7:8001",
        type: "small",
        zone: "east",
        spot: true,
        state: "running",
        ageS: 7,
      },
      { ...minimal, id: "n-2", state: "starting" },
      { ...minimal, id: "n-3", state: "failed" },
    ],
  });
});

const GET: StateCall = { op: "get", key: "lc/now/job/req-1" };
const LIST: StateCall = { op: "list", prefix: "lc/now/", after: "" };
const LIST_AFTER: StateCall = { ...LIST, after: "lc/now/job/req-1" };
const COMMIT: StateCall = {
  op: "commit",
  conditions: [
    { key: "lc/now/group/east", version: 12 },
    { key: "lc/now/job/req-2", version: 0 },
  ],
  writes: [
    { op: "put", key: "lc/now/job/req-2", value: { a: 1 } },
    { op: "put", key: "lc/now/group/east", value: [2], hold: 77 },
    { op: "delete", key: "lc/now/job/req-1" },
  ],
};
const NEW_LEASE: StateCall = { op: "newHold", ttlMs: 12_000 };
const RENEW_LEASE: StateCall = { op: "touch", hold: 77 };
const CHANGES: StateCall = {
  op: "changes",
  prefix: "lc/",
  since: 41,
  waitMs: 5_000,
};

test("golden: requests to the state service", () => {
  expectJson(
    stateRequest(GET),
    '{"method":"GET","path":"/keys/lc/now/job/req-1"}',
  );
  expectJson(
    stateRequest(LIST),
    '{"method":"GET","path":"/keys?under=lc/now/&most=1000"}',
  );
  expectJson(
    stateRequest(LIST_AFTER),
    '{"method":"GET","path":"/keys?under=lc/now/&most=1000&since=lc/now/job/req-1"}',
  );
  expectJson(
    stateRequest(COMMIT),
    '{"method":"POST","path":"/commit","body":"{\\"if\\":[{\\"k\\":\\"lc/now/group/east\\",\\"stamp\\":12},{\\"k\\":\\"lc/now/job/req-2\\",\\"stamp\\":0}],\\"writes\\":[{\\"put\\":\\"lc/now/job/req-2\\",\\"value\\":{\\"a\\":1}},{\\"put\\":\\"lc/now/group/east\\",\\"value\\":[2],\\"tenancy\\":77},{\\"delete\\":\\"lc/now/job/req-1\\"}]}"}',
  );
  expectJson(
    stateRequest(NEW_LEASE),
    '{"method":"POST","path":"/holds","body":"{\\"ttlMs\\":12000}"}',
  );
  expectJson(
    stateRequest(RENEW_LEASE),
    '{"method":"POST","path":"/holds/77/touch","body":"{}"}',
  );
  expectJson(
    stateRequest(CHANGES),
    '{"method":"GET","path":"/changes?under=lc/&since=41&holdMs=5000"}',
  );
});

/** Replies of each kind, with the call, the HTTP status and the body that they are parsed from. */
const REPLIES: readonly [StateCall, number, string, StateReply][] = [
  [GET, 404, '{"error":"none"}', { is: "item", item: null }],
  [
    GET,
    200,
    '{"k":"lc/a","value":{"b":1},"stamp":4}',
    { is: "item", item: { key: "lc/a", value: { b: 1 }, version: 4 } },
  ],
  [
    LIST,
    200,
    '{"items":[{"k":"lc/a","value":7,"stamp":4}],"truncated":true,"epoch":9}',
    {
      is: "items",
      epoch: 9,
      more: true,
      items: [{ key: "lc/a", value: 7, version: 4 }],
    },
  ],
  [COMMIT, 200, '{"epoch":10}', { is: "committed", epoch: 10 }],
  [COMMIT, 409, "{}", { is: "conflict" }],
  [
    COMMIT,
    400,
    '{"error":"no such lease"}',
    { is: "refused", why: "no such lease" },
  ],
  [COMMIT, 400, '{"error":"too long"}', { is: "refused", why: "400" }],
  [COMMIT, 429, "{}", { is: "refused", why: "429" }],
  [COMMIT, 503, "{}", { is: "refused", why: "503" }],
  [COMMIT, 500, "{}", { is: "unknown", why: "500" }],
  [COMMIT, 200, "{}", { is: "unknown", why: "malformed answer" }],
  [NEW_LEASE, 200, '{"tenancy":77}', { is: "hold", hold: 77 }],
  [RENEW_LEASE, 200, "{}", { is: "touched" }],
  [RENEW_LEASE, 404, "{}", { is: "gone" }],
  [CHANGES, 410, "{}", { is: "gone" }],
  [
    CHANGES,
    200,
    '{"epoch":12,"log":[{"put":"lc/a","value":{"b":2},"stamp":11},{"delete":"lc/c","stamp":12}]}',
    {
      is: "changes",
      epoch: 12,
      changes: [
        { op: "put", key: "lc/a", value: { b: 2 }, version: 11 },
        { op: "delete", key: "lc/c", version: 12 },
      ],
    },
  ],
];

test("golden: replies of the state service", () => {
  for (const [call, status, body, reply] of REPLIES)
    assert.deepEqual(stateReply(call, status, JSON.parse(body)), reply);
});

test("golden: calls and replies that are sent through a peer", () => {
  expectJson(
    [GET, LIST, LIST_AFTER],
    '[{"op":"get","key":"lc/now/job/req-1"},{"op":"list","prefix":"lc/now/","after":""},{"op":"list","prefix":"lc/now/","after":"lc/now/job/req-1"}]',
  );
  expectJson(
    COMMIT,
    '{"op":"commit","conditions":[{"key":"lc/now/group/east","version":12},{"key":"lc/now/job/req-2","version":0}],"writes":[{"op":"put","key":"lc/now/job/req-2","value":{"a":1}},{"op":"put","key":"lc/now/group/east","value":[2],"hold":77},{"op":"delete","key":"lc/now/job/req-1"}]}',
  );
  expectJson(
    [NEW_LEASE, RENEW_LEASE, CHANGES],
    '[{"op":"newHold","ttlMs":12000},{"op":"touch","hold":77},{"op":"changes","prefix":"lc/","since":41,"waitMs":5000}]',
  );
  expectJson(
    REPLIES.map(([, , , reply]) => reply),
    '[{"is":"item","item":null},{"is":"item","item":{"key":"lc/a","value":{"b":1},"version":4}},{"is":"items","epoch":9,"more":true,"items":[{"key":"lc/a","value":7,"version":4}]},{"is":"committed","epoch":10},{"is":"conflict"},{"is":"refused","why":"no such lease"},{"is":"refused","why":"400"},{"is":"refused","why":"429"},{"is":"refused","why":"503"},{"is":"unknown","why":"500"},{"is":"unknown","why":"malformed answer"},{"is":"hold","hold":77},{"is":"touched"},{"is":"gone"},{"is":"gone"},{"is":"changes","epoch":12,"changes":[{"op":"put","key":"lc/a","value":{"b":2},"version":11},{"op":"delete","key":"lc/c","version":12}]}]',
  );
});

test("golden: bytes of the frames between controllers", () => {
  const hex = (frame: Buffer): string => frame.toString("hex");
  expectJson([FRAME_VERSION, MAX_FRAME_BYTES], "[1,1048576]");
  expectText(
    hex(encodeFrame(Frame.Ping, 0, Buffer.alloc(0))),
    "00000006010100000000",
  );
  expectText(
    hex(encodeFrame(Frame.Pong, 1, Buffer.from([1]))),
    "0000000701020000000101",
  );
  expectText(
    hex(encodeFrame(Frame.Heartbeat, 2, Buffer.from("{}"))),
    "000000080103000000027b7d",
  );
  expectText(
    hex(encodeFrame(Frame.StoreCall, 0xfffffffe, Buffer.from("[]"))),
    "000000080104fffffffe5b5d",
  );
  expectText(
    hex(encodeReply(3, 421, '{"a":"é"}')),
    "0000001201050000000301a57b2261223a22c3a9227d",
  );
  const stream = Buffer.from(
    "000000080104000000025b5d0000000e01050000000301a57b2261223a317d",
    "hex",
  );
  const frames = new FrameReader().push(stream.subarray(0, 12));
  assert.deepEqual(frames, [
    { type: Frame.StoreCall, id: 2, payload: Buffer.from("[]") },
  ]);
  assert.deepEqual(decodeReply(Buffer.from("01a57b7d", "hex")), {
    status: 421,
    body: "{}",
  });
});
