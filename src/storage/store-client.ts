/**
 * The process's connection to the state service. Keeps requests within this controller's share of the service's rate limits, and
 * sends them through a peer while the service cannot be reached directly.
 */
import type { Settings } from "../config/settings.js";
import {
  type StateCall,
  type StateReply,
  stateReply,
  stateRequest,
} from "../protocol/state.js";
import * as v from "valibot";
import { Frame } from "../protocol/frames.js";
import { HttpClient, parseJson } from "../transport/http-client.js";
import { RateLimiter } from "../transport/rate-limiter.js";

/** This controller's own requests must have failed for this long before they are sent through a peer. */
const UNAVAILABLE_AFTER_MS = 1_200;
/** While requests go through a peer, one is sent directly at this interval, to find out whether the service can be reached again. */
const PROBE_INTERVAL_MS = 1_000;
/** A request waits for the rate limits for at most this long. */
const MAX_QUEUED_MS = 1_500;
const MAX_QUEUED_REQUESTS = 500;
const REQUEST_TIMEOUT_MS = 1_500;
/** Longer than other requests take, since the list of all live records is large. */
const LIST_TIMEOUT_MS = 4_000;
const MAX_CONNECTIONS = 24;
const MAX_IDLE_CONNECTIONS = 8;

/**
 * Share of a burst that requests of each `CallPriority` leave to higher priorities: leases and users' requests leave nothing,
 * partition leaders a quarter, and background work (capacity records, moves of tasks) half.
 */
const RESERVED_BURST_SHARES = [0, 0, 0.25, 0.5];
/** Priority of requests sent for a peer: that of users' requests. */
const PEER_CALL_PRIORITY = 1;

/** Access to the state service through another controller. */
interface PeerChannel {
  /** Label of a peer that reaches the service; null if there is none. */
  peerWithStore(): string | null;
  call(
    label: string,
    type: typeof Frame.StoreCall,
    body: string,
    timeoutMs: number,
  ): Promise<{ status: number; body: string } | null>;
}

/** A reply, and the steady time (ms) at which the request was sent. */
interface TimedReply {
  reply: StateReply;
  sentMs: number;
}

/** The minimal check of a reply that came through a peer, which has already parsed it. */
const PeerReply = v.looseObject({
  is: v.picklist([
    "item",
    "items",
    "committed",
    "conflict",
    "hold",
    "touched",
    "gone",
    "changes",
    "refused",
    "unknown",
  ]),
});

/**
 * Sends requests within this controller's share of both rate limits (requests and writes per second). If this controller cannot
 * reach the service but a peer can, its requests are sent through that peer. Their replies mean the same, and times that count
 * from the sending of a request count from its sending here.
 */
export class StoreClient {
  private readonly httpClient = new HttpClient(
    MAX_CONNECTIONS,
    MAX_IDLE_CONNECTIONS,
  );
  private readonly limiter: RateLimiter;
  /** Since when this controller's own requests have failed (steady time, ms); null if the last one was answered. */
  private failingSinceMs: number | null = null;
  /** Steady time (ms) after which the next request is sent directly to the service. */
  private nextProbeMs = 0;
  /** Set once the peer mesh has been created. */
  peers: PeerChannel | null = null;

  constructor(private readonly settings: Settings) {
    const controllers = settings.peers.length + 1;
    const { rps, writeRps } = settings.state;
    const rates = [rps / controllers, writeRps / controllers];
    const bursts = rates.map((rate) => Math.max(1, rate));
    this.limiter = new RateLimiter(
      rates,
      bursts,
      MAX_QUEUED_REQUESTS,
      RESERVED_BURST_SHARES,
    );
  }

  /** Whether the service answered this controller's own last request. */
  get isReachable(): boolean {
    return this.failingSinceMs === null;
  }

  /** Sends a request for a peer, over this controller's own connection only. */
  async callForPeer(call: StateCall): Promise<StateReply> {
    const { reply } = await this.sendWithinLimits(
      call,
      PEER_CALL_PRIORITY,
      () => this.callDirectly(call),
    );
    return reply;
  }

  /** Sends a request directly or through a peer. `priority`: a `CallPriority`. */
  call(call: StateCall, priority: number): Promise<TimedReply> {
    return this.sendWithinLimits(call, priority, () => this.route(call));
  }

  /** Sends a request when the rate limits allow it, or refuses it if that takes too long. */
  private sendWithinLimits(
    call: StateCall,
    priority: number,
    send: () => Promise<StateReply>,
  ): Promise<TimedReply> {
    return new Promise((resolve, reject) => {
      const writes = call.op === "commit" ? call.writes.length : 0;
      this.limiter.add({
        priority,
        cost: [1, writes],
        deadlineMs: performance.now() + MAX_QUEUED_MS,
        refuse: () =>
          resolve({
            reply: { is: "refused", why: "rate limit" },
            sentMs: performance.now(),
          }),
        run: () => {
          const sentMs = performance.now();
          void send().then((reply) => resolve({ reply, sentMs }), reject);
        },
      });
    });
  }

  private route(call: StateCall): Promise<StateReply> {
    const nowMs = performance.now();
    const peers = this.isUnavailable(nowMs) ? this.peers : null;
    const label = peers?.peerWithStore() ?? null;
    if (peers === null || label === null) return this.callDirectly(call);
    if (nowMs > this.nextProbeMs) {
      this.nextProbeMs = nowMs + PROBE_INTERVAL_MS;
      return this.callDirectly(call);
    }
    return StoreClient.callThroughPeer(peers, label, call);
  }

  private isUnavailable(nowMs: number): boolean {
    return (
      this.failingSinceMs !== null &&
      nowMs - this.failingSinceMs > UNAVAILABLE_AFTER_MS
    );
  }

  private static async callThroughPeer(
    peers: PeerChannel,
    label: string,
    call: StateCall,
  ): Promise<StateReply> {
    const answer = await peers.call(
      label,
      Frame.StoreCall,
      JSON.stringify(call),
      StoreClient.timeoutMs(call),
    );
    const parsed =
      answer?.status === 200
        ? v.safeParse(PeerReply, parseJson(answer.body))
        : null;
    return parsed?.success
      ? (parsed.output as unknown as StateReply)
      : { is: "unknown", why: "peer did not answer" };
  }

  private async callDirectly(call: StateCall): Promise<StateReply> {
    const { method, path, body } = stateRequest(call);
    const { host, port } = this.settings.state;
    const outcome = await this.httpClient.fetch(
      host,
      port,
      method,
      path,
      body,
      StoreClient.timeoutMs(call),
    );
    if (outcome.kind !== "answered" || outcome.status === 503)
      this.failingSinceMs ??= performance.now();
    else this.failingSinceMs = null;
    return outcome.kind === "answered"
      ? stateReply(call, outcome.status, parseJson(outcome.body))
      : { is: outcome.kind, why: outcome.reason };
  }

  private static timeoutMs(call: StateCall): number {
    if (call.op === "changes") return call.waitMs + REQUEST_TIMEOUT_MS;
    return call.op === "list" ? LIST_TIMEOUT_MS : REQUEST_TIMEOUT_MS;
  }
}
