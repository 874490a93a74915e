import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { serve } from "@hono/node-server";
import { Hono, type MiddlewareHandler } from "hono";
import { bodyLimit } from "hono/body-limit";
import type { Answer, Input } from "../coordination/effects.js";
import { jobBody, JOB_ID, parseJob } from "../protocol/jobs.js";
import {
  heartbeatAnswerBody,
  parseHeartbeat,
  redirectBody,
  maxHeartbeatGapMs,
} from "../protocol/workers.js";
import type { Settings } from "../config/settings.js";
import { ConnectionTable, type ConnectionKind } from "./connection-table.js";

const MAX_BODY = 64 * 1024;

/** What the HTTP side needs of the core: one answer for each question, at once or soon. */
export interface RequestHandler {
  ask(input: (req: number) => Input): Promise<Answer>;
  ready(): boolean;
  /** Passes a report on to its master; null: that can't be reached. */
  relay(
    leader: string,
    zone: string,
    body: string,
  ): Promise<{ status: number; body: string } | null>;
  /** Somebody sent what can't be read. */
  malformed(error: string): void;
  /** A defect of the program met a request. */
  fault(error: Error): void;
}

const bad = (error: string): Response =>
  Response.json({ error }, { status: 400 });

export function toHttp(a: Answer): Response {
  switch (a.kind) {
    case "job":
      return Response.json(
        jobBody(
          a.id,
          a.state,
          a.done === undefined
            ? undefined
            : { done: a.done, running: a.running ?? 0 },
          a.dependsOn,
        ),
        { status: a.status },
      );
    case "recordTooLarge":
      return bad(a.error);
    case "cannotRun":
      return Response.json({ error: a.error }, { status: 422 });
    case "unknownJob":
      return Response.json({ error: "no such job" }, { status: 404 });
    case "retryLater":
      return Response.json(
        { error: a.reason },
        { status: 503, headers: { "retry-after": String(a.afterS) } },
      );
    case "commands":
      return Response.json(heartbeatAnswerBody(a.token, a.commands));
    case "redirect":
      return Response.json(redirectBody(a.leader), { status: 421 });
    case "relay":
      return Response.json(redirectBody(null), { status: 421 });
  }
}

/**
 * Bounds a request's body. Node's parser holds a sender to the length it stated, so that stating too much is all there is
 * to check: hono's own middleware makes a web stream of every body first, which took a third of the time of a report.
 * It is kept for bodies that come in chunks.
 */
function bounded(): MiddlewareHandler {
  const onError = (): Response => bad("body: over 64 KiB");
  const inChunks = bodyLimit({ maxSize: MAX_BODY, onError });
  return (c, next) => {
    const length = c.req.header("content-length");
    if (length === undefined || c.req.header("transfer-encoding") !== undefined)
      return inChunks(c, next);
    return Number(length) > MAX_BODY ? Promise.resolve(onError()) : next();
  };
}

/**
 * Users', workers' and health-check requests.
 *
 * An unexpected error is answered with 503, since the request may have been carried out: a 4xx would end a submission that
 * was already accepted, or lose a cancellation. ECONNRESET means that the client closed the connection before its request
 * was complete, which is no defect of this program.
 */
export function api(
  core: RequestHandler,
  more: readonly ((limit: MiddlewareHandler) => Hono)[] = [],
): Hono {
  const app = new Hono();
  const limit = bounded();
  for (const make of more) app.route("/", make(limit));
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
      : bad(job.error);
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
  app.post("/hello", limit, async (c) => {
    const text = await c.req.text();
    const r = parseHeartbeat(text);
    if (!r.ok) {
      core.malformed(r.error);
      return bad(r.error);
    }
    const answer = await core.ask((reqId) => ({
      type: "heartbeat",
      reqId,
      heartbeat: r.value,
      relayed: false,
    }));
    if (answer.kind !== "relay") return toHttp(answer);
    const relayed = await core.relay(answer.leader, r.value.zone, text);
    if (!relayed || relayed.status !== 200)
      return toHttp({ kind: "redirect", leader: null });
    return new Response(relayed.body, {
      status: 200,
      headers: { "content-type": "application/json" },
    });
  });
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
    if ((e as NodeJS.ErrnoException).code !== "ECONNRESET") core.fault(e);
    return Response.json(
      { error: "unexpected fault" },
      { status: 503, headers: { "retry-after": "1" } },
    );
  });
  return app;
}

const KEEP_ALIVE_MS = 75_000;
const SWEEP_MS = 1_000;
/** Between closing a connection and its socket being free again. */
const CLOSING = 16;

const kindOf = (path: string | undefined): ConnectionKind =>
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
    // Room is left for the state service, the cloud, the workers and the other controllers.
    const most = Math.max(8, Math.floor(settings.maxSockets * 0.65));
    server.maxConnections = most;
    const workerMs = maxHeartbeatGapMs(settings.reportS) + SWEEP_MS;
    const open = new ConnectionTable<Socket>(Math.max(4, most - CLOSING), {
      fresh: 10_000,
      probe: 10_000,
      user: KEEP_ALIVE_MS,
      worker: workerMs,
    });
    server.on("connection", (socket: Socket) => {
      socket.once("close", () => open.closed(socket));
      open.opened(socket, performance.now())?.destroy();
    });
    server.prependListener(
      "request",
      (req: IncomingMessage, res: ServerResponse) => {
        const { socket } = req;
        open.asked(socket, kindOf(req.url));
        res.once("close", () => open.answered(socket, performance.now()));
      },
    );
    setInterval(() => {
      for (const socket of open.silent(performance.now())) socket.destroy();
    }, SWEEP_MS).unref();
    server.on("error", reject);
  });
}
