/**
 * Returns machines to the cloud. Owns the sets of machines that are being returned and that the cloud has confirmed as returned.
 *
 * A machine is first marked in the registry, then its tasks are stopped with time to save a checkpoint, and only then is the
 * request sent. It is retried until the cloud confirms it.
 */
import type { Context } from "../context.js";
import { CallPriority, type CloudReply } from "../effects.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { BootingMachine } from "./capacity-offers.js";
import { saveTimeS, type Worker } from "./worker-state.js";

/** The return of one machine, until the cloud confirms it. */
interface PendingReturn {
  isSent: boolean;
  retryAtMs: number;
}

/** PROTOCOL: maximum number of machines per return request. Others follow in later requests, within the cloud's rate limit. */
const MAX_RETURNED_AT_ONCE = 100;
/** Delay before a failed return is sent again. */
const RETURN_RETRY_MS = 2_000;

/** The machine returns of one partition leader. */
export class MachineReturns {
  private readonly pending = new Map<string, PendingReturn>();
  /** When the cloud confirmed each return, by machine id. The cloud's list lags and may still show the machine for a while. */
  private readonly returnedAtMs = new Map<string, number>();

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly booting: Map<string, BootingMachine>,
  ) {}

  /** Whether the cloud has confirmed the return. Machine ids are never reused, so later messages from the machine are late. */
  isReturned(id: string): boolean {
    return this.returnedAtMs.has(id);
  }

  /** Whether the machine is being returned or has been returned. */
  isReturningOrReturned(id: string): boolean {
    return this.pending.has(id) || this.returnedAtMs.has(id);
  }

  /** Forgets returns that were confirmed longer ago than `ageMs`. */
  forgetOlderThan(ageMs: number): void {
    for (const [id, returnedMs] of this.returnedAtMs)
      if (this.ctx.nowMs - returnedMs > ageMs) this.returnedAtMs.delete(id);
  }

  /** Returns a machine that has sent a heartbeat. */
  returnWorker(worker: Worker, reason: string): void {
    worker.isReturning = true;
    this.returnMachine(worker.id, worker.typeName, reason);
  }

  /** Returns a machine that may never have sent a heartbeat. Does nothing if it is already being returned. */
  returnMachine(id: string, type: string, reason: string): void {
    if (this.pending.has(id)) return;
    this.ctx.log("scaling in", { worker: id, type, reason });
    this.pending.set(id, { retryAtMs: 0, isSent: false });
    this.booting.delete(id);
    // Marked before the request is sent: if the return is carried out late, no leader may be using the machine.
    this.state.registry.set(id, { isReturning: true, type });
  }

  /** Sends the returns that are due, and stops the tasks on machines whose return has to wait for them. */
  sendDue(): void {
    const ids: string[] = [];
    for (const [id, pendingReturn] of this.pending) {
      if (ids.length >= MAX_RETURNED_AT_ONCE) break;
      if (!this.isDue(id, pendingReturn) || this.stopTasks(id)) continue;
      ids.push(id);
      pendingReturn.isSent = true;
    }
    if (ids.length === 0) return;
    this.ctx.callCloud(
      { op: "return", machines: ids },
      CallPriority.Background,
      (reply) => this.onReply(ids, reply),
    );
  }

  private isDue(id: string, { isSent, retryAtMs }: PendingReturn): boolean {
    return (
      !isSent &&
      this.ctx.nowMs >= retryAtMs &&
      this.state.registry.isReturnWritten(id)
    );
  }

  /** Stops the tasks of a machine with a valid lease, with time to save a checkpoint. Returns whether there were any. */
  private stopTasks(id: string): boolean {
    const worker = this.state.workers.get(id);
    if (!worker || worker.leaseExpired || worker.tasks.size === 0) return false;
    for (const task of worker.tasks.values())
      this.state.stop(task, saveTimeS(task), "machine is being returned");
    return true;
  }

  private onReply(ids: readonly string[], reply: CloudReply): void {
    if (reply.kind === "returned") this.noteReturned(ids);
    else this.scheduleRetry(ids);
  }

  private noteReturned(ids: readonly string[]): void {
    for (const id of ids) {
      this.pending.delete(id);
      this.returnedAtMs.set(id, this.ctx.nowMs);
    }
    this.state.removeMachines(ids);
  }

  private scheduleRetry(ids: readonly string[]): void {
    for (const id of ids) {
      const pendingReturn = this.pending.get(id);
      if (!pendingReturn) continue;
      pendingReturn.isSent = false;
      pendingReturn.retryAtMs = this.ctx.nowMs + RETURN_RETRY_MS;
    }
  }
}
