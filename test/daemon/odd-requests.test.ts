import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import fc from "fast-check";
import { Deployment, sleep } from "../webhooks/processes.js";

/**
 * Guards against a controller that ends by itself: a name with a blank in a path, or an impossible port in a worker's address, ended
 * each controller that was sent the request, one after the other.
 */

const SEED = 52;
const REQUESTS = 150;
/** A controller that ends does so while it handles the request or the commands that follow. */
const SETTLE_MS = 500;
/** The statuses that PROTOCOL and docs/hooks.md name for requests that can be decided. */
const STATUSES = [200, 201, 400, 404, 405, 409, 413, 422];

const deployment = new Deployment(SEED);

before(async () => {
  await deployment.start(1);
  await deployment.ask("GET", "/v1/hooks");
});
after(() => deployment.stop());

const anyText = fc.oneof(
  fc.string({ unit: "binary", minLength: 1, maxLength: 60 }),
  fc.constantFrom("night alerts", "\u0416", "a\nb", "..", "a/b", "a?b", "%"),
);
const anyPath = fc
  .tuple(
    fc.constantFrom(
      "/v1/hooks/NAME",
      "/v1/hooks/NAME/pause",
      "/v1/hooks/NAME/redrive",
      "/v1/hooks/NAME/dead",
      "/v1/hooks/NAME/dead?after=AFTER",
      "/v1/hooks/alerts/dead?after=AFTER",
      "/v1/jobs/NAME",
      "/v1/jobs/NAME/withdraw",
      "/NAME",
    ),
    anyText,
    anyText,
  )
  .map(([path, name, mark]) =>
    path
      .replace("NAME", encodeURIComponent(name))
      .replace("AFTER", encodeURIComponent(mark)),
  );

async function statusOf(
  method: string,
  path: string,
  body?: string,
): Promise<number> {
  const { status } = await deployment.sendText(0, method, path, body);
  return status;
}

test("requests with any name, query and body are answered with a status that the pages name, and the controller lives", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom("GET", "POST", "PATCH", "DELETE"),
      anyPath,
      fc.option(fc.json(), { nil: undefined }),
      async (method, path, body) => {
        const sent = method === "GET" ? undefined : body;
        const status = await statusOf(method, path, sent);
        assert.ok(STATUSES.includes(status), `${method} ${path}: ${status}`);
      },
    ),
    { seed: SEED, numRuns: REQUESTS },
  );
  await sleep(SETTLE_MS);
  assert.equal(await statusOf("GET", "/v1/hooks"), 200);
});

test("a webhook's name that can't be one is answered like one that isn't there, a mark of a page that can't be one with 400", async () => {
  const path = "/v1/hooks/night%20alerts";
  for (const [method, suffix] of [
    ["GET", ""],
    ["DELETE", ""],
    ["PATCH", ""],
    ["GET", "/dead"],
    ["POST", "/pause"],
    ["POST", "/test"],
  ] as const) {
    const body = method === "PATCH" ? "{}" : undefined;
    assert.equal(await statusOf(method, path + suffix, body), 404, suffix);
  }
  for (const other of ["a b", "lc/now/job/req-1", "lc/hook/dead/other/01"]) {
    const query = `after=${encodeURIComponent(other)}`;
    const status = await statusOf("GET", `/v1/hooks/alerts/dead?${query}`);
    assert.equal(status, 400, other);
  }
  const mark = encodeURIComponent("lc/hook/dead/alerts/0000000001");
  const page = `/v1/hooks/alerts/dead?after=${mark}`;
  assert.equal(await statusOf("GET", page), 200);
});

test("a heartbeat with an address that can't be one gets 400, and the controller lives", async () => {
  for (const address of ["10.0.0.1:99999", "10.0.0.1:65536", "10.0.0.1"]) {
    const heartbeat = JSON.stringify({
      berth: "n-1",
      address,
      hull: "m",
      yard: "z0",
      watch: 1,
      tally: 1,
    });
    assert.equal(await statusOf("POST", "/hello", heartbeat), 400, address);
  }
  await sleep(SETTLE_MS);
  assert.equal(await statusOf("GET", "/v1/hooks"), 200);
});
