import assert from "node:assert/strict";
import { test } from "node:test";
import { DEFAULTS } from "../../src/config/operator.js";
import { parseSettings } from "../../src/config/settings.js";
import {
  CallPriority,
  type Effect,
  type Input,
} from "../../src/coordination/effects.js";
import { Daemon } from "../../src/daemon/daemon.js";
import {
  ConnectionTable,
  CONNECTION_KINDS,
  type ConnectionKind,
} from "../../src/transport/connection-table.js";
import { api, type RequestHandler } from "../../src/transport/http-server.js";
import { Rng } from "../simulation/rng.js";

/** Tests of the HTTP server and its connection table, and of the daemon between them and the core. */

const SETTINGS = parseSettings(
  `label = "solo"\narea = "east"\nclient_listen = "127.0.0.1:1"\nmesh_addr = "127.0.0.1:2"\n[outside]\ncloud = "127.0.0.1:3"\nstate = "127.0.0.1:4"\n[cluster]\nzones = ["east"]\n[cluster.workers]\nreport_s = 1.0\nlease_s = 10.0\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = 40.0\n[cluster.state]\nrps = 10.0\nwrite_rps = 10.0\nvalue_kb = 8.0\ntxn_ops = 12\n[cluster.cloud]\nrps = 5.0\nlist_lag_s = 1.0\n`,
  "test.toml",
);
const JOB = JSON.stringify({
  id: "req-000001",
  jobclass: "demo",
  crew: "red",
  shape: "batch",
  urgency: "normal",
  shards: 2,
  cores: 2,
  memoryGb: 4,
  bundle: "i",
  sizeGb: 1,
  reckonS: 5,
});

test("an error thrown by the core fails one request of any kind with 503, and the next request is served", async () => {
  process.env["LOG_LEVEL"] = "silent";
  const daemon = new Daemon(SETTINGS, { ...DEFAULTS });
  const app = api(daemon);
  const { core } = daemon as unknown as {
    core: { step: (...a: unknown[]) => unknown };
  };
  const step = core.step.bind(core);
  // A 4xx would make a user give up on a job that was accepted, or on a cancellation that was written.
  const requests: [string, string, string?][] = [
    ["POST", "/v1/jobs", JOB],
    ["GET", "/v1/jobs/req-000001"],
    ["POST", "/v1/jobs/req-000001/withdraw"],
    [
      "POST",
      "/hello",
      JSON.stringify({
        berth: "n-1",
        address: "127.0.0.1:1",
        hull: "m",
        yard: "east",
        watch: 1,
        tally: 1,
      }),
    ],
  ];
  for (const [i, [method, path, body]] of requests.entries()) {
    core.step = () => {
      throw new Error("defect");
    };
    const response = await app.request(path, { method, body: body ?? null });
    assert.deepEqual(
      [
        response.status,
        response.headers.get("retry-after"),
        (await response.text()).includes("defect"),
      ],
      [503, "1", false],
      path,
    );
    assert.equal((daemon as unknown as { faults: number }).faults, i + 1);
    core.step = step;
    assert.equal(
      (await app.request(path, { method, body: body ?? null })).status,
      path === "/hello" ? 421 : 503,
    );
  }
  assert.equal(
    (daemon as unknown as { pendingRequests: Map<number, unknown> })
      .pendingRequests.size,
    0,
  );
});

/** The parts of a daemon that the test below replaces or calls. */
interface DaemonParts {
  core: { step: (input: Input) => Effect[] };
  state: { call: () => Promise<never> };
  cloud: { call: () => Promise<never> };
  workers: { command: () => Promise<never>; inspect: () => Promise<never> };
  execute(effect: Effect): void;
  faults: number;
}

const FAILING_CALLS: readonly Effect[] = [
  {
    type: "storeCall",
    callId: 1,
    call: { op: "get", key: "a" },
    priority: CallPriority.Lease,
  },
  {
    type: "cloudCall",
    callId: 2,
    call: { op: "catalog" },
    priority: CallPriority.Lease,
  },
  {
    type: "workerCommand",
    callId: 3,
    address: "127.0.0.1:1",
    token: 1,
    incarnation: 1,
    commands: [],
  },
  { type: "inspect", callId: 4, address: "127.0.0.1:1" },
];

// Guards against a process that ends because nobody handles the rejection of a call, whatever its cause.
test("a call that fails with an error counts as one without an answer, and the controller goes on", async () => {
  process.env["LOG_LEVEL"] = "silent";
  const daemon = new Daemon(SETTINGS, {
    ...DEFAULTS,
  }) as unknown as DaemonParts;
  const fail = (): Promise<never> => Promise.reject(new Error("defect"));
  daemon.state.call = fail;
  daemon.cloud.call = () => {
    throw new Error("defect");
  };
  daemon.workers.command = fail;
  daemon.workers.inspect = fail;
  const replies: [callId: number, outcome: string | null][] = [];
  Object.assign(daemon.core, {
    maySend: () => true,
    step: (input: Input): Effect[] => {
      if (input.type === "storeReply") replies.push([1, input.reply.is]);
      if (input.type === "cloudReply") replies.push([2, input.reply.kind]);
      if (input.type === "commandReply") replies.push([3, input.reply.kind]);
      if (input.type === "inspectReply")
        replies.push([4, input.heartbeat?.worker ?? null]);
      return [];
    },
  });
  for (const effect of FAILING_CALLS) daemon.execute(effect);
  await new Promise((resolve) => setTimeout(resolve, 50));
  replies.sort(([a], [b]) => a - b);
  assert.deepEqual(replies, [
    [1, "unknown"],
    [2, "failed"],
    [3, "unknown"],
    [4, null],
  ]);
  assert.equal(daemon.faults, FAILING_CALLS.length);
});

test("the size of a body is limited, with a content-length and in chunks", async () => {
  const taskCounts: number[] = [];
  const app = api({
    ask: (input) => {
      const coreInput = input(1);
      taskCounts.push(coreInput.type === "submit" ? coreInput.spec.tasks : -1);
      return Promise.resolve({ kind: "retryLater", afterS: 1, reason: "test" });
    },
    ready: () => true,
    relay: () => Promise.resolve(null),
    noteMalformedHeartbeat: () => {},
    reportError: (e) => assert.fail(e),
  });
  const oversized = JSON.stringify({
    ...JSON.parse(JOB),
    pad: "x".repeat(70_000),
  });
  const chunks = (text: string): ReadableStream<Uint8Array> =>
    new ReadableStream({
      start: (c) => {
        for (let i = 0; i < text.length; i += 5_000)
          c.enqueue(Buffer.from(text.slice(i, i + 5_000)));
        c.close();
      },
    });
  const post = (body: BodyInit, length?: number): Promise<number> =>
    Promise.resolve(
      app.request("/v1/jobs", {
        method: "POST",
        body,
        duplex: "half",
        ...(length === undefined
          ? {}
          : { headers: { "content-length": String(length) } }),
      } as RequestInit),
    ).then((r) => r.status);
  assert.equal(await post(JOB, JOB.length), 503);
  assert.equal(await post(chunks(JOB)), 503);
  assert.deepEqual(taskCounts, [2, 2]);
  assert.equal(await post(oversized, oversized.length), 400);
  assert.equal(await post(chunks(oversized)), 400);
  assert.deepEqual(taskCounts, [2, 2]);
});

test("a heartbeat that is refused for its size is reported, with a content-length and in chunks", async () => {
  const errors: string[] = [];
  const app = api({
    ask: () => assert.fail("passed to the core"),
    ready: () => true,
    relay: () => Promise.resolve(null),
    noteMalformedHeartbeat: (error) => void errors.push(error),
    reportError: (e) => assert.fail(e),
  });
  const body = "x".repeat(70_000);
  for (const headers of [
    { "content-length": String(body.length) },
    { "transfer-encoding": "chunked" },
  ]) {
    const response = await app.request("/hello", {
      method: "POST",
      body,
      headers,
    });
    assert.equal(response.status, 400);
  }
  assert.deepEqual(errors, ["body: over 64 KiB", "body: over 64 KiB"]);
});

test("the number of connections is limited: the longest idle one of the kind furthest over its share is closed, and none in use", () => {
  const limit = 40;
  const timeoutMs = { fresh: 3_000, probe: 3_000, user: 60_000, worker: 8_000 };
  for (let seed = 1; seed <= 30; seed++) {
    const rng = new Rng(seed);
    const table = new ConnectionTable<number>(limit, timeoutMs);
    const model = new Map<
      number,
      { kind: ConnectionKind; busy: boolean; sinceMs: number }
    >();
    let nowMs = 0;
    let lastId = 0;
    for (let step = 0; step < 3_000; step++) {
      nowMs += rng.int(0, 120);
      const open = [...model];
      const busy = open.filter(([, c]) => c.busy);
      const action = rng.int(0, 9);
      if (action < 4) {
        const added = ++lastId;
        const idle = open.filter(([, c]) => !c.busy);
        const closed = table.add(added, nowMs);
        model.set(added, { kind: "fresh", busy: false, sinceMs: nowMs });
        if (closed === null) assert.ok(model.size <= limit);
        else {
          assert.equal(open.length, limit, "closed below the limit");
          if (closed === added) {
            assert.equal(idle.length, 0, "closed while another is idle");
          } else {
            const evicted = model.get(closed)!;
            assert.ok(
              !evicted.busy &&
                idle.every(
                  ([, other]) =>
                    other.kind !== evicted.kind ||
                    other.sinceMs >= evicted.sinceMs,
                ),
              "the longest idle one of its kind is closed",
            );
          }
          model.delete(closed);
        }
      } else if (action < 7 && open.length > 0) {
        const [id, connection] = rng.pick(open);
        if (!connection.busy) {
          connection.kind = rng.pick(CONNECTION_KINDS.slice(1));
          connection.busy = true;
          table.requestStarted(id, connection.kind);
        }
      } else if (action === 7 && busy.length > 0) {
        const [id, connection] = rng.pick(busy);
        connection.busy = false;
        connection.sinceMs = nowMs;
        table.requestEnded(id, nowMs);
      } else if (action === 8 && open.length > 0) {
        const [id] = rng.pick(open);
        model.delete(id);
        table.remove(id);
      } else {
        const expired = open
          .filter(([, c]) => !c.busy && nowMs - c.sinceMs > timeoutMs[c.kind])
          .map(([id]) => id);
        const byNumber = (a: number, b: number): number => a - b;
        assert.deepEqual(
          table.removeExpired(nowMs).sort(byNumber),
          expired.sort(byNumber),
        );
        for (const id of expired) model.delete(id);
      }
      assert.equal(table.size, model.size);
    }
    assert.ok(lastId > 500);
  }
  // Idle connections of workers do not keep users out, and those of users do not keep workers out.
  const table = new ConnectionTable<string>(10, timeoutMs);
  for (let i = 0; i < 10; i++) {
    table.add(`w${i}`, i);
    table.requestStarted(`w${i}`, "worker");
    table.requestEnded(`w${i}`, 100 + i);
  }
  for (let i = 0; i < 3; i++) {
    assert.equal(table.add(`u${i}`, 200), `w${i}`);
    table.requestStarted(`u${i}`, "user");
    table.requestEnded(`u${i}`, 300 + i);
  }
  assert.equal(table.add("x", 400), "u0", "users exceed their share more");
});

test("a client that disconnects in the middle of a body does not count as an internal error", async () => {
  const faults: Error[] = [];
  const core: RequestHandler = {
    ask: () => Promise.resolve({ kind: "unknownJob" }),
    ready: () => true,
    relay: () => Promise.resolve(null),
    noteMalformedHeartbeat: () => {},
    reportError: (e) => faults.push(e),
  };
  const app = api(core);
  const requestWithBodyError = (e: Error): Promise<Response> => {
    const body = new ReadableStream({ start: (c) => c.error(e) });
    return Promise.resolve(
      app.request("/v1/jobs", {
        method: "POST",
        body,
        headers: { "content-length": "100" },
        duplex: "half",
      } as RequestInit),
    );
  };
  // The error that Node reports for an aborted request.
  assert.equal(
    (
      await requestWithBodyError(
        Object.assign(new Error("aborted"), { code: "ECONNRESET" }),
      )
    ).status,
    503,
  );
  assert.deepEqual(faults, []);
  assert.equal((await requestWithBodyError(new Error("a defect"))).status, 503);
  assert.equal(faults.length, 1);
});
