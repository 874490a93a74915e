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
  backoffMs,
  type BackoffLimits,
  mayHaveArrived,
  type RetryReason,
} from "./circuit-breaker.js";
import {
  isAfter,
  PROGRESS_OVERHEAD_BYTES,
  type ProgressRecord,
  progressKey,
  BATCH_OVERHEAD_BYTES,
  batchNumber,
  type Cursor,
  deadKey,
  deadPrefix,
  type JobEnd,
  LAST_ID,
  laterOf,
  type PendingDelivery,
  packAll,
  Packer,
  packPrefix,
  packRecords,
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
import {
  asReserved,
  reasonFromSpool,
  type WindowEntry,
  isAttemptDue,
  newEntry,
} from "./window-entry.js";

/** The outcome of an attempt. */
export type AttemptResult =
  | { is: "answered"; status: number; retryAfterMs: number | null }
  /** Asked before the repeat, the receiver answered that it has the notification. */
  | { is: "had" }
  | { is: "failed"; reason: Exclude<RetryReason, "status" | "owner-lost"> }
  /** Aborted by this controller before it ended. */
  | { is: "aborted" };

export interface DeliveryLimits {
  valueBytes: number;
  txnOps: number;
  /** Maximum number of attempts in flight for one subscription. */
  parallel: number;
  /** A notification is given up this long after the end of its job, or after its last redrive. */
  horizonMs: number;
  backoff: BackoffLimits;
  /** Settled revisions are written down at this interval, so that the state service's log still goes back far enough. */
  settleEveryRevisions: number;
  /** Maximum number of batches in a subscription's spool. Ends beyond that are found among the final records later. */
  spoolBatches: number;
}

export interface AttemptRequest {
  end: JobEnd;
  /** Number of the attempt for this notification, from 1. */
  attempt: number;
  reason: RetryReason | null;
  /** Ask the receiver first whether it has the notification. */
  ask: boolean;
  subscription: Subscription;
}

/** What a Delivery needs from the webhook core. */
export interface DeliveryHost extends EventLog {
  /** Monotonic time. */
  readonly nowMs: number;
  /** Time of day, ms since the epoch. */
  readonly wallMs: number;
  readonly limits: DeliveryLimits;
  readonly feed: ChangeFeed;
  random(): number;
  callStore(call: StateCall, done: (reply: StateReply) => void): void;
  /** Whether webhooks may write this many changes now. If so, they count against the rate. */
  mayWrite(changes: number): boolean;
  /** Whether the circuit breaker of the URL's origin allows an attempt now. */
  isReceiverAllowed(url: string): boolean;
  mayStartAttempt(): boolean;
  /** Starts an attempt that is allowed. Returns an id for it that is unique on this controller. */
  startAttempt(delivery: Delivery, request: AttemptRequest): number;
  abortAttempt(attemptId: number): void;
  /** The receiver wants no more notifications (410). Called until the subscription shows it. */
  endSubscription(name: string): void;
  notificationSettled(
    name: string,
    settlement: {
      outcome: "delivered" | "dead";
      end: JobEnd;
      attempts: number;
    },
  ): void;
}

/** What a test notification tells, in place of the end of a job. */
const testEnd = (testNo: number, wallMs: number): JobEnd => ({
  id: `test-${testNo}`,
  outcome: "test",
  tasks: 0,
  done: 0,
  team: "",
  class: "",
  at: Math.round(wallMs),
  since: Math.round(wallMs),
});

/**
 * The spool with this many more batches, and the number of the first of them: before the others if there are numbers for them and
 * no entry of its first batch was taken, else after them.
 */
function withBatches(
  spool: ProgressRecord["spool"],
  count: number,
): { spool: ProgressRecord["spool"]; firstKey: number } {
  const { first, taken, next } = spool;
  const goBefore = first < next && taken === 0 && first >= count;
  return goBefore
    ? { spool: { ...spool, first: first - count }, firstKey: first - count }
    : { spool: { ...spool, next: next + count }, firstKey: next };
}

/** Repeats that one change of the record allows for. The first attempt is allowed for by a change of its own. */
const RESERVED_REPEATS = 8;
/** Maximum number of ends that wait in memory for space in the window or the spool. */
const MAX_FRESH_ENDS = 300;
/** If a write would only remove settled entries, it is delayed this long to collect more of them. */
const CLEANUP_INTERVAL_MS = 1_000;
const RETRY_MS = 300;
/** Maximum number of entries in the window: the lane's next owner has to send all of them again quickly. */
const MAX_WINDOW_ENTRIES = 100;
/** Maximum number of dead-letter batches per subscription; the oldest are deleted. */
const MAX_DEAD_BATCHES = 1_000;

const START_CURSOR: Cursor = { version: 0, id: "" };

/** The last revision of which all ends are up to a cursor; several jobs may end in one. */
const lastWholeRevision = ({ version, id }: Cursor): number =>
  id === LAST_ID ? version : Math.max(0, version - 1);

/**
 * The deliveries of one subscription, while this controller owns its lane.
 *
 * Ends that still have to be delivered are, in their order: in the window (may have been sent; part of the progress record), in
 * the spool (batches in records of their own), fresh (in memory, later than the cursor), or not read yet. Invariant (nothing
 * lost): an end moves from one place to the next in one commit. Invariant (no repeat without a cause): an attempt starts only
 * when the record names the end with a number of attempts that covers it, so the next owner of the lane repeats nothing else.
 */
export class Delivery {
  private record: Omit<ProgressRecord, "window">;
  private window: WindowEntry[];
  /** Matching ends after the record's cursor, up to `position`. */
  private fresh: FeedEntry[] = [];
  /** Matching ends up to here were added to `fresh`. Never before the record's cursor. */
  private position: Cursor;
  /** The spool's first batch; null until it is read. */
  private firstBatch: { batchNo: number; entries: PendingDelivery[] } | null =
    null;
  /** Whether the batches after those that the record names have been found. */
  private spoolLoaded = false;
  private commitInFlight = false;
  private readInFlight = false;
  /** After a failed read of the change log, and between the steps of `deleteRecords`, the next step waits until then. */
  private retryAtMs = -Infinity;
  /** Since when settled entries wait to be removed from the record; null: there are none. */
  private cleanupSinceMs: number | null = null;
  /** A page of final records whose matching ends have to be written to the spool. */
  private page: { items: FeedEntry[]; after: string; last: boolean } | null =
    null;
  /** The subscription, as it was read, whose receiver answered 410; null: none did. Any change of it makes another. */
  private goneSubscription: Subscription | null = null;
  private stopped = false;
  /** Whether the window is known to fit into its record under the present limits. */
  private windowFits = false;
  private oversizedLogged = false;
  /** When the last commit was sent; the core serves the longest-waiting delivery first. */
  lastCommitMs = -Infinity;
  /** The stored record is not the one last written here: the core replaces this object by one made from the stored record. */
  outdated = false;

  constructor(
    private readonly host: DeliveryHost,
    readonly name: string,
    readonly token: number,
    private readonly laneCondition: Condition,
    /** The current subscription; null if it was removed. */
    private readonly subscription: () => Subscription | null,
    private recordVersion: number,
    progress: ProgressRecord,
    /** All ends up to this revision are settled, except those that the records name. */
    laneSettledUpTo: number,
  ) {
    const { window, ...recordFields } = progress;
    this.record = recordFields;
    // The former owner may have sent any of these, as often as the record allows for.
    this.window = window.map((pending) =>
      newEntry(pending, pending.attempts, "owner-lost", host.nowMs),
    );
    this.record.cursor = laterOf(
      progress.cursor ?? { version: recordVersion, id: LAST_ID },
      {
        version: progress.listing ? 0 : laneSettledUpTo,
        id: LAST_ID,
      },
    );
    this.position = this.record.cursor;
  }

  // ---- for the webhook core ----------------------------------------------------------------------------

  get attemptsInFlight(): number {
    return this.window.reduce(
      (n, e) => n + (e.attemptInFlight === null ? 0 : 1),
      0,
    );
  }
  /** No attempt or commit is in flight, and no result waits to be written. */
  get idle(): boolean {
    return (
      !this.commitInFlight &&
      this.window.every((e) => e.attemptInFlight === null && e.result === null)
    );
  }
  /** Up to this revision, all ends that the subscription matches are settled or in its records. */
  get settledUpTo(): number {
    if (!this.spoolLoaded || this.record.listing)
      return lastWholeRevision(this.record.cursor ?? START_CURSOR);
    return this.fresh.length > 0
      ? this.fresh[0]!.at.version - 1
      : lastWholeRevision(this.position);
  }
  /** What waits in each place, and when the oldest job ended whose notification waits (only ends in memory are looked at). */
  get pendingCounts(): {
    window: number;
    batches: number;
    fresh: number;
    dead: number;
    oldestAt: number | null;
  } {
    const oldest =
      this.window.find((e) => e.result === null)?.end.at ??
      this.firstBatch?.entries[0]?.end.at ??
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
  /** Stops for good: this controller does not own the lane any more. */
  stop(): void {
    this.stopped = true;
    this.abort();
  }
  /** Aborts all attempts in flight, for example when this controller may have lost the lane. */
  abort(): void {
    for (const entry of this.window)
      if (entry.attemptInFlight !== null)
        this.host.abortAttempt(entry.attemptInFlight);
  }

  // ---- one step ----------------------------------------------------------------------------------------

  /** `mayStart`: whether new attempts may start, which they may not while the lane is being given up. */
  advance(mayStart: boolean): void {
    if (this.stopped) return;
    const sub = this.subscription();
    if (!this.spoolLoaded) return this.loadSpool();
    if (!sub) return this.deleteRecords();
    if (!this.fitsRecord()) return this.splitWindow();
    this.collectEnds(sub);
    for (const entry of this.window)
      if (
        entry.result === null &&
        entry.attemptInFlight === null &&
        this.host.wallMs >= entry.end.since + this.host.limits.horizonMs
      )
        this.markSettled(entry, "dead");
    const isGone = this.goneSubscription === sub;
    // Repeated until the subscription shows it, since the commit may fail.
    if (isGone) this.host.endSubscription(this.name);
    const active = mayStart && sub.state === "active" && !isGone;
    if (!this.commitInFlight && this.host.nowMs >= this.retryAtMs)
      this.writeDue(sub, active);
    if (active) this.startAttempts(sub);
  }

  /** Finds the batches that the former owner added to the spool without writing the progress record. */
  private loadSpool(): void {
    if (this.readInFlight) return;
    this.readInFlight = true;
    const from = this.record.spool.next;
    this.host.callStore(
      {
        op: "list",
        prefix: spoolPrefix(this.name),
        after: from === 0 ? "" : spoolKey(this.name, from - 1),
      },
      (reply) => {
        this.readInFlight = false;
        if (this.stopped || reply.is !== "items") return;
        for (const item of reply.items) {
          const batch = readBatch(item.value);
          if (!batch || batchNumber(item.key) !== this.record.spool.next)
            continue;
          this.record.spool.next++;
          if (batch.to)
            this.record.cursor = laterOf(
              this.record.cursor ?? START_CURSOR,
              batch.to,
            );
        }
        this.position = laterOf(
          this.position,
          this.record.cursor ?? START_CURSOR,
        );
        this.spoolLoaded = !reply.more;
        this.advance(false);
      },
    );
  }

  // ---- collecting ends ---------------------------------------------------------------------------------

  private matches(sub: Subscription, end: JobEnd): boolean {
    if (sub.state === "ended" || end.outcome === "test") return false;
    return (
      (sub.teams === null || sub.teams.includes(end.team)) &&
      (sub.classes === null || sub.classes.includes(end.class)) &&
      sub.outcomes.includes(end.outcome)
    );
  }

  private collectEnds(sub: Subscription): void {
    if (this.readInFlight || this.fresh.length >= MAX_FRESH_ENDS) return;
    if (this.record.listing) return this.readFinalPage(sub);
    const recent = this.host.feed.since(this.position);
    if (recent) return this.addFresh(sub, recent, this.host.feed.endRevision);
    if (this.commitInFlight || this.host.nowMs < this.retryAtMs) return;
    // The position is before the start of the feed. The state service's log goes further back.
    this.readInFlight = true;
    const since =
      this.position.id === LAST_ID
        ? this.position.version
        : this.position.version - 1;
    this.host.callStore(
      {
        op: "changes",
        prefix: FINAL_PREFIX,
        since: Math.max(0, since),
        waitMs: 0,
      },
      (reply) => {
        this.readInFlight = false;
        if (this.stopped) return;
        if (reply.is === "changes")
          this.addFresh(
            sub,
            jobEndsOf(reply.changes).filter((e) =>
              isAfter(e.at, this.position),
            ),
            reply.epoch,
          );
        else if (reply.is === "gone") this.startListing();
        else this.retryAtMs = this.host.nowMs + RETRY_MS;
      },
    );
  }
  /** Adds matching ends to `fresh` until it is full; the rest is read again later. */
  private addFresh(
    sub: Subscription,
    ends: readonly FeedEntry[],
    toRevision: number,
  ): void {
    for (const entry of ends) {
      if (this.fresh.length >= MAX_FRESH_ENDS) return;
      if (this.matches(sub, entry.end)) this.fresh.push(entry);
      this.position = entry.at;
    }
    this.position = laterOf(this.position, {
      version: toRevision,
      id: LAST_ID,
    });
  }

  /**
   * Starts to read all final records, in the order of their keys, because the log does not go back far enough either. Those
   * after the cursor have to be delivered. The progress record says how far the reading has come, so that none is found twice.
   */
  private startListing(): void {
    this.host.log("webhook fell behind, reading all final records", {
      webhook: this.name,
      sinceRevision: this.position.version,
    });
    this.readInFlight = true;
    this.host.callStore(
      { op: "list", prefix: FINAL_PREFIX, after: `${FINAL_PREFIX}~` },
      (reply) => {
        this.readInFlight = false;
        if (this.stopped || reply.is !== "items" || this.commitInFlight) return;
        // Fresh ends are later than the cursor, so they will be found again.
        this.fresh = [];
        this.position = this.record.cursor ?? START_CURSOR;
        this.commit(
          { ...this.record, listing: { to: reply.epoch, after: "" } },
          this.window,
          [],
          [],
          () => {},
        );
      },
    );
  }
  private readFinalPage(sub: Subscription): void {
    const listing = this.record.listing!;
    if (this.page) return;
    this.readInFlight = true;
    this.host.callStore(
      { op: "list", prefix: FINAL_PREFIX, after: listing.after },
      (reply) => {
        this.readInFlight = false;
        if (this.stopped || reply.is !== "items") return;
        const found = reply.items
          .map((i: Item) => jobEndOf(i))
          .filter((e) => e !== null);
        const cursor = this.record.cursor ?? START_CURSOR;
        const items = found.filter(
          (e) =>
            isAfter(e.at, cursor) &&
            e.at.version <= listing.to &&
            this.matches(sub, e.end),
        );
        const last = reply.items.at(-1);
        this.page = {
          items,
          after: last?.key ?? listing.after,
          last: !reply.more,
        };
      },
    );
  }
  /** Writes the ends of a page of final records to the spool, and to the progress record how far the reading has come. */
  private spoolPage(): boolean {
    const page = this.page!;
    const listing = this.record.listing!;
    const batch = this.packer(BATCH_OVERHEAD_BYTES);
    let count = 0;
    while (
      count < page.items.length &&
      batch.add({ end: page.items[count]!.end, attempts: 0 })
    )
      count++;
    const remaining = page.items.slice(count);
    const pageDone = remaining.length === 0;
    if (count === 0 && !page.last) {
      // Nothing has to be written: if the lane changes its owner, the page is read again.
      this.record.listing = { to: listing.to, after: page.after };
      this.page = null;
      return false;
    }
    if (!this.host.mayWrite(count > 0 ? 2 : 1)) return false;
    const listingDone = pageDone && page.last;
    const { spool } = this.record;
    const next = {
      ...this.record,
      spool: { ...spool, next: spool.next + (count > 0 ? 1 : 0) },
      listing: listingDone
        ? null
        : {
            to: listing.to,
            after: pageDone
              ? page.after
              : FINAL_PREFIX + page.items[count - 1]!.end.id,
          },
    };
    if (listingDone) next.cursor = { version: listing.to, id: LAST_ID };
    const key = spoolKey(this.name, spool.next);
    this.commit(
      next,
      this.window,
      count > 0 ? [{ key, version: 0 }] : [],
      count > 0 ? [{ op: "put", key, value: writeBatch(batch, null) }] : [],
      () => {
        if (listingDone)
          this.position = laterOf(this.position, {
            version: listing.to,
            id: LAST_ID,
          });
        if (pageDone) this.page = null;
        else page.items = remaining;
      },
    );
    return true;
  }

  // ---- writing -----------------------------------------------------------------------------------------

  private maxEntryBytes(overheadBytes: number): number {
    return this.host.limits.valueBytes - overheadBytes - this.name.length;
  }

  private packer(overheadBytes: number): Packer {
    return new Packer(this.maxEntryBytes(overheadBytes));
  }

  private packWindow(window: readonly WindowEntry[]): Packer | null {
    return packAll(
      window.map(asReserved),
      this.maxEntryBytes(PROGRESS_OVERHEAD_BYTES),
    );
  }

  /** Whether the window fits into its record. Entries are only added as far as they fit, so only one that was read may not. */
  private fitsRecord(): boolean {
    this.windowFits ||= this.packWindow(this.window) !== null;
    return this.windowFits;
  }

  /**
   * Moves the last entries of a window that no longer fits into its record, since the limits of the store were lowered, to the
   * spool. No attempt is in flight, because each first has to be allowed for by a write.
   */
  private splitWindow(): void {
    if (this.commitInFlight) return;
    const { count, rest } = packPrefix(
      this.window.map(asReserved),
      this.maxEntryBytes(PROGRESS_OVERHEAD_BYTES),
    );
    const batches = packRecords(
      rest,
      this.maxEntryBytes(BATCH_OVERHEAD_BYTES),
      this.host.limits.txnOps - 1,
    );
    if (!batches) return this.logOversized("window");
    if (!this.host.mayWrite(1 + batches.length)) return;
    const { spool, firstKey } = withBatches(this.record.spool, batches.length);
    const keys = batches.map((_, i) => spoolKey(this.name, firstKey + i));
    const kept = this.window.slice(0, count);
    this.commit(
      { ...this.record, spool },
      kept,
      keys.map((key) => ({ key, version: 0 })),
      batches.map((batch, i) => ({
        op: "put",
        key: keys[i]!,
        value: writeBatch(batch, null),
      })),
      () => {
        this.window = kept;
        this.firstBatch = null;
        this.windowFits = true;
      },
    );
  }

  /** What does not fit stays where it is, and nothing is sent that would have to be written with it. */
  private logOversized(record: "window" | "dead letters"): void {
    if (this.oversizedLogged) return;
    this.oversizedLogged = true;
    this.host.log("webhook record does not fit the store's limits", {
      webhook: this.name,
      record,
    });
  }

  private readFirstBatch(): void {
    const { first } = this.record.spool;
    if (this.readInFlight) return;
    this.readInFlight = true;
    this.host.callStore(
      { op: "get", key: spoolKey(this.name, first) },
      (reply) => {
        this.readInFlight = false;
        if (this.stopped || reply.is !== "item") return;
        const batch = reply.item ? readBatch(reply.item.value) : null;
        if (!batch)
          this.host.log("unreadable webhook outbox batch", {
            webhook: this.name,
            batch: first,
          });
        if (this.record.spool.first === first)
          this.firstBatch = { batchNo: first, entries: batch?.entries ?? [] };
      },
    );
  }

  private markSettled(entry: WindowEntry, result: "delivered" | "dead"): void {
    entry.result = result;
    this.cleanupSinceMs ??= this.host.nowMs;
    this.host.notificationSettled(this.name, {
      outcome: result,
      end: entry.end,
      attempts: entry.attempts,
    });
  }

  private writeDue(sub: Subscription, active: boolean): void {
    if (sub.redrives > this.record.redrives && active) return this.redrive(sub);
    const { nowMs } = this.host;
    const { spool } = this.record;
    const waiting = spool.first < spool.next;
    if (waiting && this.firstBatch?.batchNo !== spool.first)
      this.readFirstBatch();
    if (
      this.record.listing &&
      this.page &&
      spool.next - spool.first < this.host.limits.spoolBatches &&
      this.spoolPage()
    )
      return;

    const mayAttempt = active && this.host.isReceiverAllowed(sub.url);
    const open = this.window.filter((e) => e.result === null);
    const testDue = active && sub.tests > this.record.tests;
    const hasMore =
      testDue ||
      (waiting
        ? this.firstBatch?.batchNo === spool.first
        : this.fresh.length > 0 && !this.record.listing);
    const reservationDue =
      mayAttempt &&
      open.some(
        (e) =>
          e.attemptInFlight === null &&
          e.attempts >= e.reservedAttempts &&
          e.notBeforeMs <= nowMs + CLEANUP_INTERVAL_MS / 2,
      );
    const fill = mayAttempt && hasMore && open.length < MAX_WINDOW_ENTRIES;
    const cleanupDue =
      this.cleanupSinceMs !== null &&
      (nowMs - this.cleanupSinceMs >= CLEANUP_INTERVAL_MS || open.length === 0);
    if (
      (reservationDue || fill || cleanupDue) &&
      this.writeWindow(open, fill, testDue)
    )
      return;
    // Ends that cannot go into the window go into the spool as a full batch, in a commit of their own.
    if (
      !this.record.listing &&
      spool.next - spool.first < this.host.limits.spoolBatches &&
      (waiting || !fill)
    )
      this.spoolFresh();
  }

  private writeWindow(
    open: WindowEntry[],
    fill: boolean,
    testDue: boolean,
  ): boolean {
    const { nowMs } = this.host;
    const dead = this.window.filter((e) => e.result === "dead");
    const deadBatch = this.packer(BATCH_OVERHEAD_BYTES);
    const packed = dead.filter((e) =>
      deadBatch.add({ end: e.end, attempts: e.attempts }),
    );
    const reservations = new Map<WindowEntry, number>();
    // Dead letters that do not fit into the batch stay in the record.
    const kept = dead.filter((e) => !packed.includes(e)).map(asReserved);
    for (const entry of open) {
      const reservation =
        entry.attemptInFlight === null &&
        entry.attempts >= entry.reservedAttempts &&
        entry.notBeforeMs <= nowMs + 60_000
          ? entry.attempts + (entry.attempts === 0 ? 1 : RESERVED_REPEATS)
          : entry.reservedAttempts;
      reservations.set(entry, reservation);
      kept.push({ end: entry.end, attempts: reservation });
    }
    const windowPacker = packAll(
      kept,
      this.maxEntryBytes(PROGRESS_OVERHEAD_BYTES),
    );
    if (!windowPacker) {
      this.logOversized("window");
      return false;
    }
    const added: WindowEntry[] = [];
    const add = (pending: PendingDelivery): boolean => {
      if (
        open.length + added.length >= MAX_WINDOW_ENTRIES ||
        !windowPacker.add({ end: pending.end, attempts: pending.attempts + 1 })
      )
        return false;
      added.push(
        newEntry(
          pending,
          pending.attempts + 1,
          reasonFromSpool(pending),
          nowMs,
        ),
      );
      return true;
    };
    const next = {
      ...this.record,
      spool: { ...this.record.spool },
      dead: { ...this.record.dead },
    };
    const writes: Write[] = [];
    let freshTaken = 0;
    let cursor = this.record.cursor;
    if (fill) {
      const testNo = this.record.tests + 1;
      if (
        testDue &&
        add({ end: testEnd(testNo, this.host.wallMs), attempts: 0 })
      )
        next.tests = testNo;
      if (next.spool.first < next.spool.next) {
        if (this.firstBatch?.batchNo === next.spool.first) {
          const { entries } = this.firstBatch;
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
          freshTaken < this.fresh.length &&
          add({ end: this.fresh[freshTaken]!.end, attempts: 0 })
        )
          cursor = this.fresh[freshTaken++]!.at;
        if (freshTaken === this.fresh.length)
          cursor = laterOf(cursor ?? START_CURSOR, this.position);
      }
    }
    next.cursor = cursor;
    if (packed.length > 0) {
      writes.push({
        op: "put",
        key: deadKey(this.name, next.dead.next),
        value: writeBatch(deadBatch, null),
      });
      next.dead.next++;
      if (next.dead.next - next.dead.first > MAX_DEAD_BATCHES)
        writes.push({
          op: "delete",
          key: deadKey(this.name, next.dead.first++),
        });
    }
    const settled = new Set(
      this.window.filter((e) => e.result === "delivered" || packed.includes(e)),
    );
    if (
      settled.size === 0 &&
      added.length === 0 &&
      writes.length === 0 &&
      open.every((e) => reservations.get(e) === e.reservedAttempts)
    )
      return false;
    if (!this.host.mayWrite(1 + writes.length)) return false;
    this.cleanupSinceMs = null;
    this.commit(next, windowPacker, [], writes, () => {
      this.fresh.splice(0, freshTaken);
      if (next.spool.first !== this.firstBatch?.batchNo) this.firstBatch = null;
      for (const [e, n] of reservations) e.reservedAttempts = n;
      this.window = [...this.window.filter((e) => !settled.has(e)), ...added];
      if (this.window.some((e) => e.result !== null))
        this.cleanupSinceMs ??= this.host.nowMs;
    });
    return true;
  }

  private spoolFresh(): void {
    const batch = this.packer(BATCH_OVERHEAD_BYTES);
    let count = 0;
    while (
      count < this.fresh.length &&
      batch.add({ end: this.fresh[count]!.end, attempts: 0 })
    )
      count++;
    // Ends that do not fill a batch wait for more, unless they are so old that they hold back the lane's settled revision.
    const overdue =
      this.fresh.length > 0 &&
      this.host.feed.endRevision - this.fresh[0]!.at.version >
        this.host.limits.settleEveryRevisions;
    if (
      count === 0 ||
      (count === this.fresh.length && count < MAX_FRESH_ENDS && !overdue) ||
      !this.host.mayWrite(1)
    )
      return;
    const lastCursor = this.fresh[count - 1]!.at;
    const key = spoolKey(this.name, this.record.spool.next);
    const onCommitted = (): void => {
      this.fresh.splice(0, count);
      this.record.spool.next++;
      this.record.cursor = lastCursor;
    };
    // Conditional on the progress record, which changes when entries of the batch are taken: otherwise a copy of this commit that is
    // carried out late, after the batch was deleted, would leave the batch behind forever. The record itself is not written: the
    // next owner finds the batches beyond those that the record names, and each batch holds the cursor of its last entry.
    const conditions = [
      this.laneCondition,
      { key: progressKey(this.name), version: this.recordVersion },
      { key, version: 0 },
    ];
    this.perform(
      {
        op: "commit",
        conditions,
        writes: [{ op: "put", key, value: writeBatch(batch, lastCursor) }],
      },
      key,
      (item) => item !== null,
      onCommitted,
    );
  }

  /** Moves dead letters to the end of the spool, one batch at a time, and starts their horizon again. */
  private redrive(sub: Subscription): void {
    const { dead } = this.record;
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
    if (this.readInFlight) return;
    this.readInFlight = true;
    const deadBatchKey = deadKey(this.name, dead.first);
    this.host.callStore({ op: "get", key: deadBatchKey }, (reply) => {
      this.readInFlight = false;
      if (this.stopped || this.commitInFlight || reply.is !== "item") return;
      const entries = reply.item
        ? (readBatch(reply.item.value)?.entries ?? [])
        : [];
      const since = Math.round(this.host.wallMs);
      this.moveToSpool(
        deadBatchKey,
        entries.map(({ end, attempts }) => ({
          end: { ...end, since },
          attempts,
        })),
      );
    });
  }

  /** Moves the entries of the first dead-letter batch, which may have been written under larger limits, to the spool. */
  private moveToSpool(
    deadBatchKey: string,
    entries: readonly PendingDelivery[],
  ): void {
    const { dead, spool } = this.record;
    const batches = packRecords(
      entries,
      this.maxEntryBytes(BATCH_OVERHEAD_BYTES),
      this.host.limits.txnOps - 2,
    );
    if (!batches) return this.logOversized("dead letters");
    if (!this.host.mayWrite(2 + batches.length)) return;
    const keys = batches.map((_, i) => spoolKey(this.name, spool.next + i));
    this.commit(
      {
        ...this.record,
        dead: { ...dead, first: dead.first + 1 },
        spool: { ...spool, next: spool.next + batches.length },
      },
      this.window,
      keys.map((key) => ({ key, version: 0 })),
      [
        { op: "delete", key: deadBatchKey },
        ...batches.map((batch, i): Write => ({
          op: "put",
          key: keys[i]!,
          value: writeBatch(batch, null),
        })),
      ],
      () => {},
    );
  }

  /** Deletes all records of a removed subscription, the progress record last. */
  private deleteRecords(): void {
    this.abort();
    if (
      this.commitInFlight ||
      this.readInFlight ||
      this.host.nowMs < this.retryAtMs
    )
      return;
    this.readInFlight = true;
    this.host.callStore(
      { op: "list", prefix: spoolPrefix(this.name), after: "" },
      (spoolReply) =>
        this.host.callStore(
          { op: "list", prefix: deadPrefix(this.name), after: "" },
          (deadReply) => {
            this.readInFlight = false;
            this.retryAtMs = this.host.nowMs + RETRY_MS;
            if (
              this.stopped ||
              spoolReply.is !== "items" ||
              deadReply.is !== "items" ||
              this.subscription()
            )
              return;
            const keys = [...spoolReply.items, ...deadReply.items].map(
              (i) => i.key,
            );
            const keysToDelete =
              keys.length === 0
                ? [progressKey(this.name)]
                : keys.slice(0, this.host.limits.txnOps);
            if (!this.host.mayWrite(keysToDelete.length)) return;
            this.host.callStore(
              {
                op: "commit",
                conditions: [
                  this.laneCondition,
                  { key: progressKey(this.name), version: this.recordVersion },
                ],
                writes: keysToDelete.map((key) => ({ op: "delete", key })),
              },
              () => {},
            );
          },
        ),
    );
  }

  /** Writes the progress record together with other changes; retries until they are known to be carried out. */
  private commit(
    next: Omit<ProgressRecord, "window">,
    window: Packer | readonly WindowEntry[],
    conditions: Condition[],
    writes: Write[],
    onCommitted: () => void,
  ): void {
    const packed = window instanceof Packer ? window : this.packWindow(window);
    if (!packed) return this.logOversized("window");
    const key = progressKey(this.name);
    const record = {
      ...next,
      seq: this.record.token === this.token ? this.record.seq + 1 : 1,
      token: this.token,
    };
    const call: StateCall = {
      op: "commit",
      // Invariant (one sender): conditional on the lane's token, as every commit of a partition leader is on the partition's token.
      conditions: [
        this.laneCondition,
        { key, version: this.recordVersion },
        ...conditions,
      ],
      writes: [
        { op: "put", key, value: writeProgress(record, packed) },
        ...writes,
      ],
    };
    const done = (version: number): void => {
      this.recordVersion = version;
      this.record = record;
      onCommitted();
    };
    const isOwnWrite = (item: Item | null): boolean => {
      const stored = item && readProgress(item.value);
      return stored?.seq === record.seq && stored.token === record.token;
    };
    this.perform(call, key, isOwnWrite, done);
  }

  /** Sends a commit until it is known to be carried out. `isOwnWrite` recognizes that by the item stored under `key`. */
  private perform(
    call: StateCall,
    key: string,
    isOwnWrite: (item: Item | null) => boolean,
    onCommitted: (version: number) => void,
  ): void {
    this.commitInFlight = true;
    this.lastCommitMs = this.host.nowMs;
    const send = (): void =>
      this.host.callStore(call, (reply) => {
        if (this.stopped) return;
        if (reply.is === "committed") {
          onCommitted(reply.epoch);
          this.commitInFlight = false;
        } else if (reply.is === "conflict")
          this.verifyCommit(key, isOwnWrite, onCommitted);
        else this.scheduleRetry(send);
      });
    send();
  }
  private scheduleRetry(send: () => void): void {
    const untilMs = this.host.nowMs + RETRY_MS;
    this.pendingRetry = { untilMs, send };
  }
  private pendingRetry: { untilMs: number; send: () => void } | null = null;
  /** Retries a commit unchanged: once one copy is carried out, any other that is still in flight fails on its conditions. */
  retryIfDue(): void {
    if (
      this.stopped ||
      !this.pendingRetry ||
      this.host.nowMs < this.pendingRetry.untilMs
    )
      return;
    const { send } = this.pendingRetry;
    this.pendingRetry = null;
    send();
  }

  /** After a conflict, finds out whether an earlier copy of the commit was carried out or another controller owns the lane. */
  private verifyCommit(
    key: string,
    isOwnWrite: (item: Item | null) => boolean,
    onCommitted: (version: number) => void,
  ): void {
    const readBack = (): void =>
      this.host.callStore({ op: "get", key }, (reply) => {
        if (this.stopped) return;
        if (reply.is !== "item") return this.scheduleRetry(readBack);
        if (isOwnWrite(reply.item)) {
          onCommitted(reply.item!.version);
          this.commitInFlight = false;
        } else {
          this.outdated = true;
          this.host.log("webhook record belongs to another controller", {
            webhook: this.name,
            key,
          });
        }
      });
    readBack();
  }

  // ---- sending -----------------------------------------------------------------------------------------

  private startAttempts(sub: Subscription): void {
    let inFlight = this.attemptsInFlight;
    for (const entry of this.window) {
      if (entry.result !== null) continue;
      if (!isAttemptDue(entry, this.host.nowMs)) {
        if (sub.ordered) return;
        continue;
      }
      if (
        inFlight >= (sub.ordered ? 1 : this.host.limits.parallel) ||
        !this.host.mayStartAttempt() ||
        !this.host.isReceiverAllowed(sub.url)
      )
        return;
      entry.attempts++;
      inFlight++;
      entry.attemptInFlight = this.host.startAttempt(this, {
        end: entry.end,
        attempt: entry.attempts,
        reason: entry.reason,
        ask: sub.ask && entry.mayHaveArrived,
        subscription: sub,
      });
      if (sub.ordered) return;
    }
  }

  /** Handles the result of an attempt for this subscription, as far as it concerns the notification. */
  attemptEnded(
    attemptId: number,
    result: AttemptResult,
    sentFor: Subscription,
  ): void {
    const entry = this.window.find((x) => x.attemptInFlight === attemptId);
    if (!entry) return;
    entry.attemptInFlight = null;
    if (!this.subscription() || this.stopped) return;
    const { nowMs, limits } = this.host;
    if (result.is === "aborted") {
      entry.reason = "reset";
      entry.mayHaveArrived = true;
      return;
    }
    if (
      result.is === "had" ||
      (result.is === "answered" && result.status >= 200 && result.status < 300)
    ) {
      this.markSettled(entry, "delivered");
      return;
    }
    entry.failures++;
    entry.reason = result.is === "failed" ? result.reason : "status";
    entry.mayHaveArrived ||= mayHaveArrived(entry.reason);
    entry.notBeforeMs =
      nowMs + backoffMs(limits.backoff, entry.failures, this.host.random());
    if (result.is === "failed") return;
    if (result.status === 410) {
      this.host.log("webhook receiver is gone", { webhook: this.name });
      this.goneSubscription = sentFor;
      return;
    }
    if (result.retryAfterMs !== null)
      entry.notBeforeMs = Math.max(
        entry.notBeforeMs,
        nowMs + result.retryAfterMs,
      );
  }
}
