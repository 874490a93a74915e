/**
 * Direct status queries to machines whose heartbeats only seem to be late copies: a machine that restarted begins with a
 * lower incarnation and sequence than its former life had reached. Whether a query is in flight is kept with each worker.
 */

import type { Context } from "../context.js";
import type { Heartbeat } from "../model.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { DeliveryTracker } from "./delivery-tracker.js";
import type { Reconciliation } from "./reconciliation.js";
import type { Worker } from "./worker-state.js";

/** Finds out by a status query whether a machine restarted, and releases what ran there if it did. */
export class MachineInspection {
  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly deliveries: DeliveryTracker,
    private readonly reconciliation: Reconciliation,
  ) {}

  /**
   * Queries the status of a machine. The answer is of a moment after the query: if it is older by incarnation and sequence
   * than what is known, the worker process or the whole machine has restarted, and all that ran there is gone.
   */
  inspect(worker: Worker): void {
    const askedMs = this.ctx.nowMs;
    worker.delivery.inspecting = true;
    worker.delivery.lastInspectedMs = askedMs;
    this.ctx.inspect(worker.address, (status) => {
      worker.delivery.inspecting = false;
      if (!status || !this.isCurrent(worker, status)) return;
      this.onStatus(worker, status, askedMs);
    });
  }

  /** Whether the answer came from this worker, and this leader still acts for it. */
  private isCurrent(worker: Worker, status: Heartbeat): boolean {
    return (
      status.worker === worker.id &&
      this.state.workers.get(worker.id) === worker &&
      this.state.mayAct()
    );
  }

  private onStatus(worker: Worker, status: Heartbeat, askedMs: number): void {
    this.deliveries.noteAnswered(worker);
    if (worker.lastHeardMs > askedMs) return;
    const isNewerInPresentLife =
      this.deliveries.isAmbiguous(worker, status) &&
      status.sequence > worker.sequence;
    if (isNewerInPresentLife) this.applyStatus(worker, status);
    else if (
      !mayHoldLaterStart(worker, status, askedMs) &&
      this.deliveries.isStale(worker, status)
    )
      this.onRestart(worker, status);
  }

  /** Takes over a status of the present life that a heartbeat with the same numbers could not have shown to be one. */
  private applyStatus(worker: Worker, status: Heartbeat): void {
    if (status.incarnation > worker.incarnation)
      this.state.startIncarnation(worker, status.incarnation);
    worker.sequence = status.sequence;
    worker.token = Math.max(worker.token, status.token);
    worker.lastHeardMs = this.ctx.nowMs;
    this.reconciliation.reconcile(worker, status.tasks, false);
    this.state.noteIdle(worker);
  }

  private onRestart(worker: Worker, status: Heartbeat): void {
    this.ctx.log("machine restarted", {
      worker: worker.id,
      known: [worker.incarnation, worker.sequence],
      now: [status.incarnation, status.sequence],
      tasks: worker.tasks.size,
    });
    this.deliveries.noteRestart(worker);
    this.state.releaseAll(worker, "machine restarted");
    this.resetWorker(worker, status);
    this.state.registerUnlessReturning(worker);
    this.reconciliation.reconcile(worker, status.tasks, false);
    this.state.noteIdle(worker);
    this.state.needsScheduling = true;
  }

  private resetWorker(worker: Worker, status: Heartbeat): void {
    worker.unansweredStarts.clear();
    worker.images.clear();
    worker.incarnation = status.incarnation;
    worker.sequence = status.sequence;
    worker.token = status.token;
    worker.leaseExpired = false;
    worker.lastAnsweredMs = this.ctx.nowMs;
    worker.lastHeardMs = this.ctx.nowMs;
  }
}

/**
 * A start on its way to the machine may still be carried out by its new life: until it is known what became of that, the
 * worker's lease counts. A start that was answered since the query may have been carried out after this status was made,
 * which then does not show it.
 */
function mayHoldLaterStart(
  worker: Worker,
  status: Heartbeat,
  askedMs: number,
): boolean {
  return (
    worker.commandInFlight ||
    worker.delivery.lastCommandMs >= askedMs ||
    (status.incarnation === worker.incarnation &&
      worker.unansweredStarts.size > 0)
  );
}
