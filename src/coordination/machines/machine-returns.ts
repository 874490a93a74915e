/**
 * Gives machines back to the cloud. Owns which machines are being returned and which the cloud has taken back.
 *
 * A machine is marked in the registry before the request may leave, its tasks are stopped with time to save, and only then is
 * the request sent, again and again until the cloud confirms it.
 */
import type { Context } from "../context.js";
import { CallPriority, type CloudReply } from "../effects.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { BootingMachine } from "./capacity-offers.js";
import { saveTimeS, type Worker } from "./worker-state.js";

/** The return of one machine, until the cloud confirms it. */
interface PendingReturn {
  sent: boolean;
  retryMs: number;
}

/** PROTOCOL: most machines of one return; the rest go with the next, at the pace of the cloud's limit. */
const MAX_RETURNED_AT_ONCE = 100;
/** A return that failed is sent again after this time. */
const RETURN_RETRY_MS = 2_000;

/** The returns of one partition leader. */
export class MachineReturns {
  private readonly pending = new Map<string, PendingReturn>();
  /** When the cloud confirmed each return: a list that lags may show the machine for a while. */
  private readonly returnedMs = new Map<string, number>();

  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    private readonly booting: Map<string, BootingMachine>,
  ) {}

  /** The cloud has said that it is gone. Names are never given twice: whatever still comes from it is late. */
  isReturned(id: string): boolean {
    return this.returnedMs.has(id);
  }

  /** Whether it is to go back or has gone. */
  isReturningOrReturned(id: string): boolean {
    return this.pending.has(id) || this.returnedMs.has(id);
  }

  /** Forgets returns that were confirmed longer ago than this. */
  forgetOlderThan(ageMs: number): void {
    for (const [id, returnedMs] of this.returnedMs)
      if (this.context.nowMs - returnedMs > ageMs) this.returnedMs.delete(id);
  }

  /** Returns a machine that has reported. */
  returnWorker(worker: Worker, reason: string): void {
    worker.isReturning = true;
    this.returnMachine(worker.id, worker.typeName, reason);
  }

  /** Returns a machine that may never have reported. Does nothing if it is being returned already. */
  returnMachine(id: string, type: string, reason: string): void {
    if (this.pending.has(id)) return;
    this.context.log("scaling in", { worker: id, type, reason });
    this.pending.set(id, { retryMs: 0, sent: false });
    this.booting.delete(id);
    // Marked before the request can leave: a return that is carried out late must find the machine unused.
    this.state.registry.set(id, { isReturning: true, type });
  }

  /** Sends the returns that are due and stops the tasks that hold others up. */
  send(): void {
    const ids: string[] = [];
    for (const [id, pendingReturn] of this.pending) {
      if (ids.length >= MAX_RETURNED_AT_ONCE) break;
      if (!this.isDue(id, pendingReturn) || this.stopTasks(id)) continue;
      ids.push(id);
      pendingReturn.sent = true;
    }
    if (ids.length === 0) return;
    this.context.callCloud(
      { op: "return", machines: ids },
      CallPriority.Background,
      (reply) => this.onReply(ids, reply),
    );
  }

  private isDue(id: string, { sent, retryMs }: PendingReturn): boolean {
    return (
      !sent &&
      this.context.nowMs >= retryMs &&
      this.state.registry.isReturnWritten(id)
    );
  }

  /** Stops the tasks of a machine that can be reached, with time to save; returns whether there were any. */
  private stopTasks(id: string): boolean {
    const worker = this.state.workers.get(id);
    if (!worker || worker.leaseExpired || worker.tasks.size === 0) return false;
    for (const task of worker.tasks.values())
      this.state.stop(task, saveTimeS(task), "machine goes back");
    return true;
  }

  private onReply(ids: readonly string[], reply: CloudReply): void {
    if (reply.kind === "returned") this.noteReturned(ids);
    else this.retry(ids);
  }

  private noteReturned(ids: readonly string[]): void {
    for (const id of ids) {
      this.pending.delete(id);
      this.returnedMs.set(id, this.context.nowMs);
    }
    this.state.removeMachines(ids);
  }

  private retry(ids: readonly string[]): void {
    for (const id of ids) {
      const pendingReturn = this.pending.get(id);
      if (!pendingReturn) continue;
      pendingReturn.sent = false;
      pendingReturn.retryMs = this.context.nowMs + RETURN_RETRY_MS;
    }
  }
}
