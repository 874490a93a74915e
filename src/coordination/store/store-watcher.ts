/**
 * Keeps the store cache up to date: one watch that is renewed all the time, and reads for questions whose answer must rest
 * on a read. It owns the state of these requests and the questions that wait for a read.
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
/** After a failed read or watch the next one waits this long. */
const WATCH_RETRY_MS = 300;
/** Reads follow each other no faster than this: one serves all that asked meanwhile. */
const READ_PAUSE_MS = 60;
/** Questions that wait for a read. */
const MAX_WAITING = 400;
/** A question whose read failed waits for the next one for so long after it came: users wait 2 s for a status. */
const QUESTION_RETRY_MS = 1_000;
/** Only a silence of the store of this length is logged. */
const UNAVAILABLE_AFTER_MS = 3_000;

type ItemsReply = Extract<StateReply, { is: "items" }>;
type ChangesReply = Extract<StateReply, { is: "changes" }>;

/** A user's request about a job. */
interface WaitingQuestion {
  readonly req: number;
  readonly id: string;
  /** When it came; steady time, ms. */
  readonly askedMs: number;
  readonly onRead: (req: number, id: string) => void;
}

/** What a list of all live records has brought so far. */
interface LoadedPages {
  readonly items: readonly Item[];
  /** Store revision of the first page: what changed after it is read again with the changes since. */
  readonly revision: number;
  /** When the first page was asked for; steady time, ms. */
  readonly sentMs: number;
}

/** What the watcher needs of the core. */
export interface StoreWatcherPorts {
  readonly callStore: CallStore;
  /** Acts on what the cache shows now. */
  readonly onEvents: (events: readonly StoreEvent[]) => void;
  /** Passes on all changes between two revisions, also those that the cache doesn't keep. */
  readonly onChanges: (
    fromRevision: number,
    toRevision: number,
    changes: readonly Change[],
  ) => void;
  /** Asks for a call of `onWake` after this time. */
  readonly requestWake: (afterMs: number) => void;
  /** Answers a question with the reason why it can't be answered now. */
  readonly refuse: (req: number, why: string) => void;
}

export class StoreWatcher {
  private isWatching = false;
  private isLoading = false;
  private isReading = false;
  private isWakeRequested = false;
  private isStoreUnavailable = false;
  /** Steady times, ms, before which no watch is opened and no read is sent. */
  private nextWatchMs = 0;
  private nextReadMs = 0;
  private readonly waiting = new FairQueue<WaitingQuestion>(MAX_WAITING);
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

  /** The wake-up that was asked for by `requestWake`. */
  onWake(): void {
    this.isWakeRequested = false;
    this.watch();
    this.readForWaiting();
  }

  /** Opens a watch if none is open and it is time to; before the first one, reads all live records. */
  watch(): void {
    if (this.isWatching || this.isLoading) return;
    if (this.ctx.nowMs < this.nextWatchMs) return;
    if (!this.ctx.cache.ready) return this.load();
    this.isWatching = true;
    this.readChanges(WATCH_RENEWAL_MS, (succeeded) => {
      this.isWatching = false;
      const pauseMs = succeeded ? READ_PAUSE_MS : WATCH_RETRY_MS;
      this.nextWatchMs = this.ctx.nowMs + pauseMs;
      if (succeeded) this.wakeIn(READ_PAUSE_MS);
    });
  }

  /** Has the next commit seen at once: an open watch shows it, and if none is open, one is opened. */
  watchNow(): void {
    if (this.isWatching) return;
    this.nextWatchMs = this.ctx.nowMs;
    this.watch();
  }

  /**
   * Calls `onRead` after a read that is sent from now on, or refuses the question.
   *
   * Invariant (rules forgotten, went_back): an answer that is not final rests on a read that was sent after the
   * question came. One read serves all questions that came before it.
   */
  afterRead(
    req: number,
    id: string,
    onRead: (req: number, id: string) => void,
  ): void {
    if (this.ctx.cache.finalRecords.has(id)) {
      this.waiting.answered(id);
      return onRead(req, id);
    }
    if (!this.ctx.cache.ready) return this.ports.refuse(req, "not ready yet");
    this.enqueue({ req, id, askedMs: this.ctx.nowMs, onRead });
    this.readForWaiting();
  }

  /** Sends a read for the questions that wait, if none is in flight and it is time to. */
  readForWaiting(): void {
    if (this.isReading || this.waiting.size === 0) return;
    if (this.ctx.nowMs < this.nextReadMs)
      return this.wakeIn(this.nextReadMs - this.ctx.nowMs);
    this.isReading = true;
    const served = this.waiting.take();
    this.readChanges(0, (succeeded) => {
      this.isReading = false;
      this.nextReadMs = this.ctx.nowMs + READ_PAUSE_MS;
      for (const question of served) {
        if (succeeded) this.answer(question);
        else this.retryOrRefuse(question);
      }
      this.readForWaiting();
    });
  }

  /** Questions refused so far, and since when (steady time, ms) the job that has been refused longest is; null: none. */
  get refusals(): {
    refusedCount: number;
    longestRefusedSinceMs: number | null;
  } {
    return {
      refusedCount: this.waiting.refusedCount,
      longestRefusedSinceMs: this.waiting.longestRefusedSinceMs(this.ctx.nowMs),
    };
  }

  private enqueue(question: WaitingQuestion): void {
    const refused = this.waiting.add(question, this.ctx.nowMs);
    if (refused) this.ports.refuse(refused.req, "too many requests");
  }

  private answer({ req, id, onRead }: WaitingQuestion): void {
    this.waiting.answered(id);
    onRead(req, id);
  }

  private retryOrRefuse(question: WaitingQuestion): void {
    if (this.ctx.nowMs - question.askedMs < QUESTION_RETRY_MS)
      return this.enqueue(question);
    this.waiting.refuse(question, this.ctx.nowMs);
    this.ports.refuse(question.req, "state service does not answer");
  }

  /** Reads all live records. */
  private load(): void {
    this.isLoading = true;
    this.loadPage("", null);
  }

  private loadPage(after: string, earlier: LoadedPages | null): void {
    this.ports.callStore(
      { op: "list", prefix: LIVE_PREFIX, after },
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

  /** Whether a list shows an item that is newer than the revision it claims to be of; if so, it is logged. */
  private isInconsistentList(reply: ItemsReply): boolean {
    const newer = reply.items.find((item) => item.version > reply.epoch);
    if (!newer) return false;
    this.inconsistencyLog.warn("inconsistent store response", newer.key, {
      itemRevision: newer.version,
      storeRevision: reply.epoch,
    });
    return true;
  }

  /** Reads the changes since the cache's revision; the store waits so long for one to come. */
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

  /** The store no longer has all changes since the cache's revision. */
  private onWatchFellBehind(): void {
    this.ctx.log("store watch fell behind, reading all records", {});
    if (!this.isLoading) this.load();
  }

  /**
   * Whether an answer shows changes after the revision that it speaks for, or speaks for one before the one asked about.
   * Such an answer is logged; it is of no use, and no proof of a read.
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

  /** Logs when the store becomes unavailable for long, and when it answers again. */
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
   * Ticks are 200 ms apart: if only the next one opened a watch again, or read for waiting questions, users and every stage
   * of a chain of dependent jobs would wait that long.
   */
  private wakeIn(afterMs: number): void {
    if (this.isWakeRequested) return;
    this.isWakeRequested = true;
    this.ports.requestWake(afterMs);
  }
}
