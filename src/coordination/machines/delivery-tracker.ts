/**
 * Detects stale heartbeats, and derives from heartbeats whether a machine receives answers and commands. Keeps its state in the
 * `DeliveryState` of each worker.
 */

import type { Context } from "../context.js";
import type { Heartbeat } from "../model.js";
import { newDeliveryState, type Worker } from "./worker-state.js";

/**
 * A machine counts as unreachable after more than this many consecutive heartbeats that show no effect of the answers sent to it.
 * Any network may lose a single answer.
 */
const MAX_CONSECUTIVE_MISSES = 2;
/** How long, in leases, late heartbeats from before a machine's restart are told apart from new ones. */
const PREVIOUS_LIFETIME_LEASES = 10;
/**
 * Together these bound how far a worker's sequence can have risen since its last accepted heartbeat. It rises with each
 * heartbeat, at most two a second, and with each message of commands.
 */
const SEQUENCE_SLACK = 5;
const SEQUENCES_PER_S = 2.2;
/** Minimum interval between status queries to one machine. */
const INSPECT_INTERVAL_MS = 2_000;
/** Interval between status queries to a machine that counts as unreachable. */
const PROBE_INTERVAL_MS = 10_000;

/**
 * Heartbeats may arrive late, duplicated and out of order, seconds to several leases after they were made. A machine whose
 * heartbeats arrive may still receive neither answers nor commands. The table in docs/design.md lists what a heartbeat may
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
   * Whether a heartbeat is no newer than the last one accepted, or was sent before the machine restarted. Invariant (ran_twice):
   * the highest token that a worker has seen never decreases until it restarts, across all its incarnations. A heartbeat with a
   * lower token than the worker has already shown is therefore older or from before a restart, and tasks that it does not list
   * may be running there.
   */
  isStale(worker: Worker, heartbeat: Heartbeat): boolean {
    if (
      heartbeat.token < worker.token ||
      heartbeat.incarnation < worker.incarnation ||
      (heartbeat.incarnation === worker.incarnation &&
        (heartbeat.sequence <= worker.sequence || worker.leaseExpired))
    )
      return true;
    const { previousLifetime: previous, incarnationSinceMs: incarnationMs } =
      worker.delivery;
    if (!previous || this.ctx.nowMs > previous.untilMs) return false;
    // After a restart, each new incarnation takes a lease, and sequences rise slowly. Values higher than could have been reached
    // since then come from before the restart.
    if (
      (heartbeat.incarnation - worker.incarnation) * this.leaseMs >
      this.ctx.nowMs - incarnationMs + this.leaseMs / 2
    )
      return true;
    return heartbeat.sequence > this.maxPossibleSequence(worker);
  }

  /**
   * Whether a heartbeat may have been sent before or after the machine's restart, because its incarnation and sequence are
   * possible for both. It shows that the machine exists but not which tasks it has; for that the machine is queried directly.
   */
  isAmbiguous(worker: Worker, heartbeat: Heartbeat): boolean {
    const { previousLifetime: previous } = worker.delivery;
    return (
      previous !== null &&
      this.ctx.nowMs < previous.untilMs &&
      !worker.leaseExpired &&
      heartbeat.token >= worker.token &&
      heartbeat.incarnation >= worker.incarnation &&
      heartbeat.incarnation <= previous.incarnation &&
      heartbeat.sequence <= previous.sequence
    );
  }

  /**
   * Whether a stale heartbeat, if it is not an old one, comes from a machine that restarted and no longer knows the tokens that it
   * had seen, so that it carries out copies of starts from before.
   */
  mayHaveForgottenTokens(worker: Worker, heartbeat: Heartbeat): boolean {
    return (
      heartbeat.token < Math.max(worker.token, this.token) &&
      !worker.commandFence.refusesAllStarts(heartbeat.token)
    );
  }

  /**
   * Whether to query the status of a machine whose latest heartbeat was not accepted. With `mustBeSilent`, only if none has been
   * accepted for longer than a heartbeat interval and its retries take.
   */
  mayInspect(worker: Worker, mustBeSilent = true): boolean {
    const maxSilenceMs = (this.ctx.settings.reportS * 1.25 + 1) * 1000;
    return (
      !worker.delivery.isInspecting &&
      (!mustBeSilent || this.ctx.nowMs - worker.lastStatusMs > maxSilenceMs) &&
      this.ctx.nowMs - worker.delivery.lastInspectedMs > INSPECT_INTERVAL_MS
    );
  }

  /** Whether an unreachable machine is due for a status query, which shows whether it is reachable again. */
  mayProbe(worker: Worker): boolean {
    return (
      worker.delivery.unreachableSinceMs !== null &&
      !worker.delivery.isInspecting &&
      this.ctx.nowMs - worker.delivery.lastInspectedMs > PROBE_INTERVAL_MS
    );
  }

  /** Updates the delivery state from an accepted heartbeat, before the rest of the heartbeat is processed. */
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
      this.markReachable(worker, "its lease was renewed");
  }

  /**
   * A worker begins a new incarnation when its lease expires. If one of its heartbeats was answered less than half a lease ago,
   * it cannot have received that answer.
   */
  private noteNewIncarnation(worker: Worker): void {
    worker.delivery.incarnationSinceMs = this.ctx.nowMs;
    const wasAnswered =
      !worker.leaseExpired &&
      this.ctx.nowMs - worker.lastAnsweredMs < this.leaseMs / 2;
    if (wasAnswered)
      this.markUnreachable(
        worker,
        "its lease expired although its heartbeats are answered",
      );
  }

  private noteToken(worker: Worker, heartbeat: Heartbeat): void {
    const { delivery, commandFence } = worker;
    if (commandFence.hasIssued(heartbeat.token)) {
      if (commandFence.hasIssued(worker.token)) delivery.isProven = true;
      else this.markReachable(worker, "it has seen this leader's token");
      return;
    }
    // Its heartbeats were answered under this token several times, yet it still reports a lower one.
    if (
      worker.token < this.token &&
      ++delivery.consecutiveMisses > MAX_CONSECUTIVE_MISSES
    )
      this.markUnreachable(worker, "it does not receive this leader's token");
  }

  /** An unreachable worker that keeps its incarnation for longer than a lease must have received an answer. */
  private hasRenewedLease(worker: Worker): boolean {
    const { unreachableSinceMs, incarnationSinceMs } = worker.delivery;
    if (unreachableSinceMs === null) return false;
    const sinceMs = Math.max(unreachableSinceMs, incarnationSinceMs);
    return this.ctx.nowMs - sinceMs > this.leaseMs * 1.1 + 1_000;
  }

  /** Updates the delivery state from what a heartbeat shows about the starts contained in earlier answers. */
  noteStartEvidence(
    worker: Worker,
    isStartMissing: boolean,
    isStartCarriedOut: boolean,
  ): void {
    if (isStartCarriedOut)
      this.markReachable(worker, "it has carried out a start");
    else if (
      isStartMissing &&
      ++worker.delivery.consecutiveMisses > MAX_CONSECUTIVE_MISSES
    )
      this.markUnreachable(
        worker,
        "it does not carry out the starts sent to it",
      );
  }

  /** The machine answered a direct command or status query. */
  noteAnswered(worker: Worker): void {
    if (worker.delivery.timesUnreachable <= 1)
      this.markReachable(worker, "it answers directly");
  }

  private markUnreachable(worker: Worker, reason: string): void {
    const { delivery } = worker;
    delivery.consecutiveMisses = 0;
    if (delivery.unreachableSinceMs !== null) return;
    delivery.unreachableSinceMs = this.ctx.nowMs;
    delivery.timesUnreachable++;
    this.ctx.log("machine unreachable", {
      worker: worker.id,
      reason,
      occurrences: delivery.timesUnreachable,
      tasks: worker.tasks.size,
    });
  }

  private markReachable(worker: Worker, reason: string): void {
    const { delivery } = worker;
    delivery.isProven = true;
    delivery.consecutiveMisses = 0;
    if (delivery.unreachableSinceMs === null) return;
    this.ctx.log("machine reachable again", {
      worker: worker.id,
      reason,
      afterMs: Math.round(this.ctx.nowMs - delivery.unreachableSinceMs),
    });
    delivery.unreachableSinceMs = null;
  }

  /** The highest sequence that the worker can have reached by now if it has not restarted. */
  private maxPossibleSequence(worker: Worker): number {
    const silentS = (this.ctx.nowMs - worker.lastStatusMs) / 1000;
    return worker.sequence + SEQUENCE_SLACK + silentS * SEQUENCES_PER_S;
  }

  /** The worker's answer to a status query shows that it restarted since its last accepted heartbeat. */
  noteRestart(worker: Worker): void {
    const earlier = worker.delivery.previousLifetime;
    const previousLifetime = {
      incarnation: Math.max(worker.incarnation, earlier?.incarnation ?? 0),
      sequence: Math.max(
        this.maxPossibleSequence(worker),
        earlier?.sequence ?? 0,
      ),
      untilMs: this.ctx.nowMs + PREVIOUS_LIFETIME_LEASES * this.leaseMs,
    };
    worker.delivery = {
      ...newDeliveryState(true, this.ctx.nowMs),
      lastInspectedMs: worker.delivery.lastInspectedMs,
      timesUnreachable: worker.delivery.timesUnreachable,
      previousLifetime,
    };
  }
}
