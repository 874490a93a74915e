/**
 * Reserves capacity for gangs during a scheduling round. Owns the resources that are reserved on each machine for gangs
 * that are being assembled, from the beginning of a round to the beginning of the next.
 */
import type { ResourceUse } from "../machines/resource-ledger.js";
import { NO_USE } from "../machines/resource-ledger.js";
import type { Worker } from "../machines/worker-state.js";
import type { JobSpec } from "../model.js";
import type { PartitionState } from "./partition-state.js";
import { type FreeCapacity, subtractTask } from "./placement.js";

/** Safety factor on the estimates of tasks that may use a gang's slots: estimates are often too short by half. */
const BACKFILL_ESTIMATE_FACTOR = 1.6;

export class GangReservations {
  /** Capacity reserved for gangs that are being assembled. Tasks that end before the assembly may still use it. */
  private readonly reservedByWorker = new Map<Worker, FreeCapacity>();
  /** Expected seconds until the first of the gangs with reservations is assembled. */
  private soonestAssemblyS = Infinity;

  constructor(private readonly state: PartitionState) {}

  /** Drops all reservations at the beginning of a round. */
  clear(): void {
    this.state.workersReservedForGangs.clear();
    this.reservedByWorker.clear();
    this.soonestAssemblyS = Infinity;
  }

  /** Reserves capacity that a gang could already use, against all jobs behind it in this round and jobs of other partitions. */
  reserveFully(
    chosen: readonly Worker[],
    spec: JobSpec,
    free: ReadonlyMap<Worker, FreeCapacity>,
  ): void {
    for (const worker of chosen) {
      const freeHere = free.get(worker);
      if (freeHere) subtractTask(freeHere, spec);
      this.state.workersReservedForGangs.add(worker);
    }
  }

  /** The same for a gang that will be assembled in `assembledInS` seconds: tasks that end before then may backfill. */
  reserveForAssembly(
    chosen: readonly Worker[],
    spec: JobSpec,
    assembledInS: number,
  ): void {
    for (const worker of chosen) {
      const reserved = this.reservedByWorker.get(worker);
      this.reservedByWorker.set(worker, {
        cpus: (reserved?.cpus ?? 0) + spec.cpus,
        gpus: (reserved?.gpus ?? 0) + spec.gpus,
        memGb: (reserved?.memGb ?? 0) + spec.memGb,
        taskSlots: (reserved?.taskSlots ?? 0) + 1,
      });
      this.state.workersReservedForGangs.add(worker);
    }
    this.soonestAssemblyS = Math.min(this.soonestAssemblyS, assembledInS);
  }

  /** Reserves the quota that a gang needs, which small jobs of the team would otherwise use as soon as it is free. */
  reserveQuota(spec: JobSpec, used: Map<string, ResourceUse>): void {
    const teamUse = used.get(spec.team) ?? NO_USE;
    used.set(spec.team, {
      cpus: teamUse.cpus + spec.cpus * spec.tasks,
      gpus: teamUse.gpus + spec.gpus * spec.tasks,
    });
  }

  /** Whether a job's tasks are expected to end before any gang with reservations is assembled. */
  mayBackfill(spec: JobSpec): boolean {
    return (
      this.reservedByWorker.size > 0 &&
      spec.kind === "array" &&
      spec.estimateS > 0 &&
      spec.estimateS * BACKFILL_ESTIMATE_FACTOR < this.soonestAssemblyS
    );
  }

  /** The part of a machine's free capacity that a job may use. */
  availableTo(spec: JobSpec, worker: Worker, free: FreeCapacity): FreeCapacity {
    const reserved = this.reservedByWorker.get(worker);
    if (!reserved || this.mayBackfill(spec)) return free;
    return {
      cpus: free.cpus - reserved.cpus,
      gpus: free.gpus - reserved.gpus,
      memGb: free.memGb - reserved.memGb,
      taskSlots: free.taskSlots - reserved.taskSlots,
    };
  }
}
