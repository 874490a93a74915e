/**
 * The process's connection to the state service. It keeps this controller's part of the service's limits, and goes through a
 * peer while the service can't be reached from here.
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

/** Our own requests must have failed for this long before a peer is asked. */
const UNAVAILABLE_AFTER_MS = 1_200;
/** While a peer carries the requests, one goes straight to the service so often, to see whether it can be reached again. */
const PROBE_INTERVAL_MS = 1_000;
/** A request waits for its turn within the limits for at most this long. */
const MAX_QUEUED_MS = 1_500;
const MAX_QUEUED_REQUESTS = 500;
const REQUEST_TIMEOUT_MS = 1_500;
/** Lists of all live records are long. */
const LIST_TIMEOUT_MS = 4_000;
const MAX_CONNECTIONS = 24;
const MAX_IDLE_CONNECTIONS = 8;

/**
 * Part of a burst that requests of each priority leave to more urgent ones: leases and users take what there is, leaders
 * leave a quarter, capacity records and moves of tasks half.
 */
const RESERVED_BURST_SHARES = [0, 0, 0.25, 0.5];
/** Priority of what is carried for a peer: that of users' requests. */
const CARRIED_PRIORITY = 1;

/** A way to the state service through another controller. */
interface PeerChannel {
  /** Label of a peer that reaches the service; null: there is none. */
  peerWithStore(): string | null;
  call(
    label: string,
    type: typeof Frame.StoreCall,
    body: string,
    timeoutMs: number,
  ): Promise<{ status: number; body: string } | null>;
}

/** An answer, and when the request was sent; steady time, ms. */
interface TimedReply {
  reply: StateReply;
  sentMs: number;
}

/** What an answer that came through a peer must have at least: the peer has parsed it. */
const Reply = v.looseObject({
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
 * Sends requests within this controller's part of both limits (requests and changes a second). A controller that can't reach
 * the service, while a peer does, asks that peer to carry its requests: the answers mean the same, and what is counted from
 * their sending is counted from here.
 */
export class StoreClient {
  private readonly client = new HttpClient(
    MAX_CONNECTIONS,
    MAX_IDLE_CONNECTIONS,
  );
  private readonly limiter: RateLimiter;
  /** Since when our own requests have failed (steady time, ms); null: the last one was answered. */
  private failingSinceMs: number | null = null;
  /** Steady time, ms, after which the next request goes straight to the service. */
  private nextProbeMs = 0;
  /** Set once the peer mesh is there. */
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

  /** Whether the service answered our own last request. */
  get isReachable(): boolean {
    return this.failingSinceMs === null;
  }

  /** For a peer: over this controller's own connection only. */
  async callForPeer(call: StateCall): Promise<StateReply> {
    const { reply } = await this.limited(call, CARRIED_PRIORITY, () =>
      this.callDirectly(call),
    );
    return reply;
  }

  /** `priority`: a `CallPriority`. */
  call(call: StateCall, priority: number): Promise<TimedReply> {
    return this.limited(call, priority, () => this.route(call));
  }

  /** Sends a request when the limits allow it, or refuses it if that takes too long. */
  private limited(
    call: StateCall,
    priority: number,
    send: () => Promise<StateReply>,
  ): Promise<TimedReply> {
    return new Promise((resolve) => {
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
          void send().then((reply) => resolve({ reply, sentMs }));
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
        ? v.safeParse(Reply, parseJson(answer.body))
        : null;
    return parsed?.success
      ? (parsed.output as unknown as StateReply)
      : { is: "unknown", why: "peer did not answer" };
  }

  private async callDirectly(call: StateCall): Promise<StateReply> {
    const { method, path, body } = stateRequest(call);
    const { host, port } = this.settings.state;
    const outcome = await this.client.fetch(
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
      : { is: outcome.kind, why: outcome.why };
  }

  private static timeoutMs(call: StateCall): number {
    if (call.op === "changes") return call.waitMs + REQUEST_TIMEOUT_MS;
    return call.op === "list" ? LIST_TIMEOUT_MS : REQUEST_TIMEOUT_MS;
  }
}
