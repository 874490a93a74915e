import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import http from "node:http";
import https from "node:https";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { Webhook } from "standardwebhooks";
import { CircuitBreaker } from "../../src/webhooks/circuit-breaker.js";
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
import { certificate, Deployment, runKills } from "./processes.js";
import { WebhookWorld, LIMITS } from "./webhook-world.js";
import { Rng } from "../simulation/rng.js";

test("real processes: with one or all controllers killed and all faults of a receiver, nothing is lost and every repeat has a reason", async () => {
  const { ended, errors, deployment } = await runKills(7, 120, 1_000);
  assert.deepEqual(errors, []);
  assert.equal(ended.length, 120);
  assert.deepEqual(deployment.logErrors, []);
  // Signatures are verified as by a receiver, with an independent library.
  for (const call of deployment.calls.slice(0, 20)) {
    const payload = new Webhook(deployment.secret).verify(call.body, {
      "webhook-id": call.id,
      "webhook-timestamp": call.timestamp,
      "webhook-signature": call.signature,
    }) as { type: string; data: { id: string } };
    assert.deepEqual(
      [payload.type, `alerts.${payload.data.id}`],
      ["job.cancelled", call.id],
    );
  }
});

/** The metrics once they contain the text, or after ten seconds. A delivery is counted only when its answer has arrived. */
async function metricsWith(
  deployment: Deployment,
  text: string,
): Promise<string> {
  for (let tries = 0; tries < 200; tries++) {
    const metrics = await deployment.getText("/metrics");
    if (metrics.includes(text)) return metrics;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  return deployment.getText("/metrics");
}

test("the command line and HTTP: a webhook from creation to removal; invalid input changes nothing", async () => {
  const d = new Deployment(3);
  await d.start(1, "parallel: 2 subscriptions: 3 horizon_s: 12");
  try {
    await d.ask("GET", "/v1/hooks");
    const port = (d as unknown as { nodes: { clientPort: number }[] }).nodes[0]!
      .clientPort;
    // The simulated services run in this process, so it must not block while the command runs.
    const cli = (
      ...args: string[]
    ): Promise<{ code: number | null; out: string; err: string }> =>
      new Promise((resolve) => {
        const child = spawn(process.execPath, [
          "target/main.js",
          "hook",
          ...args,
          "--server",
          `127.0.0.1:${port}`,
        ]);
        let out = "";
        let err = "";
        child.stdout.on("data", (x: Buffer) => (out += x.toString()));
        child.stderr.on("data", (x: Buffer) => (err += x.toString()));
        child.on("close", (code) => resolve({ code, out, err }));
      });
    const bad = async (
      body: object,
      status: number,
      text: RegExp,
    ): Promise<void> => {
      const response = await d.ask("POST", "/v1/hooks", body);
      assert.equal(response.status, status, JSON.stringify(response.body));
      assert.match(String(response.body["error"]), text);
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
    const first = await d.endJob(1);
    assert.equal(d.calls.length, 0);
    assert.match((await cli("resume", "a")).out, /^a: active/);
    await d.until("delivery after pause", () => d.received.has(`a.${first}`));
    assert.equal((await cli("test", "a")).code, 0);
    await d.until("a test notification", () => d.received.has("a.test-1"));
    // A notification is given up after the horizon, listed as dead and sent again.
    d.mode = "500";
    const second = await d.endJob(2);
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
    d.mode = "healthy";
    const callsBefore = d.calls.length;
    assert.equal((await cli("redrive", "a")).code, 0);
    await d.until("redriven", () => d.received.has(`a.${second}`));
    // On a busy machine the answer may miss the sender's deadline, and more attempts follow.
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
const request = (
  url: string,
  overrides: Partial<AttemptRequest> = {},
): AttemptRequest => ({
  end: END,
  attempt: 1,
  reason: null,
  ask: false,
  subscription: {
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
  ...overrides,
});
/** Longer than any answer takes here, even while other tests use all processors. Tests of the deadline set a short one. */
const DEADLINE_MS = 60_000;
const newSender = (overrides: object = {}): WebhookSender =>
  new WebhookSender({
    networks: new AllowedNetworks(["127.0.0.0/8"], false),
    keys: new Map([["k", new Uint8Array(32)]]),
    allowHttp: true,
    deadlineMs: DEADLINE_MS,
    maxSockets: 4,
    maxAnswerBytes: 1_000,
    ca: null,
    userAgent: "test",
    ...overrides,
  });
/** Starts a server that is closed when the test ends, also by a failure: an open server would keep the whole run from ending. */
const serve = async (t: TestContext, server: http.Server): Promise<string> => {
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  await new Promise<void>((r) => server.listen(0, "127.0.0.1", r));
  return `://localhost:${(server.address() as AddressInfo).port}/in`;
};

test("allowed networks: the address connected to is checked, however it is written or resolved", async () => {
  const publicOnly = new AllowedNetworks([], false);
  for (const address of [
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
    assert.equal(publicOnly.allows(address), false, address);
  for (const address of ["93.184.216.34", "2606:2800:220:1::1"])
    assert.equal(publicOnly.allows(address), true, address);
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
  // A name that resolves differently each time: every connection goes to an address that was checked for it.
  const answers = [
    ["93.184.216.34"],
    ["127.0.0.1"],
    ["127.0.0.1", "93.184.216.35"],
  ];
  const lookup = publicOnly.lookup((_, done) =>
    done(
      null,
      answers.shift()!.map((address) => ({ address, family: 4 })),
    ),
  );
  const resolveOnce = (): Promise<string> =>
    new Promise((r) =>
      lookup("rebind.example.org", {}, (e, a) =>
        r(e ? "blocked" : (a as string)),
      ),
    );
  assert.deepEqual(
    [await resolveOnce(), await resolveOnce(), await resolveOnce()],
    ["93.184.216.34", "blocked", "93.184.216.35"],
  );
});

test("an attempt is bounded: address, time, answer, redirects, certificates", async (t) => {
  let requests: http.IncomingMessage[] = [];
  const server = http.createServer((req, res) => {
    requests.push(req);
    const path = req.url!;
    if (path.endsWith("/silent")) return;
    if (path.endsWith("/moved"))
      return void res.writeHead(302, { location: "/elsewhere" }).end();
    if (path.endsWith("/later"))
      return void res.writeHead(429, { "retry-after": "7" }).end();
    if (path.endsWith("/big")) {
      res.writeHead(200);
      const writeMore = (): void => {
        while (!res.destroyed && res.write("x".repeat(10_000)));
        if (!res.destroyed) res.once("drain", writeMore);
      };
      return writeMore();
    }
    if (req.method === "GET")
      return void res.writeHead(path.endsWith("/has") ? 200 : 404).end();
    res.writeHead(204).end();
  });
  const url = `http${await serve(t, server)}`;
  const attempt = (
    path: string,
    overrides: Partial<AttemptRequest> = {},
    settings: object = {},
  ): Promise<unknown> =>
    newSender(settings).attempt(1, "h", request(url + path, overrides));
  assert.deepEqual(await attempt(""), {
    is: "answered",
    status: 204,
    retryAfterMs: null,
  });
  assert.deepEqual(await attempt("/silent", {}, { deadlineMs: 400 }), {
    is: "failed",
    reason: "timeout",
  });
  assert.deepEqual(await attempt("/moved"), {
    is: "answered",
    status: 302,
    retryAfterMs: null,
  });
  assert.deepEqual(await attempt("/later"), {
    is: "answered",
    status: 429,
    retryAfterMs: 7_000,
  });
  assert.deepEqual(await attempt("/big"), {
    is: "answered",
    status: 200,
    retryAfterMs: null,
  });
  assert.ok(!requests.some((r) => r.url === "/elsewhere"));
  requests = [];
  assert.deepEqual(
    await attempt("/has", { ask: true, attempt: 2, reason: "timeout" }),
    { is: "had" },
  );
  assert.deepEqual(
    await attempt("/not", { ask: true, attempt: 2, reason: "timeout" }),
    { is: "answered", status: 204, retryAfterMs: null },
  );
  assert.deepEqual(
    requests.map((r) => [
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
  requests = [];
  assert.deepEqual(
    await attempt("", {}, { networks: new AllowedNetworks([], false) }),
    {
      is: "failed",
      reason: "blocked",
    },
  );
  assert.equal(
    requests.length,
    0,
    "nothing may reach an address that is not allowed",
  );
  assert.deepEqual(
    await newSender().attempt(1, "h", request("http://nowhere.invalid/")),
    { is: "failed", reason: "name" },
  );
  server.close();
  server.closeAllConnections();
  assert.deepEqual(await attempt(""), { is: "failed", reason: "refused" });

  const day = 86_400_000;
  for (const [from, until, expected] of [
    [-day, day, { is: "answered", status: 204, retryAfterMs: null }],
    [-2 * day, -day, { is: "failed", reason: "tls" }],
  ] as const) {
    const pair = await certificate(from, until);
    const tlsServer = https.createServer(pair, (_, res) =>
      res.writeHead(204).end(),
    );
    const tlsUrl = `https${await serve(t, tlsServer)}`;
    assert.deepEqual(
      await newSender({ ca: pair.cert }).attempt(1, "h", request(tlsUrl)),
      expected,
    );
    assert.deepEqual(
      await newSender().attempt(1, "h", request(tlsUrl)),
      { is: "failed", reason: "tls" },
      "not trusted without the operators' certificate",
    );
  }
});

// Guards against a controller that ends after each start: `HTTPS:` was judged as https and sent with the agent for http, which throws.
test("a URL is used as it is judged, in capitals or after a blank, and what can't be formed is a failed attempt", async (t) => {
  const server = http.createServer((_, res) => void res.writeHead(204).end());
  const text = await serve(t, server);
  for (const url of [`HTTP${text}/in`, ` http${text}/in`, `hTTp${text}`])
    assert.deepEqual(
      await newSender().attempt(1, "h", request(url)),
      { is: "answered", status: 204, retryAfterMs: null },
      url,
    );
  for (const scheme of ["https", "HTTPS", " https", "\thTTps"]) {
    const url = `${scheme}${text}/in`;
    assert.equal(newSender().urlProblem(url), null, url);
    // The server speaks no TLS.
    const result = await newSender().attempt(1, "h", request(url));
    assert.equal(result.is, "failed", url);
  }
  assert.deepEqual(
    // A header that can't be sent.
    await newSender({ userAgent: "a\nb" }).attempt(
      1,
      "h",
      request(`http${text}/in`),
    ),
    { is: "failed", reason: "refused" },
  );
});

test("a certificate that expires between two connections is rejected, although the TLS session could be resumed", async (t) => {
  const day = 86_400_000;
  const valid = await certificate(-day, day);
  const expired = await certificate(-2 * day, -day);
  const tlsServer = https.createServer(valid, (_, res) =>
    res.writeHead(204, { connection: "close" }).end(),
  );
  const url = `https${await serve(t, tlsServer)}`;
  const sender = newSender({ ca: `${valid.cert}\n${expired.cert}` });
  assert.equal((await sender.attempt(1, "h", request(url))).is, "answered");
  tlsServer.setSecureContext(expired);
  assert.deepEqual(await sender.attempt(2, "h", request(url)), {
    is: "failed",
    reason: "tls",
  });
});

test("signatures: the published example and several keys; error messages do not contain secrets", () => {
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
  const timestampS = Math.floor(now.getTime() / 1000);
  const both = [secret, other]
    .map((k) =>
      signature(parseSecret(k), "h.req-1", timestampS, messageBody(END)),
    )
    .join(" ");
  for (const k of [secret, other])
    new Webhook(k).verify(messageBody(END), {
      "webhook-id": "h.req-1",
      "webhook-timestamp": String(timestampS),
      "webhook-signature": both,
    });
  for (const malformed of ["whsec_", "whsec_AAAA", "päss"])
    assert.throws(
      () => parseSecret(malformed),
      (e: Error) => !e.message.includes(malformed),
    );
});

test("lanes are spread over controllers and move only if their owner leaves", () => {
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

test("packed entries still fit when their attempt counts have grown", () => {
  const rng = new Rng(5);
  for (let k = 0; k < 200; k++) {
    const maxBytes = rng.int(300, 1_500);
    const packer = new Packer(maxBytes);
    const deliveries = [];
    for (;;) {
      const delivery = {
        end: {
          ...END,
          id: `req-${rng.int(1, 1e9)}`,
          team: "t".repeat(rng.int(1, 40)),
          class: "ä".repeat(rng.int(1, 200)),
        },
        attempts: rng.int(0, 3),
      };
      if (!packer.add(delivery)) break;
      deliveries.push(delivery);
    }
    assert.ok(deliveries.length > 0);
    const size = Buffer.byteLength(
      JSON.stringify([packer.names, packer.entries]),
    );
    assert.ok(
      packer.entries.length === 1 || size <= maxBytes + 10,
      `${size} of ${maxBytes}`,
    );
    const repacked = new Packer(maxBytes);
    for (const delivery of deliveries.reverse())
      assert.ok(repacked.add({ ...delivery, attempts: 999_999 }));
  }
});

test("a circuit breaker allows one attempt after each pause and observes pauses that the receiver asked for", () => {
  const breaker = new CircuitBreaker(
    3,
    { baseMs: 1_000, maxMs: 8_000 },
    () => 1,
  );
  const attempts = [1, 2, 3].map(() => breaker.recordStart(0));
  for (const attempt of attempts) breaker.recordFailure(attempt, 0);
  assert.deepEqual(
    [
      breaker.state(0),
      breaker.allows(0),
      breaker.allows(999),
      breaker.allows(1_001),
    ],
    ["open", false, false, true],
  );
  const firstProbe = breaker.recordStart(1_001);
  assert.equal(
    breaker.allows(1_001),
    false,
    "only one attempt while half-open",
  );
  breaker.recordFailure(firstProbe, 1_100);
  assert.deepEqual(
    [breaker.allows(3_000), breaker.allows(3_101)],
    [false, true],
  );
  breaker.recordSuccess(breaker.recordStart(3_101));
  assert.equal(breaker.state(3_102), "closed");
  breaker.pauseFor(4_000, 500);
  assert.deepEqual(
    [breaker.allows(4_400), breaker.allows(4_500)],
    [false, true],
  );
});

test("the end of an attempt that began before the breaker opened does not allow a second one beside the probe", () => {
  const breaker = new CircuitBreaker(
    1,
    { baseMs: 1_000, maxMs: 8_000 },
    () => 1,
  );
  const earlier = breaker.recordStart(0);
  breaker.recordFailure(breaker.recordStart(0), 0);
  const probe = breaker.recordStart(1_001);
  breaker.recordAbort(earlier);
  assert.equal(breaker.allows(1_002), false, "the probe is still in flight");
  breaker.recordAbort(probe);
  assert.equal(breaker.allows(1_002), true);
});

// Guards against attempts before the time that the receiver named: another attempt's success ended the pause.
test("a pause that the receiver asked for lasts although another attempt succeeds meanwhile", () => {
  const breaker = new CircuitBreaker(
    5,
    { baseMs: 1_000, maxMs: 8_000 },
    () => 1,
  );
  const [refused, accepted] = [breaker.recordStart(0), breaker.recordStart(0)];
  breaker.recordFailure(refused, 10);
  breaker.pauseFor(10, 5_000);
  breaker.recordSuccess(accepted);
  assert.deepEqual(
    [breaker.state(11), breaker.allows(5_009), breaker.allows(5_010)],
    ["open", false, true],
  );
});

test("an unreachable receiver does not delay others, and its waiting notifications cause few changes", () => {
  const world = new WebhookWorld(11, { ...LIMITS, valueBytes: 7_000 }, 3);
  world.run(3_000);
  const unreachable = world.add("dead");
  const reachable = world.add("well");
  unreachable.mode = "refused";
  for (let i = 0; i < 1_000; i++)
    world.at(i * 100, () => world.end(`req-${String(i).padStart(6, "0")}`));
  world.run(110_000);
  assert.deepEqual(world.missing(reachable), []);
  assert.equal(unreachable.receivedCounts.size, 0);
  const changesBefore = world.store.changes;
  world.run(3_600_000);
  assert.ok(
    world.store.changes - changesBefore < 60,
    `${world.store.changes - changesBefore} changes in an hour of waiting`,
  );
  assert.ok(
    unreachable.calls.length < 150,
    `${unreachable.calls.length} attempts`,
  );
  unreachable.mode = "healthy";
  world.run(300_000);
  assert.deepEqual(world.missing(unreachable), []);
  assert.deepEqual(world.violations, []);
});

// Guards against a second copy: the last attempt had reached nobody, so that the receiver was not asked about the one before.
test("with ask, the receiver is asked before a repeat if any attempt so far may have reached it", () => {
  const world = new WebhookWorld(13, LIMITS, 1);
  world.run(3_000);
  const receiver = world.add("asked", { ask: true });
  receiver.mode = "reset-after-receipt";
  world.end("req-000001");
  const runUntilCalls = (count: number): void => {
    for (let i = 0; i < 600 && receiver.calls.length < count; i++)
      world.run(100);
    assert.equal(receiver.calls.length, count);
  };
  runUntilCalls(1);
  receiver.mode = "refused";
  runUntilCalls(2);
  world.run(500);
  receiver.mode = "healthy";
  world.run(120_000);
  assert.equal(receiver.receivedCounts.get("req-000001"), 1);
  assert.equal(receiver.calls.length, 2, "asked, and not sent again");
  assert.deepEqual(world.violations, []);
});

// Guards against attempts after a 410: they went on until the change of the subscription was written and read.
test("after a 410 nothing more is sent, also while the state service can't be reached; the end is written later", () => {
  const world = new WebhookWorld(14, LIMITS, 1);
  world.run(3_000);
  const receiver = world.add("gone");
  const node = world.nodes[0]!;
  receiver.mode = "410";
  for (let i = 10; i < 24; i++) world.end(`req-0000${i}`);
  while (receiver.calls.length === 0) world.run(10);
  node.disconnected = true;
  // Attempts that started before the first answer may still be on their way.
  world.run(400);
  const callsBefore = receiver.calls.length;
  assert.ok(callsBefore <= LIMITS.parallel, `${callsBefore} calls`);
  world.run(5_000);
  assert.equal(receiver.calls.length, callsBefore);
  node.disconnected = false;
  world.run(60_000);
  assert.equal(receiver.calls.length, callsBefore);
  assert.equal(node.core!.subscriptions.get("gone")?.value.state, "ended");
});

test("a receiver that answers 410 ends its subscription, which can be resumed", () => {
  const world = new WebhookWorld(12);
  world.run(3_000);
  const receiver = world.add("gone");
  receiver.mode = "410";
  world.end("req-000001");
  world.run(10_000);
  const callsBefore = receiver.calls.length;
  assert.equal(callsBefore, 1);
  world.end("req-000002");
  world.run(600_000);
  assert.equal(receiver.calls.length, callsBefore);
  receiver.mode = "healthy";
  const reqId = world.ask(world.nodes[0]!, {
    is: "act",
    name: "gone",
    act: "resume",
  });
  world.run(60_000);
  assert.equal(world.replies.get(reqId)?.status, 200);
  world.end("req-000003");
  world.run(60_000);
  assert.deepEqual(
    [...receiver.receivedCounts.keys()],
    ["req-000001", "req-000003"],
  );
  assert.deepEqual(world.violations, []);
});
