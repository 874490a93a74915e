import assert from "node:assert/strict";
import { test } from "node:test";
import {
  HttpClient,
  type HttpOutcome,
} from "../../src/transport/http-client.js";
import { WorkerClient } from "../../src/transport/worker-client.js";

/**
 * Guards against controllers that end by themselves: a path with a blank, as from a webhook's name, or a port beyond 65535, as from a
 * worker's address, makes Node throw before the request is sent. Nobody handled that, and the process ended.
 */

const TIMEOUT_MS = 1_000;

async function outcomeOf(
  host: string,
  port: number,
  path: string,
): Promise<HttpOutcome> {
  const client = new HttpClient(2, 1);
  try {
    return await client.fetch(host, port, "GET", path, undefined, TIMEOUT_MS);
  } finally {
    client.close();
  }
}

test("a request that can't be formed has the outcome refused, and throws nothing", async () => {
  for (const path of ["/keys/night alerts", "/keys/\u0416", "/keys/a\nb"]) {
    const outcome = await outcomeOf("127.0.0.1", 1, path);
    assert.equal(outcome.kind, "refused", path);
  }
  for (const port of [65_536, 99_999, -1, Number.NaN]) {
    const outcome = await outcomeOf("127.0.0.1", port, "/");
    assert.equal(outcome.kind, "refused", String(port));
  }
  assert.equal((await outcomeOf("999.1.1.1", 1, "/")).kind, "refused");
});

test("commands and queries to a worker whose address can't be one have no effect", async () => {
  const client = new WorkerClient(10);
  assert.deepEqual(await client.command("10.0.0.1:99999", 1, 1, []), {
    kind: "refused",
  });
  assert.equal(await client.inspect("10.0.0.1:99999"), null);
});
