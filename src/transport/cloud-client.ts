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
      const l = parseList(raw);
      return l ? { kind: "list", ...l } : failed;
    }
    case "rent": {
      const machines = parseRented(raw);
      return machines ? { kind: "rented", machines } : failed;
    }
    case "return":
      return { kind: "returned" };
  }
}

/** Calls to the cloud, within this controller's part of its limit (bursts worth two seconds are allowed). */
export class CloudClient {
  private readonly client = new HttpClient(4, 2);
  private readonly limiter: RateLimiter;

  constructor(private readonly settings: Settings) {
    const rate = settings.cloud.rps / (settings.peers.length + 1);
    this.limiter = new RateLimiter([rate], [Math.max(1, rate * 2)], 50);
  }

  call(call: CloudCall, urgent: number): Promise<CloudReply> {
    return new Promise((resolve) => {
      this.limiter.add({
        priority: urgent,
        cost: [1],
        deadlineMs: performance.now() + 10_000,
        refuse: () => resolve({ kind: "failed", why: OWN_RATE_LIMIT }),
        run: () => {
          const { method, path, body } = toRequest(call);
          const { host, port } = this.settings.cloud;
          void this.client
            .fetch(host, port, method, path, body, 4_000)
            .then((f) =>
              resolve(
                f.kind === "answered"
                  ? toReply(call, f.status, parseJson(f.body))
                  : { kind: "failed", why: f.why },
              ),
            );
        },
      });
    });
  }
}
