import type { Settings } from "../config/settings.js";
import {
  type CloudCall,
  type CloudReply,
  OWN_RATE_LIMIT,
} from "../coordination/effects.js";
import {
  listPath,
  parseCatalog,
  parseList,
  parseRented,
  rentBody,
  returnBody,
} from "../protocol/cloud.js";
import { HttpClient, parseJson } from "./http-client.js";
import { RateLimiter } from "./rate-limiter.js";

const ANSWER_TIMEOUT_MS = 4_000;

function toRequest(call: CloudCall): {
  method: "GET" | "POST";
  path: string;
  body?: string;
} {
  switch (call.op) {
    case "catalog":
      return { method: "GET", path: "/catalog" };
    case "list":
      return { method: "GET", path: listPath(call.after) };
    case "rent":
      return {
        method: "POST",
        path: "/hosts",
        body: JSON.stringify(
          rentBody(call.request, call.type, call.zone, call.spot, call.count),
        ),
      };
    case "return":
      return {
        method: "POST",
        path: "/hosts/return",
        body: JSON.stringify(returnBody(call.machines)),
      };
  }
}

function toReply(call: CloudCall, status: number, raw: unknown): CloudReply {
  const failed: CloudReply = { kind: "failed", why: String(status) };
  if (
    call.op === "rent" &&
    status === 503 &&
    (raw as { error?: unknown } | undefined)?.error === "no capacity"
  )
    return { kind: "noCapacity" };
  if (call.op === "rent" && status === 400) return { kind: "noCapacity" };
  if (status !== 200) return failed;
  switch (call.op) {
    case "catalog": {
      const types = parseCatalog(raw);
      return types ? { kind: "catalog", types } : failed;
    }
    case "list": {
      const page = parseList(raw);
      return page ? { kind: "list", ...page } : failed;
    }
    case "rent": {
      const machines = parseRented(raw);
      return machines ? { kind: "rented", machines } : failed;
    }
    case "return":
      return { kind: "returned" };
  }
}

/** Calls the cloud platform within this controller's share of its rate limit. A burst may use the share of two seconds. */
export class CloudClient {
  private readonly httpClient = new HttpClient(4, 2);
  private readonly limiter: RateLimiter;

  constructor(private readonly settings: Settings) {
    const rate = settings.cloud.rps / (settings.peers.length + 1);
    this.limiter = new RateLimiter([rate], [Math.max(1, rate * 2)], 50);
  }

  call(call: CloudCall, priority: number): Promise<CloudReply> {
    return new Promise((resolve, reject) => {
      this.limiter.add({
        priority: priority,
        cost: [1],
        deadlineMs: performance.now() + 10_000,
        refuse: () => resolve({ kind: "failed", why: OWN_RATE_LIMIT }),
        run: () => void this.send(call).then(resolve, reject),
      });
    });
  }

  private async send(call: CloudCall): Promise<CloudReply> {
    const { method, path, body } = toRequest(call);
    const { host, port } = this.settings.cloud;
    const outcome = await this.httpClient.fetch(
      host,
      port,
      method,
      path,
      body,
      ANSWER_TIMEOUT_MS,
    );
    return outcome.kind === "answered"
      ? toReply(call, outcome.status, parseJson(outcome.body))
      : { kind: "failed", why: outcome.reason };
  }
}
