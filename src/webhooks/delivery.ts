import type { EventLog } from "../logging/events.js";
import type {
  Condition,
  Item,
  StateCall,
  StateReply,
  Write,
} from "../protocol/state.js";
import { FINAL_PREFIX } from "../storage/records.js";
import {
  type Breaker,
  backoffMs,
  type BackoffLimits,
  mayHave,
  type Reason,
} from "./circuit-breaker.js";
import {
  after,
  AT_HEAD,
  type ProgressRecord,
  progressKey,
  BATCH_HEAD,
  batchNumber,
  type Cursor,
  deadKey,
  deadPrefix,
  type JobEnd,
  LAST_ID,
  later,
  type PendingDelivery,
  Packer,
  readProgress,
  readBatch,
  spoolKey,
  spoolPrefix,
  type Subscription,
  writeProgress,
  writeBatch,
} from "./records.js";
import {
  type FeedEntry,
  jobEndOf,
  jobEndsOf,
  type ChangeFeed,
} from "./change-feed.js";

/** What an attempt came to. */
export type AttemptResult =
  | { is: "answered"; status: number; retryAfterMs: number | null }
  /** Asked first, the receiver has it. */
  | { is: "had" }
  | { is: "failed"; why: Exclude<Reason, "status" | "owner-lost"> }
  /** Given up on this side before it was over. */
  | { is: "aborted" };

export interface DeliveryLimits {
  valueBytes: number;
  txnOps: number;
  /** Attempts in flight for one subscription. */
  parallel: number;
  horizonMs: number;
  backoff: BackoffLimits;
  /** Revisions after which the state service's log may soon not go back far enough. */
  settleEvery: number;
  /** Batches that one subscription may have in its spool; what ends beyond that is found among the final records later. */
  spoolBatches: number;
}

export interface AttemptRequest {
  end: JobEnd;
  /** The number of the attempt, from 1. */
  attempt: number;
  reason: Reason | null;
  ask: boolean;
  sub: Subscription;
}

/** What a delivery needs of its core. */
export interface DeliveryHost extends EventLog {
  readonly nowMs: number;
  readonly wallMs: number;
  readonly limits: DeliveryLimits;
  readonly feed: ChangeFeed;
  random(): number;
  state(call: StateCall, done: (r: StateReply) => void): void;
  /** Whether hooks may change so many records now; counts them if so. `sinceMs`: since when it is asked. */
  mayWrite(changes: number): boolean;
  /** Whether an attempt may go to the receiver, and that one does; `gone`: until it comes back. */
  breaker(url: string): Breaker;
  mayLaunch(): boolean;
  launch(d: Delivery, l: AttemptRequest): number;
  abort(attempt: number): void;
  /** The receiver wants no more. */
  ended(name: string): void;
  settled(
    name: string,
    o: { outcome: "delivered" | "dead"; end: JobEnd; attempts: number },
  ): void;
}

interface Entry extends PendingDelivery {
  /** Attempts that the record says may have been made: `attempts` never exceeds it. */
  reserved: number;
  failures: number;
  reason: Reason | null;
  notBeforeMs: number;
  flying: number | null;
  over: "delivered" | "dead" | null;
}

/** Attempt numbers that are written down at once after the first: one change serves so many repeats. */
const RESERVE = 8;
/** Ends that wait in memory for a place in the window or the spool. */
const MAX_FRESH = 300;
/** What is only to be forgotten waits this long for more. */
const CLEANUP_INTERVAL_MS = 1_000;
const RETRY_MS = 300;
/** A window of more could not be sent again within a moment by the next owner. */
const MAX_WINDOW = 100;
/** Batches of dead letters that one subscription may have; the oldest go. */
const DEAD_BATCHES = 1_000;

const NONE: Cursor = { version: 0, id: "" };

/**
 * The deliveries of one subscription, while this controller owns its lane.
 *
 * What is owed is, in the order of ends: the window (may have been sent; in the record), the spool (batches of its own), what
 * is fresh (in memory, later than the cursor), and what was not read yet. Invariant (nothing lost): an end leaves one place
 * for the next in one commit. Invariant (no repeat without a cause): an attempt leaves only when the record names the end
 * with a number of attempts that covers it; so whoever reads the record next repeats nothing else.
 */
export class Delivery {
  private record: Omit<ProgressRecord, "window">;
  private window: Entry[];
  private fresh: FeedEntry[] = [];
  /** Up to here ends were taken to `fresh`; never before the record's cursor. */
  private position: Cursor;
  /** The spool's first batch, as far as it is read. */
  private front: { n: number; entries: PendingDelivery[] } | null = null;
  private loaded = false;
  private busy = false;
  private reading = false;
  private againMs = -Infinity;
  private tidySinceMs: number | null = null;
  private page: { items: FeedEntry[]; after: string; last: boolean } | null =
    null;
  private stopped = false;
  /** When it last made use of the changes that hooks have. */
  wroteMs = -Infinity;
  /** Its record is not what was written last: to be made anew from what is read. */
  foreign = false;

  constructor(
    private readonly host: DeliveryHost,
    readonly name: string,
    readonly token: number,
    private readonly owner: Condition,
    /** The subscription as it is now; null: it was removed. */
    private readonly subscription: () => Subscription | null,
    private version: number,
    at: ProgressRecord,
    /** All of the lane is settled up to here, beside what the record names. */
    upto: number,
  ) {
    const { window, ...rec } = at;
    this.record = rec;
    // The former owner may have sent any of these, as often as it wrote down.
    this.window = window.map((o) => ({
      ...o,
      reserved: o.attempts,
      failures: 0,
      reason: "owner-lost",
      notBeforeMs: host.nowMs,
      flying: null,
      over: null,
    }));
    this.record.cursor = later(at.cursor ?? { version, id: LAST_ID }, {
      version: at.listing ? 0 : upto,
      id: LAST_ID,
    });
    this.position = this.record.cursor;
  }

  // ---- what others ask of it -----------------------------------------------------------------------------

  get flying(): number {
    return this.window.reduce((n, e) => n + (e.flying === null ? 0 : 1), 0);
  }
  /** Nothing is in flight, and nothing that was learnt waits to be written. */
  get quiet(): boolean {
    return (
      !this.busy &&
      this.window.every((e) => e.flying === null && e.over === null)
    );
  }
  /** Up to this revision all ends that this subscription is owed are in its records. */
  get settledTo(): number {
    if (!this.loaded || this.record.listing)
      return this.record.cursor?.version ?? 0;
    return this.fresh.length > 0
      ? this.fresh[0]!.at.version - 1
      : this.position.version - (this.position.id === LAST_ID ? 0 : 1);
  }
  /** What waits, as far as it is counted; and when its oldest ended. */
  get behind(): {
    window: number;
    batches: number;
    fresh: number;
    dead: number;
    oldestAt: number | null;
  } {
    const oldest =
      this.window.find((e) => e.over === null)?.end.at ??
      this.front?.entries[0]?.end.at ??
      this.fresh[0]?.end.at ??
      null;
    return {
      window: this.window.length,
      batches: this.record.spool.next - this.record.spool.first,
      fresh: this.fresh.length,
      dead: this.record.dead.next - this.record.dead.first,
      oldestAt: oldest,
    };
  }
  /** For good: the lane is not this controller's any more. */
  stop(): void {
    this.stopped = true;
    this.abort();
  }
  /** Ends all that is in flight: it can't be known whether the lane is still this controller's. */
  abort(): void {
    for (const e of this.window)
      if (e.flying !== null) this.host.abort(e.flying);
  }

  // ---- one step ------------------------------------------------------------------------------------------

  /** `sending`: new attempts may be made; not while the lane is being given up. */
  act(sending: boolean): void {
    if (this.stopped) return;
    const sub = this.subscription();
    if (!this.loaded) return this.load();
    if (!sub) return this.clean();
    this.collect(sub);
    for (const e of this.window)
      if (
        e.over === null &&
        e.flying === null &&
        this.host.wallMs >= e.end.since + this.host.limits.horizonMs
      )
        this.over(e, "dead");
    const active = sending && sub.state === "active";
    if (!this.busy && this.host.nowMs >= this.againMs) this.write(sub, active);
    if (active) this.send(sub);
  }

  /** Batches that the former owner wrote after the record. */
  private load(): void {
    if (this.reading) return;
    this.reading = true;
    const from = this.record.spool.next;
    this.host.state(
      {
        op: "list",
        prefix: spoolPrefix(this.name),
        after: from === 0 ? "" : spoolKey(this.name, from - 1),
      },
      (r) => {
        this.reading = false;
        if (this.stopped || r.is !== "items") return;
        for (const i of r.items) {
          const b = readBatch(i.value);
          if (!b || batchNumber(i.key) !== this.record.spool.next) continue;
          this.record.spool.next++;
          if (b.to)
            this.record.cursor = later(this.record.cursor ?? NONE, b.to);
        }
        this.position = later(this.position, this.record.cursor ?? NONE);
        this.loaded = !r.more;
        this.act(false);
      },
    );
  }

  // ---- what is owed --------------------------------------------------------------------------------------

  private wants(sub: Subscription, e: JobEnd): boolean {
    if (sub.state === "ended" || e.outcome === "test") return false;
    return (
      (sub.teams === null || sub.teams.includes(e.team)) &&
      (sub.classes === null || sub.classes.includes(e.class)) &&
      sub.outcomes.includes(e.outcome)
    );
  }

  private collect(sub: Subscription): void {
    if (this.reading || this.fresh.length >= MAX_FRESH) return;
    if (this.record.listing) return this.list(sub);
    const known = this.host.feed.since(this.position);
    if (known) return this.take(sub, known, this.host.feed.end);
    if (this.busy || this.host.nowMs < this.againMs) return;
    // Behind what this controller has read: the state service's log goes further back.
    this.reading = true;
    const since =
      this.position.id === LAST_ID
        ? this.position.version
        : this.position.version - 1;
    this.host.state(
      {
        op: "changes",
        prefix: FINAL_PREFIX,
        since: Math.max(0, since),
        waitMs: 0,
      },
      (r) => {
        this.reading = false;
        if (this.stopped) return;
        if (r.is === "changes")
          this.take(
            sub,
            jobEndsOf(r.changes).filter((e) => after(e.at, this.position)),
            r.epoch,
          );
        else if (r.is === "gone") this.startListing();
        else this.againMs = this.host.nowMs + RETRY_MS;
      },
    );
  }
  /** As many as there is room for; the rest is read again. */
  private take(
    sub: Subscription,
    ends: readonly FeedEntry[],
    to: number,
  ): void {
    for (const e of ends) {
      if (this.fresh.length >= MAX_FRESH) return;
      if (this.wants(sub, e.end)) this.fresh.push(e);
      this.position = e.at;
    }
    this.position = later(this.position, { version: to, id: LAST_ID });
  }

  /**
   * Not even the log goes back far enough. All final records are read, in the order of their keys, and those after the cursor
   * are owed; the record says how far that has come, so that nothing is found twice.
   */
  private startListing(): void {
    this.host.log("webhook fell behind, reading all final records", {
      webhook: this.name,
      sinceRevision: this.position.version,
    });
    this.reading = true;
    this.host.state(
      { op: "list", prefix: FINAL_PREFIX, after: `${FINAL_PREFIX}~` },
      (r) => {
        this.reading = false;
        if (this.stopped || r.is !== "items" || this.busy) return;
        // What is fresh is later than the cursor too, and found again.
        this.fresh = [];
        this.position = this.record.cursor ?? NONE;
        this.commit(
          { ...this.record, listing: { to: r.epoch, after: "" } },
          this.window,
          [],
          [],
          () => {},
        );
      },
    );
  }
  private list(sub: Subscription): void {
    const at = this.record.listing!;
    if (this.page) return;
    this.reading = true;
    this.host.state(
      { op: "list", prefix: FINAL_PREFIX, after: at.after },
      (r) => {
        this.reading = false;
        if (this.stopped || r.is !== "items") return;
        const found = r.items
          .map((i: Item) => jobEndOf(i))
          .filter((e) => e !== null);
        const cursor = this.record.cursor ?? NONE;
        const items = found.filter(
          (e) =>
            after(e.at, cursor) &&
            e.at.version <= at.to &&
            this.wants(sub, e.end),
        );
        const last = r.items.at(-1);
        this.page = { items, after: last?.key ?? at.after, last: !r.more };
      },
    );
  }
  /** Puts what a page of final records has into the spool, with how far the reading has come. */
  private spoolPage(): boolean {
    const page = this.page!;
    const at = this.record.listing!;
    const batch = this.packer(BATCH_HEAD);
    let n = 0;
    while (
      n < page.items.length &&
      batch.add({ end: page.items[n]!.end, attempts: 0 })
    )
      n++;
    const rest = page.items.slice(n);
    const done = rest.length === 0;
    if (n === 0 && !page.last) {
      // Nothing to write down: what was read is read again if this owner goes.
      this.record.listing = { to: at.to, after: page.after };
      this.page = null;
      return false;
    }
    if (!this.host.mayWrite(n > 0 ? 2 : 1)) return false;
    const over = done && page.last;
    const { spool } = this.record;
    const next = {
      ...this.record,
      spool: { ...spool, next: spool.next + (n > 0 ? 1 : 0) },
      listing: over
        ? null
        : {
            to: at.to,
            after: done ? page.after : FINAL_PREFIX + page.items[n - 1]!.end.id,
          },
    };
    if (over) next.cursor = { version: at.to, id: LAST_ID };
    const key = spoolKey(this.name, spool.next);
    this.commit(
      next,
      this.window,
      n > 0 ? [{ key, version: 0 }] : [],
      n > 0 ? [{ op: "put", key, value: writeBatch(batch, null) }] : [],
      () => {
        if (over)
          this.position = later(this.position, { version: at.to, id: LAST_ID });
        if (done) this.page = null;
        else page.items = rest;
      },
    );
    return true;
  }

  // ---- writing -------------------------------------------------------------------------------------------

  private packer(head: number): Packer {
    return new Packer(this.host.limits.valueBytes - head - this.name.length);
  }

  private readFront(): void {
    const { first } = this.record.spool;
    if (this.reading) return;
    this.reading = true;
    this.host.state({ op: "get", key: spoolKey(this.name, first) }, (r) => {
      this.reading = false;
      if (this.stopped || r.is !== "item") return;
      const b = r.item ? readBatch(r.item.value) : null;
      if (!b)
        this.host.log("unreadable webhook outbox batch", {
          webhook: this.name,
          batch: first,
        });
      if (this.record.spool.first === first)
        this.front = { n: first, entries: b?.entries ?? [] };
    });
  }

  private over(e: Entry, how: "delivered" | "dead"): void {
    e.over = how;
    this.tidySinceMs ??= this.host.nowMs;
    this.host.settled(this.name, {
      outcome: how,
      end: e.end,
      attempts: e.attempts,
    });
  }

  private write(sub: Subscription, active: boolean): void {
    if (sub.redrives > this.record.redrives && active) return this.redrive(sub);
    const { nowMs } = this.host;
    const { spool } = this.record;
    const waiting = spool.first < spool.next;
    if (waiting && this.front?.n !== spool.first) this.readFront();
    if (
      this.record.listing &&
      this.page &&
      spool.next - spool.first < this.host.limits.spoolBatches &&
      this.spoolPage()
    )
      return;

    const open = active && this.host.breaker(sub.url).allows(nowMs);
    const kept = this.window.filter((e) => e.over === null);
    const testing = active && sub.tests > this.record.tests;
    const more =
      testing ||
      (waiting
        ? this.front?.n === spool.first
        : this.fresh.length > 0 && !this.record.listing);
    const reserve =
      open &&
      kept.some(
        (e) =>
          e.flying === null &&
          e.attempts >= e.reserved &&
          e.notBeforeMs <= nowMs + CLEANUP_INTERVAL_MS / 2,
      );
    const pull = open && more && kept.length < MAX_WINDOW;
    const tidy =
      this.tidySinceMs !== null &&
      (nowMs - this.tidySinceMs >= CLEANUP_INTERVAL_MS || kept.length === 0);
    if ((reserve || pull || tidy) && this.writeWindow(kept, pull, testing))
      return;
    // A full batch can't go into the window: it goes into the spool, in a change of its own.
    if (
      !this.record.listing &&
      spool.next - spool.first < this.host.limits.spoolBatches &&
      (waiting || !pull)
    )
      this.spoolFresh();
  }

  private writeWindow(kept: Entry[], pull: boolean, testing: boolean): boolean {
    const { nowMs } = this.host;
    const dead = this.window.filter((e) => e.over === "dead");
    const letters = this.packer(BATCH_HEAD);
    const buried = dead.filter((e) =>
      letters.add({ end: e.end, attempts: e.attempts }),
    );
    const packer = this.packer(AT_HEAD);
    const reserved = new Map<Entry, number>();
    // Dead ones that don't fit their batch are still named.
    for (const e of dead)
      if (!buried.includes(e)) packer.add({ end: e.end, attempts: e.reserved });
    for (const e of kept) {
      const next =
        e.flying === null &&
        e.attempts >= e.reserved &&
        e.notBeforeMs <= nowMs + 60_000
          ? e.attempts + (e.attempts === 0 ? 1 : RESERVE)
          : e.reserved;
      reserved.set(e, next);
      packer.add({ end: e.end, attempts: next });
    }
    const fresh: Entry[] = [];
    const add = (o: PendingDelivery): boolean => {
      if (
        kept.length + fresh.length >= MAX_WINDOW ||
        !packer.add({ end: o.end, attempts: o.attempts + 1 })
      )
        return false;
      fresh.push({
        end: o.end,
        attempts: o.attempts,
        reserved: o.attempts + 1,
        failures: 0,
        reason: o.attempts > 0 ? "redriven" : null,
        notBeforeMs: nowMs,
        flying: null,
        over: null,
      });
      return true;
    };
    const next = {
      ...this.record,
      spool: { ...this.record.spool },
      dead: { ...this.record.dead },
    };
    const writes: Write[] = [];
    let taken = 0;
    let cursor = this.record.cursor;
    if (pull) {
      const test = this.record.tests + 1;
      if (
        testing &&
        add({
          end: {
            id: `test-${test}`,
            outcome: "test",
            tasks: 0,
            done: 0,
            team: "",
            class: "",
            at: Math.round(this.host.wallMs),
            since: Math.round(this.host.wallMs),
          },
          attempts: 0,
        })
      )
        next.tests = test;
      if (next.spool.first < next.spool.next) {
        if (this.front?.n === next.spool.first) {
          const { entries } = this.front;
          while (
            next.spool.taken < entries.length &&
            add(entries[next.spool.taken]!)
          )
            next.spool.taken++;
          if (next.spool.taken >= entries.length) {
            writes.push({
              op: "delete",
              key: spoolKey(this.name, next.spool.first),
            });
            next.spool = {
              first: next.spool.first + 1,
              taken: 0,
              next: next.spool.next,
            };
          }
        }
      } else if (!this.record.listing) {
        while (
          taken < this.fresh.length &&
          add({ end: this.fresh[taken]!.end, attempts: 0 })
        )
          cursor = this.fresh[taken++]!.at;
        if (taken === this.fresh.length)
          cursor = later(cursor ?? NONE, this.position);
      }
    }
    next.cursor = cursor;
    if (buried.length > 0) {
      writes.push({
        op: "put",
        key: deadKey(this.name, next.dead.next),
        value: writeBatch(letters, null),
      });
      next.dead.next++;
      if (next.dead.next - next.dead.first > DEAD_BATCHES)
        writes.push({
          op: "delete",
          key: deadKey(this.name, next.dead.first++),
        });
    }
    const settled = new Set(
      this.window.filter((e) => e.over === "delivered" || buried.includes(e)),
    );
    if (
      settled.size === 0 &&
      fresh.length === 0 &&
      writes.length === 0 &&
      kept.every((e) => reserved.get(e) === e.reserved)
    )
      return false;
    if (!this.host.mayWrite(1 + writes.length)) return false;
    this.tidySinceMs = null;
    this.commit(next, packer, [], writes, () => {
      this.fresh.splice(0, taken);
      if (next.spool.first !== this.front?.n) this.front = null;
      for (const [e, n] of reserved) e.reserved = n;
      this.window = [...this.window.filter((e) => !settled.has(e)), ...fresh];
      if (this.window.some((e) => e.over !== null))
        this.tidySinceMs ??= this.host.nowMs;
    });
    return true;
  }

  private spoolFresh(): void {
    const batch = this.packer(BATCH_HEAD);
    let n = 0;
    while (
      n < this.fresh.length &&
      batch.add({ end: this.fresh[n]!.end, attempts: 0 })
    )
      n++;
    // Fewer than fill it wait for more, unless they keep the lane from saying how far it is settled.
    const old =
      this.fresh.length > 0 &&
      this.host.feed.end - this.fresh[0]!.at.version >
        this.host.limits.settleEvery;
    if (
      n === 0 ||
      (n === this.fresh.length && n < MAX_FRESH && !old) ||
      !this.host.mayWrite(1)
    )
      return;
    const to = this.fresh[n - 1]!.at;
    const key = spoolKey(this.name, this.record.spool.next);
    const done = (): void => {
      this.fresh.splice(0, n);
      this.record.spool.next++;
      this.record.cursor = to;
    };
    // On the record's condition, for taking from the batch changes it: a copy of this commit that is carried out later, when the batch
    // is gone again, would leave it behind for ever. Without a change of the record: whoever comes next finds the batches beyond those that the record names, and each says how far it goes.
    const conditions = [
      this.owner,
      { key: progressKey(this.name), version: this.version },
      { key, version: 0 },
    ];
    this.perform(
      {
        op: "commit",
        conditions,
        writes: [{ op: "put", key, value: writeBatch(batch, to) }],
      },
      key,
      (item) => item !== null,
      done,
    );
  }

  /** Dead letters go to the end of the spool, a batch at a time, with their horizon anew. */
  private redrive(sub: Subscription): void {
    const { dead, spool } = this.record;
    if (dead.first >= dead.next) {
      if (this.host.mayWrite(1))
        this.commit(
          { ...this.record, redrives: sub.redrives },
          this.window,
          [],
          [],
          () => {},
        );
      return;
    }
    if (this.reading) return;
    this.reading = true;
    const from = deadKey(this.name, dead.first);
    this.host.state({ op: "get", key: from }, (r) => {
      this.reading = false;
      if (
        this.stopped ||
        this.busy ||
        r.is !== "item" ||
        !this.host.mayWrite(3)
      )
        return;
      const entries = r.item ? (readBatch(r.item.value)?.entries ?? []) : [];
      const batch = this.packer(BATCH_HEAD);
      for (const o of entries)
        batch.add({
          end: { ...o.end, since: Math.round(this.host.wallMs) },
          attempts: o.attempts,
        });
      const key = spoolKey(this.name, spool.next);
      const next = {
        ...this.record,
        dead: { ...dead, first: dead.first + 1 },
        spool: { ...spool, next: spool.next + 1 },
      };
      this.commit(
        next,
        this.window,
        [{ key, version: 0 }],
        [
          { op: "delete", key: from },
          { op: "put", key, value: writeBatch(batch, null) },
        ],
        () => {},
      );
    });
  }

  /** The subscription was removed: so is everything that belonged to it, its record last. */
  private clean(): void {
    this.abort();
    if (this.busy || this.reading || this.host.nowMs < this.againMs) return;
    this.reading = true;
    this.host.state(
      { op: "list", prefix: spoolPrefix(this.name), after: "" },
      (a) =>
        this.host.state(
          { op: "list", prefix: deadPrefix(this.name), after: "" },
          (b) => {
            this.reading = false;
            this.againMs = this.host.nowMs + RETRY_MS;
            if (
              this.stopped ||
              a.is !== "items" ||
              b.is !== "items" ||
              this.subscription()
            )
              return;
            const keys = [...a.items, ...b.items].map((i) => i.key);
            const some =
              keys.length === 0
                ? [progressKey(this.name)]
                : keys.slice(0, this.host.limits.txnOps);
            if (!this.host.mayWrite(some.length)) return;
            this.host.state(
              {
                op: "commit",
                conditions: [
                  this.owner,
                  { key: progressKey(this.name), version: this.version },
                ],
                writes: some.map((key) => ({ op: "delete", key })),
              },
              () => {},
            );
          },
        ),
    );
  }

  /** Writes the record, and what goes with it; again until it is known to be carried out. */
  private commit(
    next: Omit<ProgressRecord, "window">,
    window: Packer | readonly Entry[],
    conditions: Condition[],
    writes: Write[],
    ok: () => void,
  ): void {
    let packed: Packer;
    if (window instanceof Packer) packed = window;
    else {
      packed = this.packer(AT_HEAD);
      for (const e of window) packed.add({ end: e.end, attempts: e.reserved });
    }
    const key = progressKey(this.name);
    const rec = {
      ...next,
      seq: this.record.token === this.token ? this.record.seq + 1 : 1,
      token: this.token,
    };
    const call: StateCall = {
      op: "commit",
      // Invariant (one sender): conditional on the lane's token, as every commit of a master is on its group's.
      conditions: [this.owner, { key, version: this.version }, ...conditions],
      writes: [
        { op: "put", key, value: writeProgress(rec, packed) },
        ...writes,
      ],
    };
    const done = (version: number): void => {
      this.version = version;
      this.record = rec;
      ok();
    };
    const mine = (item: Item | null): boolean => {
      const at = item && readProgress(item.value);
      return at?.seq === rec.seq && at.token === rec.token;
    };
    this.perform(call, key, mine, done);
  }

  /** Sends a commit, again until it is known to be carried out. `mine`: what `key` holds then, and otherwise does not. */
  private perform(
    call: StateCall,
    key: string,
    mine: (item: Item | null) => boolean,
    done: (version: number) => void,
  ): void {
    this.busy = true;
    this.wroteMs = this.host.nowMs;
    const send = (): void =>
      this.host.state(call, (r) => {
        if (this.stopped) return;
        if (r.is === "committed") {
          done(r.epoch);
          this.busy = false;
        } else if (r.is === "conflict") this.proof(key, mine, done);
        else this.again(send);
      });
    send();
  }
  private again(send: () => void): void {
    const untilMs = this.host.nowMs + RETRY_MS;
    this.retry = { untilMs, send };
  }
  private retry: { untilMs: number; send: () => void } | null = null;
  /** What was not carried out is sent again unchanged: a copy that is still on its way then finds other revisions. */
  retryDue(): void {
    if (this.stopped || !this.retry || this.host.nowMs < this.retry.untilMs)
      return;
    const { send } = this.retry;
    this.retry = null;
    send();
  }

  /** After a conflict: an earlier copy of the same commit was carried out, or the lane is another's by now. */
  private proof(
    key: string,
    mine: (item: Item | null) => boolean,
    done: (version: number) => void,
  ): void {
    const look = (): void =>
      this.host.state({ op: "get", key }, (r) => {
        if (this.stopped) return;
        if (r.is !== "item") return this.again(look);
        if (mine(r.item)) {
          done(r.item!.version);
          this.busy = false;
        } else {
          this.foreign = true;
          this.host.log("webhook record belongs to another controller", {
            webhook: this.name,
            key,
          });
        }
      });
    look();
  }

  // ---- sending -------------------------------------------------------------------------------------------

  private send(sub: Subscription): void {
    const breaker = this.host.breaker(sub.url);
    let flying = this.flying;
    for (const e of this.window) {
      if (e.over !== null) continue;
      if (
        sub.ordered &&
        (e.flying !== null ||
          e.attempts >= e.reserved ||
          this.host.nowMs < e.notBeforeMs)
      )
        return;
      if (
        e.flying !== null ||
        e.attempts >= e.reserved ||
        this.host.nowMs < e.notBeforeMs
      )
        continue;
      if (
        flying >= (sub.ordered ? 1 : this.host.limits.parallel) ||
        !this.host.mayLaunch() ||
        !breaker.allows(this.host.nowMs)
      )
        return;
      breaker.begin(this.host.nowMs);
      e.attempts++;
      flying++;
      e.flying = this.host.launch(this, {
        end: e.end,
        attempt: e.attempts,
        reason: e.reason,
        ask: sub.ask && e.reason !== null && mayHave(e.reason),
        sub,
      });
      if (sub.ordered) return;
    }
  }

  /** An attempt is over. */
  attempted(attempt: number, r: AttemptResult): void {
    const e = this.window.find((x) => x.flying === attempt);
    const sub = this.subscription();
    if (!e) return;
    e.flying = null;
    if (!sub || this.stopped) return;
    const breaker = this.host.breaker(sub.url);
    const { nowMs, limits } = this.host;
    if (r.is === "aborted") {
      breaker.neither();
      e.reason = "reset";
      return;
    }
    if (
      r.is === "had" ||
      (r.is === "answered" && r.status >= 200 && r.status < 300)
    ) {
      breaker.well();
      this.over(e, "delivered");
      return;
    }
    e.failures++;
    e.reason = r.is === "failed" ? r.why : "status";
    e.notBeforeMs =
      nowMs + backoffMs(limits.backoff, e.failures, this.host.random());
    if (r.is === "failed") return breaker.failed(nowMs);
    if (r.status >= 500 || r.status === 429) breaker.failed(nowMs);
    else breaker.well();
    if (r.status === 410) {
      this.host.ended(this.name);
      return;
    }
    if (r.retryAfterMs !== null) {
      e.notBeforeMs = Math.max(e.notBeforeMs, nowMs + r.retryAfterMs);
      if (r.status === 429 || r.status === 503)
        breaker.rest(nowMs, r.retryAfterMs);
    }
  }
}
