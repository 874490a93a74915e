/**
 * Keeps the store cache up to date by one watch, which is renewed continually, and by reads for users' queries that must be
 * answered from a fresh read. Owns the state of the watch and the reads, and the queries that wait for a read.
 */
import type { Change, Item, StateReply } from "../../protocol/state.js";
import { LIVE_PREFIX, ROOT_PREFIX } from "../../storage/records.js";
import { RateLimitedLog } from "../../logging/rate-limited-log.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import type { Leadership } from "../leadership/leadership.js";
import type { CallStore } from "./call-store.js";
import { FairQueue } from "./fair-queue.js";
import type { StoreEvent } from "./store-events.js";

/** A watch is renewed at least this often: leadership leases count from the time at which the last one was sent. */
const WATCH_RENEWAL_MS = 2_000;
/** Delay before the next watch after a watch, or the read of all live records, has failed. */
const WATCH_RETRY_MS = 300;
/** Minimum time from the end of a read or watch to the next one; one read serves all queries that arrived meanwhile. */
const READ_PAUSE_MS = 60;
/** Maximum number of queries that wait for a read. */
const MAX_WAITING_QUERIES = 400;
/** A query whose read failed waits for another read until it is this old: users wait 2 s for a status. */
const QUERY_RETRY_MS = 1_000;
/** The store is logged as unavailable only after this time without a reply. */
const UNAVAILABLE_AFTER_MS = 3_000;

type ItemsReply = Extract<StateReply, { is: "items" }>;
type ChangesReply = Extract<StateReply, { is: "changes" }>;

/** A user's request about a job. */
interface WaitingQuery {
  readonly reqId: number;
  readonly id: string;
  /** When it arrived; steady time, ms. */
  readonly askedMs: number;
  readonly onRead: (reqId: number, id: string) => void;
}

/** The pages read so far of the list of all live records. */
interface LoadedPages {
  readonly items: readonly Item[];
  /** Store revision of the first page; later changes are read again by the first watch. */
  readonly revision: number;
  /** When the request for the first page was sent; steady time, ms. */
  readonly sentMs: number;
}

/** Functions of the core that the watcher uses. */
export interface StoreWatcherPorts {
  readonly callStore: CallStore;
  /** Handles changes that the cache already shows. */
  readonly onEvents: (events: readonly StoreEvent[]) => void;
  /** Receives all changes between two revisions, including those that the cache does not hold. */
  readonly onChanges: (
    fromRevision: number,
    toRevision: number,
    changes: readonly Change[],
  ) => void;
  /** Requests a call of `onWake` after this time. */
  readonly requestWake: (afterMs: number) => void;
  /** Refuses a query with the reason why it can't be answered now. */
  readonly refuse: (reqId: number, reason: string) => void;
}

export class StoreWatcher {
  private isWatchOpen = false;
  private isLoading = false;
  private isReading = false;
  private isWakeRequested = false;
  private isStoreUnavailable = false;
  /** Steady times, ms, before which no watch is opened and no read is sent. */
  private nextWatchMs = 0;
  private nextReadMs = 0;
  private readonly waitingQueries = new FairQueue<WaitingQuery>(
    MAX_WAITING_QUERIES,
  );
  private readonly inconsistencyLog: RateLimitedLog;

  constructor(
    private readonly ctx: Context,
    private readonly leadership: Pick<
      Leadership,
      "noteRead" | "storeSilenceMs" | "leadershipLeaseUntilMs"
    >,
    private readonly ports: StoreWatcherPorts,
  ) {
    this.inconsistencyLog = new RateLimitedLog(ctx);
  }

  /** Handles the wake-up that `requestWake` has requested. */
  onWake(): void {
    this.isWakeRequested = false;
    this.watch();
    this.readForWaitingQueries();
  }

  /** Opens a watch if none is open and the pause after the last one is over; before the first one, reads all live records. */
  watch(): void {
    if (this.isWatchOpen || this.isLoading) return;
    if (this.ctx.nowMs < this.nextWatchMs) return;
    if (!this.ctx.cache.ready) return this.load();
    this.isWatchOpen = true;
    this.readChanges(WATCH_RENEWAL_MS, (succeeded) => {
      this.isWatchOpen = false;
      const pauseMs = succeeded ? READ_PAUSE_MS : WATCH_RETRY_MS;
      this.nextWatchMs = this.ctx.nowMs + pauseMs;
      if (succeeded) this.requestWakeOnce(READ_PAUSE_MS);
    });
  }

  /** Makes the next commit visible without delay: an open watch will report it, so opens one if none is open. */
  watchNow(): void {
    if (this.isWatchOpen) return;
    this.nextWatchMs = this.ctx.nowMs;
    this.watch();
  }

  /**
   * Calls `onRead` after a read that is sent from now on, or refuses the query.
   *
   * Invariant (rules forgotten, went_back): an answer that is not final is based on a read that was sent after the
   * query arrived. One read serves all queries that arrived before it was sent.
   */
  afterRead(
    reqId: number,
    id: string,
    onRead: (reqId: number, id: string) => void,
  ): void {
    if (this.ctx.cache.finalRecords.has(id)) {
      this.waitingQueries.noteAnswered(id);
      return onRead(reqId, id);
    }
    if (!this.ctx.cache.ready) return this.ports.refuse(reqId, "not ready yet");
    this.enqueue({ reqId, id, askedMs: this.ctx.nowMs, onRead });
    this.readForWaitingQueries();
  }

  /** Sends a read for the waiting queries, if none is in flight and the pause after the last one is over. */
  readForWaitingQueries(): void {
    if (this.isReading || this.waitingQueries.size === 0) return;
    if (this.ctx.nowMs < this.nextReadMs)
      return this.requestWakeOnce(this.nextReadMs - this.ctx.nowMs);
    this.isReading = true;
    const queries = this.waitingQueries.take();
    this.readChanges(0, (succeeded) => {
      this.isReading = false;
      this.nextReadMs = this.ctx.nowMs + READ_PAUSE_MS;
      for (const query of queries) {
        if (succeeded) this.answer(query);
        else this.retryOrRefuse(query);
      }
      this.readForWaitingQueries();
    });
  }

  /** Queries refused so far, and the time (steady, ms) since which the job refused longest has been refused; null if no job is. */
  get refusals(): {
    refusedCount: number;
    longestRefusedSinceMs: number | null;
  } {
    return {
      refusedCount: this.waitingQueries.refusedCount,
      longestRefusedSinceMs: this.waitingQueries.longestRefusedSinceMs(
        this.ctx.nowMs,
      ),
    };
  }

  private enqueue(query: WaitingQuery): void {
    const refused = this.waitingQueries.add(query, this.ctx.nowMs);
    if (refused) this.ports.refuse(refused.reqId, "too many requests");
  }

  private answer({ reqId, id, onRead }: WaitingQuery): void {
    this.waitingQueries.noteAnswered(id);
    onRead(reqId, id);
  }

  private retryOrRefuse(query: WaitingQuery): void {
    if (this.ctx.nowMs - query.askedMs < QUERY_RETRY_MS)
      return this.enqueue(query);
    this.waitingQueries.refuse(query, this.ctx.nowMs);
    this.ports.refuse(query.reqId, "state service does not answer");
  }

  /** Reads all live records. */
  private load(): void {
    this.isLoading = true;
    this.loadPage("", null);
  }

  private loadPage(afterKey: string, earlier: LoadedPages | null): void {
    this.ports.callStore(
      { op: "list", prefix: LIVE_PREFIX, after: afterKey },
      CallPriority.Lease,
      (reply, sentMs) => {
        if (reply.is !== "items" || this.isInconsistentList(reply))
          return this.onLoadFailed();
        const loaded: LoadedPages = {
          items: [...(earlier?.items ?? []), ...reply.items],
          revision: earlier?.revision ?? reply.epoch,
          sentMs: earlier?.sentMs ?? sentMs,
        };
        const last = reply.items.at(-1);
        if (reply.more && last) this.loadPage(last.key, loaded);
        else this.onLoaded(loaded);
      },
    );
  }

  private onLoaded({ items, revision, sentMs }: LoadedPages): void {
    this.isLoading = false;
    this.ports.onEvents(this.ctx.cache.reload(items, revision));
    this.leadership.noteRead(sentMs);
    this.noteAvailability(true);
    this.watch();
  }

  private onLoadFailed(): void {
    this.isLoading = false;
    this.nextWatchMs = this.ctx.nowMs + WATCH_RETRY_MS;
    this.noteAvailability(false);
  }

  /** Whether a list contains an item newer than the list's own revision; if so, it is logged. */
  private isInconsistentList(reply: ItemsReply): boolean {
    const newer = reply.items.find((item) => item.version > reply.epoch);
    if (!newer) return false;
    this.inconsistencyLog.warn("inconsistent store response", newer.key, {
      itemRevision: newer.version,
      storeRevision: reply.epoch,
    });
    return true;
  }

  /** Reads the changes since the cache's revision; if there are none, the store waits up to `waitMs` for one. */
  private readChanges(
    waitMs: number,
    done: (succeeded: boolean) => void,
  ): void {
    const sinceRevision = this.ctx.cache.revision;
    this.ports.callStore(
      { op: "changes", prefix: ROOT_PREFIX, since: sinceRevision, waitMs },
      CallPriority.Lease,
      (reply, sentMs) => {
        if (reply.is === "gone") this.onWatchFellBehind();
        else if (
          reply.is !== "changes" ||
          this.areInconsistentChanges(reply, sinceRevision)
        )
          this.noteAvailability(false);
        else {
          this.onChangesRead(reply, sinceRevision, sentMs);
          return done(true);
        }
        done(false);
      },
    );
  }

  private onChangesRead(
    { changes, epoch }: ChangesReply,
    sinceRevision: number,
    sentMs: number,
  ): void {
    this.leadership.noteRead(sentMs);
    this.noteAvailability(true);
    this.ports.onEvents(this.ctx.cache.apply(changes, epoch));
    this.ports.onChanges(sinceRevision, epoch, changes);
  }

  /** Reads all records again, since the store no longer has all changes since the cache's revision. */
  private onWatchFellBehind(): void {
    this.ctx.log("store watch fell behind, reading all records", {});
    if (!this.isLoading) this.load();
  }

  /**
   * Whether a reply contains a change newer than the reply's own revision, or its revision is older than the requested one.
   * Such a reply is logged, its changes are ignored, and it does not count as a read.
   */
  private areInconsistentChanges(
    reply: ChangesReply,
    sinceRevision: number,
  ): boolean {
    const newer = reply.changes.find((change) => change.version > reply.epoch);
    if (!newer && reply.epoch >= sinceRevision) return false;
    const key = newer?.key ?? ROOT_PREFIX;
    this.inconsistencyLog.warn("inconsistent store response", key, {
      itemRevision: newer?.version,
      storeRevision: reply.epoch,
      sinceRevision,
    });
    return true;
  }

  /** Logs when the store has been unavailable for some time, and when it answers again. */
  private noteAvailability(isAvailable: boolean): void {
    if (isAvailable === !this.isStoreUnavailable) return;
    if (!isAvailable && this.leadership.storeSilenceMs < UNAVAILABLE_AFTER_MS)
      return;
    this.isStoreUnavailable = !isAvailable;
    if (isAvailable) return this.ctx.log("store available again", {});
    const leaseRemainingMs =
      this.leadership.leadershipLeaseUntilMs - this.ctx.nowMs;
    this.ctx.log("store unavailable", {
      leadershipLeaseRemainingMs: Math.round(leaseRemainingMs),
    });
  }

  /**
   * Requests one wake-up between ticks. Ticks are 200 ms apart: if watches and reads were started by ticks only, users and
   * every stage of a chain of dependent jobs would wait that long.
   */
  private requestWakeOnce(afterMs: number): void {
    if (this.isWakeRequested) return;
    this.isWakeRequested = true;
    this.ports.requestWake(afterMs);
  }
}
