import assert from "node:assert/strict";
import http from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import { after, test } from "node:test";
import { parseSettings, type Settings } from "../src/config/settings.js";
import type { Controller } from "../src/coordination/controller.js";
import type { Answer } from "../src/coordination/effects.js";
import type { Context } from "../src/coordination/context.js";
import { StoreCache } from "../src/coordination/store/store-cache.js";
import type { JobSpec, Heartbeat } from "../src/coordination/model.js";
import type { LogEvent } from "../src/logging/events.js";
import { RateLimitedLog } from "../src/logging/rate-limited-log.js";
import {
  maxRedirects,
  Redirects,
} from "../src/coordination/machines/redirects.js";
import { MachineRegistry } from "../src/coordination/machines/machine-registry.js";
import { ResourceLedger } from "../src/coordination/machines/resource-ledger.js";
import {
  freeOn,
  newWorker,
} from "../src/coordination/machines/worker-state.js";
import { fitCount, fits } from "../src/coordination/scheduling/placement.js";
import { JOB_ID, MAX_JOB_ID_DIGITS, MAX_TASKS } from "../src/protocol/jobs.js";
import {
  LONGEST_REPORTED_TASK,
  MAX_REQUEST_BYTES,
  MAX_TASKS_PER_MACHINE,
} from "../src/protocol/message-size.js";
import {
  EXIT_CAUSES,
  parseHeartbeat,
  TASK_STATES,
} from "../src/protocol/workers.js";
import { Frame } from "../src/protocol/frames.js";
import type { Write } from "../src/protocol/state.js";
import { bytesOf, readRegistry } from "../src/storage/records.js";
import { HttpClient } from "../src/transport/http-client.js";
import { maxInFlight, PeerMesh } from "../src/transport/peer-mesh.js";
import { WorkerClient } from "../src/transport/worker-client.js";
import { randomJob } from "./simulation/workloads.js";
import { World } from "./simulation/world.js";

/** The software's bounds allow for 4,000 machines in one partition or under one controller. */

const MACHINES = 4_000;
const workerIds = Array.from(
  { length: MACHINES },
  (_, i) => `n-${100_000 + i}`,
);

// ---- redirected workers ----------------------------------------------------------------------------------

function heartbeatFrom(worker: string, zone: string): Heartbeat {
  return {
    worker,
    address: "127.0.0.1:1",
    type: "small",
    zone,
    spot: false,
    incarnation: 1,
    sequence: 1,
    token: 0,
    noticeS: null,
    tasks: [],
  };
}

test("4,000 workers that come back after a redirect to their leader are all relayed to it", () => {
  const world = new World(7, undefined, [], 2);
  world.run(20_000);
  const core = world.nodes.get("node-a")!.core;
  const zone = world.zones.find(
    (z) =>
      core.cache.partitions.get(core.partitions.partitionOf(z))?.owner ===
      "node-b",
  );
  assert.ok(zone, "the other controller leads a partition");
  const answerKindFor = (worker: string): string | undefined => {
    let answer: Answer | undefined;
    world.ask(
      "node-a",
      (reqId) => ({
        type: "heartbeat",
        reqId,
        heartbeat: heartbeatFrom(worker, zone),
        relayed: false,
      }),
      (a) => (answer = a ?? undefined),
    );
    return answer?.kind;
  };
  for (const worker of workerIds)
    assert.equal(answerKindFor(worker), "redirect", `${worker}: first`);
  for (const worker of workerIds)
    assert.equal(answerKindFor(worker), "relay", `${worker}: back at once`);
});

test("a redirect is remembered for 12 s, under its token only; beyond the bound the oldest is forgotten", () => {
  const redirects = new Redirects(MACHINES);
  for (const worker of workerIds) redirects.note(worker, 5, 1_000);
  assert.equal(redirects.size, MACHINES);
  assert.ok(
    workerIds.every((worker) => redirects.wasJustRedirected(worker, 5, 12_999)),
  );
  assert.ok(
    !redirects.wasJustRedirected(workerIds[0]!, 6, 1_001),
    "another token",
  );
  assert.ok(
    !redirects.wasJustRedirected(workerIds[0]!, 5, 13_000),
    "too long ago",
  );
  redirects.note("one more", 5, 1_001);
  assert.equal(redirects.size, MACHINES);
  assert.ok(
    !redirects.wasJustRedirected(workerIds[0]!, 5, 1_002),
    "the oldest",
  );
  assert.ok(redirects.wasJustRedirected(workerIds[1]!, 5, 1_002));
  redirects.note("later", 5, 13_000);
  assert.equal(redirects.size, 2, "expired redirects are dropped");
  for (const memMb of [16, 146, 1_024])
    assert.ok(maxRedirects(memMb) >= 2 * MACHINES, `${memMb} MB`);
});

// ---- the log ---------------------------------------------------------------------------------------------

/** A rate-limited log, and the lines written to it. */
function recordedLog(maxSubjects?: number): {
  ctx: { nowMs: number };
  log: RateLimitedLog;
  lines: { msg: string; fields: Record<string, unknown> }[];
} {
  const lines: { msg: string; fields: Record<string, unknown> }[] = [];
  const ctx = {
    nowMs: 0,
    log: (msg: LogEvent, fields: object) =>
      void lines.push({ msg, fields: { ...fields } }),
  };
  return { ctx, log: new RateLimitedLog(ctx, maxSubjects), lines };
}

test("three kinds of warnings about 4,000 machines are each logged once a minute, with their number of occurrences", () => {
  const { ctx, log, lines } = recordedLog();
  const events = [
    "inconsistent store response",
    "unreadable record",
    "malformed heartbeat",
  ] as const;
  const warnAll = (): void => {
    for (const event of events)
      for (const name of workerIds) log.warn(event, name, {});
  };
  const all = MACHINES * events.length;
  for (let second = 0; second < 60; second += 10) {
    ctx.nowMs = second * 1_000;
    warnAll();
    assert.equal(lines.length, all, `after ${second} s`);
  }
  ctx.nowMs = 60_000;
  warnAll();
  assert.equal(lines.length, 2 * all);
  assert.ok(lines.slice(all).every((l) => l.fields["occurrences"] === 6));
});

test("more subjects than a log remembers don't flood it: one line a minute counts the omitted ones", () => {
  const { ctx, log, lines } = recordedLog(100);
  for (let second = 0; second < 60; second++) {
    ctx.nowMs = second * 1_000;
    for (const name of workerIds) log.warn("unreadable record", name, {});
  }
  const omittedLines = lines.filter(
    (l) => l.msg === "too many warning subjects",
  );
  assert.equal(lines.length, 101);
  assert.equal(omittedLines.length, 1);
  ctx.nowMs = 60_000;
  log.warn("unreadable record", "another", {});
  assert.equal(
    lines.at(-1)!.fields["subject"],
    "another",
    "a subject logged a minute ago is replaced",
  );
});

// ---- tasks of a machine ----------------------------------------------------------------------------------

test("a heartbeat with as many tasks as a machine may hold, all names and numbers of the largest size, is within 64 KiB and is accepted", () => {
  const name = "\u0001".repeat(200);
  const tasks = Array.from({ length: MAX_TASKS_PER_MACHINE }, () => ({
    ...LONGEST_REPORTED_TASK,
  }));
  const heartbeat = JSON.stringify({
    berth: name,
    address: "255.255.255.255:65535",
    hull: name,
    yard: name,
    loaners: false,
    watch: 2 ** 64,
    tally: 2 ** 64,
    baton: 2 ** 64,
    recallS: Number.MIN_VALUE,
    shards: tasks,
  });
  const spaces = (heartbeat.match(/[:,]/g) ?? []).length;
  assert.ok(Buffer.byteLength(heartbeat) + spaces <= MAX_REQUEST_BYTES);
  assert.equal(parseHeartbeat(heartbeat).ok, true);
});

test("no task that a worker can report takes more of a heartbeat than the longest entry", () => {
  const longest = JSON.stringify(LONGEST_REPORTED_TASK).length;
  const index = MAX_TASKS - 1;
  for (const status of TASK_STATES)
    for (const cause of [...EXIT_CAUSES, null])
      for (const kept of [true, false, null]) {
        const shard = `req-${"9".repeat(MAX_JOB_ID_DIGITS)}/${index}`;
        const entry = { shard, try: 2 ** 64, status, cause, kept };
        assert.ok(JSON.stringify(entry).length <= longest, status);
      }
  assert.ok(!JOB_ID.test(`req-${"9".repeat(MAX_JOB_ID_DIGITS + 1)}`));
});

test("exited tasks take places on their machine until it forgets them, tasks of any size one each", () => {
  const type = new World(11).types[0]!;
  const worker = newWorker(
    { ...heartbeatFrom("n-1", "east"), type: type.name },
    { type, isProven: true, isReturning: false, token: 1, nowMs: 0 },
  );
  const ledger = new ResourceLedger();
  const need = { cpus: 0, gpus: 0, memGb: 0 };
  const freePlaces = (): number => fitCount(need, freeOn(worker));
  assert.equal(freePlaces(), MAX_TASKS_PER_MACHINE);
  const exited = Array.from({ length: MAX_TASKS_PER_MACHINE }, (_, index) => ({
    job: "req-000001",
    index,
    attempt: 1,
    cause: "done" as const,
  }));
  ledger.setExited(worker, exited.slice(1));
  assert.equal(freePlaces(), 1);
  ledger.setExited(worker, exited);
  assert.equal(freePlaces(), 0);
  assert.ok(!fits(need, freeOn(worker)));
  ledger.setExited(worker, []);
  assert.equal(freePlaces(), MAX_TASKS_PER_MACHINE);
});

// ---- connections between controllers ---------------------------------------------------------------------

const PLATFORM_FILE = (
  label: string,
  port: number,
  peer: { label: string; port: number },
  maxSockets: number,
): string => `label = "${label}"
area = "${label}"
client_listen = "127.0.0.1:1"
mesh_addr = "127.0.0.1:${port}"
[[peers]]
label = "${peer.label}"
area = "${peer.label}"
address = "127.0.0.1:${peer.port}"
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
zones = ["east", "west"]
[cluster.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = 40.0
[cluster.state]
rps = 10.0
write_rps = 10.0
value_kb = 8.0
txn_ops = 12
[cluster.cloud]
rps = 5.0
list_lag_s = 1.0
[cluster.resources]
max_sockets = ${maxSockets}
`;

async function freePort(): Promise<number> {
  const server = http.createServer();
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as AddressInfo;
  await new Promise((done) => server.close(done));
  return port;
}

/** Connects two controllers and returns the first one's mesh; `serve` handles the requests that the second receives. */
async function twoMeshes(
  senderSockets: number,
  receiverSockets: number,
  serve: () => Promise<{ status: number; body: string }>,
  reportError: (error: Error) => void = () => {},
): Promise<PeerMesh> {
  const [eastPort, westPort] = [await freePort(), await freePort()];
  const east = { label: "east", port: eastPort };
  const west = { label: "west", port: westPort };
  const settingsFor = (
    own: typeof east,
    peer: typeof east,
    maxSockets: number,
  ): Settings =>
    parseSettings(
      PLATFORM_FILE(own.label, own.port, peer, maxSockets),
      "test.toml",
    );
  const never = (): Promise<never> => new Promise(() => {});
  const sender = new PeerMesh(settingsFor(east, west, senderSockets), {
    serve: never,
    storeReachable: () => true,
    reportError: () => {},
  });
  const receiver = new PeerMesh(settingsFor(west, east, receiverSockets), {
    serve,
    storeReachable: () => true,
    reportError,
  });
  await receiver.listen();
  await sender.listen();
  after(() => {
    sender.close();
    receiver.close();
  });
  while (sender.reachablePeers().length === 0)
    await new Promise((r) => setTimeout(r, 20));
  return sender;
}
const HEARTBEAT_BODY = JSON.stringify({ padding: "x".repeat(1_000) });
const CALL_TIMEOUT_MS = 20_000;

// Guards against a controller that ends because its core throws on a heartbeat that a peer relays.
test("a peer's request that fails with an error is answered with 500, reported, and the next one is served", async () => {
  const errors: string[] = [];
  let requests = 0;
  const mesh = await twoMeshes(
    100,
    100,
    () =>
      ++requests === 1
        ? Promise.reject(new Error("defect"))
        : Promise.resolve({ status: 200, body: "" }),
    (error) => errors.push(error.message),
  );
  const statuses: (number | undefined)[] = [];
  for (let n = 0; n < 2; n++)
    statuses.push(
      (await mesh.call("west", Frame.Heartbeat, HEARTBEAT_BODY, 2_000))?.status,
    );
  assert.deepEqual(statuses, [500, 200]);
  assert.deepEqual(errors, ["defect"]);
});

test("4,000 heartbeats in flight at once between two controllers are all answered", async () => {
  const sockets = 6_500;
  assert.ok(maxInFlight(sockets) >= MACHINES);
  assert.equal(maxInFlight(64), 200, "at least 200");
  const pendingReplies: (() => void)[] = [];
  const sender = await twoMeshes(sockets, sockets, () => {
    const answered = new Promise<{ status: number; body: string }>((resolve) =>
      pendingReplies.push(() => resolve({ status: 200, body: "{}" })),
    );
    if (pendingReplies.length === MACHINES)
      for (const answer of pendingReplies) answer();
    return answered;
  });
  const answers = await Promise.all(
    workerIds.map(() =>
      sender.call("west", Frame.Heartbeat, HEARTBEAT_BODY, CALL_TIMEOUT_MS),
    ),
  );
  assert.equal(pendingReplies.length, MACHINES, "all at once");
  assert.equal(answers.filter((a) => a?.status === 200).length, MACHINES);
});

test("a controller refuses requests beyond the number that it accepts at once, and answers the others", async () => {
  const maxRequests = maxInFlight(16);
  const pendingReplies: (() => void)[] = [];
  const sender = await twoMeshes(
    1_000,
    16,
    () =>
      new Promise((resolve) =>
        pendingReplies.push(() => resolve({ status: 200, body: "{}" })),
      ),
  );
  const excess = 50;
  let refused = 0;
  const answers = await Promise.all(
    Array.from({ length: maxRequests + excess }, async () => {
      const answer = await sender.call(
        "west",
        Frame.Heartbeat,
        HEARTBEAT_BODY,
        CALL_TIMEOUT_MS,
      );
      if (answer?.status === 503 && ++refused === excess)
        for (const reply of pendingReplies) reply();
      return answer;
    }),
  );
  assert.equal(answers.filter((a) => a?.status === 200).length, maxRequests);
  assert.equal(refused, excess);
});

// ---- connections to workers ------------------------------------------------------------------------------

/** The fields of a worker's status that are read from the answer to a command. */
const WORKER_STATUS = JSON.stringify({ watch: 1, tally: 1, shards: [] });

/** Starts servers that, like workers, keep idle connections open and answer with their status; returns their addresses. */
async function startServers(count: number): Promise<string[]> {
  return Promise.all(
    Array.from({ length: count }, async () => {
      const server = http.createServer((_, response) =>
        response.end(WORKER_STATUS),
      );
      server.keepAliveTimeout = 60_000;
      await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
      after(() => {
        server.closeAllConnections();
        server.close();
      });
      return `127.0.0.1:${(server.address() as AddressInfo).port}`;
    }),
  );
}

test("more workers than connections get their commands, both one after the other and all at once", async () => {
  const addresses = await startServers(300);
  const workers = new WorkerClient(256);
  const command = async (address: string): Promise<string> =>
    (await workers.command(address, 1, 1, [])).kind;
  const startMs = performance.now();
  for (const address of addresses)
    assert.equal(await command(address), "answered", address);
  assert.deepEqual(
    new Set(await Promise.all(addresses.map(command))),
    new Set(["answered"]),
  );
  assert.ok(performance.now() - startMs < 30_000);
});

test("a client reuses idle connections and keeps no more of them than its limit", async () => {
  const [first, ...others] = await startServers(20);
  const client = new HttpClient(16, 8);
  const get = async (address: string): Promise<string> => {
    const [host, port] = address.split(":");
    return (await client.fetch(host!, Number(port), "GET", "/", undefined, 3e3))
      .kind;
  };
  const { agent } = client as unknown as {
    agent: http.Agent & { totalSocketCount: number };
  };
  assert.equal(await get(first!), "answered");
  const idleSocket = (): Duplex => Object.values(agent.freeSockets)[0]![0]!;
  await new Promise((r) => setImmediate(r));
  const socket = idleSocket();
  const listeners = socket.listenerCount("close");
  for (let i = 0; i < 50; i++) assert.equal(await get(first!), "answered");
  await new Promise((r) => setImmediate(r));
  assert.equal(agent.totalSocketCount, 1);
  assert.equal(idleSocket(), socket, "one connection for all requests");
  assert.equal(socket.listenerCount("close"), listeners);
  for (const address of others) assert.equal(await get(address), "answered");
  await new Promise((r) => setTimeout(r, 50));
  assert.ok(agent.totalSocketCount <= 8, `${agent.totalSocketCount}`);
  client.close();
});

// ---- data kept about jobs --------------------------------------------------------------------------------

const controllerOf = (world: World): Controller =>
  world.nodes.get("node-a")!.core;

test("the latest 1,000 assignments of tasks to a partition are kept", () => {
  const world = new World(3, undefined, [], 1);
  world.run(5_000);
  const core = controllerOf(world);
  const spec = randomJob(world, 1);
  for (let tasks = 1; tasks <= 3 * MACHINES; tasks++) {
    core.notePendingAssignment("node-b", spec, tasks);
    const assignments = core.pendingAssignments.get("node-b")!;
    assert.equal(assignments.length, Math.min(tasks, 1_000));
    assert.equal(assignments.at(-1)!.tasks, tasks);
    assert.equal(assignments[0]!.tasks, Math.max(1, tasks - 999));
  }
});

test("the latest job of a class that an objective names is kept, however many other classes there were before", () => {
  const world = new World(3, undefined, [], 1);
  world.settings.objectives.push({ kind: "wait", class: "named", withinS: 1 });
  world.run(8_000);
  const leader = controllerOf(world).leaders.values().next().value!;
  const { autoscaler } = leader as unknown as {
    autoscaler: {
      noteJob(spec: JobSpec): void;
      warmCapacity: { classNeeds: Map<string, JobSpec> };
    };
  };
  const spec = randomJob(world, 1);
  for (const name of workerIds) autoscaler.noteJob({ ...spec, jobClass: name });
  autoscaler.noteJob({ ...spec, jobClass: "named", cpus: 1 });
  autoscaler.noteJob({ ...spec, jobClass: "named", cpus: 2 });
  const { classNeeds } = autoscaler.warmCapacity;
  assert.deepEqual([...classNeeds.keys()], ["named"]);
  assert.equal(classNeeds.get("named")!.cpus, 2, "the latest job");
});

// ---- the machine registry --------------------------------------------------------------------------------

test("a registry of 4,000 machines is written in records within the size limit, each machine in one of them", () => {
  const valueBytes = 2_048;
  const txnOps = 4;
  const records = new Map<string, object>();
  let largestWriteBytes = 0;
  const commit = (writes: readonly Write[]): void => {
    assert.ok(writes.length <= txnOps);
    for (const write of writes) {
      assert.ok(write.op === "put");
      const value = write.value as object;
      largestWriteBytes = Math.max(largestWriteBytes, bytesOf(value));
      records.set(write.key, value);
    }
  };
  const ctx = {
    nowMs: 0,
    cache: new StoreCache(),
    settings: { state: { valueBytes, txnOps } },
    log: () => {},
  } as unknown as Context;
  const registry = new MachineRegistry(
    ctx,
    "east",
    (_, writes, done) => {
      commit(writes);
      done("ok");
    },
    () => {},
  );
  for (const name of workerIds)
    registry.set(name, { isReturning: false, type: "small" });
  for (const name of workerIds) assert.ok(registry.has(name), name);
  assert.ok(largestWriteBytes <= valueBytes, `${largestWriteBytes} bytes`);
  const storedIds = [...records.values()].flatMap((value) => [
    ...readRegistry(value)!.machines.keys(),
  ]);
  assert.deepEqual(storedIds.sort(), [...workerIds].sort());
});
