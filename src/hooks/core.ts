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
import { Urgent } from "../coordination/effects.js";
import { Breaker, type BackoffLimits, type BreakerState } from "./breaker.js";
import {
  type Attempted,
  Delivery,
  type DeliveryLimits,
  type Host,
  type Launch,
} from "./delivery.js";
import { chosen, laneOf } from "./lanes.js";
import {
  hereKey,
  HOOKS_NOW,
  LANES,
  ownKey,
  readAt,
  readHere,
  readOwn,
  readSub,
  readUpto,
  subKey,
  type Subscription,
  UPTO_KEY,
  writeSub,
} from "./records.js";
import { type HookRequest, Requests } from "./requests.js";
import { Tail } from "./tail.js";

/** What the core of hooks is told. */
export type HookInput =
  /** What the scheduler's core read; `from` later than the last `to`: there is a gap. */
  | { is: "seen"; from: number; to: number; changes: readonly Change[] }
  /** The hold that this controller lives under, and until when (steady time) it may act on what it owns. */
  | { is: "permit"; hold: number | null; untilMs: number }
  | { is: "state"; op: number; reply: StateReply }
  | { is: "attempted"; attempt: number; result: Attempted }
  | { is: "request"; req: number; request: HookRequest }
  | { is: "tick" };

export type HookEffect =
  | { do: "state"; op: number; call: StateCall; urgent: Urgent }
  | { do: "attempt"; attempt: number; hook: string; launch: Launch }
  | { do: "abort"; attempt: number }
  | { do: "reply"; req: number; status: number; body: object }
  | {
      do: "settled";
      hook: string;
      outcome: "delivered" | "dead";
      attempts: number;
      /** From the end of the job, ms by time of day. */ tookMs: number;
    }
  | ({ do: "log" } & LogEntry);

export interface HookLimits extends DeliveryLimits {
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
export class HookCore implements Host {
  nowMs = 0;
  wallMs = 0;
  readonly tail = new Tail();
  private out: HookEffect[] = [];
  private ops = 0;
  private attempts = 0;
  private readonly stateOps = new Map<number, (r: StateReply) => void>();
  private readonly flights = new Map<number, Delivery>();
  private hold: number | null = null;
  private permitUntilMs = -Infinity;
  private level: number;
  private levelMs = 0;
  private refusedSinceMs: number | null = null;
  // ---- what the records say
  private epoch = -1;
  private listing = false;
  private backlog: { from: number; to: number; changes: readonly Change[] }[] =
    [];
  private listAgainMs = -Infinity;
  readonly subs = new Map<string, Kept<Subscription>>();
  private readonly ats = new Map<string, Kept<unknown>>();
  private readonly owns = new Map<
    number,
    Kept<{ owner: string; hold: number }>
  >();
  private readonly heres = new Map<string, Kept<{ hold: number }>>();
  private upto: Kept<Record<string, number>> = { value: {}, version: 0 };
  private present = "";
  private presentSinceMs = 0;
  // ---- what this controller does
  private readonly deliveries = new Map<string, Delivery>();
  private readonly writing = new Set<string>();
  private readonly againMs = new Map<string, number>();
  private readonly breakers = new Map<string, Breaker>();
  private readonly requests: Requests;

  constructor(
    readonly label: string,
    readonly limits: HookLimits,
    /** Within 0 and 1. */
    readonly random: () => number,
    /** Ids of the keys that this controller can sign with. */
    keys: ReadonlySet<string>,
    /** Why a URL can't be sent to; null: it can. */
    refuses: (url: string) => string | null,
  ) {
    this.level = limits.changesBurst;
    this.requests = new Requests(
      (call, done) => this.state(call, done, Urgent.User),
      (req, status, body) => this.out.push({ do: "reply", req, status, body }),
      (name) => this.figuresOf(name),
      keys,
      refuses,
      limits.subscriptions,
    );
  }

  step(input: HookInput, nowMs: number, wallMs: number): HookEffect[] {
    this.nowMs = nowMs;
    this.wallMs = wallMs;
    switch (input.is) {
      case "seen":
        this.seen(input.from, input.to, input.changes);
        break;
      case "permit":
        if (input.hold !== this.hold) this.dropAll();
        this.hold = input.hold;
        this.permitUntilMs = input.untilMs;
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
    const out = this.out;
    this.out = [];
    return out;
  }

  // ---- Host ----------------------------------------------------------------------------------------------

  state(call: StateCall, done: (r: StateReply) => void, urgent?: Urgent): void {
    const op = ++this.ops;
    this.stateOps.set(op, done);
    // Users and holds never wait for hooks; masters only when hooks have waited for long.
    const patient =
      this.refusedSinceMs === null ||
      this.nowMs - this.refusedSinceMs < PATIENT_MS;
    this.out.push({
      do: "state",
      op,
      call,
      urgent: urgent ?? (patient ? Urgent.Spare : Urgent.Master),
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
  private get permitted(): boolean {
    return this.hold !== null && this.nowMs < this.permitUntilMs - MARGIN_MS;
  }
  mayLaunch(): boolean {
    return this.permitted && this.flights.size < this.limits.inFlight;
  }
  launch(d: Delivery, launch: Launch): number {
    const attempt = ++this.attempts;
    this.flights.set(attempt, d);
    this.out.push({ do: "attempt", attempt, hook: d.name, launch });
    this.log("webhook delivery attempt", {
      webhook: d.name,
      job: launch.end.id,
      attempt: launch.attempt,
      reason: launch.reason,
    });
    return attempt;
  }
  abort(attempt: number): void {
    this.out.push({ do: "abort", attempt });
  }
  settled(
    hook: string,
    o: {
      outcome: "delivered" | "dead";
      end: { id: string; at: number };
      attempts: number;
    },
  ): void {
    this.out.push({
      do: "settled",
      hook,
      outcome: o.outcome,
      attempts: o.attempts,
      tookMs: Math.max(0, this.wallMs - o.end.at),
    });
    if (o.outcome === "dead")
      this.log("webhook notification given up", {
        webhook: hook,
        job: o.end.id,
        attempts: o.attempts,
      });
  }
  log<E extends LogEvent>(event: E, fields: LogEventFields[E]): void {
    this.out.push({ do: "log", ...logEntry(event, fields) });
  }
  ended(name: string): void {
    const s = this.subs.get(name);
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
        { key: ownKey(lane), version: token },
        { key: subKey(name), version: s.version },
      ],
      [
        {
          op: "put",
          key: subKey(name),
          value: writeSub({ ...s.value, state: "ended" }),
        },
      ],
    );
  }

  // ---- what is read --------------------------------------------------------------------------------------

  private seen(from: number, to: number, changes: readonly Change[]): void {
    const { unnamed } = this.tail;
    this.tail.push(from, to, changes);
    if (this.tail.unnamed > unnamed)
      this.log("jobs ended without webhook notification", {
        jobs: this.tail.unnamed - unnamed,
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
      if (c.version > this.epoch && c.key.startsWith(HOOKS_NOW))
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
      { op: "list", prefix: HOOKS_NOW, after },
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
        for (const m of [this.subs, this.ats, this.owns, this.heres]) m.clear();
        this.upto = { value: {}, version: 0 };
        for (const i of all)
          if (i.version <= first) this.note(i.key, i.value, i.version);
        // What changed between the pages comes with the changes after the first; what was not there in its own page any more was deleted after it.
        this.epoch = first;
        const backlog = this.backlog;
        this.backlog = [];
        for (const b of backlog)
          if (this.epoch >= 0) this.follow(b.from, b.to, b.changes);
      },
      Urgent.Master,
    );
  }
  /** `undefined`: deleted. */
  private note(key: string, value: unknown, version: number): void {
    const [kind, ...rest] = key.slice(HOOKS_NOW.length).split("/");
    const name = rest.join("/");
    const keep = <K, T>(m: Map<K, Kept<T>>, k: K, v: T | null): void => {
      if (v === null) m.delete(k);
      else m.set(k, { value: v, version });
    };
    const gone = value === undefined;
    if (kind === "sub") keep(this.subs, name, gone ? null : readSub(value));
    else if (kind === "at") keep(this.ats, name, gone ? null : value);
    else if (kind === "own")
      keep(this.owns, Number(name), gone ? null : readOwn(value));
    else if (kind === "here")
      keep(this.heres, name, gone ? null : readHere(value));
    else if (kind === "upto")
      this.upto = {
        value: gone ? {} : readUpto(value),
        version: gone ? 0 : version,
      };
  }

  // ---- lanes ---------------------------------------------------------------------------------------------

  private tokenOf(lane: number): number | null {
    const o = this.owns.get(lane);
    return o && o.value.owner === this.label && o.value.hold === this.hold
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
      Urgent.Master,
    );
  }

  private act(): void {
    for (const d of this.deliveries.values()) d.retryDue();
    if (this.epoch < 0) {
      if (!this.listing && this.nowMs >= this.listAgainMs) this.list();
      return;
    }
    if (!this.permitted) {
      for (const d of this.deliveries.values()) d.abort();
      return;
    }
    const hold = this.hold!;
    const here = this.heres.get(this.label);
    if (here?.value.hold !== hold)
      this.put(
        "here",
        [{ key: hereKey(this.label), version: here?.version ?? 0 }],
        [{ op: "put", key: hereKey(this.label), value: { hold }, hold }],
      );
    const present = [...this.heres.keys()].sort();
    if (present.join() !== this.present) {
      this.present = present.join();
      this.presentSinceMs = this.nowMs;
    }
    const byLane = new Map<number, string[]>();
    for (const name of this.ats.keys())
      byLane.set(laneOf(name), [...(byLane.get(laneOf(name)) ?? []), name]);
    for (let lane = 0; lane < LANES; lane++)
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
    const own = this.owns.get(lane);
    const token = this.tokenOf(lane);
    const settled =
      this.nowMs - this.presentSinceMs >= SETTLED_MS &&
      present.includes(this.label);
    const mine = chosen(lane, present) === this.label;
    for (const name of names)
      if (
        this.deliveries.has(name) &&
        this.deliveries.get(name)!.token !== token
      )
        this.drop(name);
    const take = (version: number): void =>
      this.put(
        `lane ${lane}`,
        [{ key: ownKey(lane), version }],
        [
          {
            op: "put",
            key: ownKey(lane),
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
          [{ key: ownKey(lane), version: token }],
          [{ op: "delete", key: ownKey(lane) }],
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
    const kept = this.ats.get(name)!;
    const at = readAt(kept.value);
    if (!at) return;
    const upto = this.upto.value[lane] ?? 0;
    this.deliveries.set(
      name,
      new Delivery(
        this,
        name,
        token,
        { key: ownKey(lane), version: token },
        () => this.subs.get(name)?.value ?? null,
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
      const at = this.ats.get(name);
      if (d.foreign || !at) this.drop(name);
      else d.act(chosen(laneOf(name), present) === this.label);
    }
  }

  /** Up to where each lane is settled: a subscription that nothing ends for needs no writes of its own. */
  private writeUpto(byLane: ReadonlyMap<number, readonly string[]>): void {
    const next: Record<string, number> = {};
    const conditions: Condition[] = [
      { key: UPTO_KEY, version: this.upto.version },
    ];
    let behind = 0;
    for (const [lane, names] of byLane) {
      const token = this.tokenOf(lane);
      if (token === null || !names.every((n) => this.deliveries.has(n)))
        continue;
      const to = Math.min(
        ...names.map((n) => this.deliveries.get(n)!.settledTo),
      );
      const was = this.upto.value[lane] ?? 0;
      if (to <= was) continue;
      next[lane] = to;
      conditions.push({ key: ownKey(lane), version: token });
      behind = Math.max(behind, to - was);
    }
    if (behind < this.limits.settleEvery || this.writing.has("upto")) return;
    if (!this.mayWrite(1)) return;
    this.put("upto", conditions, [
      { op: "put", key: UPTO_KEY, value: { ...this.upto.value, ...next } },
    ]);
  }

  // ---- figures -------------------------------------------------------------------------------------------

  /** What this controller knows of a subscription's deliveries; null: another one sends for it. */
  figuresOf(name: string): object | null {
    const d = this.deliveries.get(name);
    if (!d) return null;
    const b = d.behind;
    const sub = this.subs.get(name)?.value;
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
