import type { StateCall, StateReply, Write } from "../../src/protocol/state.js";
import { finalKey, writeFinal } from "../../src/storage/records.js";
import {
  WebhookCore,
  type WebhookEffect,
  type WebhookInput,
  type WebhookLimits,
} from "../../src/webhooks/webhook-core.js";
import type {
  AttemptResult,
  AttemptRequest,
} from "../../src/webhooks/delivery.js";
import { WEBHOOKS_PREFIX } from "../../src/webhooks/records.js";
import { Rng } from "../simulation/rng.js";
import { Store } from "./store.js";

export const LIMITS: WebhookLimits = {
  valueBytes: 1_800,
  txnOps: 12,
  parallel: 4,
  horizonMs: 3 * 86_400_000,
  backoff: { baseMs: 1_000, maxMs: 600_000 },
  spoolBatches: 200,
  settleEveryRevisions: 150,
  changesPerS: 2,
  changesBurst: 4,
  inFlight: 16,
  breakerAfter: 5,
  breakerPause: { baseMs: 2_000, maxMs: 120_000 },
  subscriptions: 50,
};
const LEASE_TTL_MS = 12_000;
const DEADLINE_MS = 10_000;

type ReceiverMode =
  | "healthy"
  | "silent"
  /** The notification never arrives. */
  | "silent-lost"
  | "late"
  | "reset"
  | "reset-after-receipt"
  | "500"
  | "429"
  | "refused"
  | "tls"
  | "410";

/** A simulated receiver, which records the notifications it accepted and every call. */
export class Receiver {
  mode: ReceiverMode = "healthy";
  /** By job id: how often the notification was received. */
  readonly receivedCounts = new Map<string, number>();
  /** Notifications that were received, as `webhook id`. */
  readonly delivered = new Set<string>();
  /** By job id: when the notification was first received, in simulated ms. */
  readonly firstReceivedMs = new Map<string, number>();
  readonly calls: {
    webhook: string;
    id: string;
    attempt: number;
    reason: string | null;
    node: string;
    atMs: number;
  }[] = [];
  constructor(readonly rng: Rng) {}

  noteReceived(webhook: string, id: string, atMs: number): void {
    this.delivered.add(`${webhook} ${id}`);
    if (!this.firstReceivedMs.has(id)) this.firstReceivedMs.set(id, atMs);
    this.receivedCounts.set(id, (this.receivedCounts.get(id) ?? 0) + 1);
  }

  /** The result for the sender (null: a timeout), when it arrives, and whether the receiver got the notification. */
  respond(): {
    result: AttemptResult | null;
    afterMs: number;
    received: boolean;
  } {
    const roundTripMs = this.rng.real(5, 300);
    switch (this.mode) {
      case "healthy":
        return {
          result: { is: "answered", status: 204, retryAfterMs: null },
          afterMs: roundTripMs,
          received: true,
        };
      case "silent":
        return { result: null, afterMs: 0, received: this.rng.chance(0.5) };
      case "silent-lost":
        return { result: null, afterMs: 0, received: false };
      case "late":
        return { result: null, afterMs: 0, received: true };
      case "reset":
        return {
          result: { is: "failed", reason: "reset" },
          afterMs: roundTripMs,
          received: this.rng.chance(0.5),
        };
      case "reset-after-receipt":
        return {
          result: { is: "failed", reason: "reset" },
          afterMs: roundTripMs,
          received: true,
        };
      case "500":
        return {
          result: { is: "answered", status: 500, retryAfterMs: null },
          afterMs: roundTripMs,
          received: false,
        };
      case "429":
        return {
          result: { is: "answered", status: 429, retryAfterMs: 5_000 },
          afterMs: roundTripMs,
          received: false,
        };
      case "410":
        return {
          result: { is: "answered", status: 410, retryAfterMs: null },
          afterMs: roundTripMs,
          received: false,
        };
      default:
        return {
          result: { is: "failed", reason: this.mode },
          afterMs: roundTripMs,
          received: false,
        };
    }
  }
}

class Node {
  core: WebhookCore | null = null;
  storeLease: number | null = null;
  revision = -1;
  leaseUntilMs = -Infinity;
  /** Counts starts and kills. Replies and results for an earlier incarnation are dropped. */
  incarnation = 0;
  attemptsInFlight = new Map<number, { webhook: string; id: string }>();
  /** Whether the state service is unreachable for this controller. */
  disconnected = false;
  frozen = false;
  /** What happened while the controller was frozen, to be handled afterwards. */
  deferred: (() => void)[] = [];
  constructor(readonly label: string) {}
}

/** Webhook cores of several controllers, a state service and receivers: seeded, in simulated time, with checks at every attempt. */
export class WebhookWorld {
  now = 0;
  readonly rng: Rng;
  readonly store: Store;
  readonly nodes: Node[];
  readonly receivers = new Map<string, Receiver>();
  /** Violated rules. */
  readonly violations: string[] = [];
  /** The job ends so far, by job id. */
  readonly ended = new Map<
    string,
    { team: string; outcome: "done" | "cancelled"; atMs: number }
  >();
  readonly endOrder: string[] = [];
  readonly replies = new Map<
    number,
    { status: number; body: Record<string, unknown> }
  >();
  /** Probability that a call to the state service, or its reply, is lost. */
  callLossProbability = 0;
  private events: { atMs: number; sequence: number; run: () => void }[] = [];
  private lastSequence = 0;
  private lastReqId = 0;
  private readonly lastAttempt = new Map<
    string,
    { attempt: number; node: string }
  >();

  constructor(
    seed: number,
    private limits: WebhookLimits = LIMITS,
    nodes = 3,
    changesPerS = Infinity,
    keptChanges = 10_000,
  ) {
    this.rng = new Rng(seed);
    this.store = new Store(() => this.now, {
      valueBytes: limits.valueBytes,
      txnOps: limits.txnOps,
      changesPerS,
      keptChanges,
    });
    this.nodes = Array.from({ length: nodes }, (_, i) => new Node(`n${i}`));
    for (const node of this.nodes) this.start(node);
  }

  /** Announces limits of the state service: controllers go by them from their next start on. */
  announceLimits(limits: WebhookLimits): void {
    this.limits = limits;
  }

  at(delayMs: number, run: () => void): void {
    const event = {
      atMs: this.now + Math.max(0, delayMs),
      sequence: ++this.lastSequence,
      run,
    };
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.events[middle]!;
      if (
        other.atMs < event.atMs ||
        (other.atMs === event.atMs && other.sequence < event.sequence)
      )
        low = middle + 1;
      else high = middle;
    }
    this.events.splice(low, 0, event);
  }
  run(forMs: number): void {
    const endMs = this.now + forMs;
    for (;;) {
      const event = this.events[0];
      if (!event || event.atMs > endMs) break;
      this.events.shift();
      this.now = event.atMs;
      event.run();
    }
    this.now = endMs;
  }

  // ---- controllers ---------------------------------------------------------------------------------------

  start(node: Node): void {
    const incarnation = ++node.incarnation;
    node.core = new WebhookCore(
      node.label,
      this.limits,
      () => this.rng.real(),
      new Set(["k1", "k2"]),
      (url) => (url.startsWith("http") ? null : "not a URL"),
    );
    node.revision = -1;
    node.storeLease = null;
    node.leaseUntilMs = -Infinity;
    node.attemptsInFlight = new Map();
    const ifAlive = (action: () => void) => (): void => {
      if (node.incarnation !== incarnation) return;
      if (node.frozen) node.deferred.push(action);
      else action();
    };
    const tick = (): void => {
      this.feed(node, {
        type: "permit",
        storeLease: node.storeLease,
        untilMs: node.leaseUntilMs,
      });
      this.feed(node, { type: "tick" });
      this.at(200, ifAlive(tick));
    };
    const renewLease = (): void => {
      const sentMs = this.now;
      const onReply = (reply: StateReply): void => {
        if (reply.is === "hold") node.storeLease = reply.hold;
        if (reply.is === "gone") {
          node.storeLease = null;
          node.leaseUntilMs = -Infinity;
          return renewLease();
        }
        if (reply.is === "hold" || reply.is === "touched")
          node.leaseUntilMs = sentMs + LEASE_TTL_MS * 0.998 - 100;
        this.at(LEASE_TTL_MS / 8, ifAlive(renewLease));
      };
      this.call(
        node,
        incarnation,
        node.storeLease === null
          ? { op: "newHold", ttlMs: LEASE_TTL_MS }
          : { op: "touch", hold: node.storeLease },
        onReply,
      );
    };
    const watch = (): void => {
      const since = node.revision < 0 ? this.store.revision : node.revision;
      this.call(
        node,
        incarnation,
        { op: "changes", prefix: "lc/", since, waitMs: 2_000 },
        (reply) => {
          if (reply.is === "changes") {
            node.revision = reply.epoch;
            this.feed(node, {
              type: "storeChanges",
              from: since,
              to: reply.epoch,
              changes: reply.changes,
            });
          } else if (reply.is === "gone") node.revision = -1;
          this.at(60, ifAlive(watch));
        },
      );
    };
    renewLease();
    watch();
    this.at(this.rng.real(0, 200), ifAlive(tick));
  }
  kill(node: Node): void {
    node.incarnation++;
    node.core = null;
    node.frozen = false;
    node.deferred = [];
  }
  freeze(node: Node, forMs: number): void {
    if (!node.core || node.frozen) return;
    node.frozen = true;
    const incarnation = node.incarnation;
    this.at(forMs, () => {
      if (node.incarnation !== incarnation) return;
      node.frozen = false;
      const deferred = node.deferred;
      node.deferred = [];
      for (const action of deferred) action();
    });
  }

  private call(
    node: Node,
    incarnation: number,
    call: StateCall,
    onReply: (reply: StateReply) => void,
  ): void {
    const deliverReply = (reply: StateReply): void =>
      this.at(this.rng.real(1, 12), () => {
        if (node.incarnation !== incarnation) return;
        if (node.frozen) node.deferred.push(() => onReply(reply));
        else onReply(reply);
      });
    if (node.disconnected)
      return this.at(200, () => deliverReply({ is: "refused", why: "503" }));
    const lost = this.rng.chance(this.callLossProbability);
    if (lost && this.rng.chance(0.5)) {
      // The commit may be carried out long after the caller gave it up.
      if (call.op === "commit")
        this.at(this.rng.real(0, 20_000), () =>
          this.store.handle(call, () => {}),
        );
      return this.at(1_500, () =>
        deliverReply({ is: "unknown", why: "timeout" }),
      );
    }
    this.at(this.rng.real(1, 12), () =>
      this.store.handle(
        call,
        (reply) => {
          if (lost)
            this.at(1_500, () =>
              deliverReply({ is: "unknown", why: "timeout" }),
            );
          else deliverReply(reply);
        },
        (ms, f) => this.at(ms, f),
      ),
    );
  }

  feed(node: Node, input: WebhookInput): void {
    if (!node.core) return;
    const incarnation = node.incarnation;
    for (const effect of node.core.step(input, this.now, this.now))
      this.carryOut(node, incarnation, effect);
  }
  private carryOut(
    node: Node,
    incarnation: number,
    effect: WebhookEffect,
  ): void {
    switch (effect.type) {
      case "state":
        return this.call(node, incarnation, effect.call, (reply) =>
          this.feed(node, { type: "state", callId: effect.callId, reply }),
        );
      case "attempt":
        return this.attempt(
          node,
          incarnation,
          effect.attemptId,
          effect.webhook,
          effect.request,
        );
      case "abort": {
        const inFlight = node.attemptsInFlight.get(effect.attemptId);
        node.attemptsInFlight.delete(effect.attemptId);
        if (inFlight)
          this.at(
            0,
            () =>
              node.incarnation === incarnation &&
              this.feed(node, {
                type: "attempted",
                attemptId: effect.attemptId,
                result: { is: "aborted" },
              }),
          );
        return;
      }
      case "reply":
        this.replies.set(effect.reqId, {
          status: effect.status,
          body: effect.body as Record<string, unknown>,
        });
        return;
      case "settled":
        return;
      case "log":
        if (effect.level === "error")
          this.reportViolation(
            `${node.label}: ${effect.msg} ${JSON.stringify(effect.fields)}`,
          );
    }
  }
  private reportViolation(what: string): void {
    this.violations.push(`${(this.now / 1000).toFixed(3)} s: ${what}`);
  }

  private attempt(
    node: Node,
    incarnation: number,
    attemptId: number,
    webhook: string,
    request: AttemptRequest,
  ): void {
    const key = `${webhook} ${request.end.id}`;
    // Checks that apply to every attempt.
    if (
      request.end.outcome !== "test" &&
      !this.store.data.has(finalKey(request.end.id))
    )
      this.reportViolation(`${key}: sent before its end is final`);
    for (const other of this.nodes) {
      if (other.core && !other.frozen)
        for (const flight of other.attemptsInFlight.values())
          if (flight.webhook === webhook && flight.id === request.end.id)
            this.reportViolation(
              `${key}: in flight twice, on ${other.label} and ${node.label}`,
            );
      if (other !== node && other.core && !other.frozen)
        for (const flight of other.attemptsInFlight.values())
          if (flight.webhook === webhook)
            this.reportViolation(
              `${webhook}: two senders, ${other.label} and ${node.label}`,
            );
    }
    const before = this.lastAttempt.get(key);
    if (before && request.attempt <= before.attempt)
      this.reportViolation(
        `${key}: attempt ${request.attempt} after ${before.attempt}`,
      );
    if (before && request.reason === null)
      this.reportViolation(`${key}: repeated without a reason`);
    if (
      before &&
      before.node !== `${node.label}/${incarnation}` &&
      request.reason !== "owner-lost" &&
      this.lastReason.get(`${key} ${node.label}/${incarnation}`) ===
        undefined &&
      request.reason !== "redriven"
    )
      this.reportViolation(
        `${key}: another sender repeats for ${request.reason}`,
      );
    this.lastReason.set(`${key} ${node.label}/${incarnation}`, request.reason);
    this.lastAttempt.set(key, {
      attempt: request.attempt,
      node: `${node.label}/${incarnation}`,
    });
    const receiver = this.receivers.get(request.subscription.url)!;
    const finish = (result: AttemptResult, afterMs: number): void =>
      this.at(afterMs, () => {
        if (
          node.incarnation !== incarnation ||
          !node.attemptsInFlight.has(attemptId)
        )
          return;
        const deliverResult = (): void => {
          if (node.attemptsInFlight.delete(attemptId))
            this.feed(node, {
              type: "attempted",
              attemptId,
              result,
            });
        };
        if (node.frozen) node.deferred.push(deliverResult);
        else deliverResult();
      });
    node.attemptsInFlight.set(attemptId, { webhook, id: request.end.id });
    if (
      request.ask &&
      receiver.mode === "healthy" &&
      receiver.receivedCounts.has(request.end.id)
    )
      return finish({ is: "had" }, 20);
    receiver.calls.push({
      webhook,
      id: request.end.id,
      attempt: request.attempt,
      reason: request.reason,
      node: node.label,
      atMs: this.now,
    });
    const response = receiver.respond();
    if (response.received)
      receiver.noteReceived(webhook, request.end.id, this.now);
    finish(
      response.result ?? { is: "failed", reason: "timeout" },
      response.result ? response.afterMs : DEADLINE_MS,
    );
  }
  private readonly lastReason = new Map<string, string | null>();

  // ---- users ---------------------------------------------------------------------------------------------

  ask(
    node: Node,
    request: Extract<WebhookInput, { type: "request" }>["request"],
  ): number {
    const reqId = ++this.lastReqId;
    this.feed(node, { type: "request", reqId, request });
    return reqId;
  }
  /** Adds a subscription (by default to all ends) with a receiver of its own, and waits until it exists. */
  add(name: string, overrides: object = {}): Receiver {
    const url = `http://r-${name}.example.org/in`;
    const receiver = new Receiver(this.rng);
    this.receivers.set(url, receiver);
    for (let tries = 0; tries < 20; tries++) {
      const node = this.nodes.find(
        (n) => n.core && !n.disconnected && !n.frozen,
      )!;
      const reqId = this.ask(node, {
        is: "add",
        body: { name, url, keys: ["k1"], ...overrides },
      });
      this.run(2_000);
      if ([201, 409].includes(this.replies.get(reqId)?.status ?? 0))
        return receiver;
    }
    throw new Error(`hook ${name} could not be added`);
  }

  /** Ends a job. `outboxAfterEnd`: a faulty controller that writes what webhooks need in a later commit, which may be lost. */
  end(
    id: string,
    team = "red",
    outcome: "done" | "cancelled" = "done",
    outboxAfterEnd = false,
  ): void {
    const put = (withEnd: boolean): Write => ({
      op: "put",
      key: finalKey(id),
      value: writeFinal({
        status: outcome,
        tasks: 2,
        done: 2,
        ...(withEnd ? { end: { team, class: "c", at: this.now } } : {}),
      }),
    });
    const commit = (writes: Write[]): void =>
      this.store.handle({ op: "commit", conditions: [], writes }, (reply) => {
        if (reply.is !== "committed") return this.at(50, () => commit(writes));
        if (!this.ended.has(id)) this.endOrder.push(id);
        this.ended.set(id, { team, outcome, atMs: this.now });
      });
    commit([put(!outboxAfterEnd)]);
    if (outboxAfterEnd && !this.rng.chance(0.01))
      this.at(this.rng.real(1, 50), () => commit([put(true)]));
  }

  /** Ids of jobs whose notification the receiver should have and has not, or has and should not have. */
  missing(
    receiver: Receiver,
    isOwed: (e: { team: string; outcome: string }) => boolean = () => true,
  ): string[] {
    return [...this.ended]
      .filter(([id, e]) => isOwed(e) !== receiver.receivedCounts.has(id))
      .map(([id]) => id);
  }
  /** Number of spool and dead-letter batches in the state service. */
  batchCount(): number {
    return [...this.store.data.keys()].filter(
      (k) =>
        k.startsWith(WEBHOOKS_PREFIX) &&
        !k.startsWith(`${WEBHOOKS_PREFIX}now/`),
    ).length;
  }
}

const FAULT_MODES: ReceiverMode[] = [
  "silent",
  "late",
  "reset",
  "reset-after-receipt",
  "500",
  "429",
  "refused",
  "tls",
];

/** Schedules faults: failing receivers, controllers killed, frozen or without the state service. */
export function scheduleFaults(world: WebhookWorld, forMs: number): void {
  const { rng } = world;
  for (const receiver of world.receivers.values())
    for (
      let atMs = rng.real(2_000, 20_000);
      atMs < forMs;
      atMs += rng.real(5_000, 60_000)
    ) {
      const mode = rng.pick(FAULT_MODES);
      world.at(atMs, () => (receiver.mode = mode));
      world.at(
        atMs + rng.real(1_000, 25_000),
        () => (receiver.mode = "healthy"),
      );
    }
  for (
    let atMs = rng.real(3_000, 15_000);
    atMs < forMs;
    atMs += rng.real(8_000, 40_000)
  ) {
    const affected = rng.chance(0.2) ? world.nodes : [rng.pick(world.nodes)];
    const kind = rng.int(0, 2);
    world.at(atMs, () => {
      for (const node of affected) {
        if (kind === 0 && node.core) {
          world.kill(node);
          world.at(rng.real(500, 20_000), () => node.core || world.start(node));
        } else if (kind === 1) world.freeze(node, rng.real(500, 18_000));
        else {
          node.disconnected = true;
          world.at(rng.real(1_000, 20_000), () => (node.disconnected = false));
        }
      }
    });
  }
}
/** Ends all injected faults and restarts killed controllers. */
export function endFaults(world: WebhookWorld): void {
  for (const receiver of world.receivers.values()) receiver.mode = "healthy";
  world.callLossProbability = 0;
  for (const node of world.nodes) {
    node.disconnected = false;
    if (!node.core) world.start(node);
  }
}
