import { Hono, type MiddlewareHandler } from "hono";
import { parseJson } from "../transport/http-client.js";
import type { WebhookRequest } from "./subscription-requests.js";

type AskWebhooks = (
  request: WebhookRequest,
) => Promise<{ status: number; body: object }>;

const ACTIONS = ["pause", "resume", "test", "redrive"] as const;

/** The routes under `/v1/hooks`. A body that is not JSON is rejected before the state service is read. */
export function webhookRoutes(
  ask: AskWebhooks,
  bodyLimit: MiddlewareHandler,
): Hono {
  const app = new Hono();
  const respond = async (request: WebhookRequest): Promise<Response> => {
    const reply = await ask(request);
    return Response.json(reply.body, {
      status: reply.status,
      ...(reply.status === 503 ? { headers: { "retry-after": "1" } } : {}),
    });
  };
  const withBody = async (
    text: string,
    toRequest: (body: unknown) => WebhookRequest,
  ): Promise<Response> => {
    const body = parseJson(text);
    return body === undefined
      ? Response.json({ error: "body: not JSON" }, { status: 400 })
      : respond(toRequest(body));
  };
  app.get("/v1/hooks", () => respond({ is: "list" }));
  app.post("/v1/hooks", bodyLimit, async (c) =>
    withBody(await c.req.text(), (body) => ({ is: "add", body })),
  );
  app.get("/v1/hooks/:name", (c) =>
    respond({ is: "show", name: c.req.param("name") }),
  );
  app.patch("/v1/hooks/:name", bodyLimit, async (c) =>
    withBody(await c.req.text(), (body) => ({
      is: "change",
      name: c.req.param("name"),
      body,
    })),
  );
  app.delete("/v1/hooks/:name", (c) =>
    respond({ is: "remove", name: c.req.param("name") }),
  );
  app.get("/v1/hooks/:name/dead", (c) =>
    respond({
      is: "dead",
      name: c.req.param("name"),
      after: c.req.query("after") ?? "",
    }),
  );
  for (const act of ACTIONS)
    app.post(`/v1/hooks/:name/${act}`, bodyLimit, (c) =>
      respond({ is: "act", name: c.req.param("name"), act }),
    );
  return app;
}
