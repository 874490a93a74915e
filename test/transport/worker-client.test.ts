import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { CommandReply } from "../../src/coordination/effects.js";
import { WorkerClient } from "../../src/transport/worker-client.js";

/** Sends a command to a worker that gives this response, and returns the reply for the core. */
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

test("the reply to a command contains the sequence of the status after it", async () => {
  assert.deepEqual(
    await replyTo(200, '{"berth":"n-1","watch":1,"tally":31,"shards":[]}'),
    { kind: "answered", status: 200, sequence: 31 },
  );
});

test("the reply to a command that was not executed contains no sequence", async () => {
  for (const status of [400, 409])
    assert.deepEqual(await replyTo(status, '{"tally":31}'), {
      kind: "answered",
      status,
      sequence: null,
    });
});

test("the outcome of a command is unknown if the response cannot be parsed", async () => {
  for (const body of ["", "null", "{}", '{"tally":-1}', '{"tally":"31"}'])
    assert.deepEqual(await replyTo(200, body), { kind: "unknown" }, body);
});
