import assert from "node:assert/strict";
import { test } from "node:test";
import { DEFAULTS } from "../../src/config/operator.js";
import { parseSettings } from "../../src/config/settings.js";
import { Daemon } from "../../src/daemon/daemon.js";
import {
  ConnectionTable,
  CONNECTION_KINDS,
  type ConnectionKind,
} from "../../src/transport/connection-table.js";
import { api, type RequestHandler } from "../../src/transport/http-server.js";
import { Rng } from "../simulation/rng.js";

/** What stands between the sockets and the core. */

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

test("a fault of the core ends one request with 503, whatever it was, and the next is served", async () => {
  process.env["LOG_LEVEL"] = "silent";
  const daemon = new Daemon(SETTINGS, { ...DEFAULTS });
  const app = api(daemon);
  const { core } = daemon as unknown as {
    core: { step: (...a: unknown[]) => unknown };
  };
  const step = core.step.bind(core);
  // A user whose job was accepted, or whose cancellation was written, must not be told that it never can be.
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
  for (const [k, [method, path, body]] of requests.entries()) {
    core.step = () => {
      throw new Error("defect");
    };
    const r = await app.request(path, { method, body: body ?? null });
    assert.deepEqual(
      [
        r.status,
        r.headers.get("retry-after"),
        (await r.text()).includes("defect"),
      ],
      [503, "1", false],
      path,
    );
    assert.equal((daemon as unknown as { faults: number }).faults, k + 1);
    core.step = step;
    assert.equal(
      (await app.request(path, { method, body: body ?? null })).status,
      path === "/hello" ? 421 : 503,
    );
  }
  assert.equal(
    (daemon as unknown as { pending: Map<number, unknown> }).pending.size,
    0,
  );
});

test("bodies are bounded, of stated length and in chunks", async () => {
  const got: number[] = [];
  const app = api({
    ask: (input) => {
      const i = input(1);
      got.push(i.type === "submit" ? i.spec.tasks : -1);
      return Promise.resolve({ kind: "retryLater", afterS: 1, reason: "test" });
    },
    ready: () => true,
    relay: () => Promise.resolve(null),
    malformed: () => {},
    fault: (e) => assert.fail(e),
  });
  const long = JSON.stringify({ ...JSON.parse(JOB), pad: "x".repeat(70_000) });
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
  assert.deepEqual(got, [2, 2]);
  assert.equal(await post(long, long.length), 400);
  assert.equal(await post(chunks(long)), 400);
  assert.deepEqual(got, [2, 2]);
});

test("connections: bounded, the oldest idle of the kind furthest over its share goes first, none in use", () => {
  const most = 40;
  const silentMs = { fresh: 3_000, probe: 3_000, user: 60_000, worker: 8_000 };
  for (let seed = 1; seed <= 30; seed++) {
    const rng = new Rng(seed);
    const table = new ConnectionTable<number>(most, silentMs);
    const model = new Map<
      number,
      { kind: ConnectionKind; busy: boolean; sinceMs: number }
    >();
    let now = 0;
    let ids = 0;
    for (let k = 0; k < 3_000; k++) {
      now += rng.int(0, 120);
      const open = [...model];
      const busy = open.filter(([, c]) => c.busy);
      const what = rng.int(0, 9);
      if (what < 4) {
        const s = ++ids;
        const idle = open.filter(([, c]) => !c.busy);
        const out = table.opened(s, now);
        model.set(s, { kind: "fresh", busy: false, sinceMs: now });
        if (out === null) assert.ok(model.size <= most);
        else {
          assert.equal(
            open.length,
            most,
            "nothing is closed while there is room",
          );
          if (out === s) {
            assert.equal(idle.length, 0, "refused while another is idle");
          } else {
            const c = model.get(out)!;
            assert.ok(
              !c.busy &&
                idle.every(
                  ([, o]) => o.kind !== c.kind || o.sinceMs >= c.sinceMs,
                ),
              "the oldest idle of its kind",
            );
          }
          model.delete(out);
        }
      } else if (what < 7 && open.length > 0) {
        const [s, c] = rng.pick(open);
        if (!c.busy) {
          c.kind = rng.pick(CONNECTION_KINDS.slice(1));
          c.busy = true;
          table.asked(s, c.kind);
        }
      } else if (what === 7 && busy.length > 0) {
        const [s, c] = rng.pick(busy);
        c.busy = false;
        c.sinceMs = now;
        table.answered(s, now);
      } else if (what === 8 && open.length > 0) {
        const [s] = rng.pick(open);
        model.delete(s);
        table.closed(s);
      } else {
        const due = open
          .filter(([, c]) => !c.busy && now - c.sinceMs > silentMs[c.kind])
          .map(([s]) => s);
        const byNumber = (a: number, b: number): number => a - b;
        assert.deepEqual(table.silent(now).sort(byNumber), due.sort(byNumber));
        for (const s of due) model.delete(s);
      }
      assert.equal(table.size, model.size);
    }
    assert.ok(ids > 500);
  }
  // Workers that nobody hears of any more don't keep a user out, nor do users a worker.
  const table = new ConnectionTable<string>(10, silentMs);
  for (let i = 0; i < 10; i++) {
    table.opened(`w${i}`, i);
    table.asked(`w${i}`, "worker");
    table.answered(`w${i}`, 100 + i);
  }
  for (let i = 0; i < 3; i++) {
    assert.equal(table.opened(`u${i}`, 200), `w${i}`);
    table.asked(`u${i}`, "user");
    table.answered(`u${i}`, 300 + i);
  }
  assert.equal(
    table.opened("x", 400),
    "u0",
    "users are further over theirs now",
  );
});

test("who goes away in the middle of a body is no fault of the program", async () => {
  const faults: Error[] = [];
  const core: RequestHandler = {
    ask: () => Promise.resolve({ kind: "unknownJob" }),
    ready: () => true,
    relay: () => Promise.resolve(null),
    malformed: () => {},
    fault: (e) => faults.push(e),
  };
  const app = api(core);
  const broken = (e: Error): Promise<Response> => {
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
  // As Node's own request says it.
  assert.equal(
    (await broken(Object.assign(new Error("aborted"), { code: "ECONNRESET" })))
      .status,
    503,
  );
  assert.deepEqual(faults, []);
  assert.equal((await broken(new Error("a defect"))).status, 503);
  assert.equal(faults.length, 1);
});
