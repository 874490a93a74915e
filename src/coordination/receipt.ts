import type { Context } from "./context.js";
import type { Report } from "./model.js";
import type { Receipt, Worker } from "./tasks.js";

/** Reports in a row that contradict receipt before a machine gets nothing new; one answer may be lost on any network. */
const MISSED = 2;
/** How long the sessions and tallies of a machine's former life are told from those of its present one, in leases. */
const FORMER_LEASES = 10;
/** Tallies rise with reports, at most two a second, and with commands: so many more are believed. */
const TALLY_SLACK = 5;
const TALLY_PER_S = 2.2;
/** Questions to one machine follow each other no faster than this, in ms. */
const ASK_GAP_MS = 2_000;
const PROBE_GAP_MS = 10_000;

export const newReceipt = (proven: boolean, nowMs: number): Receipt => ({
  proven,
  deafMs: null,
  deafTimes: 0,
  missed: 0,
  sessionMs: nowMs,
  askedMs: -Infinity,
  asking: false,
  former: null,
  commandMs: -Infinity,
});

/**
 * Which reports are older than what is known, and whether a machine receives. Reports arrive late, doubled and out of
 * order, from seconds to several leases after they were made, and a machine whose reports arrive may get neither
 * answers nor commands. docs/design.md has the table of what a report may establish.
 */
export class Receipts {
  constructor(
    private readonly ctx: Context,
    private readonly token: number,
  ) {}

  private get leaseMs(): number {
    return this.ctx.settings.leaseS * 1000;
  }

  /**
   * A report that is no newer than what is known, or that a former life of the machine sent. Invariant (ran_twice): the
   * highest token that a worker has seen never falls within its life, whatever its session: a report with a lower one
   * than it has shown is older or of another life, and what it does not list may run there.
   */
  isLate(w: Worker, r: Report): boolean {
    if (
      r.token < w.token ||
      r.session < w.session ||
      (r.session === w.session && (r.tally <= w.tally || w.lost))
    )
      return true;
    const { former, sessionMs } = w.receipt;
    if (!former || this.ctx.nowMs > former.untilMs) return false;
    // It began anew a while ago: sessions take a lease each, tallies a while. What is beyond that its former life had.
    if (
      (r.session - w.session) * this.leaseMs >
      this.ctx.nowMs - sessionMs + this.leaseMs / 2
    )
      return true;
    return (
      r.tally >
      w.tally +
        TALLY_SLACK +
        ((this.ctx.nowMs - w.heardMs) / 1000) * TALLY_PER_S
    );
  }

  /**
   * A report that the machine's former life may have sent as well as its present one: both had this session and tally. It
   * says that something is there, and nothing of what is on it; that the machine is asked itself.
   */
  isAmbiguous(w: Worker, r: Report): boolean {
    const { former } = w.receipt;
    return (
      former !== null &&
      this.ctx.nowMs < former.untilMs &&
      !w.lost &&
      r.token >= w.token &&
      r.session >= w.session &&
      r.session <= former.session &&
      r.tally <= former.tally
    );
  }

  /** Whether to ask a machine itself: nothing new was heard of it for longer than reports and retries take, and yet something comes. */
  mayAsk(w: Worker, quietFor = true): boolean {
    const quietMs = (this.ctx.settings.reportS * 1.25 + 1) * 1000;
    return (
      !w.receipt.asking &&
      (!quietFor || this.ctx.nowMs - w.heardMs > quietMs) &&
      this.ctx.nowMs - w.receipt.askedMs > ASK_GAP_MS
    );
  }

  /** Now and then a machine that does not receive is asked whether it does again. */
  mayProbe(w: Worker): boolean {
    return (
      w.receipt.deafMs !== null &&
      !w.receipt.asking &&
      this.ctx.nowMs - w.receipt.askedMs > PROBE_GAP_MS
    );
  }

  /** Notes what a report that counts says of receipt, before the rest of it is looked at. */
  note(w: Worker, r: Report, rose: boolean): void {
    const c = w.receipt;
    if (rose) {
      c.sessionMs = this.ctx.nowMs;
      // Its lease ran out although a report of it was answered within the last half of one.
      if (!w.lost && this.ctx.nowMs - w.answeredMs < this.leaseMs / 2)
        this.deaf(w, "its lease ended although its reports are answered");
      return;
    }
    if (r.token === this.token && w.token !== this.token)
      this.hears(w, "it has seen this master's token");
    else if (r.token === this.token) c.proven = true;
    // Answered several times under this token, and it still has not seen it.
    else if (w.token < this.token && ++c.missed > MISSED)
      this.deaf(w, "it does not see this master's token");
    if (
      c.deafMs !== null &&
      this.ctx.nowMs - Math.max(c.deafMs, c.sessionMs) >
        this.leaseMs * 1.1 + 1_000
    )
      this.hears(w, "its lease goes on");
  }

  /** What a report shows of the starts that answers before it bore: some that should be there are not, or all are. */
  noteOrders(w: Worker, missing: boolean, shown: boolean): void {
    if (shown) this.hears(w, "it has carried out an order");
    else if (missing && ++w.receipt.missed > MISSED)
      this.deaf(w, "it does not carry out what answers to it say");
  }

  /** A command or a question was answered by the machine itself. */
  answered(w: Worker): void {
    if (w.receipt.deafTimes <= 1) this.hears(w, "it answers");
  }

  private deaf(w: Worker, why: string): void {
    const c = w.receipt;
    c.missed = 0;
    if (c.deafMs !== null) return;
    c.deafMs = this.ctx.nowMs;
    c.deafTimes++;
    this.ctx.log("machine unreachable", {
      worker: w.id,
      reason: why,
      occurrences: c.deafTimes,
      tasks: w.tasks.size,
    });
  }

  private hears(w: Worker, why: string): void {
    const c = w.receipt;
    c.proven = true;
    c.missed = 0;
    if (c.deafMs === null) return;
    this.ctx.log("machine reachable again", {
      worker: w.id,
      reason: why,
      afterMs: Math.round(this.ctx.nowMs - c.deafMs),
    });
    c.deafMs = null;
  }

  /** Its answer to a question is of a later life than what is known. */
  beganAnew(w: Worker): void {
    const reached =
      w.tally +
      TALLY_SLACK +
      ((this.ctx.nowMs - w.heardMs) / 1000) * TALLY_PER_S;
    const before = w.receipt.former;
    const former = {
      session: Math.max(w.session, before?.session ?? 0),
      tally: Math.max(reached, before?.tally ?? 0),
      untilMs: this.ctx.nowMs + FORMER_LEASES * this.leaseMs,
    };
    w.receipt = {
      ...newReceipt(true, this.ctx.nowMs),
      askedMs: w.receipt.askedMs,
      deafTimes: w.receipt.deafTimes,
      former,
    };
  }
}
