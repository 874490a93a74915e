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

/** Users and holds take what there is; masters leave them a quarter of a burst, written room and moves half of it. */
const KEPT = [0, 0, 0.25, 0.5];

/** A way to the state service through another controller. */
interface PeerChannel {
  withState(): string | null;
  call(
    label: string,
    type: typeof Frame.StoreCall,
    body: string,
    timeoutMs: number,
  ): Promise<{ status: number; body: string } | null>;
}

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
 * Requests to the state service, within this controller's part of both limits. A controller that the service
 * refuses while it serves a peer asks that peer to carry them: the answers mean the same, and what is counted
 * from their sending is counted from here.
 */
export class StoreClient {
  private readonly client = new HttpClient(24, 8);
  private readonly limiter: RateLimiter;
  /** Since when our own requests have failed; null: the last one was answered. */
  private failingMs: number | null = null;
  private probeMs = 0;
  peers: PeerChannel | null = null;

  constructor(private readonly settings: Settings) {
    const nodes = settings.peers.length + 1;
    const rates = [settings.state.rps / nodes, settings.state.writeRps / nodes];
    this.limiter = new RateLimiter(
      rates,
      rates.map((r) => Math.max(1, r)),
      500,
      KEPT,
    );
  }

  get ok(): boolean {
    return this.failingMs === null;
  }

  private static timeoutMs(call: StateCall): number {
    if (call.op === "changes") return call.waitMs + 1_500;
    return call.op === "list" ? 4_000 : 1_500;
  }

  /** For a peer: over this controller's own connection only. */
  carry(call: StateCall): Promise<StateReply> {
    return this.limited(call, 1, () => this.direct(call)).then((r) => r.reply);
  }

  call(
    call: StateCall,
    urgent: number,
  ): Promise<{ reply: StateReply; sentMs: number }> {
    return this.limited(call, urgent, () => this.route(call));
  }

  private limited(
    call: StateCall,
    urgent: number,
    send: () => Promise<StateReply>,
  ): Promise<{ reply: StateReply; sentMs: number }> {
    return new Promise((resolve) => {
      const writes = call.op === "commit" ? call.writes.length : 0;
      this.limiter.add({
        priority: urgent,
        cost: [1, writes],
        deadlineMs: performance.now() + 1_500,
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
    const now = performance.now();
    const peer =
      this.failingMs !== null && now - this.failingMs > UNAVAILABLE_AFTER_MS
        ? (this.peers?.withState() ?? null)
        : null;
    if (peer === null) return this.direct(call);
    // One request in a while goes the straight way, to see whether it is open again.
    if (now > this.probeMs) {
      this.probeMs = now + 1_000;
      return this.direct(call);
    }
    return this.peers!.call(
      peer,
      Frame.StoreCall,
      JSON.stringify(call),
      StoreClient.timeoutMs(call),
    ).then((r) => {
      const got =
        r?.status === 200 ? v.safeParse(Reply, parseJson(r.body)) : null;
      return got?.success
        ? (got.output as unknown as StateReply)
        : { is: "unknown", why: "peer did not answer" };
    });
  }

  private async direct(call: StateCall): Promise<StateReply> {
    const { method, path, body } = stateRequest(call);
    const { host, port } = this.settings.state;
    const f = await this.client.fetch(
      host,
      port,
      method,
      path,
      body,
      StoreClient.timeoutMs(call),
    );
    if (f.kind !== "answered" || f.status === 503)
      this.failingMs ??= performance.now();
    else this.failingMs = null;
    return f.kind === "answered"
      ? stateReply(call, f.status, parseJson(f.body))
      : { is: f.kind, why: f.why };
  }
}
