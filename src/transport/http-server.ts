import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { serve } from "@hono/node-server";
import { Hono, type MiddlewareHandler } from "hono";
import { bodyLimit } from "hono/body-limit";
import type { Answer, Input } from "../coordination/effects.js";
import { jobBody, JOB_ID, parseJob } from "../protocol/jobs.js";
import { MAX_REQUEST_BYTES } from "../protocol/message-size.js";
import {
  heartbeatAnswerBody,
  parseHeartbeat,
  redirectBody,
  maxHeartbeatGapMs,
} from "../protocol/workers.js";
import type { Settings } from "../config/settings.js";
import { ConnectionTable, type ConnectionKind } from "./connection-table.js";

/** What the HTTP server requires of the controller. */
export interface RequestHandler {
  /** Passes a request to the core and returns its answer. `input` makes the core's input from the request id. */
  ask(input: (reqId: number) => Input): Promise<Answer>;
  ready(): boolean;
  /** Relays a heartbeat to the leader of its partition. Returns null if the leader cannot be reached. */
  relay(
    leader: string,
    zone: string,
    body: string,
  ): Promise<{ status: number; body: string } | null>;
  /** Called for a heartbeat that is too large or cannot be parsed. */
  noteMalformedHeartbeat(error: string): void;
  /** Called when handling a request threw an unexpected error. */
  reportError(error: Error): void;
}

const badRequest = (error: string): Response =>
  Response.json({ error }, { status: 400 });

export function toHttp(answer: Answer): Response {
  switch (answer.kind) {
    case "job":
      return Response.json(
        jobBody(
          answer.id,
          answer.state,
          answer.done === undefined
            ? undefined
            : { done: answer.done, running: answer.running ?? 0 },
          answer.dependsOn,
        ),
        { status: answer.status },
      );
    case "recordTooLarge":
      return badRequest(answer.error);
    case "cannotRun":
      return Response.json({ error: answer.error }, { status: 422 });
    case "unknownJob":
      return Response.json({ error: "no such job" }, { status: 404 });
    case "retryLater":
      return Response.json(
        { error: answer.reason },
        { status: 503, headers: { "retry-after": String(answer.afterS) } },
      );
    case "commands":
      return Response.json(heartbeatAnswerBody(answer.token, answer.commands));
    case "redirect":
      return Response.json(redirectBody(answer.leader), { status: 421 });
    case "relay":
      return Response.json(redirectBody(null), { status: 421 });
  }
}

/**
 * Limits the size of request bodies. Node's parser never accepts more than `content-length` states, so for bodies with that
 * header only its value is checked. Hono's own middleware, which converts every body to a web stream and took a third of the
 * time needed to handle a heartbeat, is used only for chunked bodies. `onTooLarge` is called with the reason of a refusal.
 */
function limitBodySize(
  onTooLarge: (reason: string) => void = () => {},
): MiddlewareHandler {
  const tooLarge = (): Response => {
    const reason = "body: over 64 KiB";
    onTooLarge(reason);
    return badRequest(reason);
  };
  const limitChunkedBody = bodyLimit({
    maxSize: MAX_REQUEST_BYTES,
    onError: tooLarge,
  });
  return (c, next) => {
    const length = c.req.header("content-length");
    if (length === undefined || c.req.header("transfer-encoding") !== undefined)
      return limitChunkedBody(c, next);
    return Number(length) > MAX_REQUEST_BYTES
      ? Promise.resolve(tooLarge())
      : next();
  };
}

/** Passes a worker's heartbeat to the core, or relays it to the leader of its partition, and returns the answer. */
async function answerHeartbeat(
  core: RequestHandler,
  body: string,
): Promise<Response> {
  const parsed = parseHeartbeat(body);
  if (!parsed.ok) {
    core.noteMalformedHeartbeat(parsed.error);
    return badRequest(parsed.error);
  }
  const answer = await core.ask((reqId) => ({
    type: "heartbeat",
    reqId,
    heartbeat: parsed.value,
    relayed: false,
  }));
  if (answer.kind !== "relay") return toHttp(answer);
  const relayed = await core.relay(answer.leader, parsed.value.zone, body);
  if (!relayed || relayed.status !== 200)
    return toHttp({ kind: "redirect", leader: null });
  return new Response(relayed.body, {
    status: 200,
    headers: { "content-type": "application/json" },
  });
}

/**
 * Routes for requests of users, workers and health checks.
 *
 * An unexpected error is answered with 503, since the request may have been carried out. A 4xx would make the client give up
 * on a job that was accepted, or on a cancellation. ECONNRESET means that the client closed the connection before its request
 * was complete, which is not an error of this program.
 */
export function api(
  core: RequestHandler,
  extraRoutes: readonly ((limit: MiddlewareHandler) => Hono)[] = [],
): Hono {
  const app = new Hono();
  const limit = limitBodySize();
  const limitHeartbeat = limitBodySize((reason) =>
    core.noteMalformedHeartbeat(reason),
  );
  for (const createRoutes of extraRoutes) app.route("/", createRoutes(limit));
  app.get("/ready", () =>
    Response.json(
      { ready: core.ready() },
      { status: core.ready() ? 200 : 503 },
    ),
  );
  app.post("/v1/jobs", limit, async (c) => {
    const job = parseJob(await c.req.text());
    return job.ok
      ? toHttp(
          await core.ask((reqId) => ({ type: "submit", reqId, ...job.value })),
        )
      : badRequest(job.error);
  });
  app.get("/v1/jobs/:id", async (c) => {
    const id = c.req.param("id");
    return JOB_ID.test(id)
      ? toHttp(await core.ask((reqId) => ({ type: "status", reqId, id })))
      : toHttp({ kind: "unknownJob" });
  });
  app.post("/v1/jobs/:id/withdraw", limit, async (c) => {
    const id = c.req.param("id");
    return JOB_ID.test(id)
      ? toHttp(await core.ask((reqId) => ({ type: "cancel", reqId, id })))
      : toHttp({ kind: "unknownJob" });
  });
  app.post("/hello", limitHeartbeat, async (c) =>
    answerHeartbeat(core, await c.req.text()),
  );
  for (const path of [
    "/ready",
    "/v1/jobs",
    "/v1/jobs/:id",
    "/v1/jobs/:id/withdraw",
    "/hello",
  ])
    app.all(path, () =>
      Response.json({ error: "method not allowed" }, { status: 405 }),
    );
  app.notFound(() => Response.json({ error: "no such path" }, { status: 404 }));
  app.onError((e) => {
    if ((e as NodeJS.ErrnoException).code !== "ECONNRESET") core.reportError(e);
    return Response.json(
      { error: "unexpected fault" },
      { status: 503, headers: { "retry-after": "1" } },
    );
  });
  return app;
}

const KEEP_ALIVE_MS = 75_000;
const SWEEP_INTERVAL_MS = 1_000;
/** Number of sockets set aside for connections that are being closed and still count towards the server's limit. */
const CLOSING_SOCKETS = 16;

const connectionKind = (path: string | undefined): ConnectionKind =>
  path === "/hello" ? "worker" : path === "/ready" ? "probe" : "user";

export function listen(app: Hono, settings: Settings): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = serve(
      {
        fetch: app.fetch,
        hostname: settings.clientListen.host,
        port: settings.clientListen.port,
      },
      () => resolve(server),
    ) as Server;
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    server.requestTimeout = 20_000;
    // The other sockets are for the state service, the cloud, the workers and the other controllers.
    const maxConnections = Math.max(8, Math.floor(settings.maxSockets * 0.65));
    server.maxConnections = maxConnections;
    const workerTimeoutMs =
      maxHeartbeatGapMs(settings.reportS) + SWEEP_INTERVAL_MS;
    const connections = new ConnectionTable<Socket>(
      Math.max(4, maxConnections - CLOSING_SOCKETS),
      {
        fresh: 10_000,
        probe: 10_000,
        user: KEEP_ALIVE_MS,
        worker: workerTimeoutMs,
      },
    );
    server.on("connection", (socket: Socket) => {
      socket.once("close", () => connections.remove(socket));
      connections.add(socket, performance.now())?.destroy();
    });
    server.prependListener(
      "request",
      (request: IncomingMessage, response: ServerResponse) => {
        const { socket } = request;
        connections.requestStarted(socket, connectionKind(request.url));
        response.once("close", () =>
          connections.requestEnded(socket, performance.now()),
        );
      },
    );
    setInterval(() => {
      for (const socket of connections.removeExpired(performance.now()))
        socket.destroy();
    }, SWEEP_INTERVAL_MS).unref();
    server.on("error", reject);
  });
}
