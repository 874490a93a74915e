import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { CommandReply } from "../../src/coordination/effects.js";
import { WorkerClient } from "../../src/transport/worker-client.js";

/** What the core is told of a command to which a worker answers so. */
async function replyTo(status: number, body: string): Promise<CommandReply> {
  const server = createServer((_request, response) => {
    response.writeHead(status, { connection: "close" }).end(body);
  });
  await new Promise<void>((listening) =>
    server.listen(0, "127.0.0.1", listening),
  );
  try {
    const { port } = server.address() as AddressInfo;
    return await new WorkerClient(10).command(`127.0.0.1:${port}`, 1, 1, []);
  } finally {
    server.close();
  }
}

test("the answer to a command tells the sequence of the status made after it", async () => {
  assert.deepEqual(
    await replyTo(200, '{"berth":"n-1","watch":1,"tally":31,"shards":[]}'),
    { kind: "answered", status: 200, sequence: 31 },
  );
});

test("a command that was not carried out precedes no status", async () => {
  for (const status of [400, 409])
    assert.deepEqual(await replyTo(status, '{"tally":31}'), {
      kind: "answered",
      status,
      sequence: null,
    });
});

test("a command that was carried out, by an answer that can't be read, counts as not answered", async () => {
  for (const body of ["", "null", "{}", '{"tally":-1}', '{"tally":"31"}'])
    assert.deepEqual(await replyTo(200, body), { kind: "unknown" }, body);
});
