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
  backoff: { baseMs: 1_000, mostMs: 600_000 },
  spoolBatches: 200,
  settleEvery: 150,
  changesPerS: 2,
  changesBurst: 4,
  inFlight: 16,
  breakerAfter: 5,
  breakerPause: { baseMs: 2_000, mostMs: 120_000 },
  subscriptions: 50,
};
const TTL_MS = 12_000;
const DEADLINE_MS = 10_000;

type Mood =
  | "well"
  | "silent"
  | "late"
  | "reset"
  | "dies"
  | "500"
  | "429"
  | "refused"
  | "tls"
  | "410";

/** A receiver that keeps what it was told, and logs every call. */
export class Receiver {
  mood: Mood = "well";
  /** By id: how often it came. */
  readonly has = new Map<string, number>();
  /** When each came first, in simulated ms. */
  readonly firstMs = new Map<string, number>();
  readonly calls: {
    webhook: string;
    id: string;
    attempt: number;
    reason: string | null;
    node: string;
    atMs: number;
  }[] = [];
  constructor(readonly rng: Rng) {}

  /** What the sender sees, and when; and whether the receiver has it. */
  call(): { result: AttemptResult | null; afterMs: number; got: boolean } {
    const rtt = this.rng.real(5, 300);
    switch (this.mood) {
      case "well":
        return {
          result: { is: "answered", status: 204, retryAfterMs: null },
          afterMs: rtt,
          got: true,
        };
      case "silent":
        return { result: null, afterMs: 0, got: this.rng.chance(0.5) };
      case "late":
        return { result: null, afterMs: 0, got: true };
      case "reset":
        return {
          result: { is: "failed", why: "reset" },
          afterMs: rtt,
          got: this.rng.chance(0.5),
        };
      case "dies":
        return {
          result: { is: "failed", why: "reset" },
          afterMs: rtt,
          got: true,
        };
      case "500":
        return {
          result: { is: "answered", status: 500, retryAfterMs: null },
          afterMs: rtt,
          got: false,
        };
      case "429":
        return {
          result: { is: "answered", status: 429, retryAfterMs: 5_000 },
          afterMs: rtt,
          got: false,
        };
      case "410":
        return {
          result: { is: "answered", status: 410, retryAfterMs: null },
          afterMs: rtt,
          got: false,
        };
      default:
        return {
          result: { is: "failed", why: this.mood },
          afterMs: rtt,
          got: false,
        };
    }
  }
}

class Node {
  core: WebhookCore | null = null;
  hold: number | null = null;
  epoch = -1;
  untilMs = -Infinity;
  /** Counts the starts: what was begun in an earlier life is not told to a later one. */
  life = 0;
  flights = new Map<number, { webhook: string; id: string }>();
  /** Can't reach the state service. */
  cut = false;
  frozen = false;
  held: (() => void)[] = [];
  constructor(readonly label: string) {}
}

/** Controllers with hooks, one state service, receivers: seeded, in simulated time, checked after each step. */
export class WebhookWorld {
  now = 0;
  readonly rng: Rng;
  readonly store: Store;
  readonly nodes: Node[];
  readonly receivers = new Map<string, Receiver>();
  readonly broken: string[] = [];
  /** What each hook is owed, by id. */
  readonly ended = new Map<
    string,
    { team: string; outcome: "done" | "cancelled"; atMs: number }
  >();
  readonly order: string[] = [];
  readonly replies = new Map<
    number,
    { status: number; body: Record<string, unknown> }
  >();
  /** Calls and answers that get lost: a commit without an answer. */
  lossy = 0;
  private events: { at: number; n: number; run: () => void }[] = [];
  private n = 0;
  private reqs = 0;
  private readonly lastAttempt = new Map<
    string,
    { attempt: number; node: string }
  >();

  constructor(
    seed: number,
    readonly limits: WebhookLimits = LIMITS,
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
    for (const n of this.nodes) this.start(n);
  }

  at(delayMs: number, run: () => void): void {
    const e = { at: this.now + Math.max(0, delayMs), n: ++this.n, run };
    let lo = 0;
    let hi = this.events.length;
    while (lo < hi) {
      const mid = (lo + hi) >> 1;
      const x = this.events[mid]!;
      if (x.at < e.at || (x.at === e.at && x.n < e.n)) lo = mid + 1;
      else hi = mid;
    }
    this.events.splice(lo, 0, e);
  }
  run(forMs: number): void {
    const end = this.now + forMs;
    for (;;) {
      const e = this.events[0];
      if (!e || e.at > end) break;
      this.events.shift();
      this.now = e.at;
      e.run();
    }
    this.now = end;
  }

  // ---- controllers ---------------------------------------------------------------------------------------

  start(n: Node): void {
    const life = ++n.life;
    n.core = new WebhookCore(
      n.label,
      this.limits,
      () => this.rng.real(),
      new Set(["k1", "k2"]),
      (url) => (url.startsWith("http") ? null : "not a URL"),
    );
    n.epoch = -1;
    n.hold = null;
    n.untilMs = -Infinity;
    n.flights = new Map();
    const alive = (f: () => void) => (): void => {
      if (n.life !== life) return;
      if (n.frozen) n.held.push(f);
      else f();
    };
    const tick = (): void => {
      this.feed(n, { type: "permit", storeLease: n.hold, untilMs: n.untilMs });
      this.feed(n, { type: "tick" });
      this.at(200, alive(tick));
    };
    const keep = (): void => {
      const sent = this.now;
      const then = (r: StateReply): void => {
        if (r.is === "hold") n.hold = r.hold;
        if (r.is === "gone") {
          n.hold = null;
          n.untilMs = -Infinity;
          return keep();
        }
        if (r.is === "hold" || r.is === "touched")
          n.untilMs = sent + TTL_MS * 0.998 - 100;
        this.at(TTL_MS / 8, alive(keep));
      };
      this.call(
        n,
        life,
        n.hold === null
          ? { op: "newHold", ttlMs: TTL_MS }
          : { op: "touch", hold: n.hold },
        then,
      );
    };
    const watch = (): void => {
      const since = n.epoch < 0 ? this.store.epoch : n.epoch;
      this.call(
        n,
        life,
        { op: "changes", prefix: "lc/", since, waitMs: 2_000 },
        (r) => {
          if (r.is === "changes") {
            n.epoch = r.epoch;
            this.feed(n, {
              type: "storeChanges",
              from: since,
              to: r.epoch,
              changes: r.changes,
            });
          } else if (r.is === "gone") n.epoch = -1;
          this.at(60, alive(watch));
        },
      );
    };
    keep();
    watch();
    this.at(this.rng.real(0, 200), alive(tick));
  }
  kill(n: Node): void {
    n.life++;
    n.core = null;
    n.frozen = false;
    n.held = [];
  }
  freeze(n: Node, forMs: number): void {
    if (!n.core || n.frozen) return;
    n.frozen = true;
    const life = n.life;
    this.at(forMs, () => {
      if (n.life !== life) return;
      n.frozen = false;
      const held = n.held;
      n.held = [];
      for (const f of held) f();
    });
  }

  private call(
    n: Node,
    life: number,
    call: StateCall,
    done: (r: StateReply) => void,
  ): void {
    const back = (r: StateReply): void =>
      this.at(this.rng.real(1, 12), () => {
        if (n.life !== life) return;
        if (n.frozen) n.held.push(() => done(r));
        else done(r);
      });
    if (n.cut) return this.at(200, () => back({ is: "refused", why: "503" }));
    const lost = this.rng.chance(this.lossy);
    if (lost && this.rng.chance(0.5)) {
      // Carried out late, long after it was given up.
      if (call.op === "commit")
        this.at(this.rng.real(0, 20_000), () =>
          this.store.handle(call, () => {}),
        );
      return this.at(1_500, () => back({ is: "unknown", why: "timeout" }));
    }
    this.at(this.rng.real(1, 12), () =>
      this.store.handle(
        call,
        (r) => {
          if (lost)
            this.at(1_500, () => back({ is: "unknown", why: "timeout" }));
          else back(r);
        },
        (ms, f) => this.at(ms, f),
      ),
    );
  }

  feed(n: Node, input: WebhookInput): void {
    if (!n.core) return;
    const life = n.life;
    for (const e of n.core.step(input, this.now, this.now))
      this.carryOut(n, life, e);
  }
  private carryOut(n: Node, life: number, e: WebhookEffect): void {
    switch (e.type) {
      case "state":
        return this.call(n, life, e.call, (reply) =>
          this.feed(n, { type: "state", op: e.op, reply }),
        );
      case "attempt":
        return this.attempt(n, life, e.attempt, e.webhook, e.launch);
      case "abort": {
        const f = n.flights.get(e.attempt);
        n.flights.delete(e.attempt);
        if (f)
          this.at(
            0,
            () =>
              n.life === life &&
              this.feed(n, {
                type: "attempted",
                attempt: e.attempt,
                result: { is: "aborted" },
              }),
          );
        return;
      }
      case "reply":
        this.replies.set(e.req, {
          status: e.status,
          body: e.body as Record<string, unknown>,
        });
        return;
      case "settled":
        return;
      case "log":
        if (e.level === "error")
          this.fail(`${n.label}: ${e.msg} ${JSON.stringify(e.fields)}`);
    }
  }
  private fail(what: string): void {
    this.broken.push(`${(this.now / 1000).toFixed(3)} s: ${what}`);
  }

  private attempt(
    n: Node,
    life: number,
    attempt: number,
    webhook: string,
    l: AttemptRequest,
  ): void {
    const key = `${webhook} ${l.end.id}`;
    // Rules that hold at every attempt.
    if (l.end.outcome !== "test" && !this.store.data.has(finalKey(l.end.id)))
      this.fail(`${key}: sent before its end is final`);
    for (const o of this.nodes) {
      if (o.core && !o.frozen)
        for (const f of o.flights.values())
          if (f.webhook === webhook && f.id === l.end.id)
            this.fail(`${key}: in flight twice, on ${o.label} and ${n.label}`);
      if (o !== n && o.core && !o.frozen)
        for (const f of o.flights.values())
          if (f.webhook === webhook)
            this.fail(`${webhook}: two senders, ${o.label} and ${n.label}`);
    }
    const before = this.lastAttempt.get(key);
    if (before && l.attempt <= before.attempt)
      this.fail(`${key}: attempt ${l.attempt} after ${before.attempt}`);
    if (before && l.reason === null)
      this.fail(`${key}: repeated without a reason`);
    if (
      before &&
      before.node !== `${n.label}/${life}` &&
      l.reason !== "owner-lost" &&
      this.lastReason.get(`${key} ${n.label}/${life}`) === undefined &&
      l.reason !== "redriven"
    )
      this.fail(`${key}: another sender repeats for ${l.reason}`);
    this.lastReason.set(`${key} ${n.label}/${life}`, l.reason);
    this.lastAttempt.set(key, {
      attempt: l.attempt,
      node: `${n.label}/${life}`,
    });
    const r = this.receivers.get(l.sub.url)!;
    const end = (result: AttemptResult, afterMs: number): void =>
      this.at(afterMs, () => {
        if (n.life !== life || !n.flights.has(attempt)) return;
        const tell = (): void => {
          if (n.flights.delete(attempt))
            this.feed(n, { type: "attempted", attempt, result });
        };
        if (n.frozen) n.held.push(tell);
        else tell();
      });
    n.flights.set(attempt, { webhook, id: l.end.id });
    if (l.ask && r.mood === "well" && r.has.has(l.end.id))
      return end({ is: "had" }, 20);
    r.calls.push({
      webhook,
      id: l.end.id,
      attempt: l.attempt,
      reason: l.reason,
      node: n.label,
      atMs: this.now,
    });
    const c = r.call();
    if (c.got && !r.firstMs.has(l.end.id)) r.firstMs.set(l.end.id, this.now);
    if (c.got) r.has.set(l.end.id, (r.has.get(l.end.id) ?? 0) + 1);
    end(
      c.result ?? { is: "failed", why: "timeout" },
      c.result ? c.afterMs : DEADLINE_MS,
    );
  }
  private readonly lastReason = new Map<string, string | null>();

  // ---- users ---------------------------------------------------------------------------------------------

  ask(
    n: Node,
    request: Extract<WebhookInput, { type: "request" }>["request"],
  ): number {
    const req = ++this.reqs;
    this.feed(n, { type: "request", req, request });
    return req;
  }
  /** Adds a hook for all ends and a receiver of its own; waits until it is there. */
  add(name: string, more: object = {}): Receiver {
    const url = `http://r-${name}.example.org/in`;
    const r = new Receiver(this.rng);
    this.receivers.set(url, r);
    for (let tries = 0; tries < 20; tries++) {
      const node = this.nodes.find((n) => n.core && !n.cut && !n.frozen)!;
      const req = this.ask(node, {
        is: "add",
        body: { name, url, keys: ["k1"], ...more },
      });
      this.run(2_000);
      if ([201, 409].includes(this.replies.get(req)?.status ?? 0)) return r;
    }
    throw new Error(`hook ${name} could not be added`);
  }

  /** A job ends. `broken`: what hooks are sent from is written after the end, and may be lost with the one who writes it. */
  end(
    id: string,
    team = "red",
    outcome: "done" | "cancelled" = "done",
    broken = false,
  ): void {
    const put = (h: boolean): Write => ({
      op: "put",
      key: finalKey(id),
      value: writeFinal({
        status: outcome,
        tasks: 2,
        done: 2,
        ...(h ? { end: { team, class: "c", at: this.now } } : {}),
      }),
    });
    const commit = (writes: Write[]): void =>
      this.store.handle({ op: "commit", conditions: [], writes }, (r) => {
        if (r.is !== "committed") return this.at(50, () => commit(writes));
        if (!this.ended.has(id)) this.order.push(id);
        this.ended.set(id, { team, outcome, atMs: this.now });
      });
    commit([put(!broken)]);
    if (broken && !this.rng.chance(0.01))
      this.at(this.rng.real(1, 50), () => commit([put(true)]));
  }

  /** What is owed to a receiver and did not arrive; what arrived and was not owed. */
  missing(
    r: Receiver,
    wants: (e: { team: string; outcome: string }) => boolean = () => true,
  ): string[] {
    return [...this.ended]
      .filter(([id, e]) => wants(e) !== r.has.has(id))
      .map(([id]) => id);
  }
  /** Bytes that hooks keep in the state service, beside subscriptions. */
  webhookRecords(): number {
    return [...this.store.data.keys()].filter(
      (k) =>
        k.startsWith(WEBHOOKS_PREFIX) &&
        !k.startsWith(`${WEBHOOKS_PREFIX}now/`),
    ).length;
  }
}

const MOODS: Mood[] = [
  "silent",
  "late",
  "reset",
  "dies",
  "500",
  "429",
  "refused",
  "tls",
];

/** Injected faults of a day: moods of receivers, kills, freezes, cuts, lost answers. */
export function faults(w: WebhookWorld, forMs: number): void {
  const { rng } = w;
  for (const r of w.receivers.values())
    for (
      let t = rng.real(2_000, 20_000);
      t < forMs;
      t += rng.real(5_000, 60_000)
    ) {
      const mood = rng.pick(MOODS);
      w.at(t, () => (r.mood = mood));
      w.at(t + rng.real(1_000, 25_000), () => (r.mood = "well"));
    }
  for (
    let t = rng.real(3_000, 15_000);
    t < forMs;
    t += rng.real(8_000, 40_000)
  ) {
    const some = rng.chance(0.2) ? w.nodes : [rng.pick(w.nodes)];
    const kind = rng.int(0, 2);
    w.at(t, () => {
      for (const n of some) {
        if (kind === 0 && n.core) {
          w.kill(n);
          w.at(rng.real(500, 20_000), () => n.core || w.start(n));
        } else if (kind === 1) w.freeze(n, rng.real(500, 18_000));
        else {
          n.cut = true;
          w.at(rng.real(1_000, 20_000), () => (n.cut = false));
        }
      }
    });
  }
}
/** The end of all injected faults. */
export function calm(w: WebhookWorld): void {
  for (const r of w.receivers.values()) r.mood = "well";
  w.lossy = 0;
  for (const n of w.nodes) {
    n.cut = false;
    if (!n.core) w.start(n);
  }
}
