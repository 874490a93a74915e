import type { Change, Item, StateCall, StateReply } from "../protocol/state.js";
import { NOW, ROOT } from "../storage/records.js";
import type { Context } from "./context.js";
import { Urgent } from "./effects.js";
import { FairQueue } from "./fairness.js";
import type { Seen } from "./mirror.js";
import type { Ownership } from "./ownership.js";
import { RateLimitedLog } from "./rate-limited-log.js";

/** A watch is renewed at least this often: its age is part of the permit. */
const WATCH_MS = 2_000;
/** Reads follow each other no faster than this: one serves all that asked meanwhile. */
const READ_PAUSE_MS = 60;
const MAX_WAITING = 400;
/** A question whose read failed waits for the next one for so long after it came: users wait 2 s for a status. */
const AGAIN_MS = 1_000;

interface Waiting {
  req: number;
  id: string;
  atMs: number;
  next: (req: number, id: string) => void;
}

/** Keeps a controller's copy of the state service's records up to date: one watch, and reads for questions that need one. */
export class StateReader {
  private watching = false;
  private loading = false;
  private reading = false;
  private nextWatchMs = 0;
  private nextReadMs = 0;
  private waking = false;
  private readonly waiting = new FairQueue<Waiting>(MAX_WAITING);
  private stateDown = false;
  private readonly contradictions: RateLimitedLog;

  constructor(
    private readonly ctx: Context,
    private readonly ownership: Pick<
      Ownership,
      "read" | "staleMs" | "permitUntilMs"
    >,
    private readonly state: (
      call: StateCall,
      urgent: Urgent,
      done: (r: StateReply, sentMs: number) => void,
    ) => void,
    /** Acts on what the copy shows now. */
    private readonly see: (seen: readonly Seen[]) => void,
    /** Passes on what was read, beyond what the copy keeps. */
    private readonly tell: (
      from: number,
      to: number,
      changes: readonly Change[],
    ) => void,
    /** Asks to be called again. */
    private readonly ask: (afterMs: number) => void,
    /** Tells a question that it can't be answered now. */
    private readonly refuse: (req: number, why: string) => void,
  ) {
    this.contradictions = new RateLimitedLog(ctx);
  }

  /** What was asked for by `ask`. */
  woken(): void {
    this.waking = false;
    this.watch();
    this.readNow();
  }

  private load(
    after = "",
    items: Item[] = [],
    since: number | null = null,
    firstSentMs = 0,
  ): void {
    this.loading = true;
    this.state({ op: "list", prefix: NOW, after }, Urgent.Hold, (r, sentMs) => {
      const newer =
        r.is === "items" ? r.items.find((i) => i.version > r.epoch) : undefined;
      if (r.is === "items" && newer)
        this.contradictions.warn("inconsistent store response", newer.key, {
          itemRevision: newer.version,
          storeRevision: r.epoch,
        });
      if (r.is !== "items" || newer) {
        this.loading = false;
        this.nextWatchMs = this.ctx.nowMs + 300;
        this.noteState(false);
        return;
      }
      const all = [...items, ...r.items];
      const from = since ?? r.epoch;
      const sent = since === null ? sentMs : firstSentMs;
      const last = r.items.at(-1);
      if (r.more && last) return this.load(last.key, all, from, sent);
      this.loading = false;
      this.see(this.ctx.mirror.reload(all, from));
      this.ownership.read(sent);
      this.noteState(true);
      this.watch();
    });
  }

  watch(): void {
    if (this.watching || this.loading || this.ctx.nowMs < this.nextWatchMs)
      return;
    if (!this.ctx.mirror.ready) return this.load();
    this.watching = true;
    this.changes(WATCH_MS, (ok) => {
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
    this.ask(afterMs);
  }

  private changes(waitMs: number, done: (ok: boolean) => void): void {
    const since = this.ctx.mirror.epoch;
    this.state(
      { op: "changes", prefix: ROOT, since, waitMs },
      Urgent.Hold,
      (r, sentMs) => {
        // Of no use, and no proof of a read: it tells of changes after the moment that it speaks for, or of a moment before the one asked about.
        const newer =
          r.is === "changes"
            ? r.changes.find((c) => c.version > r.epoch)
            : undefined;
        if (r.is === "changes" && (newer || r.epoch < since)) {
          this.contradictions.warn(
            "inconsistent store response",
            newer?.key ?? ROOT,
            {
              itemRevision: newer?.version,
              storeRevision: r.epoch,
              sinceRevision: since,
            },
          );
          this.noteState(false);
          return done(false);
        }
        if (r.is === "changes") {
          this.ownership.read(sentMs);
          this.noteState(true);
          this.see(this.ctx.mirror.apply(r.changes, r.epoch));
          this.tell(since, r.epoch, r.changes);
          done(true);
        } else {
          if (r.is === "gone") {
            this.ctx.log("store watch fell behind, reading all records", {});
            if (!this.loading) this.load();
          } else this.noteState(false);
          done(false);
        }
      },
    );
  }

  private noteState(up: boolean): void {
    if (up === !this.stateDown) return;
    if (!up && this.ownership.staleMs < 3_000) return;
    this.stateDown = !up;
    if (up) this.ctx.log("store available again", {});
    else
      this.ctx.log("store unavailable", {
        leadershipLeaseRemainingMs: Math.round(
          this.ownership.permitUntilMs - this.ctx.nowMs,
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
    const past = this.ctx.mirror.past.get(id);
    if (past) {
      this.waiting.answered(id);
      return next(req, id);
    }
    if (!this.ctx.mirror.ready) return this.refuse(req, "not ready yet");
    this.wait({ req, id, atMs: this.ctx.nowMs, next });
    this.readNow();
  }

  private wait(w: Waiting): void {
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

  readNow(): void {
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
        } else if (this.ctx.nowMs - w.atMs < AGAIN_MS) this.wait(w);
        else
          this.refuse(
            this.waiting.refuse(w, this.ctx.nowMs).req,
            "state service does not answer",
          );
      }
      this.readNow();
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
