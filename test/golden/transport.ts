import assert from "node:assert/strict";
import http from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type {
  Answer,
  CloudCall,
  Input,
} from "../../src/coordination/effects.js";
import type { Settings } from "../../src/config/settings.js";
import type { AttemptRequest } from "../../src/webhooks/delivery.js";
import { AllowedNetworks } from "../../src/webhooks/allowed-networks.js";
import type { JobEnd, Subscription } from "../../src/webhooks/records.js";
import {
  WebhookCore,
  type WebhookInput,
} from "../../src/webhooks/webhook-core.js";
import { webhookRoutes } from "../../src/webhooks/routes.js";
import { WebhookSender } from "../../src/webhooks/webhook-sender.js";
import {
  messageBody,
  signature,
  webhookId,
} from "../../src/webhooks/signing.js";
import { CloudClient } from "../../src/transport/cloud-client.js";
import {
  api,
  type RequestHandler,
  toHttp,
} from "../../src/transport/http-server.js";
import { WorkerClient } from "../../src/transport/worker-client.js";
import { LIMITS } from "../webhooks/webhook-world.js";
import { Store } from "../webhooks/store.js";
import { World } from "../simulation/world.js";
import { expectJson, expectText } from "./expect.js";
import { COMMANDS } from "./protocol.js";

/** Status, relevant headers and body of a response as one text. */
async function describeResponse(response: Response): Promise<string> {
  const retryAfter = response.headers.get("retry-after");
  const type = response.headers.get("content-type");
  return `${response.status} ${type} ${retryAfter ?? "-"} ${await response.text()}`;
}

/** Answers of each kind, with their HTTP responses. */
const ANSWERS: readonly [Answer, string][] = [
  [
    {
      kind: "job",
      status: 201,
      id: "req-1",
      state: "queued",
      dependsOn: ["req-2"],
    },
    '201 application/json - {"id":"req-1","status":"queued","awaits":["req-2"]}',
  ],
  [
    {
      kind: "job",
      status: 200,
      id: "req-1",
      state: "running",
      done: 3,
      running: 2,
    },
    '200 application/json - {"id":"req-1","status":"running","done":3,"running":2}',
  ],
  [
    { kind: "job", status: 200, id: "req-1", state: "cancelled", done: 3 },
    '200 application/json - {"id":"req-1","status":"cancelled","done":3,"running":0}',
  ],
  [
    { kind: "job", status: 200, id: "req-1", state: "done" },
    '200 application/json - {"id":"req-1","status":"done"}',
  ],
  [
    { kind: "cannotRun", error: "no such crew" },
    '422 application/json - {"error":"no such crew"}',
  ],
  [
    { kind: "recordTooLarge", error: "too long" },
    '400 application/json - {"error":"too long"}',
  ],
  [{ kind: "unknownJob" }, '404 application/json - {"error":"no such job"}'],
  [
    { kind: "retryLater", afterS: 3, reason: "no permit" },
    '503 application/json 3 {"error":"no permit"}',
  ],
  [
    { kind: "commands", token: 9, commands: [...COMMANDS] },
    '200 application/json - {"baton":9,"orders":[{"verb":"start","shard":"req-000412/3","try":2},{"verb":"kill","shard":"req-000412/4","try":6,"leewayS":1.5},{"verb":"clear","shard":"req-000412/5","try":7}]}',
  ],
  [
    { kind: "redirect", leader: "node-b" },
    '421 application/json - {"harbormaster":"node-b"}',
  ],
  [{ kind: "redirect", leader: null }, "421 application/json - {}"],
  [{ kind: "relay", leader: "node-b" }, "421 application/json - {}"],
];

test("golden: status and body of each answer", async () => {
  for (const [answer, literal] of ANSWERS)
    expectText(await describeResponse(toHttp(answer)), literal);
});

const MINIMAL_JOB =
  '{"id":"req-1","jobclass":"arrays","crew":"red","shape":"batch","urgency":"prod","shards":1,"cores":1,"memoryGb":2}';
const MINIMAL_HEARTBEAT =
  '{"berth":"n-17","address":"10.0.0.7:8001","hull":"small","yard":"east","watch":3,"tally":41}';

test("golden: routes for users, workers and the platform", async () => {
  const inputs: Input[] = [];
  const relayed: string[] = [];
  let answer: Answer = { kind: "unknownJob" };
  let relayAnswer: { status: number; body: string } | null = null;
  const core: RequestHandler = {
    ask: (input) => {
      inputs.push(input(1));
      if (inputs.length > 20) throw new Error("unexpected");
      return Promise.resolve(answer);
    },
    ready: () => true,
    relay: (leader, zone, body) => {
      relayed.push(`${leader} ${zone} ${body}`);
      return Promise.resolve(relayAnswer);
    },
    noteMalformedHeartbeat: (error) => void relayed.push(`report ${error}`),
    reportError: (error) => void relayed.push(error.message),
  };
  const app = api(core);
  const send = async (
    method: string,
    path: string,
    body?: string,
  ): Promise<string> =>
    describeResponse(await app.request(path, { method, body: body ?? null }));
  expectText(
    await send("GET", "/ready"),
    '200 application/json - {"ready":true}',
  );
  expectText(
    await send("POST", "/v1/jobs", MINIMAL_JOB),
    '404 application/json - {"error":"no such job"}',
  );
  expectText(
    await send("POST", "/v1/jobs", "{"),
    '400 application/json - {"error":"body: not JSON"}',
  );
  expectText(
    await send("GET", "/v1/jobs/req-1"),
    '404 application/json - {"error":"no such job"}',
  );
  expectText(
    await send("GET", "/v1/jobs/other"),
    '404 application/json - {"error":"no such job"}',
  );
  expectText(
    await send("POST", "/v1/jobs/req-1/withdraw"),
    '404 application/json - {"error":"no such job"}',
  );
  expectText(
    await send("POST", "/hello", MINIMAL_HEARTBEAT),
    '404 application/json - {"error":"no such job"}',
  );
  expectText(
    await send("POST", "/hello", "{}"),
    '400 application/json - {"error":"berth: Invalid key: Expected \\"berth\\" but received undefined"}',
  );
  answer = { kind: "relay", leader: "node-b" };
  expectText(
    await send("POST", "/hello", MINIMAL_HEARTBEAT),
    "421 application/json - {}",
  );
  relayAnswer = { status: 200, body: '{"baton":1,"orders":[]}' };
  expectText(
    await send("POST", "/hello", MINIMAL_HEARTBEAT),
    '200 application/json - {"baton":1,"orders":[]}',
  );
  expectText(
    await send("DELETE", "/v1/jobs"),
    '405 application/json - {"error":"method not allowed"}',
  );
  expectText(
    await send("GET", "/hello"),
    '405 application/json - {"error":"method not allowed"}',
  );
  expectText(
    await send("GET", "/v2"),
    '404 application/json - {"error":"no such path"}',
  );
  const kinds: Input["type"][] = ["submit", "status", "cancel", "heartbeat"];
  assert.deepEqual(
    inputs.map((input) => input.type),
    [...kinds, "heartbeat", "heartbeat"],
  );
  expectText(
    relayed.join("\n"),
    `report berth: Invalid key: Expected "berth" but received undefined
node-b east {"berth":"n-17","address":"10.0.0.7:8001","hull":"small","yard":"east","watch":3,"tally":41}
node-b east {"berth":"n-17","address":"10.0.0.7:8001","hull":"small","yard":"east","watch":3,"tally":41}`,
  );
  core.ready = (): boolean => false;
  expectText(
    await send("GET", "/ready"),
    '503 application/json - {"ready":false}',
  );
  core.ask = (): Promise<Answer> => Promise.reject(new Error("defect"));
  expectText(
    await send("GET", "/v1/jobs/req-1"),
    '503 application/json 1 {"error":"unexpected fault"}',
  );
});

/** Runs `use` with a server that records all requests and answers them with the same body. */
async function withRecordingServer(
  answerBody: string,
  use: (
    port: number,
    requests: http.IncomingMessage[],
    requestLines: string[],
  ) => Promise<void>,
): Promise<void> {
  const requests: http.IncomingMessage[] = [];
  const requestLines: string[] = [];
  const server = http.createServer((request, response) => {
    let body = "";
    request.on("data", (data: Buffer) => (body += data.toString()));
    request.on("end", () => {
      requests.push(request);
      requestLines.push(`${request.method} ${request.url} ${body}`);
      response.end(answerBody);
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve()),
  );
  try {
    await use((server.address() as AddressInfo).port, requests, requestLines);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

test("golden: requests to the cloud", async () => {
  await withRecordingServer(
    '{"hulls":[],"berths":["n-1"]}',
    async (port, _, requestLines) => {
      const { settings } = new World(1);
      const localSettings: Settings = {
        ...settings,
        cloud: { host: "127.0.0.1", port, rps: 100, listLagS: 1 },
      };
      const client = new CloudClient(localSettings);
      const calls: CloudCall[] = [
        { op: "catalog" },
        {
          op: "rent",
          request: "node-a-1",
          type: "small",
          zone: "east",
          spot: true,
          count: 3,
        },
        { op: "return", machines: ["n-1", "n-2"] },
        { op: "list", after: "n-1" },
      ];
      for (const call of calls) await client.call(call, 1);
      expectText(
        requestLines.join("\n"),
        `GET /catalog 
POST /hosts {"charter":"node-a-1","hull":"small","yard":"east","loaners":true,"number":3}
POST /hosts/return {"berths":["n-1","n-2"]}
GET /hosts?most=500&since=n-1 `,
      );
    },
  );
});

test("golden: requests to workers", async () => {
  await withRecordingServer(
    MINIMAL_HEARTBEAT,
    async (port, _, requestLines) => {
      const client = new WorkerClient(100);
      const address = `127.0.0.1:${port}`;
      await client.command(address, 9, 3, COMMANDS);
      const report = await client.inspect(address);
      await client.inspect(address, { token: 9, incarnation: 3 });
      expectText(
        requestLines.join("\n"),
        `POST /commands {"baton":9,"watch":3,"orders":[{"verb":"start","shard":"req-000412/3","try":2},{"verb":"kill","shard":"req-000412/4","try":6,"leewayS":1.5},{"verb":"clear","shard":"req-000412/5","try":7}]}
GET /inspect 
POST /commands {"baton":9,"watch":3,"orders":[]}`,
      );
      assert.equal(report?.worker, "n-17");
    },
  );
});

const END: JobEnd = {
  id: "req-9",
  outcome: "cancelled",
  tasks: 7,
  done: 3,
  team: "red",
  class: "arrays",
  at: 1_700_000_000_789,
  since: 1_700_000_000_789,
};
const KEY = new Uint8Array(24).fill(7);

test("golden: a notification's body, id and signature", () => {
  expectText(
    messageBody(END),
    '{"type":"job.cancelled","timestamp":"2023-11-14T22:13:20.789Z","data":{"id":"req-9","status":"cancelled","crew":"red","jobclass":"arrays","shards":7,"done":3}}',
  );
  expectText(
    messageBody({ ...END, outcome: "done" }),
    '{"type":"job.done","timestamp":"2023-11-14T22:13:20.789Z","data":{"id":"req-9","status":"done","crew":"red","jobclass":"arrays","shards":7,"done":3}}',
  );
  expectText(
    messageBody({ ...END, outcome: "test" }),
    '{"type":"hook.test","timestamp":"2023-11-14T22:13:20.789Z","data":{}}',
  );
  expectText(webhookId("alerts", END), "alerts.req-9");
  expectText(
    signature(KEY, "alerts.req-9", 1_700_000_001, "{}"),
    "v1,V3huM3L00mOgcqzCItoB6p3GNQbs8o/XGYpBh94Gg8s=",
  );
});

test("golden: the requests that carry a notification", async () => {
  await withRecordingServer("{}", async (port, requests, requestLines) => {
    const sender = new WebhookSender({
      networks: new AllowedNetworks(["127.0.0.1"], true),
      keys: new Map([["k1", KEY]]),
      allowHttp: true,
      deadlineMs: 5_000,
      maxSockets: 4,
      maxAnswerBytes: 100,
      ca: null,
      userAgent: "linencove/1",
    });
    const sub: Subscription = {
      url: `http://127.0.0.1:${port}/in`,
      teams: null,
      classes: null,
      outcomes: ["done", "cancelled"],
      keys: ["k1"],
      ordered: false,
      ask: true,
      state: "active",
      redrives: 0,
      tests: 0,
    };
    const attemptRequest: AttemptRequest = {
      end: END,
      attempt: 2,
      reason: "timeout",
      ask: false,
      subscription: sub,
    };
    assert.equal(
      (await sender.attempt(1, "alerts", attemptRequest)).is,
      "answered",
    );
    assert.equal(
      (await sender.attempt(2, "alerts", { ...attemptRequest, ask: true })).is,
      "had",
    );
    expectText(
      requestLines.join("\n"),
      `POST /in {"type":"job.cancelled","timestamp":"2023-11-14T22:13:20.789Z","data":{"id":"req-9","status":"cancelled","crew":"red","jobclass":"arrays","shards":7,"done":3}}
GET /in `,
    );
    const [post] = requests;
    const names = Object.keys(post!.headers).sort().join(" ");
    expectText(
      names,
      "connection content-length content-type host linencove-attempt linencove-repeat user-agent webhook-id webhook-signature webhook-timestamp",
    );
    const { headers } = post!;
    const fixedHeaders = [
      "user-agent",
      "webhook-id",
      "linencove-attempt",
      "linencove-repeat",
      "content-type",
    ];
    expectJson(
      fixedHeaders.map((name) => headers[name]),
      '["linencove/1","alerts.req-9","2","timeout","application/json"]',
    );
    assert.equal(
      headers["webhook-signature"],
      signature(
        KEY,
        "alerts.req-9",
        Number(headers["webhook-timestamp"]),
        messageBody(END),
      ),
    );
  });
});

/** The webhook routes over a simulated store, without a controller. */
function webhooksApp(): ReturnType<typeof webhookRoutes> {
  const store = new Store(() => 0);
  const core = new WebhookCore(
    "node-a",
    LIMITS,
    () => 0.5,
    new Set(["k1"]),
    () => null,
  );
  const replies = new Map<number, { status: number; body: object }>();
  const feed = (input: WebhookInput): void => {
    for (const effect of core.step(input, 1_000, 1_000)) {
      if (effect.type === "reply") replies.set(effect.reqId, effect);
      if (effect.type === "state")
        store.handle(effect.call, (reply) =>
          feed({ type: "state", callId: effect.callId, reply }),
        );
    }
  };
  feed({ type: "permit", storeLease: 1, untilMs: 1e9 });
  let lastRequestId = 0;
  return webhookRoutes(
    (request) => {
      feed({ type: "request", reqId: ++lastRequestId, request });
      return Promise.resolve(replies.get(lastRequestId)!);
    },
    (_, next) => next(),
  );
}

test("golden: webhook routes", async () => {
  const app = webhooksApp();
  const send = async (
    method: string,
    path: string,
    body?: string,
  ): Promise<string> =>
    describeResponse(await app.request(path, { method, body: body ?? null }));
  const added =
    '{"name":"alerts","url":"https://example.org/in","crews":["red"],"jobclasses":["arrays"],"outcomes":["done"],"keys":["k1"],"ordered":true,"ask":true}';
  expectText(
    await send("POST", "/v1/hooks", added),
    '201 application/json - {"name":"alerts","url":"https://example.org/in","crews":["red"],"jobclasses":["arrays"],"outcomes":["done"],"keys":["k1"],"ordered":true,"ask":true,"state":"active"}',
  );
  expectText(
    await send("POST", "/v1/hooks", added),
    '409 application/json - {"error":"name: there is such a hook"}',
  );
  expectText(
    await send("POST", "/v1/hooks", '{"name":"b"}'),
    '400 application/json - {"error":"url: Invalid key: Expected \\"url\\" but received undefined"}',
  );
  expectText(
    await send("POST", "/v1/hooks", "{"),
    '400 application/json - {"error":"body: not JSON"}',
  );
  expectText(
    await send("GET", "/v1/hooks"),
    '200 application/json - {"hooks":[{"name":"alerts","url":"https://example.org/in","crews":["red"],"jobclasses":["arrays"],"outcomes":["done"],"keys":["k1"],"ordered":true,"ask":true,"state":"active"}]}',
  );
  expectText(
    await send("GET", "/v1/hooks/alerts"),
    '200 application/json - {"name":"alerts","url":"https://example.org/in","crews":["red"],"jobclasses":["arrays"],"outcomes":["done"],"keys":["k1"],"ordered":true,"ask":true,"state":"active","sending":null}',
  );
  expectText(
    await send("PATCH", "/v1/hooks/alerts", '{"crews":null}'),
    '200 application/json - {"name":"alerts","url":"https://example.org/in","crews":null,"jobclasses":["arrays"],"outcomes":["done"],"keys":["k1"],"ordered":true,"ask":true,"state":"active"}',
  );
  expectText(
    await send("POST", "/v1/hooks/alerts/test"),
    '200 application/json - {"name":"alerts","url":"https://example.org/in","crews":null,"jobclasses":["arrays"],"outcomes":["done"],"keys":["k1"],"ordered":true,"ask":true,"state":"active"}',
  );
  expectText(
    await send("POST", "/v1/hooks/alerts/redrive"),
    '200 application/json - {"name":"alerts","url":"https://example.org/in","crews":null,"jobclasses":["arrays"],"outcomes":["done"],"keys":["k1"],"ordered":true,"ask":true,"state":"active"}',
  );
  expectText(
    await send("POST", "/v1/hooks/alerts/pause"),
    '200 application/json - {"name":"alerts","url":"https://example.org/in","crews":null,"jobclasses":["arrays"],"outcomes":["done"],"keys":["k1"],"ordered":true,"ask":true,"state":"paused"}',
  );
  expectText(
    await send("POST", "/v1/hooks/alerts/test"),
    '409 application/json - {"error":"hook is paused: resume it first"}',
  );
  expectText(
    await send("POST", "/v1/hooks/alerts/resume"),
    '200 application/json - {"name":"alerts","url":"https://example.org/in","crews":null,"jobclasses":["arrays"],"outcomes":["done"],"keys":["k1"],"ordered":true,"ask":true,"state":"active"}',
  );
  expectText(
    await send("GET", "/v1/hooks/alerts/dead"),
    '200 application/json - {"dead":[],"next":null}',
  );
  expectText(
    await send("DELETE", "/v1/hooks/alerts"),
    '200 application/json - {"name":"alerts","removed":true}',
  );
  expectText(
    await send("GET", "/v1/hooks/alerts"),
    '404 application/json - {"error":"no such hook"}',
  );
});
