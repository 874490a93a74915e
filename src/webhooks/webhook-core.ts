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
  type AttemptPermit,
  CircuitBreaker,
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

/** An attempt in flight, and the circuit breaker that allowed it. */
interface AttemptInFlight {
  readonly delivery: Delivery;
  readonly subscription: Subscription;
  readonly breaker: CircuitBreaker;
  readonly permit: AttemptPermit;
}

/** Inputs of the webhook core. */
export type WebhookInput =
  /** Changes that the scheduler's core read. If `from` is later than the last `to`, changes in between are missing. */
  | {
      type: "storeChanges";
      from: number;
      to: number;
      changes: readonly Change[];
    }
  /** This controller's store lease (null: none), and until when (monotonic time) it may act on the lanes it owns. */
  | { type: "permit"; storeLease: number | null; untilMs: number }
  | { type: "state"; callId: number; reply: StateReply }
  | { type: "attempted"; attemptId: number; result: AttemptResult }
  | { type: "request"; reqId: number; request: WebhookRequest }
  | { type: "tick" };

export type WebhookEffect =
  | { type: "state"; callId: number; call: StateCall; priority: CallPriority }
  | {
      type: "attempt";
      attemptId: number;
      webhook: string;
      request: AttemptRequest;
    }
  | { type: "abort"; attemptId: number }
  | { type: "reply"; reqId: number; status: number; body: object }
  | {
      type: "settled";
      webhook: string;
      outcome: "delivered" | "dead";
      attempts: number;
      /** From the end of the job, by time of day. */
      tookMs: number;
    }
  | ({ type: "log" } & LogEntry);

export interface WebhookLimits extends DeliveryLimits {
  /** Changes per second that webhooks may write, and the size of a burst. */
  changesPerS: number;
  changesBurst: number;
  /** Maximum number of attempts in flight, over all subscriptions. */
  inFlight: number;
  /** Failures in a row that open a circuit breaker. */
  breakerAfter: number;
  breakerPause: BackoffLimits;
  /** Maximum number of subscriptions. */
  subscriptions: number;
}

/** Attempts are aborted this long before the leadership lease ends. Longer than a tick, as the lease is checked at each tick. */
const LEASE_MARGIN_MS = 500;
/** Lanes move only when the set of present controllers has not changed for this long. */
const PRESENCE_STABLE_MS = 1_000;
const RETRY_MS = 400;
/** After calls have been refused for this long, they are sent with the priority of partition leaders. */
const ESCALATE_AFTER_MS = 5_000;

interface Versioned<T> {
  value: T;
  version: number;
}

/** Delivers webhooks on one controller. Without I/O, like the scheduler's core, and separate from it. */
export class WebhookCore implements DeliveryHost {
  nowMs = 0;
  wallMs = 0;
  readonly feed = new ChangeFeed();
  private effects: WebhookEffect[] = [];
  private lastCallId = 0;
  private lastAttemptId = 0;
  private readonly pendingCalls = new Map<
    number,
    (reply: StateReply) => void
  >();
  private readonly attemptsInFlight = new Map<number, AttemptInFlight>();
  private storeLease: number | null = null;
  private leadershipLeaseUntilMs = -Infinity;
  private availableChanges: number;
  private availableChangesAtMs = 0;
  private refusedSinceMs: number | null = null;
  // ---- records as read from the state service
  /** Revision up to which the records have been read; -1: they have to be listed. */
  private revision = -1;
  private listing = false;
  private changesWhileListing: {
    from: number;
    to: number;
    changes: readonly Change[];
  }[] = [];
  private listRetryAtMs = -Infinity;
  readonly subscriptions = new Map<string, Versioned<Subscription>>();
  private readonly progressRecords = new Map<string, Versioned<unknown>>();
  private readonly laneOwners = new Map<
    number,
    Versioned<{ owner: string; hold: number }>
  >();
  private readonly presences = new Map<string, Versioned<{ hold: number }>>();
  private settledUpTo: Versioned<Record<string, number>> = {
    value: {},
    version: 0,
  };
  /** Labels of the controllers that deliver webhooks, sorted and joined. */
  private presentLabels = "";
  private presentLabelsSinceMs = 0;
  // ---- activity of this controller
  private readonly deliveries = new Map<string, Delivery>();
  private readonly commitsInFlight = new Set<string>();
  private readonly commitRetryAtMs = new Map<string, number>();
  private readonly breakers = new Map<string, CircuitBreaker>();
  private readonly requests: SubscriptionRequests;

  constructor(
    readonly label: string,
    readonly limits: WebhookLimits,
    /** Returns a number between 0 and 1. */
    readonly random: () => number,
    /** Ids of the keys that this controller can sign with. */
    keyIds: ReadonlySet<string>,
    /** Why no notification can be sent to a URL; null if one can. */
    urlProblem: (url: string) => string | null,
  ) {
    this.availableChanges = limits.changesBurst;
    this.requests = new SubscriptionRequests(
      (call, done) => this.callStore(call, done, CallPriority.UserRequest),
      (reqId, status, body) =>
        this.effects.push({ type: "reply", reqId, status, body }),
      (name) => this.figuresOf(name),
      keyIds,
      urlProblem,
      limits.subscriptions,
    );
  }

  step(input: WebhookInput, nowMs: number, wallMs: number): WebhookEffect[] {
    this.nowMs = nowMs;
    this.wallMs = wallMs;
    switch (input.type) {
      case "storeChanges":
        this.onStoreChanges(input.from, input.to, input.changes);
        break;
      case "permit":
        if (input.storeLease !== this.storeLease) this.dropAllDeliveries();
        this.storeLease = input.storeLease;
        this.leadershipLeaseUntilMs = input.untilMs;
        break;
      case "state": {
        const onReply = this.pendingCalls.get(input.callId);
        this.pendingCalls.delete(input.callId);
        if (input.reply.is === "refused") this.refusedSinceMs ??= nowMs;
        else this.refusedSinceMs = null;
        onReply?.(input.reply);
        break;
      }
      case "attempted": {
        const attempt = this.attemptsInFlight.get(input.attemptId);
        if (!attempt) break;
        this.attemptsInFlight.delete(input.attemptId);
        attempt.delivery.attemptEnded(
          input.attemptId,
          input.result,
          attempt.subscription,
        );
        this.recordResult(attempt, input.result);
        break;
      }
      case "request":
        this.requests.handle(input.reqId, input.request);
        break;
      case "tick":
        break;
    }
    this.advance();
    const effects = this.effects;
    this.effects = [];
    return effects;
  }

  // ---- DeliveryHost ------------------------------------------------------------------------------------

  callStore(
    call: StateCall,
    onReply: (reply: StateReply) => void,
    priority?: CallPriority,
  ): void {
    const callId = ++this.lastCallId;
    this.pendingCalls.set(callId, onReply);
    // User requests and leases never wait for webhooks; partition leaders do only after webhooks have waited for long.
    const lowPriority =
      this.refusedSinceMs === null ||
      this.nowMs - this.refusedSinceMs < ESCALATE_AFTER_MS;
    this.effects.push({
      type: "state",
      callId,
      call,
      priority:
        priority ??
        (lowPriority ? CallPriority.Background : CallPriority.Leader),
    });
  }
  /** Webhooks have a share of this controller's write rate. Notifications that wait for it are collected and written together. */
  mayWrite(changes: number): boolean {
    this.availableChanges = Math.min(
      this.limits.changesBurst,
      this.availableChanges +
        ((this.nowMs - this.availableChangesAtMs) / 1000) *
          this.limits.changesPerS,
    );
    this.availableChangesAtMs = this.nowMs;
    if (this.availableChanges < Math.min(changes, this.limits.changesBurst))
      return false;
    this.availableChanges -= changes;
    return true;
  }
  isReceiverAllowed(url: string): boolean {
    return this.breaker(url).allows(this.nowMs);
  }
  /** The circuit breaker of the URL's origin. */
  private breaker(url: string): CircuitBreaker {
    const origin = URL.canParse(url) ? new URL(url).origin : url;
    let breaker = this.breakers.get(origin);
    if (!breaker)
      this.breakers.set(
        origin,
        (breaker = new CircuitBreaker(
          this.limits.breakerAfter,
          this.limits.breakerPause,
          this.random,
        )),
      );
    return breaker;
  }
  private get mayAct(): boolean {
    return (
      this.storeLease !== null &&
      this.nowMs < this.leadershipLeaseUntilMs - LEASE_MARGIN_MS
    );
  }
  mayStartAttempt(): boolean {
    return this.mayAct && this.attemptsInFlight.size < this.limits.inFlight;
  }
  startAttempt(delivery: Delivery, request: AttemptRequest): number {
    const attemptId = ++this.lastAttemptId;
    const { subscription } = request;
    const breaker = this.breaker(subscription.url);
    const permit = breaker.recordStart(this.nowMs);
    this.attemptsInFlight.set(attemptId, {
      delivery,
      subscription,
      breaker,
      permit,
    });
    this.effects.push({
      type: "attempt",
      attemptId,
      webhook: delivery.name,
      request,
    });
    this.log("webhook delivery attempt", {
      webhook: delivery.name,
      job: request.end.id,
      attempt: request.attempt,
      reason: request.reason,
    });
    return attemptId;
  }
  /**
   * Tells the circuit breaker how an attempt ended. It is the one that allowed the attempt: since then the subscription may have been
   * removed or got another URL, and the delivery may have stopped because the lane was lost.
   */
  private recordResult(
    { breaker, permit }: AttemptInFlight,
    result: AttemptResult,
  ): void {
    switch (result.is) {
      case "aborted":
        return breaker.recordAbort(permit);
      case "had":
        return breaker.recordSuccess(permit);
      case "failed":
        return breaker.recordFailure(permit, this.nowMs);
      case "answered":
        return this.recordAnswer(breaker, permit, result);
    }
  }
  private recordAnswer(
    breaker: CircuitBreaker,
    permit: AttemptPermit,
    { status, retryAfterMs }: Extract<AttemptResult, { is: "answered" }>,
  ): void {
    if (status >= 500 || status === 429)
      breaker.recordFailure(permit, this.nowMs);
    else breaker.recordSuccess(permit);
    if (retryAfterMs !== null && (status === 429 || status === 503))
      breaker.pauseFor(this.nowMs, retryAfterMs);
  }
  abortAttempt(attemptId: number): void {
    this.effects.push({ type: "abort", attemptId });
  }
  notificationSettled(
    webhook: string,
    settlement: {
      outcome: "delivered" | "dead";
      end: { id: string; at: number };
      attempts: number;
    },
  ): void {
    this.effects.push({
      type: "settled",
      webhook,
      outcome: settlement.outcome,
      attempts: settlement.attempts,
      tookMs: Math.max(0, this.wallMs - settlement.end.at),
    });
    if (settlement.outcome === "dead")
      this.log("webhook notification given up", {
        webhook: webhook,
        job: settlement.end.id,
        attempts: settlement.attempts,
      });
  }
  log<E extends LogEvent>(event: E, fields: LogEventFields[E]): void {
    this.effects.push({ type: "log", ...logEntry(event, fields) });
  }
  endSubscription(name: string): void {
    const subscription = this.subscriptions.get(name);
    const lane = laneOf(name);
    const token = this.laneToken(lane);
    if (
      !subscription ||
      token === null ||
      subscription.value.state === "ended" ||
      this.commitsInFlight.has(`sub ${name}`)
    )
      return;
    this.commitOnce(
      `sub ${name}`,
      [
        { key: laneOwnerKey(lane), version: token },
        { key: subscriptionKey(name), version: subscription.version },
      ],
      [
        {
          op: "put",
          key: subscriptionKey(name),
          value: writeSubscription({ ...subscription.value, state: "ended" }),
        },
      ],
    );
  }

  // ---- reading records ---------------------------------------------------------------------------------

  private onStoreChanges(
    from: number,
    to: number,
    changes: readonly Change[],
  ): void {
    const { unattributedEnds: countBefore } = this.feed;
    this.feed.push(from, to, changes);
    if (this.feed.unattributedEnds > countBefore)
      this.log("jobs ended without webhook notification", {
        jobs: this.feed.unattributedEnds - countBefore,
      });
    if (this.listing) {
      this.changesWhileListing.push({ from, to, changes });
      return;
    }
    this.applyChanges(from, to, changes);
  }
  private applyChanges(
    from: number,
    to: number,
    changes: readonly Change[],
  ): void {
    // The records have not been read, or changes are missing: all are read again.
    if (this.revision < 0 || from > this.revision) {
      this.revision = -1;
      return;
    }
    for (const change of changes)
      if (
        change.version > this.revision &&
        change.key.startsWith(WEBHOOKS_LIVE_PREFIX)
      )
        this.applyRecord(
          change.key,
          change.op === "put" ? change.value : undefined,
          change.version,
        );
    this.revision = Math.max(this.revision, to);
  }
  private readRecords(
    after = "",
    items: Item[] = [],
    firstPageRevision: number | null = null,
  ): void {
    this.listing = true;
    this.callStore(
      { op: "list", prefix: WEBHOOKS_LIVE_PREFIX, after },
      (reply) => {
        if (reply.is !== "items") {
          this.listing = false;
          this.changesWhileListing = [];
          this.listRetryAtMs = this.nowMs + RETRY_MS;
          return;
        }
        const all = [...items, ...reply.items];
        // Pages are read at different revisions. Records that changed after the first page was read are skipped below and come
        // with the changes.
        const firstRevision = firstPageRevision ?? reply.epoch;
        const last = reply.items.at(-1);
        if (reply.more && last)
          return this.readRecords(last.key, all, firstRevision);
        this.listing = false;
        for (const records of [
          this.subscriptions,
          this.progressRecords,
          this.laneOwners,
          this.presences,
        ])
          records.clear();
        this.settledUpTo = { value: {}, version: 0 };
        for (const item of all)
          if (item.version <= firstRevision)
            this.applyRecord(item.key, item.value, item.version);
        // The changes after the first page include all that changed between pages, also deletions of records that are in no page.
        this.revision = firstRevision;
        const missed = this.changesWhileListing;
        this.changesWhileListing = [];
        for (const batch of missed)
          if (this.revision >= 0)
            this.applyChanges(batch.from, batch.to, batch.changes);
      },
      CallPriority.Leader,
    );
  }
  /** Updates the copy of a record. `value` is undefined if the record was deleted. */
  private applyRecord(key: string, value: unknown, version: number): void {
    const [kind, ...rest] = key.slice(WEBHOOKS_LIVE_PREFIX.length).split("/");
    const name = rest.join("/");
    const update = <K, T>(
      records: Map<K, Versioned<T>>,
      recordKey: K,
      record: T | null,
    ): void => {
      if (record === null) records.delete(recordKey);
      else records.set(recordKey, { value: record, version });
    };
    const deleted = value === undefined;
    if (kind === "sub")
      update(
        this.subscriptions,
        name,
        deleted ? null : readSubscription(value),
      );
    else if (kind === "at")
      update(this.progressRecords, name, deleted ? null : value);
    else if (kind === "own")
      update(
        this.laneOwners,
        Number(name),
        deleted ? null : readLaneOwner(value),
      );
    else if (kind === "here")
      update(this.presences, name, deleted ? null : readPresence(value));
    else if (kind === "upto")
      this.settledUpTo = {
        value: deleted ? {} : readSettledUpTo(value),
        version: deleted ? 0 : version,
      };
  }

  // ---- lanes -------------------------------------------------------------------------------------------

  private laneToken(lane: number): number | null {
    const laneOwner = this.laneOwners.get(lane);
    return laneOwner &&
      laneOwner.value.owner === this.label &&
      laneOwner.value.hold === this.storeLease
      ? laneOwner.version
      : null;
  }

  /** Sends at most one commit per name at a time. Its effect becomes visible with the changes that are read. */
  private commitOnce(
    name: string,
    conditions: Condition[],
    writes: Write[],
  ): void {
    if (
      this.commitsInFlight.has(name) ||
      this.nowMs < (this.commitRetryAtMs.get(name) ?? -Infinity)
    )
      return;
    this.commitsInFlight.add(name);
    this.callStore(
      { op: "commit", conditions, writes },
      (reply) => {
        this.commitsInFlight.delete(name);
        if (reply.is !== "committed")
          this.commitRetryAtMs.set(name, this.nowMs + RETRY_MS);
        // Until the change is read, the commit would be sent again with the old version.
        else this.commitRetryAtMs.set(name, this.nowMs + RETRY_MS / 4);
      },
      CallPriority.Leader,
    );
  }

  private advance(): void {
    for (const delivery of this.deliveries.values()) delivery.retryIfDue();
    if (this.revision < 0) {
      if (!this.listing && this.nowMs >= this.listRetryAtMs) this.readRecords();
      return;
    }
    if (!this.mayAct) {
      for (const delivery of this.deliveries.values()) delivery.abort();
      return;
    }
    const storeLease = this.storeLease!;
    const ownPresence = this.presences.get(this.label);
    if (ownPresence?.value.hold !== storeLease)
      this.commitOnce(
        "here",
        [{ key: presenceKey(this.label), version: ownPresence?.version ?? 0 }],
        [
          {
            op: "put",
            key: presenceKey(this.label),
            value: { hold: storeLease },
            hold: storeLease,
          },
        ],
      );
    const present = [...this.presences.keys()].sort();
    if (present.join() !== this.presentLabels) {
      this.presentLabels = present.join();
      this.presentLabelsSinceMs = this.nowMs;
    }
    const byLane = new Map<number, string[]>();
    for (const name of this.progressRecords.keys())
      byLane.set(laneOf(name), [...(byLane.get(laneOf(name)) ?? []), name]);
    for (let lane = 0; lane < LANE_COUNT; lane++)
      this.manageLane(lane, byLane.get(lane) ?? [], present, storeLease);
    this.advanceDeliveries(present);
    this.writeSettledUpTo(byLane);
  }

  private manageLane(
    lane: number,
    names: readonly string[],
    present: readonly string[],
    storeLease: number,
  ): void {
    const laneOwner = this.laneOwners.get(lane);
    const token = this.laneToken(lane);
    const presenceStable =
      this.nowMs - this.presentLabelsSinceMs >= PRESENCE_STABLE_MS &&
      present.includes(this.label);
    const chosenHere = chosenController(lane, present) === this.label;
    for (const name of names)
      if (
        this.deliveries.has(name) &&
        this.deliveries.get(name)!.token !== token
      )
        this.dropDelivery(name);
    const takeLane = (version: number): void =>
      this.commitOnce(
        `lane ${lane}`,
        [{ key: laneOwnerKey(lane), version }],
        [
          {
            op: "put",
            key: laneOwnerKey(lane),
            value: { owner: this.label, hold: storeLease },
            hold: storeLease,
          },
        ],
      );
    if (token === null) {
      if (names.length === 0 || !presenceStable) return;
      // A lane without an owner record is free, as is one that this controller owned under an earlier store lease.
      if (chosenHere && (!laneOwner || laneOwner.value.owner === this.label))
        takeLane(laneOwner?.version ?? 0);
      return;
    }
    if (presenceStable && !chosenHere) {
      // Invariant (nothing in flight twice): a lane is given up only when no attempt is in flight and all results are written.
      if (names.every((n) => this.deliveries.get(n)?.idle !== false)) {
        for (const name of names) this.dropDelivery(name);
        this.commitOnce(
          `lane ${lane}`,
          [{ key: laneOwnerKey(lane), version: token }],
          [{ op: "delete", key: laneOwnerKey(lane) }],
        );
      }
      return;
    }
    for (const name of names)
      if (!this.deliveries.has(name)) this.startDelivery(name, lane, token);
  }

  /**
   * The progress record is at least as new as the lane's token, and every commit of the former owner was conditional on the
   * token that this one replaced. So the record names every notification that the former owner may have sent.
   */
  private startDelivery(name: string, lane: number, token: number): void {
    const stored = this.progressRecords.get(name)!;
    const progress = readProgress(stored.value);
    if (!progress) return;
    const laneSettledUpTo = this.settledUpTo.value[lane] ?? 0;
    this.deliveries.set(
      name,
      new Delivery(
        this,
        name,
        token,
        { key: laneOwnerKey(lane), version: token },
        () => this.subscriptions.get(name)?.value ?? null,
        stored.version,
        progress,
        laneSettledUpTo,
      ),
    );
  }
  private dropDelivery(name: string): void {
    this.deliveries.get(name)?.stop();
    this.deliveries.delete(name);
  }
  private dropAllDeliveries(): void {
    for (const name of [...this.deliveries.keys()]) this.dropDelivery(name);
  }

  private advanceDeliveries(present: readonly string[]): void {
    // The delivery that wrote longest ago gets the available changes first. Taking turns by step let some wait ten seconds.
    for (const [name, delivery] of [...this.deliveries].sort(
      ([, x], [, y]) => x.lastCommitMs - y.lastCommitMs,
    )) {
      const progress = this.progressRecords.get(name);
      if (delivery.outdated || !progress) this.dropDelivery(name);
      else
        delivery.advance(
          chosenController(laneOf(name), present) === this.label,
        );
    }
  }

  /** Writes up to where each lane is settled, so that subscriptions without matching ends need no writes of their own. */
  private writeSettledUpTo(
    byLane: ReadonlyMap<number, readonly string[]>,
  ): void {
    const next: Record<string, number> = {};
    const conditions: Condition[] = [
      { key: SETTLED_UP_TO_KEY, version: this.settledUpTo.version },
    ];
    let maxAdvance = 0;
    for (const [lane, names] of byLane) {
      const token = this.laneToken(lane);
      if (token === null || !names.every((n) => this.deliveries.has(n)))
        continue;
      const settledUpTo = Math.min(
        ...names.map((n) => this.deliveries.get(n)!.settledUpTo),
      );
      const recordedUpTo = this.settledUpTo.value[lane] ?? 0;
      if (settledUpTo <= recordedUpTo) continue;
      next[lane] = settledUpTo;
      conditions.push({ key: laneOwnerKey(lane), version: token });
      maxAdvance = Math.max(maxAdvance, settledUpTo - recordedUpTo);
    }
    if (
      maxAdvance < this.limits.settleEveryRevisions ||
      this.commitsInFlight.has("upto")
    )
      return;
    if (!this.mayWrite(1)) return;
    this.commitOnce("upto", conditions, [
      {
        op: "put",
        key: SETTLED_UP_TO_KEY,
        value: { ...this.settledUpTo.value, ...next },
      },
    ]);
  }

  // ---- figures -----------------------------------------------------------------------------------------

  /** Counts of a subscription's deliveries; null if another controller delivers for it. */
  figuresOf(name: string): object | null {
    const delivery = this.deliveries.get(name);
    if (!delivery) return null;
    const counts = delivery.pendingCounts;
    const subscription = this.subscriptions.get(name)?.value;
    return {
      window: counts.window,
      batches: counts.batches,
      fresh: counts.fresh,
      deadBatches: counts.dead,
      oldestAt:
        counts.oldestAt === null
          ? null
          : new Date(counts.oldestAt).toISOString(),
      receiver: subscription
        ? this.breaker(subscription.url).state(this.nowMs)
        : "closed",
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
    const totals = {
      owned: this.deliveries.size,
      inFlight: this.attemptsInFlight.size,
      window: 0,
      batches: 0,
      deadBatches: 0,
      oldestAt: null as number | null,
      receivers: { closed: 0, open: 0, "half-open": 0 },
    };
    for (const delivery of this.deliveries.values()) {
      const counts = delivery.pendingCounts;
      totals.window += counts.window;
      totals.batches += counts.batches;
      totals.deadBatches += counts.dead;
      if (counts.oldestAt !== null)
        totals.oldestAt = Math.min(
          totals.oldestAt ?? Infinity,
          counts.oldestAt,
        );
    }
    for (const breaker of this.breakers.values())
      totals.receivers[breaker.state(this.nowMs)]++;
    return totals;
  }
}
