/** The door of hooks: notifications of jobs' ends, delivered once. Loaded only when the operators' file turns them on. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Hono, MiddlewareHandler } from "hono";
import type { HooksFile } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import type { Effect } from "../coordination/effects.js";
import type { LogEntry } from "../logging/events.js";
import type { StateCall, StateReply } from "../protocol/state.js";
import {
  WebhookCore,
  type WebhookEffect,
  type WebhookInput,
} from "./webhook-core.js";
import { webhookRoutes } from "./routes.js";
import { WebhookSender } from "./webhook-sender.js";
import { webhookLimits, senderSettings } from "./settings.js";
import type { WebhookRequest } from "./subscription-requests.js";

export { checkWebhookSettings } from "./settings.js";

/** What hooks need of the process that they run in. */
interface WebhookHost {
  /** A call to the state service, within this controller's limits. */
  state(call: StateCall, urgent: number): Promise<StateReply>;
  leadershipLease(): { storeLease: number | null; untilMs: number };
  log(entry: LogEntry): void;
  /** For metrics. */
  settled(outcome: "delivered" | "dead", tookMs: number): void;
  attempted(outcome: string, tookMs: number): void;
}

const ASKED_MS = 5_000;

/** Runs the core of hooks: its calls, attempts and questions. */
export class Webhooks {
  private readonly core: WebhookCore;
  private readonly sender: WebhookSender;
  private readonly asked = new Map<
    number,
    (r: { status: number; body: object }) => void
  >();
  private requests = 0;

  /** Throws a plain sentence if the settings are bad. `file`: where they come from. */
  constructor(
    settings: HooksFile,
    platform: Settings,
    file: string,
    agent: string,
    private readonly host: WebhookHost,
  ) {
    const sending = senderSettings(settings, file, agent);
    this.sender = new WebhookSender(sending);
    const rng = xoroshiro128plus((Date.now() ^ (process.pid << 16)) | 0);
    this.core = new WebhookCore(
      platform.label,
      webhookLimits(settings, platform),
      () => uniformFloat64(rng),
      new Set(sending.keys.keys()),
      (url) => this.sender.refuses(url),
    );
  }

  /** What the scheduler's core read of the state service. */
  onStoreChanges(e: Extract<Effect, { type: "storeChanges" }>): void {
    this.feed({
      type: "storeChanges",
      from: e.from,
      to: e.to,
      changes: e.changes,
    });
  }
  tick(): void {
    this.feed({ type: "permit", ...this.host.leadershipLease() });
  }
  routes(limit: MiddlewareHandler): Hono {
    return webhookRoutes((r) => this.ask(r), limit);
  }
  get figures(): WebhookCore["figures"] {
    return this.core.figures;
  }

  private ask(
    request: WebhookRequest,
  ): Promise<{ status: number; body: object }> {
    return new Promise((resolve) => {
      const req = ++this.requests;
      const end = (r: { status: number; body: object }): void => {
        clearTimeout(timer);
        this.asked.delete(req);
        resolve(r);
      };
      const timer = setTimeout(
        () =>
          end({
            status: 503,
            body: { error: "state service does not answer" },
          }),
        ASKED_MS,
      );
      this.asked.set(req, end);
      this.feed({ type: "request", req, request });
    });
  }

  private feed(input: WebhookInput): void {
    for (const e of this.core.step(input, performance.now(), Date.now()))
      this.carryOut(e);
  }
  private carryOut(e: WebhookEffect): void {
    switch (e.type) {
      case "state":
        void this.host
          .state(e.call, e.urgent)
          .then((reply) => this.feed({ type: "state", op: e.op, reply }));
        break;
      case "attempt": {
        const sentMs = performance.now();
        void this.sender
          .attempt(e.attempt, e.webhook, e.launch)
          .then((result) => {
            this.host.attempted(
              result.is === "failed"
                ? result.why
                : result.is === "answered"
                  ? `${Math.floor(result.status / 100)}xx`
                  : result.is,
              performance.now() - sentMs,
            );
            this.feed({ type: "attempted", attempt: e.attempt, result });
          });
        break;
      }
      case "abort":
        this.sender.abort(e.attempt);
        break;
      case "reply":
        this.asked.get(e.req)?.({ status: e.status, body: e.body });
        break;
      case "settled":
        this.host.settled(e.outcome, e.tookMs);
        break;
      case "log":
        this.host.log(e);
        break;
    }
  }
}
