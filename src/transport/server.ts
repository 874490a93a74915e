import type { Server } from "node:http";
import { serve } from "@hono/node-server";
import { Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import type { Answer, Input } from "../coordination/effects.js";
import { jobBody, JOB_ID, parseJob } from "../protocol/jobs.js";
import { answerBody, parseReport, redirectBody } from "../protocol/workers.js";
import type { Settings } from "../config/settings.js";

const MAX_BODY = 64 * 1024;

/** What the HTTP side needs of the core: one answer for each question, at once or soon. */
export interface Asked {
  ask(input: (req: number) => Input): Promise<Answer>;
  ready(): boolean;
  /** Passes a report on to its master; null: that can't be reached. */
  relay(master: string, zone: string, body: string): Promise<{ status: number; body: string } | null>;
  /** Somebody sent what can't be read. */
  malformed(what: string, error: string): void;
}

const bad = (error: string): Response => Response.json({ error }, { status: 400 });

export function toHttp(a: Answer): Response {
  switch (a.is) {
    case "job":
      return Response.json(jobBody(a.id, a.state, a.done === undefined ? undefined : { done: a.done, running: a.running ?? 0 }, a.awaits), { status: a.status });
    case "tooLong":
      return bad(a.error);
    case "never":
      return Response.json({ error: a.error }, { status: 422 });
    case "unknownJob":
      return Response.json({ error: "no such job" }, { status: 404 });
    case "later":
      return Response.json({ error: a.why }, { status: 503, headers: { "retry-after": String(a.afterS) } });
    case "orders":
      return Response.json(answerBody(a.token, a.orders));
    case "elsewhere":
      return Response.json(redirectBody(a.master), { status: 421 });
    case "relay":
      return Response.json(redirectBody(null), { status: 421 });
  }
}

/** Users', workers' and health-check requests. */
export function api(core: Asked): Hono {
  const app = new Hono();
  const limit = bodyLimit({ maxSize: MAX_BODY, onError: () => bad("body: over 64 KiB") });
  app.get("/ready", () => Response.json({ ready: core.ready() }, { status: core.ready() ? 200 : 503 }));
  app.post("/v1/jobs", limit, async (c) => {
    const job = parseJob(await c.req.text());
    return job.ok ? toHttp(await core.ask((req) => ({ is: "submit", req, ...job.value }))) : bad(job.error);
  });
  app.get("/v1/jobs/:id", async (c) => {
    const id = c.req.param("id");
    return JOB_ID.test(id) ? toHttp(await core.ask((req) => ({ is: "status", req, id }))) : toHttp({ is: "unknownJob" });
  });
  app.post("/v1/jobs/:id/withdraw", limit, async (c) => {
    const id = c.req.param("id");
    return JOB_ID.test(id) ? toHttp(await core.ask((req) => ({ is: "withdraw", req, id }))) : toHttp({ is: "unknownJob" });
  });
  app.post("/hello", limit, async (c) => {
    const text = await c.req.text();
    const r = parseReport(text);
    if (!r.ok) {
      core.malformed("report", r.error);
      return bad(r.error);
    }
    const answer = await core.ask((req) => ({ is: "report", req, report: r.value, relayed: false }));
    if (answer.is !== "relay") return toHttp(answer);
    const relayed = await core.relay(answer.master, r.value.zone, text);
    if (!relayed || relayed.status !== 200) return toHttp({ is: "elsewhere", master: null });
    return new Response(relayed.body, { status: 200, headers: { "content-type": "application/json" } });
  });
  for (const path of ["/ready", "/v1/jobs", "/v1/jobs/:id", "/v1/jobs/:id/withdraw", "/hello"])
    app.all(path, () => Response.json({ error: "method not allowed" }, { status: 405 }));
  app.notFound(() => Response.json({ error: "no such path" }, { status: 404 }));
  app.onError((e) => Response.json({ error: e.message }, { status: 400 }));
  return app;
}

export function listen(app: Hono, settings: Settings): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = serve({ fetch: app.fetch, hostname: settings.clientListen.host, port: settings.clientListen.port }, () => resolve(server)) as Server;
    server.keepAliveTimeout = 75_000;
    server.requestTimeout = 20_000;
    // Room is left for the state service, the cloud, the workers and the other controllers.
    server.maxConnections = Math.floor(settings.maxSockets * 0.65);
    server.on("error", reject);
  });
}
