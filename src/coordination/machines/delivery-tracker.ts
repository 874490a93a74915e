/**
 * Judges heartbeats: which are older than what is known, and what they say of whether a machine receives answers and
 * commands. Its state is the `DeliveryState` of each worker.
 */

import type { Context } from "../context.js";
import type { Heartbeat } from "../model.js";
import { newDeliveryState, type Worker } from "./worker-state.js";

/** Heartbeats in a row that may contradict delivery before a machine counts as unreachable; any network may lose one answer. */
const MAX_MISSED = 2;
/** How long the incarnations and sequences of a machine's former life are distinguished from those of its present one, in leases. */
const FORMER_LIFE_LEASES = 10;
/** Sequences rise with heartbeats, at most two a second, and with commands: so many more are believed. */
const SEQUENCE_SLACK = 5;
const SEQUENCES_PER_S = 2.2;
/** Status queries to one machine follow each other no faster than this. */
const INSPECT_INTERVAL_MS = 2_000;
/** Interval between status queries to a machine that counts as unreachable. */
const PROBE_INTERVAL_MS = 10_000;

/**
 * Heartbeats arrive late, doubled and out of order, from seconds to several leases after they were made, and a machine
 * whose heartbeats arrive may receive neither answers nor commands. docs/design.md has the table of what a heartbeat may
 * establish.
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
   * A heartbeat that is no newer than what is known, or that a former life of the machine sent. Invariant (ran_twice): the
   * highest token that a worker has seen never falls within its life, whatever its incarnation: a heartbeat with a lower one
   * than it has shown is older or of another life, and what it does not list may run there.
   */
  isStale(worker: Worker, heartbeat: Heartbeat): boolean {
    if (
      heartbeat.token < worker.token ||
      heartbeat.incarnation < worker.incarnation ||
      (heartbeat.incarnation === worker.incarnation &&
        (heartbeat.sequence <= worker.sequence || worker.leaseExpired))
    )
      return true;
    const { formerLife: former, incarnationSinceMs: incarnationMs } =
      worker.delivery;
    if (!former || this.ctx.nowMs > former.untilMs) return false;
    // It restarted a while ago: incarnations take a lease each, sequences a while. What is beyond that its former life had.
    if (
      (heartbeat.incarnation - worker.incarnation) * this.leaseMs >
      this.ctx.nowMs - incarnationMs + this.leaseMs / 2
    )
      return true;
    return heartbeat.sequence > this.maxSequence(worker);
  }

  /**
   * A heartbeat that the machine's former life may have sent as well as its present one: both had this incarnation and
   * sequence. It says that something is there, and nothing of what is on it; for that the machine itself is queried.
   */
  isAmbiguous(worker: Worker, heartbeat: Heartbeat): boolean {
    const { formerLife: former } = worker.delivery;
    return (
      former !== null &&
      this.ctx.nowMs < former.untilMs &&
      !worker.leaseExpired &&
      heartbeat.token >= worker.token &&
      heartbeat.incarnation >= worker.incarnation &&
      heartbeat.incarnation <= former.incarnation &&
      heartbeat.sequence <= former.sequence
    );
  }

  /**
   * Whether to query the status of a machine: nothing new was heard of it for longer than heartbeats and retries take, and
   * yet something comes. Without `mustBeQuiet` it may have been heard a moment ago.
   */
  mayInspect(worker: Worker, mustBeQuiet = true): boolean {
    const quietMs = (this.ctx.settings.reportS * 1.25 + 1) * 1000;
    return (
      !worker.delivery.inspecting &&
      (!mustBeQuiet || this.ctx.nowMs - worker.lastHeardMs > quietMs) &&
      this.ctx.nowMs - worker.delivery.lastInspectedMs > INSPECT_INTERVAL_MS
    );
  }

  /** Whether it is time to query a machine that does not receive, to see if it does again. */
  mayProbe(worker: Worker): boolean {
    return (
      worker.delivery.unreachableSinceMs !== null &&
      !worker.delivery.inspecting &&
      this.ctx.nowMs - worker.delivery.lastInspectedMs > PROBE_INTERVAL_MS
    );
  }

  /** Notes what a heartbeat that is news says of delivery, before the rest of it is looked at. */
  noteHeartbeat(
    worker: Worker,
    heartbeat: Heartbeat,
    isNewIncarnation: boolean,
  ): void {
    if (isNewIncarnation) {
      this.noteNewIncarnation(worker);
      return;
    }
    this.noteToken(worker, heartbeat);
    if (this.hasRenewedLease(worker))
      this.markReachable(worker, "its lease goes on");
  }

  /** A worker whose lease expired although a heartbeat of it was answered within the last half of one receives no answers. */
  private noteNewIncarnation(worker: Worker): void {
    worker.delivery.incarnationSinceMs = this.ctx.nowMs;
    const wasAnswered =
      !worker.leaseExpired &&
      this.ctx.nowMs - worker.lastAnsweredMs < this.leaseMs / 2;
    if (wasAnswered)
      this.markUnreachable(
        worker,
        "its lease ended although its reports are answered",
      );
  }

  private noteToken(worker: Worker, heartbeat: Heartbeat): void {
    const { delivery } = worker;
    if (heartbeat.token === this.token) {
      if (worker.token === this.token) delivery.isProven = true;
      else this.markReachable(worker, "it has seen this master's token");
      return;
    }
    // Answered several times under this token, and it still has not seen it.
    if (worker.token < this.token && ++delivery.missed > MAX_MISSED)
      this.markUnreachable(worker, "it does not see this master's token");
  }

  /** An unreachable worker of the same incarnation for longer than a lease must have received an answer. */
  private hasRenewedLease(worker: Worker): boolean {
    const { unreachableSinceMs, incarnationSinceMs } = worker.delivery;
    if (unreachableSinceMs === null) return false;
    const sinceMs = Math.max(unreachableSinceMs, incarnationSinceMs);
    return this.ctx.nowMs - sinceMs > this.leaseMs * 1.1 + 1_000;
  }

  /** What a heartbeat shows of the starts that answers before it contained: some that should be there are not, or all are. */
  noteCommands(worker: Worker, missing: boolean, shown: boolean): void {
    if (shown) this.markReachable(worker, "it has carried out an order");
    else if (missing && ++worker.delivery.missed > MAX_MISSED)
      this.markUnreachable(
        worker,
        "it does not carry out what answers to it say",
      );
  }

  /** A command or a status query was answered by the machine itself. */
  noteAnswered(worker: Worker): void {
    if (worker.delivery.timesUnreachable <= 1)
      this.markReachable(worker, "it answers");
  }

  private markUnreachable(worker: Worker, why: string): void {
    const { delivery } = worker;
    delivery.missed = 0;
    if (delivery.unreachableSinceMs !== null) return;
    delivery.unreachableSinceMs = this.ctx.nowMs;
    delivery.timesUnreachable++;
    this.ctx.log("machine unreachable", {
      worker: worker.id,
      reason: why,
      occurrences: delivery.timesUnreachable,
      tasks: worker.tasks.size,
    });
  }

  private markReachable(worker: Worker, why: string): void {
    const { delivery } = worker;
    delivery.isProven = true;
    delivery.missed = 0;
    if (delivery.unreachableSinceMs === null) return;
    this.ctx.log("machine reachable again", {
      worker: worker.id,
      reason: why,
      afterMs: Math.round(this.ctx.nowMs - delivery.unreachableSinceMs),
    });
    delivery.unreachableSinceMs = null;
  }

  /** The highest sequence that the present life of a worker may have reached by now. */
  private maxSequence(worker: Worker): number {
    const quietS = (this.ctx.nowMs - worker.lastHeardMs) / 1000;
    return worker.sequence + SEQUENCE_SLACK + quietS * SEQUENCES_PER_S;
  }

  /** Its answer to a status query is of a later life than what is known. */
  noteRestart(worker: Worker): void {
    const earlier = worker.delivery.formerLife;
    const former = {
      incarnation: Math.max(worker.incarnation, earlier?.incarnation ?? 0),
      sequence: Math.max(this.maxSequence(worker), earlier?.sequence ?? 0),
      untilMs: this.ctx.nowMs + FORMER_LIFE_LEASES * this.leaseMs,
    };
    worker.delivery = {
      ...newDeliveryState(true, this.ctx.nowMs),
      lastInspectedMs: worker.delivery.lastInspectedMs,
      timesUnreachable: worker.delivery.timesUnreachable,
      formerLife: former,
    };
  }
}
