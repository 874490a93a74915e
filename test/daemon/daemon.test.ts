import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import http from "node:http";
import net, { type AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { freePort } from "../transport/free-port.js";

/** Runs the real program on the loopback interface, with fakes for the state service, the cloud and one worker. */

type Handler = (
  method: string,
  path: string,
  query: URLSearchParams,
  body: Record<string, unknown>,
) => Promise<[number, unknown]> | [number, unknown];

function serve(handler: Handler): Promise<http.Server> {
  const server = http.createServer((req, res) => {
    let text = "";
    req.on("data", (d: Buffer) => (text += d.toString()));
    const answer = async (): Promise<void> => {
      const url = new URL(req.url!, "http://x");
      const [status, body] = await handler(
        req.method!,
        url.pathname,
        url.searchParams,
        text ? (JSON.parse(text) as Record<string, unknown>) : {},
      );
      res
        .writeHead(status, { "content-type": "application/json" })
        .end(JSON.stringify(body));
    };
    req.on("end", () => void answer());
  });
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve(server)),
  );
}
const portOf = (s: net.Server | http.Server): number =>
  (s.address() as AddressInfo).port;

interface LoggedWrite {
  put?: string;
  delete?: string;
  value?: unknown;
  stamp: number;
}
function fakeStateService(): Handler {
  const data = new Map<string, { value: unknown; stamp: number }>();
  const log: LoggedWrite[] = [];
  let epoch = 0;
  let wakeWaiting: (() => void)[] = [];
  return async (method, path, query, body) => {
    if (path === "/holds") return [200, { tenancy: 1 }];
    if (path.endsWith("/touch")) return [200, { tenancy: 1 }];
    if (path === "/commit") {
      const conditions = body["if"] as { k: string; stamp: number }[];
      const failed = conditions
        .filter((c) => (data.get(c.k)?.stamp ?? 0) !== c.stamp)
        .map((c) => c.k);
      if (failed.length > 0) return [409, { failed, epoch }];
      epoch++;
      for (const write of body["writes"] as {
        put?: string;
        delete?: string;
        value?: unknown;
      }[]) {
        if (write.put !== undefined)
          data.set(write.put, { value: write.value, stamp: epoch });
        if (write.delete !== undefined) data.delete(write.delete);
        log.push({ ...write, stamp: epoch });
      }
      for (const wake of wakeWaiting) wake();
      wakeWaiting = [];
      return [200, { epoch }];
    }
    const under = query.get("under") ?? "";
    if (path === "/changes") {
      const since = Number(query.get("since"));
      const newWrites = (): LoggedWrite[] =>
        log.filter(
          (l) => l.stamp > since && (l.put ?? l.delete)!.startsWith(under),
        );
      if (newWrites().length === 0 && Number(query.get("holdMs")) > 0)
        await new Promise<void>((r) => {
          wakeWaiting.push(r);
          setTimeout(r, Number(query.get("holdMs"))).unref();
        });
      return [200, { epoch, log: newWrites() }];
    }
    if (path === "/keys")
      return [
        200,
        {
          items: [...data]
            .filter(([k]) => k.startsWith(under))
            .sort(([a], [b]) => (a < b ? -1 : 1))
            .map(([k, d]) => ({ k, ...d })),
          truncated: false,
          epoch,
        },
      ];
    const key = path.slice("/keys/".length);
    const d = data.get(key);
    return method === "GET" && d ? [200, { k: key, ...d }] : [404, { epoch }];
  };
}

let stateServer: http.Server;
let cloudServer: http.Server;
let child: ChildProcess;
let clientPort = 0;
let meshPort = 0;
let configFile = "";

async function call(
  method: string,
  path: string,
  body?: string,
): Promise<{
  status: number;
  body: Record<string, unknown>;
  headers: Headers;
}> {
  const r = await fetch(`http://127.0.0.1:${clientPort}${path}`, {
    method,
    body: body ?? null,
  });
  return {
    status: r.status,
    body: (await r.json()) as Record<string, unknown>,
    headers: r.headers,
  };
}
async function until<T>(
  what: string,
  attempt: () => Promise<T | null>,
): Promise<T> {
  for (let i = 0; i < 4_800; i++) {
    const result = await attempt().catch(() => null);
    if (result !== null) return result;
    await new Promise((r) => setTimeout(r, 25));
  }
  return assert.fail(`timeout: ${what}`);
}
function start(): void {
  child = spawn(process.execPath, ["target/main.js", "--config", configFile], {
    stdio: ["ignore", "ignore", "inherit"],
    env: { ...process.env, LOG_LEVEL: "error" },
  });
}
function run(
  args: string[],
  input = "",
): Promise<{ code: number | null; out: string; err: string }> {
  return new Promise((resolve) => {
    const p = spawn(process.execPath, ["target/main.js", ...args]);
    let out = "";
    let err = "";
    p.stdout.on("data", (d: Buffer) => (out += d.toString()));
    p.stderr.on("data", (d: Buffer) => (err += d.toString()));
    p.on("close", (code) => resolve({ code, out, err }));
    p.stdin.end(input);
  });
}

before(async () => {
  stateServer = await serve(fakeStateService());
  cloudServer = await serve((method, path) => {
    if (path === "/catalog")
      return [
        200,
        {
          hulls: [
            {
              name: "m",
              cores: 8,
              accelerators: 0,
              memoryGb: 32,
              localGb: 50,
              pullGbPerS: 1,
              price: 1,
              marketPrice: 0.5,
              startupS: 5,
              yards: ["east"],
            },
          ],
        },
      ];
    if (method === "GET") return [200, { berths: [], truncated: false }];
    return path === "/hosts" ? [503, { error: "no capacity" }] : [200, {}];
  });
  clientPort = await freePort();
  meshPort = await freePort();
  configFile = join(mkdtempSync(join(tmpdir(), "linencove-")), "node.toml");
  writeFileSync(
    configFile,
    `label = "solo"\narea = "east"\nclient_listen = "127.0.0.1:${clientPort}"\nmesh_addr = "127.0.0.1:${meshPort}"\n[outside]\ncloud = "127.0.0.1:${portOf(cloudServer)}"\nstate = "127.0.0.1:${portOf(stateServer)}"\n[cluster]\nzones = ["east"]\n[[cluster.teams]]\nname = "red"\ncpus_max = 16.0\n[cluster.workers]\nreport_s = 1.0\nlease_s = 10.0\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = 40.0\n[cluster.state]\nrps = 1000.0\nwrite_rps = 1000.0\nvalue_kb = 8.0\ntxn_ops = 12\n[cluster.cloud]\nrps = 50.0\nlist_lag_s = 1.0\n`,
  );
  start();
});
after(() => {
  child.kill("SIGKILL");
  stateServer.close();
  cloudServer.close();
  stateServer.closeAllConnections();
  cloudServer.closeAllConnections();
});

const JOB = {
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
};

/** Sends a heartbeat of the fake worker and returns the answer with its commands. */
async function sendHeartbeat(
  sequence: number,
  baton: number,
  shards: object[],
): Promise<{
  baton: number;
  orders: { verb: string; shard: string; try: number }[];
}> {
  const body = JSON.stringify({
    berth: "n-000001",
    address: "127.0.0.1:1",
    hull: "m",
    yard: "east",
    loaners: false,
    watch: 1,
    tally: sequence,
    baton,
    recallS: null,
    shards,
  });
  const r = await call("POST", "/hello", body);
  assert.equal(r.status, 200, JSON.stringify(r.body));
  return r.body as never;
}

test("a job is submitted and completes, and is still done after the controller is killed and restarted", async () => {
  await until("ready", async () =>
    (await call("GET", "/ready")).status === 200 ? true : null,
  );
  const accepted = await until("accepted", async () => {
    const r = await call("POST", "/v1/jobs", JSON.stringify(JOB));
    if (r.status === 503) assert.ok(r.headers.get("retry-after"));
    return r.status === 503 ? null : r;
  });
  assert.deepEqual(
    [accepted.status, accepted.body],
    [201, { id: "req-000001", status: "queued" }],
  );
  assert.equal(
    (await call("POST", "/v1/jobs", JSON.stringify(JOB))).status,
    200,
  );
  let sequence = 0;
  let baton = 0;
  const workerTasks = new Map<
    string,
    { shard: string; try: number; status: string; cause?: string }
  >();
  await until("both tasks started and cleared", async () => {
    const answer = await sendHeartbeat(++sequence, baton, [
      ...workerTasks.values(),
    ]);
    baton = answer.baton;
    for (const order of answer.orders) {
      if (order.verb === "start")
        workerTasks.set(order.shard, {
          shard: order.shard,
          try: order.try,
          status: "exited",
          cause: "done",
        });
      else if (order.verb === "clear") workerTasks.delete(order.shard);
    }
    const job = await call("GET", "/v1/jobs/req-000001");
    return job.body["status"] === "done" ? job.body : null;
  });
  const exited = new Promise((r) => child.once("exit", r));
  child.kill("SIGKILL");
  await exited;
  start();
  const afterRestart = await until("an answer after the restart", async () => {
    const r = await call("GET", "/v1/jobs/req-000001");
    return r.status === 200 ? r.body : null;
  });
  assert.deepEqual([afterRestart["status"], afterRestart["done"]], ["done", 2]);
  assert.equal(
    (await call("POST", "/v1/jobs/req-000001/withdraw")).body["status"],
    "done",
  );
});

test("invalid input gets the documented status codes, and the controller keeps running", async () => {
  await until("ready", async () =>
    (await call("GET", "/ready")).status === 200 ? true : null,
  );
  const status = async (
    method: string,
    path: string,
    body?: string,
  ): Promise<number> => (await call(method, path, body)).status;
  assert.equal(await status("POST", "/v1/jobs", "{"), 400);
  assert.equal(await status("POST", "/v1/jobs", "[]"), 400);
  assert.equal(
    await status("POST", "/v1/jobs", JSON.stringify({ ...JOB, id: "job-1" })),
    400,
  );
  assert.equal(
    await status(
      "POST",
      "/v1/jobs",
      JSON.stringify({ ...JOB, pad: "x".repeat(70_000) }),
    ),
    400,
  );
  const rejectionStatus = async (over: object): Promise<number> =>
    until("decided", async () =>
      status(
        "POST",
        "/v1/jobs",
        JSON.stringify({ ...JOB, id: "req-000002", ...over }),
      ).then((s) => (s === 503 ? null : s)),
    );
  assert.equal(await rejectionStatus({ crew: "nobody" }), 422);
  assert.equal(await rejectionStatus({ cores: 9 }), 422);
  assert.equal(await rejectionStatus({ shape: "daemon", shards: 9 }), 422);
  assert.equal(await rejectionStatus({ yard: "mars" }), 422);
  assert.equal(await status("GET", "/v1/jobs/req-999"), 404);
  assert.equal(await status("POST", "/v1/jobs/req-999/withdraw"), 404);
  assert.equal(await status("GET", "/nowhere"), 404);
  assert.equal(await status("DELETE", "/v1/jobs"), 405);
  assert.equal(await status("GET", "/hello"), 405);
  assert.equal(await status("POST", "/hello", '{"berth":3}'), 400);
  const closed = new Promise<void>((resolve, reject) => {
    const s = net.connect(meshPort, "127.0.0.1", () =>
      s.write("GET / HTTP/1.1\r\n\r\n"),
    );
    s.on("close", () => resolve());
    s.on("error", reject);
  });
  await closed;
  assert.equal(await status("GET", "/ready"), 200);
});

test("the subcommands print results, print errors on one line and set the exit code", async () => {
  const server = ["--server", `127.0.0.1:${clientPort}`];
  const submitted = await until("accepted", async () => {
    const r = await run(
      ["submit", ...server, "-"],
      JSON.stringify({ ...JOB, id: "req-000003" }),
    );
    return r.code === 0 ? r : null;
  });
  assert.equal(submitted.out, "req-000003: queued\n");
  assert.equal(
    (
      JSON.parse(
        (await run(["withdraw", ...server, "req-000003", "--json"])).out,
      ) as { status: unknown }
    ).status,
    "cancelled",
  );
  assert.match(
    (await run(["show", ...server, "req-000003"])).out,
    /^req-000003: cancelled/,
  );
  // Of two jobs, the second depends on the first: it waits, `show` reports that, and it is cancelled with the first.
  const submit = (
    id: string,
    awaits: string[],
  ): Promise<{ code: number | null; out: string; err: string }> =>
    run(["submit", ...server, "-"], JSON.stringify({ ...JOB, id, awaits }));
  assert.equal((await submit("req-000004", [])).out, "req-000004: queued\n");
  assert.equal(
    (await submit("req-000005", ["req-000004"])).out,
    "req-000005: queued\n",
  );
  assert.match(
    (await run(["show", ...server, "req-000005"])).out,
    /^req-000005: queued, 0 done, 0 running, waits for req-000004\n$/,
  );
  const missingDependency = await submit("req-000006", ["req-000099"]);
  assert.deepEqual(
    [missingDependency.code, missingDependency.err],
    [1, "linencove: 422: awaits: req-000099 was never accepted\n"],
  );
  const invalidDependency = await submit("req-000006", ["4"]);
  assert.deepEqual(
    [invalidDependency.code, invalidDependency.err],
    [1, "linencove: -: awaits.0: must look like req-000412\n"],
  );
  assert.equal((await run(["withdraw", ...server, "req-000004"])).code, 0);
  assert.match(
    (await run(["show", ...server, "req-000005"])).out,
    /^req-000005: cancelled/,
  );
  const cases: [string[], number, RegExp][] = [
    [["show", ...server, "req-77"], 1, /^linencove: 404: no such job\n$/],
    [
      ["show", "--server", "127.0.0.1:1", "req-77"],
      1,
      /^linencove: 127\.0\.0\.1:1: .*ECONNREFUSED/,
    ],
    [["show", ...server, "77"], 2, /must look like req-000412/],
    [
      ["submit", ...server, "/nonexistent.json"],
      1,
      /^linencove: \/nonexistent\.json: no such file\n$/,
    ],
    [["frob"], 2, /^linencove: /],
    [["check", configFile], 0, /^$/],
  ];
  for (const [args, code, err] of cases) {
    const r = await run(args);
    assert.equal(r.code, code, `${args.join(" ")}: ${r.err}`);
    assert.match(r.err, err);
    assert.ok(r.err.split("\n").length <= 2, r.err);
  }
});
