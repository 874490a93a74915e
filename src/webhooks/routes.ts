import { Hono, type MiddlewareHandler } from "hono";
import { parseJson } from "../transport/http-client.js";
import type { WebhookRequest } from "./subscription-requests.js";

type AskWebhooks = (
  request: WebhookRequest,
) => Promise<{ status: number; body: object }>;

const ACTS = ["pause", "resume", "test", "redrive"] as const;

/** `/v1/hooks`. A body that is no JSON is refused before anything is read. */
export function webhookRoutes(
  ask: AskWebhooks,
  limit: MiddlewareHandler,
): Hono {
  const app = new Hono();
  const answer = async (request: WebhookRequest): Promise<Response> => {
    const r = await ask(request);
    return Response.json(r.body, {
      status: r.status,
      ...(r.status === 503 ? { headers: { "retry-after": "1" } } : {}),
    });
  };
  const withBody = async (
    text: string,
    make: (body: unknown) => WebhookRequest,
  ): Promise<Response> => {
    const body = parseJson(text);
    return body === undefined
      ? Response.json({ error: "body: not JSON" }, { status: 400 })
      : answer(make(body));
  };
  app.get("/v1/hooks", () => answer({ is: "list" }));
  app.post("/v1/hooks", limit, async (c) =>
    withBody(await c.req.text(), (body) => ({ is: "add", body })),
  );
  app.get("/v1/hooks/:name", (c) =>
    answer({ is: "show", name: c.req.param("name") }),
  );
  app.patch("/v1/hooks/:name", limit, async (c) =>
    withBody(await c.req.text(), (body) => ({
      is: "change",
      name: c.req.param("name"),
      body,
    })),
  );
  app.delete("/v1/hooks/:name", (c) =>
    answer({ is: "remove", name: c.req.param("name") }),
  );
  app.get("/v1/hooks/:name/dead", (c) =>
    answer({
      is: "dead",
      name: c.req.param("name"),
      after: c.req.query("after") ?? "",
    }),
  );
  for (const act of ACTS)
    app.post(`/v1/hooks/:name/${act}`, limit, (c) =>
      answer({ is: "act", name: c.req.param("name"), act }),
    );
  return app;
}
