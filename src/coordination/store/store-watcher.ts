import type {
  Change,
  Item,
  StateCall,
  StateReply,
} from "../../protocol/state.js";
import { LIVE_PREFIX, ROOT_PREFIX } from "../../storage/records.js";
import type { Context } from "../context.js";
import { CallPriority } from "../effects.js";
import { FairQueue } from "./fair-queue.js";
import type { StoreEvent } from "./store-events.js";
import type { Leadership } from "../leadership/leadership.js";
import { RateLimitedLog } from "../../logging/rate-limited-log.js";

/** A watch is renewed at least this often: its age is part of the permit. */
const WATCH_RENEWAL_MS = 2_000;
/** Reads follow each other no faster than this: one serves all that asked meanwhile. */
const READ_PAUSE_MS = 60;
const MAX_WAITING = 400;
/** A question whose read failed waits for the next one for so long after it came: users wait 2 s for a status. */
const QUESTION_RETRY_MS = 1_000;

interface WaitingQuestion {
  req: number;
  id: string;
  atMs: number;
  next: (req: number, id: string) => void;
}

/** Keeps a controller's copy of the state service's records up to date: one watch, and reads for questions that need one. */
export class StoreWatcher {
  private watching = false;
  private loading = false;
  private reading = false;
  private nextWatchMs = 0;
  private nextReadMs = 0;
  private waking = false;
  private readonly waiting = new FairQueue<WaitingQuestion>(MAX_WAITING);
  private storeUnavailable = false;
  private readonly contradictions: RateLimitedLog;

  constructor(
    private readonly ctx: Context,
    private readonly leadership: Pick<
      Leadership,
      "noteRead" | "storeSilenceMs" | "leadershipLeaseUntilMs"
    >,
    private readonly call: (
      call: StateCall,
      priority: CallPriority,
      done: (r: StateReply, sentMs: number) => void,
    ) => void,
    /** Acts on what the copy shows now. */
    private readonly onEvents: (seen: readonly StoreEvent[]) => void,
    /** Passes on what was read, beyond what the copy keeps. */
    private readonly onChanges: (
      from: number,
      to: number,
      changes: readonly Change[],
    ) => void,
    /** Asks to be called again. */
    private readonly requestWake: (afterMs: number) => void,
    /** Tells a question that it can't be answered now. */
    private readonly refuse: (req: number, why: string) => void,
  ) {
    this.contradictions = new RateLimitedLog(ctx);
  }

  /** What was asked for by `ask`. */
  onWake(): void {
    this.waking = false;
    this.watch();
    this.readForWaiting();
  }

  private load(
    after = "",
    items: Item[] = [],
    since: number | null = null,
    firstSentMs = 0,
  ): void {
    this.loading = true;
    this.call(
      { op: "list", prefix: LIVE_PREFIX, after },
      CallPriority.Lease,
      (r, sentMs) => {
        const newer =
          r.is === "items"
            ? r.items.find((i) => i.version > r.epoch)
            : undefined;
        if (r.is === "items" && newer)
          this.contradictions.warn("inconsistent store response", newer.key, {
            itemRevision: newer.version,
            storeRevision: r.epoch,
          });
        if (r.is !== "items" || newer) {
          this.loading = false;
          this.nextWatchMs = this.ctx.nowMs + 300;
          this.noteAvailability(false);
          return;
        }
        const all = [...items, ...r.items];
        const from = since ?? r.epoch;
        const sent = since === null ? sentMs : firstSentMs;
        const last = r.items.at(-1);
        if (r.more && last) return this.load(last.key, all, from, sent);
        this.loading = false;
        this.onEvents(this.ctx.cache.reload(all, from));
        this.leadership.noteRead(sent);
        this.noteAvailability(true);
        this.watch();
      },
    );
  }

  watch(): void {
    if (this.watching || this.loading || this.ctx.nowMs < this.nextWatchMs)
      return;
    if (!this.ctx.cache.ready) return this.load();
    this.watching = true;
    this.changes(WATCH_RENEWAL_MS, (ok) => {
      this.watching = false;
      this.nextWatchMs = this.ctx.nowMs + (ok ? READ_PAUSE_MS : 300);
      if (ok) this.wakeIn(READ_PAUSE_MS);
    });
  }

  /**
   * Ticks are 200 ms apart: a watch that was opened again, or questions that were read for, only by the next one left
   * users and every stage of a line of jobs waiting that long.
   */
  private wakeIn(afterMs: number): void {
    if (this.waking) return;
    this.waking = true;
    this.requestWake(afterMs);
  }

  private changes(waitMs: number, done: (ok: boolean) => void): void {
    const since = this.ctx.cache.revision;
    this.call(
      { op: "changes", prefix: ROOT_PREFIX, since, waitMs },
      CallPriority.Lease,
      (r, sentMs) => {
        // Of no use, and no proof of a read: it tells of changes after the moment that it speaks for, or of a moment before the one asked about.
        const newer =
          r.is === "changes"
            ? r.changes.find((c) => c.version > r.epoch)
            : undefined;
        if (r.is === "changes" && (newer || r.epoch < since)) {
          this.contradictions.warn(
            "inconsistent store response",
            newer?.key ?? ROOT_PREFIX,
            {
              itemRevision: newer?.version,
              storeRevision: r.epoch,
              sinceRevision: since,
            },
          );
          this.noteAvailability(false);
          return done(false);
        }
        if (r.is === "changes") {
          this.leadership.noteRead(sentMs);
          this.noteAvailability(true);
          this.onEvents(this.ctx.cache.apply(r.changes, r.epoch));
          this.onChanges(since, r.epoch, r.changes);
          done(true);
        } else {
          if (r.is === "gone") {
            this.ctx.log("store watch fell behind, reading all records", {});
            if (!this.loading) this.load();
          } else this.noteAvailability(false);
          done(false);
        }
      },
    );
  }

  private noteAvailability(up: boolean): void {
    if (up === !this.storeUnavailable) return;
    if (!up && this.leadership.storeSilenceMs < 3_000) return;
    this.storeUnavailable = !up;
    if (up) this.ctx.log("store available again", {});
    else
      this.ctx.log("store unavailable", {
        leadershipLeaseRemainingMs: Math.round(
          this.leadership.leadershipLeaseUntilMs - this.ctx.nowMs,
        ),
      });
  }

  /**
   * Invariant (rules forgotten, went_back): an answer that is not final rests on a read that was sent after the
   * question came. One read serves all questions that came before it.
   */
  afterRead(
    req: number,
    id: string,
    next: (req: number, id: string) => void,
  ): void {
    const past = this.ctx.cache.finalRecords.get(id);
    if (past) {
      this.waiting.answered(id);
      return next(req, id);
    }
    if (!this.ctx.cache.ready) return this.refuse(req, "not ready yet");
    this.wait({ req, id, atMs: this.ctx.nowMs, next });
    this.readForWaiting();
  }

  private wait(w: WaitingQuestion): void {
    const out = this.waiting.add(w, this.ctx.nowMs);
    if (out) this.refuse(out.req, "too many requests");
  }
  /** Questions refused so far, and since when the job that has been refused longest is. */
  get refusals(): { refused: number; oldestMs: number | null } {
    return {
      refused: this.waiting.refused,
      oldestMs: this.waiting.oldestMs(this.ctx.nowMs),
    };
  }

  readForWaiting(): void {
    if (this.reading || this.waiting.size === 0) return;
    if (this.ctx.nowMs < this.nextReadMs)
      return this.wakeIn(this.nextReadMs - this.ctx.nowMs);
    this.reading = true;
    const served = this.waiting.take();
    this.changes(0, (ok) => {
      this.reading = false;
      this.nextReadMs = this.ctx.nowMs + READ_PAUSE_MS;
      for (const w of served) {
        if (ok) {
          this.waiting.answered(w.id);
          w.next(w.req, w.id);
        } else if (this.ctx.nowMs - w.atMs < QUESTION_RETRY_MS) this.wait(w);
        else
          this.refuse(
            this.waiting.refuse(w, this.ctx.nowMs).req,
            "state service does not answer",
          );
      }
      this.readForWaiting();
    });
  }

  /** The open watch shows a commit at once; if none is open, one is opened. */
  watchSoon(): void {
    if (!this.watching) {
      this.nextWatchMs = this.ctx.nowMs;
      this.watch();
    }
  }
}
