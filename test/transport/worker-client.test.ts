import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type {
  CommandReply,
  TokenMessage,
} from "../../src/coordination/effects.js";
import type { Heartbeat } from "../../src/coordination/model.js";
import { WorkerClient } from "../../src/transport/worker-client.js";

/** Calls a worker that gives this response to every request. */
async function callWorker<Result>(
  status: number,
  body: string,
  call: (client: WorkerClient, address: string) => Promise<Result>,
): Promise<Result> {
  const server = createServer((_request, response) => {
    response.writeHead(status, { connection: "close" }).end(body);
  });
  await new Promise<void>((listening) =>
    server.listen(0, "127.0.0.1", listening),
  );
  try {
    const { port } = server.address() as AddressInfo;
    return await call(new WorkerClient(10), `127.0.0.1:${port}`);
  } finally {
    server.close();
  }
}

/** Sends a command to a worker that gives this response, and returns the reply for the core. */
const replyTo = (status: number, body: string): Promise<CommandReply> =>
  callWorker(status, body, (client, address) =>
    client.command(address, 1, 1, []),
  );

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

const STATUS = JSON.stringify({
  berth: "n-1",
  address: "127.0.0.1:1",
  hull: "small",
  yard: "east",
  watch: 1,
  tally: 31,
  baton: 9,
});

test("a status query with a token is answered with a status whether the token is taken or refused", async () => {
  const fence = { token: 9, incarnation: 1 };
  for (const status of [200, 409]) {
    const heartbeat = await callWorker(status, STATUS, (client, address) =>
      client.inspect(address, fence),
    );
    assert.deepEqual([heartbeat?.sequence, heartbeat?.token], [31, 9]);
  }
});

test("other responses to a status query contain no status", async () => {
  const inspect = (
    status: number,
    body: string,
    fence?: TokenMessage,
  ): Promise<Heartbeat | null> =>
    callWorker(status, body, (client, address) =>
      client.inspect(address, fence),
    );
  assert.equal(await inspect(409, STATUS), null);
  assert.equal(await inspect(503, STATUS), null);
  assert.equal(await inspect(400, STATUS, { token: 9, incarnation: 1 }), null);
  assert.equal(await inspect(200, "", { token: 9, incarnation: 1 }), null);
});
