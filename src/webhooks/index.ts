/** Webhooks: notify receivers of the ends of jobs, once each. Loaded only if the operators' file turns them on. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Hono, MiddlewareHandler } from "hono";
import type { WebhookFileSettings } from "../config/operator.js";
import type { Settings } from "../config/settings.js";
import type { Effect } from "../coordination/effects.js";
import type { LogEntry } from "../logging/events.js";
import type { StateCall, StateReply } from "../protocol/state.js";
import { settled } from "../transport/settled.js";
import type { AttemptResult } from "./delivery.js";
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

/** What webhooks need from the process that they run in. */
interface WebhookHost {
  /** Calls the state service within this controller's rate limits. */
  callStore(call: StateCall, priority: number): Promise<StateReply>;
  leadershipLease(): { storeLease: number | null; untilMs: number };
  log(entry: LogEntry): void;
  /** For metrics. */
  notificationSettled(outcome: "delivered" | "dead", tookMs: number): void;
  attemptEnded(outcome: string, tookMs: number): void;
  /** A call failed in a way that it never should. */
  callFailed(error: unknown): void;
}

const REQUEST_TIMEOUT_MS = 5_000;

/** The outcome of an attempt as the metrics name it. */
function outcomeLabel(result: AttemptResult): string {
  if (result.is === "failed") return result.reason;
  if (result.is === "answered") return `${Math.floor(result.status / 100)}xx`;
  return result.is;
}

/** Runs the webhook core: carries out its effects and passes it the results, user requests and changes. */
export class Webhooks {
  private readonly core: WebhookCore;
  private readonly sender: WebhookSender;
  private readonly pendingRequests = new Map<
    number,
    (reply: { status: number; body: object }) => void
  >();
  private lastReqId = 0;

  /** Throws a SettingsError if the settings are invalid. `file`: the operators' file, for the message. */
  constructor(
    settings: WebhookFileSettings,
    platform: Settings,
    file: string,
    userAgent: string,
    private readonly host: WebhookHost,
  ) {
    const senderConfig = senderSettings(settings, file, userAgent);
    this.sender = new WebhookSender(senderConfig);
    const rng = xoroshiro128plus((Date.now() ^ (process.pid << 16)) | 0);
    this.core = new WebhookCore(
      platform.label,
      webhookLimits(settings, platform),
      () => uniformFloat64(rng),
      new Set(senderConfig.keys.keys()),
      (url) => this.sender.urlProblem(url),
    );
  }

  /** Passes on changes that the scheduler's core read from the state service. */
  onStoreChanges(effect: Extract<Effect, { type: "storeChanges" }>): void {
    this.step({
      type: "storeChanges",
      from: effect.from,
      to: effect.to,
      changes: effect.changes,
    });
  }
  tick(): void {
    this.step({ type: "permit", ...this.host.leadershipLease() });
  }
  routes(bodyLimit: MiddlewareHandler): Hono {
    return webhookRoutes((request) => this.handleRequest(request), bodyLimit);
  }
  get figures(): WebhookCore["figures"] {
    return this.core.figures;
  }

  private handleRequest(
    request: WebhookRequest,
  ): Promise<{ status: number; body: object }> {
    return new Promise((resolve) => {
      const reqId = ++this.lastReqId;
      const finish = (reply: { status: number; body: object }): void => {
        clearTimeout(timer);
        this.pendingRequests.delete(reqId);
        resolve(reply);
      };
      const timer = setTimeout(
        () =>
          finish({
            status: 503,
            body: { error: "state service does not answer" },
          }),
        REQUEST_TIMEOUT_MS,
      );
      this.pendingRequests.set(reqId, finish);
      this.step({ type: "request", reqId, request });
    });
  }

  private step(input: WebhookInput): void {
    for (const effect of this.core.step(input, performance.now(), Date.now()))
      this.carryOut(effect);
  }

  private callStore({
    callId,
    call,
    priority,
  }: Extract<WebhookEffect, { type: "state" }>): void {
    void settled(
      () => this.host.callStore(call, priority),
      { is: "unknown", why: "internal error" },
      (error) => this.host.callFailed(error),
    ).then((reply) => this.step({ type: "state", callId, reply }));
  }

  /** Whatever goes wrong on the way to the request is a failed attempt; the receiver may have it, since that is not known. */
  private attempt({
    attemptId,
    webhook,
    request,
  }: Extract<WebhookEffect, { type: "attempt" }>): void {
    const sentMs = performance.now();
    void settled<AttemptResult>(
      () => this.sender.attempt(attemptId, webhook, request),
      { is: "failed", reason: "reset" },
      (error) => this.host.callFailed(error),
    ).then((result) => {
      this.host.attemptEnded(outcomeLabel(result), performance.now() - sentMs);
      this.step({ type: "attempted", attemptId, result });
    });
  }

  private carryOut(effect: WebhookEffect): void {
    switch (effect.type) {
      case "state":
        this.callStore(effect);
        break;
      case "attempt":
        this.attempt(effect);
        break;
      case "abort":
        this.sender.abort(effect.attemptId);
        break;
      case "reply":
        this.pendingRequests.get(effect.reqId)?.({
          status: effect.status,
          body: effect.body,
        });
        break;
      case "settled":
        this.host.notificationSettled(effect.outcome, effect.tookMs);
        break;
      case "log":
        this.host.log(effect);
        break;
    }
  }
}
