/**
 * Capacity that is kept for gangs during a scheduling round. Owns what is reserved on each machine for gangs that are
 * being assembled, from the beginning of a round to the beginning of the next.
 */
import type { ResourceUse } from "../machines/resource-ledger.js";
import { NO_USE } from "../machines/resource-ledger.js";
import { subtract, type Worker } from "../machines/worker-state.js";
import type { JobSpec } from "../model.js";
import type { PartitionState } from "./partition-state.js";
import type { Resources } from "./placement.js";

/** What may use a gang's places until it has them all: estimates are often too short by half. */
const BACKFILL_ESTIMATE_FACTOR = 1.6;

export class GangReservations {
  /** For work that is done before the gang is assembled, this capacity is free. */
  private readonly reservedOn = new Map<Worker, Resources>();
  /** Seconds until a gang with reservations is assembled; the soonest of several. */
  private soonestAssemblyS = Infinity;

  constructor(private readonly partition: PartitionState) {}

  /** Drops all reservations: a round begins. */
  clear(): void {
    this.partition.reservedForGangs.clear();
    this.reservedOn.clear();
    this.soonestAssemblyS = Infinity;
  }

  /** Keeps capacity that a gang could use already from all jobs behind it in this round, and from other partitions' gangs. */
  reserveFully(
    chosen: readonly Worker[],
    spec: JobSpec,
    free: ReadonlyMap<Worker, Resources>,
  ): void {
    for (const worker of chosen) {
      const room = free.get(worker);
      if (room) subtract(room, spec);
      this.partition.reservedForGangs.add(worker);
    }
  }

  /** The same for a gang that is assembled in `assembledInS` seconds: work that is done before then may backfill. */
  reserveForAssembly(
    chosen: readonly Worker[],
    spec: JobSpec,
    assembledInS: number,
  ): void {
    for (const worker of chosen) {
      const kept = this.reservedOn.get(worker);
      this.reservedOn.set(worker, {
        cpus: (kept?.cpus ?? 0) + spec.cpus,
        gpus: (kept?.gpus ?? 0) + spec.gpus,
        memGb: (kept?.memGb ?? 0) + spec.memGb,
      });
      this.partition.reservedForGangs.add(worker);
    }
    this.soonestAssemblyS = Math.min(this.soonestAssemblyS, assembledInS);
  }

  /** Keeps a gang's share of its team's limit too: small jobs of the same team would take it as fast as it comes free. */
  reserveQuota(spec: JobSpec, used: Map<string, ResourceUse>): void {
    const teamUse = used.get(spec.team) ?? NO_USE;
    used.set(spec.team, {
      cpus: teamUse.cpus + spec.cpus * spec.tasks,
      gpus: teamUse.gpus + spec.gpus * spec.tasks,
    });
  }

  /** Whether a job's tasks are done before the gangs with reservations are assembled. */
  mayBackfill(spec: JobSpec): boolean {
    return (
      this.reservedOn.size > 0 &&
      spec.kind === "array" &&
      spec.estimateS > 0 &&
      spec.estimateS * BACKFILL_ESTIMATE_FACTOR < this.soonestAssemblyS
    );
  }

  /** What of a machine's free capacity a job may use. */
  availableTo(spec: JobSpec, worker: Worker, free: Resources): Resources {
    const kept = this.reservedOn.get(worker);
    if (!kept || this.mayBackfill(spec)) return free;
    return {
      cpus: free.cpus - kept.cpus,
      gpus: free.gpus - kept.gpus,
      memGb: free.memGb - kept.memGb,
    };
  }
}
