import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import http from "node:http";
import https from "node:https";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { Webhook } from "standardwebhooks";
import { Breaker } from "../../src/webhooks/circuit-breaker.js";
import type { AttemptRequest } from "../../src/webhooks/delivery.js";
import { chosenController } from "../../src/webhooks/delivery-lanes.js";
import {
  AllowedNetworks,
  parseNetwork,
} from "../../src/webhooks/allowed-networks.js";
import { LANE_COUNT, Packer } from "../../src/webhooks/records.js";
import { WebhookSender } from "../../src/webhooks/webhook-sender.js";
import {
  messageBody,
  parseSecret,
  signature,
} from "../../src/webhooks/signing.js";
import { certificate, Deployment, kills } from "./processes.js";
import { WebhookWorld, LIMITS } from "./webhook-world.js";
import { Rng } from "../simulation/rng.js";

test("real processes: forced kills of one and of all controllers, a receiver in all moods; nothing lost, every repeat explained", async () => {
  const { ended, wrong, d } = await kills(7, 120, 1_000);
  assert.deepEqual(wrong, []);
  assert.equal(ended.length, 120);
  assert.deepEqual(d.logErrors, []);
  // As a receiver would, with a library that is not ours.
  for (const c of d.calls.slice(0, 20)) {
    const told = new Webhook(d.secret).verify(c.body, {
      "webhook-id": c.id,
      "webhook-timestamp": c.timestamp,
      "webhook-signature": c.signature,
    }) as { type: string; data: { id: string } };
    assert.deepEqual(
      [told.type, `alerts.${told.data.id}`],
      ["job.cancelled", c.id],
    );
  }
});

/** The metrics once they have this text, or as they are after ten seconds: a delivery counts when its answer has come. */
async function metricsWith(d: Deployment, text: string): Promise<string> {
  for (let tries = 0; tries < 200; tries++) {
    const metrics = await d.text("/metrics");
    if (metrics.includes(text)) return metrics;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  return d.text("/metrics");
}

test("the command line and HTTP: all of a hook's life, and bad input changes nothing", async () => {
  const d = new Deployment(3);
  await d.start(1, "parallel: 2 subscriptions: 3 horizon_s: 12");
  try {
    await d.ask("GET", "/v1/hooks");
    const node = (d as unknown as { nodes: { client: number }[] }).nodes[0]!
      .client;
    // The stand-ins live in this process: it must not stand still while the command runs.
    const cli = (
      ...args: string[]
    ): Promise<{ code: number | null; out: string; err: string }> =>
      new Promise((resolve) => {
        const p = spawn(process.execPath, [
          "target/main.js",
          "hook",
          ...args,
          "--server",
          `127.0.0.1:${node}`,
        ]);
        let out = "";
        let err = "";
        p.stdout.on("data", (x: Buffer) => (out += x.toString()));
        p.stderr.on("data", (x: Buffer) => (err += x.toString()));
        p.on("close", (code) => resolve({ code, out, err }));
      });
    const bad = async (
      body: object,
      status: number,
      text: RegExp,
    ): Promise<void> => {
      const r = await d.ask("POST", "/v1/hooks", body);
      assert.equal(r.status, status, JSON.stringify(r.body));
      assert.match(String(r.body["error"]), text);
    };
    await bad({ url: d.url, keys: ["k1"] }, 400, /^name: /);
    await bad(
      { name: "No", url: d.url, keys: ["k1"] },
      400,
      /^name: small letters/,
    );
    await bad({ name: "a", url: d.url }, 400, /^keys: /);
    await bad(
      { name: "a", url: d.url, keys: ["k1"], outcomes: ["lost"] },
      400,
      /^outcomes\.0: /,
    );
    await bad({ name: "a", url: d.url, keys: ["k1"], crew: "x" }, 400, /crew/);
    await bad({ name: "a", url: d.url, keys: ["k9"] }, 422, /^keys: no key k9/);
    await bad(
      { name: "a", url: "ftp://example.org/", keys: ["k1"] },
      422,
      /^url: https or http/,
    );
    await bad(
      { name: "a", url: "http://10.0.0.1/", keys: ["k1"] },
      422,
      /^url: address 10\.0\.0\.1/,
    );
    await bad(
      { name: "a", url: "http://[::ffff:10.0.0.1]/", keys: ["k1"] },
      422,
      /^url: address/,
    );
    assert.deepEqual((await d.ask("GET", "/v1/hooks")).body, { hooks: [] });
    assert.match(
      (await cli("add", "a", d.url, "--key", "k1", "--team", "blue")).out,
      /^a: active, .*teams blue, classes all, done,cancelled/,
    );
    assert.match(
      (await cli("add", "a", d.url, "--key", "k1")).err,
      /409: name: there is such a hook/,
    );
    assert.match(
      (
        await cli(
          "change",
          "a",
          "--team",
          "red",
          "--class",
          "demo",
          "--ordered",
        )
      ).out,
      /teams red, classes demo.*ordered/,
    );
    assert.match(
      (await cli("change", "b", "--team", "red")).err,
      /404: no such hook/,
    );
    assert.match((await cli("pause", "a")).out, /^a: paused/);
    assert.match((await cli("test", "a")).err, /409: hook is paused/);
    const first = await d.end(1);
    assert.equal(d.calls.length, 0);
    assert.match((await cli("resume", "a")).out, /^a: active/);
    await d.until("delivered after the pause", () => d.has.has(`a.${first}`));
    assert.equal((await cli("test", "a")).code, 0);
    await d.until("a test notification", () => d.has.has("a.test-1"));
    // Given up after the horizon, listed, sent again.
    d.mood = "500";
    const second = await d.end(2);
    for (
      let k = 0;
      k < 200 && !(await cli("dead", "a")).out.includes(second);
      k++
    )
      await new Promise((r) => setTimeout(r, 50));
    assert.match(
      (await cli("dead", "a")).out,
      /^req-000002: cancelled at .*attempts/,
    );
    d.mood = "well";
    const callsBefore = d.calls.length;
    assert.equal((await cli("redrive", "a")).code, 0);
    await d.until("redriven", () => d.has.has(`a.${second}`));
    // On a busy machine its answer may come after the sender's deadline: then more attempts follow.
    assert.equal(d.calls[callsBefore]!.repeat, "redriven");
    const metrics = await metricsWith(d, 'outcome="delivered"} 3');
    assert.match(
      metrics,
      /linencove_hook_notifications_total\{outcome="delivered"\} 3/,
    );
    assert.match(
      metrics,
      /linencove_hook_notifications_total\{outcome="dead"\} 1/,
    );
    for (const name of [
      "limit",
      "guarantee",
      "share",
      "used",
      "waiting",
      "deficit",
      "share_in_flight",
      "reclaimed",
    ])
      assert.match(
        metrics,
        new RegExp(
          `linencove_team_${name}\\{team="red",group="[^"]+",resource="cpus"\\} \\d`,
        ),
      );
    assert.match(metrics, /linencove_events_total\{event="job accepted"\} 2/);
    assert.match(
      metrics,
      /linencove_calls_total\{service="state",op="commit",outcome="committed"\} \d+/,
    );
    assert.equal((await cli("remove", "a")).code, 0);
    await d.until(
      "nothing left",
      () =>
        ![...d.store.data.keys()].some((k) =>
          /^lc\/hook\/(now\/(sub|at)|spool|dead)\//.test(k),
        ),
    );
    assert.match((await cli("show", "a")).err, /404/);
  } finally {
    await d.stop();
  }
});

const END = {
  id: "req-000001",
  outcome: "done" as const,
  tasks: 2,
  done: 2,
  team: "red",
  class: "c",
  at: 0,
  since: 0,
};
const launch = (
  url: string,
  more: Partial<AttemptRequest> = {},
): AttemptRequest => ({
  end: END,
  attempt: 1,
  reason: null,
  ask: false,
  sub: {
    url,
    teams: null,
    classes: null,
    outcomes: ["done"],
    keys: ["k"],
    ordered: false,
    ask: false,
    state: "active",
    redrives: 0,
    tests: 0,
  },
  ...more,
});
/** Far more than any answer takes here, also while other tests take all processors: who waits for a deadline sets a short one. */
const DEADLINE_MS = 60_000;
const sender = (more: object = {}): WebhookSender =>
  new WebhookSender({
    networks: new AllowedNetworks(["127.0.0.0/8"], false),
    keys: new Map([["k", new Uint8Array(32)]]),
    allowHttp: true,
    deadlineMs: DEADLINE_MS,
    maxSockets: 4,
    maxAnswerBytes: 1_000,
    ca: null,
    agent: "test",
    ...more,
  });
/** It is closed with its test however that ends: one that stays open keeps the process from ending, and so the whole run. */
const serve = async (t: TestContext, s: http.Server): Promise<string> => {
  t.after(() => {
    s.close();
    s.closeAllConnections();
  });
  await new Promise<void>((r) => s.listen(0, "127.0.0.1", r));
  return `://localhost:${(s.address() as AddressInfo).port}/in`;
};

test("where hooks may connect: the address that is connected to counts, however it is written or resolved", async () => {
  const open = new AllowedNetworks([], false);
  for (const no of [
    "127.0.0.1",
    "10.1.2.3",
    "192.168.0.1",
    "172.16.0.1",
    "169.254.169.254",
    "100.64.0.1",
    "0.0.0.0",
    "224.0.0.1",
    "::1",
    "fe80::1",
    "fc00::1",
    "::ffff:127.0.0.1",
    "::ffff:a00:1",
    "64:ff9b::a00:1",
    "2002:a00:1::",
    "nonsense",
  ])
    assert.equal(open.allows(no), false, no);
  for (const yes of ["93.184.216.34", "2606:2800:220:1::1"])
    assert.equal(open.allows(yes), true, yes);
  const listed = new AllowedNetworks(["10.1.0.0/16", "2001:db8::/32"], true);
  assert.deepEqual(
    [
      "10.1.2.3",
      "::ffff:10.1.2.3",
      "10.2.0.1",
      "93.184.216.34",
      "2001:db8::1",
    ].map((a) => listed.allows(a)),
    [true, true, false, false, true],
  );
  assert.throws(
    () => parseNetwork("10.0.0.0/33"),
    /10\.0\.0\.0\/33: not a network/,
  );
  // A name that resolves differently the second time: each connection is to an address that was checked for it.
  const answers = [
    ["93.184.216.34"],
    ["127.0.0.1"],
    ["127.0.0.1", "93.184.216.35"],
  ];
  const lookup = open.lookup((_, done) =>
    done(
      null,
      answers.shift()!.map((address) => ({ address, family: 4 })),
    ),
  );
  const resolve = (): Promise<string> =>
    new Promise((r) =>
      lookup("rebind.example.org", {}, (e, a) =>
        r(e ? "blocked" : (a as string)),
      ),
    );
  assert.deepEqual(
    [await resolve(), await resolve(), await resolve()],
    ["93.184.216.34", "blocked", "93.184.216.35"],
  );
});

test("an attempt is bounded: address, time, answer, redirects, certificates", async (t) => {
  let seen: http.IncomingMessage[] = [];
  const s = http.createServer((req, res) => {
    seen.push(req);
    const p = req.url!;
    if (p.endsWith("/silent")) return;
    if (p.endsWith("/moved"))
      return void res.writeHead(302, { location: "/elsewhere" }).end();
    if (p.endsWith("/later"))
      return void res.writeHead(429, { "retry-after": "7" }).end();
    if (p.endsWith("/big")) {
      res.writeHead(200);
      const more = (): void => {
        while (!res.destroyed && res.write("x".repeat(10_000)));
        if (!res.destroyed) res.once("drain", more);
      };
      return more();
    }
    if (req.method === "GET")
      return void res.writeHead(p.endsWith("/has") ? 200 : 404).end();
    res.writeHead(204).end();
  });
  const url = `http${await serve(t, s)}`;
  const to = (
    path: string,
    more: Partial<AttemptRequest> = {},
    settings: object = {},
  ): Promise<unknown> =>
    sender(settings).attempt(1, "h", launch(url + path, more));
  assert.deepEqual(await to(""), {
    is: "answered",
    status: 204,
    retryAfterMs: null,
  });
  assert.deepEqual(await to("/silent", {}, { deadlineMs: 400 }), {
    is: "failed",
    why: "timeout",
  });
  assert.deepEqual(await to("/moved"), {
    is: "answered",
    status: 302,
    retryAfterMs: null,
  });
  assert.deepEqual(await to("/later"), {
    is: "answered",
    status: 429,
    retryAfterMs: 7_000,
  });
  assert.deepEqual(await to("/big"), {
    is: "answered",
    status: 200,
    retryAfterMs: null,
  });
  assert.ok(!seen.some((r) => r.url === "/elsewhere"));
  seen = [];
  assert.deepEqual(
    await to("/has", { ask: true, attempt: 2, reason: "timeout" }),
    { is: "had" },
  );
  assert.deepEqual(
    await to("/not", { ask: true, attempt: 2, reason: "timeout" }),
    { is: "answered", status: 204, retryAfterMs: null },
  );
  assert.deepEqual(
    seen.map((r) => [
      r.method,
      r.headers["linencove-attempt"],
      r.headers["linencove-repeat"],
    ]),
    [
      ["GET", "2", "timeout"],
      ["GET", "2", "timeout"],
      ["POST", "2", "timeout"],
    ],
  );
  seen = [];
  assert.deepEqual(
    await to("", {}, { networks: new AllowedNetworks([], false) }),
    {
      is: "failed",
      why: "blocked",
    },
  );
  assert.equal(
    seen.length,
    0,
    "nothing may reach an address that is not allowed",
  );
  assert.deepEqual(
    await sender().attempt(1, "h", launch("http://nowhere.invalid/")),
    { is: "failed", why: "name" },
  );
  s.close();
  s.closeAllConnections();
  assert.deepEqual(await to(""), { is: "failed", why: "refused" });

  const day = 86_400_000;
  for (const [from, until, wanted] of [
    [-day, day, { is: "answered", status: 204, retryAfterMs: null }],
    [-2 * day, -day, { is: "failed", why: "tls" }],
  ] as const) {
    const c = await certificate(from, until);
    const tls = https.createServer(c, (_, res) => res.writeHead(204).end());
    const at = `https${await serve(t, tls)}`;
    assert.deepEqual(
      await sender({ ca: c.cert }).attempt(1, "h", launch(at)),
      wanted,
    );
    assert.deepEqual(
      await sender().attempt(1, "h", launch(at)),
      { is: "failed", why: "tls" },
      "not trusted without the operators' certificate",
    );
  }
});

test("a certificate that expires between two connections is seen, although the first session could be resumed", async (t) => {
  const day = 86_400_000;
  const valid = await certificate(-day, day);
  const expired = await certificate(-2 * day, -day);
  const tls = https.createServer(valid, (_, res) =>
    res.writeHead(204, { connection: "close" }).end(),
  );
  const at = `https${await serve(t, tls)}`;
  const s = sender({ ca: `${valid.cert}\n${expired.cert}` });
  assert.equal((await s.attempt(1, "h", launch(at))).is, "answered");
  tls.setSecureContext(expired);
  assert.deepEqual(await s.attempt(2, "h", launch(at)), {
    is: "failed",
    why: "tls",
  });
});

test("signatures: the published example, several keys; secrets are never shown", () => {
  const secret = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw";
  const body = '{"test": 2432232314}';
  assert.equal(
    signature(
      parseSecret(secret),
      "msg_p5jXN8AQM9LWM0D4loKWxJek",
      1_614_265_330,
      body,
    ),
    "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE=",
  );
  const now = new Date();
  const other = "whsec_" + Buffer.alloc(32, 7).toString("base64");
  const at = Math.floor(now.getTime() / 1000);
  const both = [secret, other]
    .map((k) => signature(parseSecret(k), "h.req-1", at, messageBody(END)))
    .join(" ");
  for (const k of [secret, other])
    new Webhook(k).verify(messageBody(END), {
      "webhook-id": "h.req-1",
      "webhook-timestamp": String(at),
      "webhook-signature": both,
    });
  for (const bad of ["whsec_", "whsec_AAAA", "päss"])
    assert.throws(
      () => parseSecret(bad),
      (e: Error) => !e.message.includes(bad),
    );
});

test("lanes move only with their owner, and are spread", () => {
  const labels = ["n0", "n1", "n2", "n3", "n4"];
  const before = Array.from({ length: LANE_COUNT }, (_, l) =>
    chosenController(l, labels),
  );
  assert.ok(new Set(before).size >= 4);
  const after = Array.from({ length: LANE_COUNT }, (_, l) =>
    chosenController(
      l,
      labels.filter((x) => x !== "n2"),
    ),
  );
  before.forEach((b, l) => b !== "n2" && assert.equal(after[l], b));
});

test("packed entries fit again whatever their attempts become", () => {
  const rng = new Rng(5);
  for (let k = 0; k < 200; k++) {
    const most = rng.int(300, 1_500);
    const p = new Packer(most);
    const owed = [];
    for (;;) {
      const o = {
        end: {
          ...END,
          id: `req-${rng.int(1, 1e9)}`,
          team: "t".repeat(rng.int(1, 40)),
          class: "ä".repeat(rng.int(1, 200)),
        },
        attempts: rng.int(0, 3),
      };
      if (!p.add(o)) break;
      owed.push(o);
    }
    assert.ok(owed.length > 0);
    const size = Buffer.byteLength(JSON.stringify([p.names, p.entries]));
    assert.ok(
      p.entries.length === 1 || size <= most + 10,
      `${size} of ${most}`,
    );
    const again = new Packer(most);
    for (const o of owed.reverse())
      assert.ok(again.add({ ...o, attempts: 999_999 }));
  }
});

test("a breaker lets one attempt through after each pause, and a pause that was asked for counts", () => {
  const b = new Breaker(3, { baseMs: 1_000, mostMs: 8_000 }, () => 1);
  for (let k = 0; k < 3; k++) b.failed(0);
  assert.deepEqual(
    [b.state(0), b.allows(0), b.allows(999), b.allows(1_001)],
    ["open", false, false, true],
  );
  b.begin(1_001);
  assert.equal(b.allows(1_001), false, "one at a time");
  b.failed(1_100);
  assert.deepEqual([b.allows(3_000), b.allows(3_101)], [false, true]);
  b.begin(3_101);
  b.well();
  assert.equal(b.state(3_102), "closed");
  b.rest(4_000, 500);
  assert.deepEqual([b.allows(4_400), b.allows(4_500)], [false, true]);
});

test("one dead receiver costs the others nothing, and next to no changes while it waits", () => {
  const w = new WebhookWorld(11, { ...LIMITS, valueBytes: 7_000 }, 3);
  w.run(3_000);
  const dead = w.add("dead");
  const well = w.add("well");
  dead.mood = "refused";
  for (let i = 0; i < 1_000; i++)
    w.at(i * 100, () => w.end(`req-${String(i).padStart(6, "0")}`));
  w.run(110_000);
  assert.deepEqual(w.missing(well), []);
  assert.equal(dead.has.size, 0);
  const before = w.store.changes;
  w.run(3_600_000);
  assert.ok(
    w.store.changes - before < 60,
    `${w.store.changes - before} changes in an hour of waiting`,
  );
  assert.ok(dead.calls.length < 150, `${dead.calls.length} attempts`);
  dead.mood = "well";
  w.run(300_000);
  assert.deepEqual(w.missing(dead), []);
  assert.deepEqual(w.broken, []);
});

test("a receiver that is gone for good ends its hook; a resumed one goes on", () => {
  const w = new WebhookWorld(12);
  w.run(3_000);
  const r = w.add("gone");
  r.mood = "410";
  w.end("req-000001");
  w.run(10_000);
  const calls = r.calls.length;
  assert.equal(calls, 1);
  w.end("req-000002");
  w.run(600_000);
  assert.equal(r.calls.length, calls);
  r.mood = "well";
  const req = w.ask(w.nodes[0]!, { is: "act", name: "gone", act: "resume" });
  w.run(60_000);
  assert.equal(w.replies.get(req)?.status, 200);
  w.end("req-000003");
  w.run(60_000);
  assert.deepEqual([...r.has.keys()], ["req-000001", "req-000003"]);
  assert.deepEqual(w.broken, []);
});
