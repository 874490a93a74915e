/**
 * Direct status queries to machines whose heartbeats look stale but may not be: after a restart, a machine begins with a lower
 * incarnation and sequence than it had reached before. Each `Worker` records whether a query is in flight.
 */

import type { Context } from "../context.js";
import type { TokenMessage } from "../effects.js";
import type { Heartbeat } from "../model.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { DeliveryTracker } from "./delivery-tracker.js";
import type { Reconciliation } from "./reconciliation.js";
import type { Worker } from "./worker-state.js";

/** Finds out by a status query whether a machine restarted. If it did, the tasks that ran there have ended. */
export class MachineInspection {
  /** Machines to be fenced, in these incarnations, once the store has reached a revision that serves as their token. */
  private readonly awaitingToken = new Map<Worker, number>();

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly deliveries: DeliveryTracker,
    private readonly reconciliation: Reconciliation,
  ) {}

  /**
   * Queries the status of a machine. The status is made after the query. If it is nevertheless older than the known state by its
   * incarnation and sequence, the worker process or the whole machine has restarted, and every task that ran there has ended.
   */
  inspect(worker: Worker): void {
    this.query(worker);
  }

  /**
   * Handles a heartbeat that is old, or comes from a machine that restarted and has forgotten the tokens that it had seen. Invariant
   * (ran_twice, ran_cancelled): such a machine carries out every copy of a start from before its restart, so it is shown at once a
   * token above those of all starts, by a status query whose reply tells which of both it is. A machine that did not restart
   * merely sees a higher token. Not limited in number: each such heartbeat may be the first since a restart.
   */
  fence(worker: Worker, incarnation: number): void {
    const token = this.state.fencingTokens.tokenAboveStarts(worker);
    if (token === null) {
      this.awaitingToken.set(worker, incarnation);
      return;
    }
    this.awaitingToken.delete(worker);
    this.ctx.log("fencing a machine that may have restarted", {
      worker: worker.id,
      incarnation,
      token,
    });
    this.query(worker, { token, incarnation });
  }

  /** Fences the machines for which there was no token yet. */
  tick(): void {
    if (!this.state.mayAct()) return;
    for (const [worker, incarnation] of [...this.awaitingToken])
      if (this.state.workers.get(worker.id) === worker)
        this.fence(worker, incarnation);
      else this.awaitingToken.delete(worker);
  }

  private query(worker: Worker, fence?: TokenMessage): void {
    const queriedMs = this.ctx.nowMs;
    worker.delivery.isInspecting = true;
    worker.delivery.lastInspectedMs = queriedMs;
    this.ctx.inspect(
      worker.address,
      (status) => {
        worker.delivery.isInspecting = false;
        if (!status || !this.isCurrent(worker, status)) return;
        this.onStatus(worker, status, queriedMs);
      },
      fence,
    );
  }

  /** Whether the answer came from this worker, and this leader is still responsible for it. */
  private isCurrent(worker: Worker, status: Heartbeat): boolean {
    return (
      status.worker === worker.id &&
      this.state.workers.get(worker.id) === worker &&
      this.state.mayAct()
    );
  }

  private onStatus(worker: Worker, status: Heartbeat, queriedMs: number): void {
    this.deliveries.noteAnswered(worker);
    if (worker.lastStatusMs > queriedMs) return;
    const isNewerSinceRestart =
      this.deliveries.isAmbiguous(worker, status) &&
      status.sequence > worker.sequence;
    if (isNewerSinceRestart) this.applyStatus(worker, status);
    else if (
      !mayMissLaterStart(worker, queriedMs) &&
      this.deliveries.isStale(worker, status)
    )
      this.onRestart(worker, status);
  }

  /**
   * Applies a status from after the restart. A heartbeat with the same incarnation and sequence would have been ambiguous, but
   * the answer to a query is known to be current.
   */
  private applyStatus(worker: Worker, status: Heartbeat): void {
    if (status.incarnation > worker.incarnation)
      this.state.startIncarnation(worker, status.incarnation);
    worker.sequence = status.sequence;
    worker.token = Math.max(worker.token, status.token);
    worker.commandFence.noteShownToken(worker.token);
    worker.lastStatusMs = this.ctx.nowMs;
    this.takeTasks(worker, status);
  }

  private onRestart(worker: Worker, status: Heartbeat): void {
    this.ctx.log("machine restarted", {
      worker: worker.id,
      known: [worker.incarnation, worker.sequence],
      now: [status.incarnation, status.sequence],
      tasks: worker.tasks.size,
    });
    this.deliveries.noteRestart(worker);
    this.resetWorker(worker, status);
    this.state.noteRestart(worker);
    this.state.registerUnlessReturning(worker);
    this.takeTasks(worker, status);
    this.state.needsScheduling = true;
  }

  /** Takes over the tasks that a status shows. What is not to run there is stopped without waiting for the next heartbeat. */
  private takeTasks(worker: Worker, status: Heartbeat): void {
    this.reconciliation.reconcile(worker, status.tasks, false);
    this.state.noteIdle(worker);
    if (worker.unconfirmedTasks.size > 0)
      this.state.workersWithPendingCommands.add(worker);
  }

  private resetWorker(worker: Worker, status: Heartbeat): void {
    worker.images.clear();
    worker.incarnation = status.incarnation;
    worker.sequence = status.sequence;
    worker.token = status.token;
    worker.commandFence.noteShownToken(status.token);
    worker.leaseExpired = false;
    worker.lastAnsweredMs = this.ctx.nowMs;
    worker.lastStatusMs = this.ctx.nowMs;
  }
}

/**
 * Whether the machine may have carried out a start that this status does not show: one that is in flight, or that ended since the
 * query and so may have been carried out after the status was made.
 */
function mayMissLaterStart(worker: Worker, queriedMs: number): boolean {
  return worker.commandInFlight || worker.delivery.lastCommandMs >= queriedMs;
}
