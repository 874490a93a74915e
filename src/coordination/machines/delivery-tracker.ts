import type { Context } from "../context.js";
import type { Heartbeat } from "../model.js";
import { newDeliveryState, type Worker } from "./worker-state.js";

/** Reports in a row that contradict receipt before a machine gets nothing new; one answer may be lost on any network. */
const MAX_MISSED = 2;
/** How long the sessions and tallies of a machine's former life are told from those of its present one, in leases. */
const FORMER_LIFE_LEASES = 10;
/** Tallies rise with reports, at most two a second, and with commands: so many more are believed. */
const SEQUENCE_SLACK = 5;
const SEQUENCES_PER_S = 2.2;
/** Questions to one machine follow each other no faster than this, in ms. */
const INSPECT_INTERVAL_MS = 2_000;
const PROBE_INTERVAL_MS = 10_000;

/**
 * Which reports are older than what is known, and whether a machine receives. Reports arrive late, doubled and out of
 * order, from seconds to several leases after they were made, and a machine whose reports arrive may get neither
 * answers nor commands. docs/design.md has the table of what a report may establish.
 */
export class DeliveryTracker {
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
  isStale(w: Worker, r: Heartbeat): boolean {
    if (
      r.token < w.token ||
      r.incarnation < w.incarnation ||
      (r.incarnation === w.incarnation &&
        (r.sequence <= w.sequence || w.leaseExpired))
    )
      return true;
    const { formerLife: former, incarnationSinceMs: incarnationMs } =
      w.delivery;
    if (!former || this.ctx.nowMs > former.untilMs) return false;
    // It began anew a while ago: sessions take a lease each, tallies a while. What is beyond that its former life had.
    if (
      (r.incarnation - w.incarnation) * this.leaseMs >
      this.ctx.nowMs - incarnationMs + this.leaseMs / 2
    )
      return true;
    return (
      r.sequence >
      w.sequence +
        SEQUENCE_SLACK +
        ((this.ctx.nowMs - w.lastHeardMs) / 1000) * SEQUENCES_PER_S
    );
  }

  /**
   * A report that the machine's former life may have sent as well as its present one: both had this session and tally. It
   * says that something is there, and nothing of what is on it; that the machine is asked itself.
   */
  isAmbiguous(w: Worker, r: Heartbeat): boolean {
    const { formerLife: former } = w.delivery;
    return (
      former !== null &&
      this.ctx.nowMs < former.untilMs &&
      !w.leaseExpired &&
      r.token >= w.token &&
      r.incarnation >= w.incarnation &&
      r.incarnation <= former.incarnation &&
      r.sequence <= former.sequence
    );
  }

  /** Whether to ask a machine itself: nothing new was heard of it for longer than reports and retries take, and yet something comes. */
  mayInspect(w: Worker, quietFor = true): boolean {
    const quietMs = (this.ctx.settings.reportS * 1.25 + 1) * 1000;
    return (
      !w.delivery.inspecting &&
      (!quietFor || this.ctx.nowMs - w.lastHeardMs > quietMs) &&
      this.ctx.nowMs - w.delivery.inspectedMs > INSPECT_INTERVAL_MS
    );
  }

  /** Now and then a machine that does not receive is asked whether it does again. */
  mayProbe(w: Worker): boolean {
    return (
      w.delivery.unreachableSinceMs !== null &&
      !w.delivery.inspecting &&
      this.ctx.nowMs - w.delivery.inspectedMs > PROBE_INTERVAL_MS
    );
  }

  /** Notes what a report that counts says of receipt, before the rest of it is looked at. */
  note(w: Worker, r: Heartbeat, rose: boolean): void {
    const c = w.delivery;
    if (rose) {
      c.incarnationSinceMs = this.ctx.nowMs;
      // Its lease ran out although a report of it was answered within the last half of one.
      if (
        !w.leaseExpired &&
        this.ctx.nowMs - w.lastAnsweredMs < this.leaseMs / 2
      )
        this.markUnreachable(
          w,
          "its lease ended although its reports are answered",
        );
      return;
    }
    if (r.token === this.token && w.token !== this.token)
      this.markReachable(w, "it has seen this master's token");
    else if (r.token === this.token) c.proven = true;
    // Answered several times under this token, and it still has not seen it.
    else if (w.token < this.token && ++c.missed > MAX_MISSED)
      this.markUnreachable(w, "it does not see this master's token");
    if (
      c.unreachableSinceMs !== null &&
      this.ctx.nowMs - Math.max(c.unreachableSinceMs, c.incarnationSinceMs) >
        this.leaseMs * 1.1 + 1_000
    )
      this.markReachable(w, "its lease goes on");
  }

  /** What a report shows of the starts that answers before it bore: some that should be there are not, or all are. */
  noteCommands(w: Worker, missing: boolean, shown: boolean): void {
    if (shown) this.markReachable(w, "it has carried out an order");
    else if (missing && ++w.delivery.missed > MAX_MISSED)
      this.markUnreachable(w, "it does not carry out what answers to it say");
  }

  /** A command or a question was answered by the machine itself. */
  noteAnswered(w: Worker): void {
    if (w.delivery.timesUnreachable <= 1) this.markReachable(w, "it answers");
  }

  private markUnreachable(w: Worker, why: string): void {
    const c = w.delivery;
    c.missed = 0;
    if (c.unreachableSinceMs !== null) return;
    c.unreachableSinceMs = this.ctx.nowMs;
    c.timesUnreachable++;
    this.ctx.log("machine unreachable", {
      worker: w.id,
      reason: why,
      occurrences: c.timesUnreachable,
      tasks: w.tasks.size,
    });
  }

  private markReachable(w: Worker, why: string): void {
    const c = w.delivery;
    c.proven = true;
    c.missed = 0;
    if (c.unreachableSinceMs === null) return;
    this.ctx.log("machine reachable again", {
      worker: w.id,
      reason: why,
      afterMs: Math.round(this.ctx.nowMs - c.unreachableSinceMs),
    });
    c.unreachableSinceMs = null;
  }

  /** Its answer to a question is of a later life than what is known. */
  noteRestart(w: Worker): void {
    const reached =
      w.sequence +
      SEQUENCE_SLACK +
      ((this.ctx.nowMs - w.lastHeardMs) / 1000) * SEQUENCES_PER_S;
    const before = w.delivery.formerLife;
    const former = {
      incarnation: Math.max(w.incarnation, before?.incarnation ?? 0),
      sequence: Math.max(reached, before?.sequence ?? 0),
      untilMs: this.ctx.nowMs + FORMER_LIFE_LEASES * this.leaseMs,
    };
    w.delivery = {
      ...newDeliveryState(true, this.ctx.nowMs),
      inspectedMs: w.delivery.inspectedMs,
      timesUnreachable: w.delivery.timesUnreachable,
      formerLife: former,
    };
  }
}
