import {
  type LogEntry,
  type LogEvent,
  type LogEventFields,
  logEntry,
} from "../logging/events.js";
import type {
  Change,
  Condition,
  Item,
  StateCall,
  StateReply,
  Write,
} from "../protocol/state.js";
import { CallPriority } from "../coordination/effects.js";
import {
  Breaker,
  type BackoffLimits,
  type BreakerState,
} from "./circuit-breaker.js";
import {
  type AttemptResult,
  Delivery,
  type DeliveryLimits,
  type DeliveryHost,
  type AttemptRequest,
} from "./delivery.js";
import { chosenController, laneOf } from "./delivery-lanes.js";
import {
  presenceKey,
  WEBHOOKS_LIVE_PREFIX,
  LANE_COUNT,
  laneOwnerKey,
  readProgress,
  readPresence,
  readLaneOwner,
  readSubscription,
  readSettledUpTo,
  subscriptionKey,
  type Subscription,
  SETTLED_UP_TO_KEY,
  writeSubscription,
} from "./records.js";
import {
  type WebhookRequest,
  SubscriptionRequests,
} from "./subscription-requests.js";
import { ChangeFeed } from "./change-feed.js";

/** What the core of hooks is told. */
export type WebhookInput =
  /** What the scheduler's core read; `from` later than the last `to`: there is a gap. */
  | {
      type: "storeChanges";
      from: number;
      to: number;
      changes: readonly Change[];
    }
  /** The hold that this controller lives under, and until when (steady time) it may act on what it owns. */
  | { type: "permit"; storeLease: number | null; untilMs: number }
  | { type: "state"; op: number; reply: StateReply }
  | { type: "attempted"; attempt: number; result: AttemptResult }
  | { type: "request"; req: number; request: WebhookRequest }
  | { type: "tick" };

export type WebhookEffect =
  | { type: "state"; op: number; call: StateCall; urgent: CallPriority }
  | {
      type: "attempt";
      attempt: number;
      webhook: string;
      launch: AttemptRequest;
    }
  | { type: "abort"; attempt: number }
  | { type: "reply"; req: number; status: number; body: object }
  | {
      type: "settled";
      webhook: string;
      outcome: "delivered" | "dead";
      attempts: number;
      /** From the end of the job, ms by time of day. */ tookMs: number;
    }
  | ({ type: "log" } & LogEntry);

export interface WebhookLimits extends DeliveryLimits {
  /** Changes a second that hooks may make, and how many at once. */
  changesPerS: number;
  changesBurst: number;
  /** Attempts in flight, of all subscriptions. */
  inFlight: number;
  breakerAfter: number;
  breakerPause: BackoffLimits;
  subscriptions: number;
}

/** Between the end of a permit and the last moment that something may be in flight: a tick, and then some. */
const MARGIN_MS = 500;
/** Who is present must have been so for this long before lanes move. */
const SETTLED_MS = 1_000;
const AGAIN_MS = 400;
/** Refused for this long, hooks ask no longer as the last of all. */
const PATIENT_MS = 5_000;

interface Kept<T> {
  value: T;
  version: number;
}

/** The sending of hooks on one controller: pure as the scheduler's core, and beside it. */
export class WebhookCore implements DeliveryHost {
  nowMs = 0;
  wallMs = 0;
  readonly feed = new ChangeFeed();
  private effects: WebhookEffect[] = [];
  private ops = 0;
  private attempts = 0;
  private readonly stateOps = new Map<number, (r: StateReply) => void>();
  private readonly flights = new Map<number, Delivery>();
  private storeLease: number | null = null;
  private leadershipLeaseUntilMs = -Infinity;
  private level: number;
  private levelMs = 0;
  private refusedSinceMs: number | null = null;
  // ---- what the records say
  private epoch = -1;
  private listing = false;
  private backlog: { from: number; to: number; changes: readonly Change[] }[] =
    [];
  private listAgainMs = -Infinity;
  readonly subscriptions = new Map<string, Kept<Subscription>>();
  private readonly progressRecords = new Map<string, Kept<unknown>>();
  private readonly laneOwners = new Map<
    number,
    Kept<{ owner: string; hold: number }>
  >();
  private readonly presences = new Map<string, Kept<{ hold: number }>>();
  private settledUpTo: Kept<Record<string, number>> = { value: {}, version: 0 };
  private present = "";
  private presentSinceMs = 0;
  // ---- what this controller does
  private readonly deliveries = new Map<string, Delivery>();
  private readonly writing = new Set<string>();
  private readonly againMs = new Map<string, number>();
  private readonly breakers = new Map<string, Breaker>();
  private readonly requests: SubscriptionRequests;

  constructor(
    readonly label: string,
    readonly limits: WebhookLimits,
    /** Within 0 and 1. */
    readonly random: () => number,
    /** Ids of the keys that this controller can sign with. */
    keys: ReadonlySet<string>,
    /** Why a URL can't be sent to; null: it can. */
    refuses: (url: string) => string | null,
  ) {
    this.level = limits.changesBurst;
    this.requests = new SubscriptionRequests(
      (call, done) => this.state(call, done, CallPriority.UserRequest),
      (req, status, body) =>
        this.effects.push({ type: "reply", req, status, body }),
      (name) => this.figuresOf(name),
      keys,
      refuses,
      limits.subscriptions,
    );
  }

  step(input: WebhookInput, nowMs: number, wallMs: number): WebhookEffect[] {
    this.nowMs = nowMs;
    this.wallMs = wallMs;
    switch (input.type) {
      case "storeChanges":
        this.seen(input.from, input.to, input.changes);
        break;
      case "permit":
        if (input.storeLease !== this.storeLease) this.dropAll();
        this.storeLease = input.storeLease;
        this.leadershipLeaseUntilMs = input.untilMs;
        break;
      case "state": {
        const done = this.stateOps.get(input.op);
        this.stateOps.delete(input.op);
        if (input.reply.is === "refused") this.refusedSinceMs ??= nowMs;
        else this.refusedSinceMs = null;
        done?.(input.reply);
        break;
      }
      case "attempted": {
        const d = this.flights.get(input.attempt);
        this.flights.delete(input.attempt);
        d?.attempted(input.attempt, input.result);
        break;
      }
      case "request":
        this.requests.take(input.req, input.request);
        break;
      case "tick":
        break;
    }
    this.act();
    const out = this.effects;
    this.effects = [];
    return out;
  }

  // ---- Host ----------------------------------------------------------------------------------------------

  state(
    call: StateCall,
    done: (r: StateReply) => void,
    urgent?: CallPriority,
  ): void {
    const op = ++this.ops;
    this.stateOps.set(op, done);
    // Users and holds never wait for hooks; masters only when hooks have waited for long.
    const patient =
      this.refusedSinceMs === null ||
      this.nowMs - this.refusedSinceMs < PATIENT_MS;
    this.effects.push({
      type: "state",
      op,
      call,
      urgent:
        urgent ?? (patient ? CallPriority.Background : CallPriority.Leader),
    });
  }
  /** Hooks have a part of this controller's changes for themselves: what waits for it gathers, and goes with one change. */
  mayWrite(changes: number): boolean {
    this.level = Math.min(
      this.limits.changesBurst,
      this.level +
        ((this.nowMs - this.levelMs) / 1000) * this.limits.changesPerS,
    );
    this.levelMs = this.nowMs;
    if (this.level < Math.min(changes, this.limits.changesBurst)) return false;
    this.level -= changes;
    return true;
  }
  breaker(url: string): Breaker {
    const origin = URL.canParse(url) ? new URL(url).origin : url;
    let b = this.breakers.get(origin);
    if (!b)
      this.breakers.set(
        origin,
        (b = new Breaker(
          this.limits.breakerAfter,
          this.limits.breakerPause,
          this.random,
        )),
      );
    return b;
  }
  private get mayAct(): boolean {
    return (
      this.storeLease !== null &&
      this.nowMs < this.leadershipLeaseUntilMs - MARGIN_MS
    );
  }
  mayLaunch(): boolean {
    return this.mayAct && this.flights.size < this.limits.inFlight;
  }
  launch(d: Delivery, launch: AttemptRequest): number {
    const attempt = ++this.attempts;
    this.flights.set(attempt, d);
    this.effects.push({ type: "attempt", attempt, webhook: d.name, launch });
    this.log("webhook delivery attempt", {
      webhook: d.name,
      job: launch.end.id,
      attempt: launch.attempt,
      reason: launch.reason,
    });
    return attempt;
  }
  abort(attempt: number): void {
    this.effects.push({ type: "abort", attempt });
  }
  settled(
    webhook: string,
    o: {
      outcome: "delivered" | "dead";
      end: { id: string; at: number };
      attempts: number;
    },
  ): void {
    this.effects.push({
      type: "settled",
      webhook,
      outcome: o.outcome,
      attempts: o.attempts,
      tookMs: Math.max(0, this.wallMs - o.end.at),
    });
    if (o.outcome === "dead")
      this.log("webhook notification given up", {
        webhook: webhook,
        job: o.end.id,
        attempts: o.attempts,
      });
  }
  log<E extends LogEvent>(event: E, fields: LogEventFields[E]): void {
    this.effects.push({ type: "log", ...logEntry(event, fields) });
  }
  ended(name: string): void {
    const s = this.subscriptions.get(name);
    const lane = laneOf(name);
    const token = this.tokenOf(lane);
    if (
      !s ||
      token === null ||
      s.value.state === "ended" ||
      this.writing.has(`sub ${name}`)
    )
      return;
    this.log("webhook receiver is gone", { webhook: name });
    this.put(
      `sub ${name}`,
      [
        { key: laneOwnerKey(lane), version: token },
        { key: subscriptionKey(name), version: s.version },
      ],
      [
        {
          op: "put",
          key: subscriptionKey(name),
          value: writeSubscription({ ...s.value, state: "ended" }),
        },
      ],
    );
  }

  // ---- what is read --------------------------------------------------------------------------------------

  private seen(from: number, to: number, changes: readonly Change[]): void {
    const { unnamed } = this.feed;
    this.feed.push(from, to, changes);
    if (this.feed.unnamed > unnamed)
      this.log("jobs ended without webhook notification", {
        jobs: this.feed.unnamed - unnamed,
      });
    if (this.listing) {
      this.backlog.push({ from, to, changes });
      return;
    }
    this.follow(from, to, changes);
  }
  private follow(from: number, to: number, changes: readonly Change[]): void {
    // Not read yet, or a gap: everything is read anew.
    if (this.epoch < 0 || from > this.epoch) {
      this.epoch = -1;
      return;
    }
    for (const c of changes)
      if (c.version > this.epoch && c.key.startsWith(WEBHOOKS_LIVE_PREFIX))
        this.note(c.key, c.op === "put" ? c.value : undefined, c.version);
    this.epoch = Math.max(this.epoch, to);
  }
  private list(
    after = "",
    items: Item[] = [],
    epoch: number | null = null,
  ): void {
    this.listing = true;
    this.state(
      { op: "list", prefix: WEBHOOKS_LIVE_PREFIX, after },
      (r) => {
        if (r.is !== "items") {
          this.listing = false;
          this.backlog = [];
          this.listAgainMs = this.nowMs + AGAIN_MS;
          return;
        }
        const all = [...items, ...r.items];
        // Pages are of different revisions: what changed after the first is read again with the changes after it.
        const first = epoch ?? r.epoch;
        const last = r.items.at(-1);
        if (r.more && last) return this.list(last.key, all, first);
        this.listing = false;
        for (const m of [
          this.subscriptions,
          this.progressRecords,
          this.laneOwners,
          this.presences,
        ])
          m.clear();
        this.settledUpTo = { value: {}, version: 0 };
        for (const i of all)
          if (i.version <= first) this.note(i.key, i.value, i.version);
        // What changed between the pages comes with the changes after the first; what was not there in its own page any more was deleted after it.
        this.epoch = first;
        const backlog = this.backlog;
        this.backlog = [];
        for (const b of backlog)
          if (this.epoch >= 0) this.follow(b.from, b.to, b.changes);
      },
      CallPriority.Leader,
    );
  }
  /** `undefined`: deleted. */
  private note(key: string, value: unknown, version: number): void {
    const [kind, ...rest] = key.slice(WEBHOOKS_LIVE_PREFIX.length).split("/");
    const name = rest.join("/");
    const keep = <K, T>(m: Map<K, Kept<T>>, k: K, v: T | null): void => {
      if (v === null) m.delete(k);
      else m.set(k, { value: v, version });
    };
    const gone = value === undefined;
    if (kind === "sub")
      keep(this.subscriptions, name, gone ? null : readSubscription(value));
    else if (kind === "at")
      keep(this.progressRecords, name, gone ? null : value);
    else if (kind === "own")
      keep(this.laneOwners, Number(name), gone ? null : readLaneOwner(value));
    else if (kind === "here")
      keep(this.presences, name, gone ? null : readPresence(value));
    else if (kind === "upto")
      this.settledUpTo = {
        value: gone ? {} : readSettledUpTo(value),
        version: gone ? 0 : version,
      };
  }

  // ---- lanes ---------------------------------------------------------------------------------------------

  private tokenOf(lane: number): number | null {
    const o = this.laneOwners.get(lane);
    return o && o.value.owner === this.label && o.value.hold === this.storeLease
      ? o.version
      : null;
  }

  /** One commit under a name at a time; what it changed is seen with the changes. */
  private put(name: string, conditions: Condition[], writes: Write[]): void {
    if (
      this.writing.has(name) ||
      this.nowMs < (this.againMs.get(name) ?? -Infinity)
    )
      return;
    this.writing.add(name);
    this.state(
      { op: "commit", conditions, writes },
      (r) => {
        this.writing.delete(name);
        if (r.is !== "committed") this.againMs.set(name, this.nowMs + AGAIN_MS);
        // Until the change is seen the old version would be written again.
        else this.againMs.set(name, this.nowMs + AGAIN_MS / 4);
      },
      CallPriority.Leader,
    );
  }

  private act(): void {
    for (const d of this.deliveries.values()) d.retryDue();
    if (this.epoch < 0) {
      if (!this.listing && this.nowMs >= this.listAgainMs) this.list();
      return;
    }
    if (!this.mayAct) {
      for (const d of this.deliveries.values()) d.abort();
      return;
    }
    const hold = this.storeLease!;
    const here = this.presences.get(this.label);
    if (here?.value.hold !== hold)
      this.put(
        "here",
        [{ key: presenceKey(this.label), version: here?.version ?? 0 }],
        [{ op: "put", key: presenceKey(this.label), value: { hold }, hold }],
      );
    const present = [...this.presences.keys()].sort();
    if (present.join() !== this.present) {
      this.present = present.join();
      this.presentSinceMs = this.nowMs;
    }
    const byLane = new Map<number, string[]>();
    for (const name of this.progressRecords.keys())
      byLane.set(laneOf(name), [...(byLane.get(laneOf(name)) ?? []), name]);
    for (let lane = 0; lane < LANE_COUNT; lane++)
      this.keepLane(lane, byLane.get(lane) ?? [], present, hold);
    this.deliver(present);
    this.writeUpto(byLane);
  }

  private keepLane(
    lane: number,
    names: readonly string[],
    present: readonly string[],
    hold: number,
  ): void {
    const own = this.laneOwners.get(lane);
    const token = this.tokenOf(lane);
    const settled =
      this.nowMs - this.presentSinceMs >= SETTLED_MS &&
      present.includes(this.label);
    const mine = chosenController(lane, present) === this.label;
    for (const name of names)
      if (
        this.deliveries.has(name) &&
        this.deliveries.get(name)!.token !== token
      )
        this.drop(name);
    const take = (version: number): void =>
      this.put(
        `lane ${lane}`,
        [{ key: laneOwnerKey(lane), version }],
        [
          {
            op: "put",
            key: laneOwnerKey(lane),
            value: { owner: this.label, hold },
            hold,
          },
        ],
      );
    if (token === null) {
      if (names.length === 0 || !settled) return;
      // Absent: nobody's. Left by this controller before it was started again: nobody else acts on it.
      if (mine && (!own || own.value.owner === this.label))
        take(own?.version ?? 0);
      return;
    }
    if (settled && !mine) {
      // Invariant (nothing in flight twice): given up when nothing is in flight, and what was learnt is written.
      if (names.every((n) => this.deliveries.get(n)?.quiet !== false)) {
        for (const n of names) this.drop(n);
        this.put(
          `lane ${lane}`,
          [{ key: laneOwnerKey(lane), version: token }],
          [{ op: "delete", key: laneOwnerKey(lane) }],
        );
      }
      return;
    }
    for (const name of names)
      if (!this.deliveries.has(name)) this.begin(name, lane, token);
  }

  /**
   * The records are as new as the lane's token, and every commit of the former owner depended on what that token replaced:
   * what they name is all that it may have sent.
   */
  private begin(name: string, lane: number, token: number): void {
    const kept = this.progressRecords.get(name)!;
    const at = readProgress(kept.value);
    if (!at) return;
    const upto = this.settledUpTo.value[lane] ?? 0;
    this.deliveries.set(
      name,
      new Delivery(
        this,
        name,
        token,
        { key: laneOwnerKey(lane), version: token },
        () => this.subscriptions.get(name)?.value ?? null,
        kept.version,
        at,
        upto,
      ),
    );
  }
  private drop(name: string): void {
    this.deliveries.get(name)?.stop();
    this.deliveries.delete(name);
  }
  private dropAll(): void {
    for (const name of [...this.deliveries.keys()]) this.drop(name);
  }

  private deliver(present: readonly string[]): void {
    // Who wrote longest ago comes first with what there is of changes: by turns of the steps alone some waited ten seconds.
    for (const [name, d] of [...this.deliveries].sort(
      ([, x], [, y]) => x.wroteMs - y.wroteMs,
    )) {
      const at = this.progressRecords.get(name);
      if (d.foreign || !at) this.drop(name);
      else d.act(chosenController(laneOf(name), present) === this.label);
    }
  }

  /** Up to where each lane is settled: a subscription that nothing ends for needs no writes of its own. */
  private writeUpto(byLane: ReadonlyMap<number, readonly string[]>): void {
    const next: Record<string, number> = {};
    const conditions: Condition[] = [
      { key: SETTLED_UP_TO_KEY, version: this.settledUpTo.version },
    ];
    let behind = 0;
    for (const [lane, names] of byLane) {
      const token = this.tokenOf(lane);
      if (token === null || !names.every((n) => this.deliveries.has(n)))
        continue;
      const to = Math.min(
        ...names.map((n) => this.deliveries.get(n)!.settledTo),
      );
      const was = this.settledUpTo.value[lane] ?? 0;
      if (to <= was) continue;
      next[lane] = to;
      conditions.push({ key: laneOwnerKey(lane), version: token });
      behind = Math.max(behind, to - was);
    }
    if (behind < this.limits.settleEvery || this.writing.has("upto")) return;
    if (!this.mayWrite(1)) return;
    this.put("upto", conditions, [
      {
        op: "put",
        key: SETTLED_UP_TO_KEY,
        value: { ...this.settledUpTo.value, ...next },
      },
    ]);
  }

  // ---- figures -------------------------------------------------------------------------------------------

  /** What this controller knows of a subscription's deliveries; null: another one sends for it. */
  figuresOf(name: string): object | null {
    const d = this.deliveries.get(name);
    if (!d) return null;
    const b = d.behind;
    const sub = this.subscriptions.get(name)?.value;
    return {
      window: b.window,
      batches: b.batches,
      fresh: b.fresh,
      deadBatches: b.dead,
      oldestAt: b.oldestAt === null ? null : new Date(b.oldestAt).toISOString(),
      receiver: sub ? this.breaker(sub.url).state(this.nowMs) : "closed",
    };
  }
  get figures(): {
    owned: number;
    inFlight: number;
    window: number;
    batches: number;
    deadBatches: number;
    oldestAt: number | null;
    receivers: Record<BreakerState, number>;
  } {
    const f = {
      owned: this.deliveries.size,
      inFlight: this.flights.size,
      window: 0,
      batches: 0,
      deadBatches: 0,
      oldestAt: null as number | null,
      receivers: { closed: 0, open: 0, "half-open": 0 },
    };
    for (const d of this.deliveries.values()) {
      const b = d.behind;
      f.window += b.window;
      f.batches += b.batches;
      f.deadBatches += b.dead;
      if (b.oldestAt !== null)
        f.oldestAt = Math.min(f.oldestAt ?? Infinity, b.oldestAt);
    }
    for (const b of this.breakers.values()) f.receivers[b.state(this.nowMs)]++;
    return f;
  }
}
