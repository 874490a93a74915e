/**
 * Scale in: decides which machines of a partition go back to the cloud, from their use, their reports and the cloud's list.
 * Ties together the parts that follow machines: scale out, returns, warm capacity and the list.
 */
import { type Context, CLOCK_DRIFT_FACTOR } from "../context.js";
import type { JobSpec, ListedMachine } from "../model.js";
import type { QuotaAllocator } from "../quota/index.js";
import { fits, isAllowedOn, isSuitable } from "../scheduling/placement.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import { machineTypeOf } from "./capacity-offers.js";
import { type MachineList, MachineListPoller } from "./machine-list-poller.js";
import { MachineReturns } from "./machine-returns.js";
import { memoizeByOffer } from "./memoize-by-offer.js";
import { ScaleOut } from "./scale-out.js";
import { WarmCapacityTracker } from "./warm-capacity.js";
import type { Worker } from "./worker-state.js";

/** The boot time of a type that the catalog does not name. */
const UNKNOWN_BOOT_S = 60;
/** A new machine has this long beyond its boot to send its first report. */
const FIRST_REPORT_GRACE_MS = 5_000;
/** How much longer than its lag the list may leave out a machine that boots. */
const UNLISTED_BOOTING_GRACE_MS = 30_000;
/** How much longer than its lag the list may leave out a machine whose lease expired. */
const UNLISTED_EXPIRED_GRACE_MS = 60_000;
/** Late copies of reports come well over a lease after they were made. */
const RETURNED_MEMORY_MS = 900_000;
/** The list's lag may be this many times what the settings say. */
const LIST_LAG_FACTOR = 2;

/** The machines of one partition: rents what waiting work needs and returns what nothing needs. */
export class Autoscaler {
  readonly scaleOut: ScaleOut;
  private readonly returns: MachineReturns;
  private readonly warmCapacity: WarmCapacityTracker;
  private readonly listPoller: MachineListPoller;

  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    quota: QuotaAllocator,
  ) {
    this.scaleOut = new ScaleOut(context, state, quota, () => this.zones());
    this.returns = new MachineReturns(context, state, this.scaleOut.booting);
    this.warmCapacity = new WarmCapacityTracker(context, state);
    this.listPoller = new MachineListPoller(
      context,
      state.partition,
      (list, startedMs) => this.onList(list, startedMs),
    );
  }

  /** Does nothing before the catalog of machine types is known. */
  tick(): void {
    if (!this.context.catalog) return;
    this.listPoller.tick();
    this.warmCapacity.noteUse();
    this.returnUnneeded();
    this.returns.send();
    this.scaleOut.tick(() => this.warmCapacity.placesToKeepFree());
  }

  /** A machine reported for the first time under this leader. */
  onMachineUp(worker: Worker): void {
    const isRented = this.scaleOut.booting.delete(worker.id);
    if (!isRented) this.warmCapacity.noteFoundMachine(worker.typeName);
    if (worker.isReturning)
      this.returnWorker(worker, "marked for return by a former master");
  }

  /** Remembers what jobs of its class need, for the capacity that is kept free. */
  noteJob(spec: JobSpec): void {
    this.warmCapacity.noteJob(spec);
  }

  /** Whether the cloud has confirmed that the machine went back: whatever still comes from it is late. */
  isReturned(id: string): boolean {
    return this.returns.isReturned(id);
  }

  /** Returns a machine that has reported; `reason` goes to the log. */
  returnWorker(worker: Worker, reason: string): void {
    this.returns.returnWorker(worker, reason);
  }

  /** Returns a machine that may never have reported; `reason` goes to the log. */
  returnMachine(id: string, type: string, reason: string): void {
    this.returns.returnMachine(id, type, reason);
  }

  /** Zones of this partition where the cloud has machines, sorted. */
  private zones(): string[] {
    const zones = new Set<string>();
    for (const machineType of this.context.catalog ?? [])
      for (const zone of machineType.zones)
        if (this.context.partitions.partitionOf(zone) === this.state.partition)
          zones.add(zone);
    return [...zones].sort();
  }

  private bootS(type: string): number {
    return machineTypeOf(this.context, type)?.bootS ?? UNKNOWN_BOOT_S;
  }

  // ---- machines that nothing needs or that don't work -----------------------------------------------------

  private returnUnneeded(): void {
    this.returnIdle();
    this.returnSilent();
    this.returnUnreachable();
    this.returnNeverUp();
  }

  /**
   * Idle machines are justified in two ways: by the most that were in use at once of late, where some class is expected to
   * start sooner than such a machine boots; else for as long as booting another would take.
   */
  private returnIdle(): void {
    const isWanted = memoizeByOffer((worker) => this.isWanted(worker));
    const isExpected = memoizeByOffer((worker) =>
      this.warmCapacity.isExpectedSoonerThan(
        worker,
        this.bootS(worker.typeName),
      ),
    );
    const surplusByType = new Map<string, number>();
    for (const worker of this.longestIdleFirst()) {
      if (isWanted(worker)) continue;
      if (isExpected(worker)) {
        const type = worker.typeName;
        const surplus =
          surplusByType.get(type) ?? this.warmCapacity.countSurplus(type);
        surplusByType.set(type, surplus - 1);
        if (surplus <= 0) continue;
      }
      this.returnWorker(worker, "idle");
    }
  }

  /** Machines that have been idle for longer than booting another would take. */
  private longestIdleFirst(): Worker[] {
    const { nowMs, tuning } = this.context;
    const maxIdleMs = memoizeByOffer(
      ({ typeName }) =>
        Math.max(tuning.idleReturnS, this.bootS(typeName) * tuning.idleBoots) *
        1000,
    );
    const idle: { worker: Worker; sinceMs: number }[] = [];
    for (const worker of this.state.workers.values()) {
      const sinceMs = worker.idleSinceMs;
      if (worker.isReturning || worker.leaseExpired || sinceMs === null)
        continue;
      if (nowMs - sinceMs >= maxIdleMs(worker)) idle.push({ worker, sinceMs });
    }
    return idle
      .sort((a, b) => a.sinceMs - b.sinceMs)
      .map(({ worker }) => worker);
  }

  /** Whether some waiting task could use the machine. */
  private isWanted(worker: Worker): boolean {
    const { type, typeName, zone, spot } = worker;
    if (!type) return false;
    for (const job of this.state.jobs.values()) {
      const { spec } = job.view;
      if (
        !job.waiting.isEmpty &&
        isAllowedOn(spec, typeName, zone, spot) &&
        fits(spec, type) &&
        isSuitable(spec, type, spot, this.context.catalog)
      )
        return true;
    }
    return false;
  }

  private returnSilent(): void {
    for (const worker of this.state.workers.values())
      if (
        !worker.isReturning &&
        worker.leaseExpired &&
        this.isSilentReturnDue(worker.lastAnsweredMs)
      )
        this.returnWorker(worker, "silent for too long");
  }

  /** Machines that report but receive nothing, a few at a time. */
  private returnUnreachable(): void {
    const unreachable = this.state.unreachableMachines();
    const beingReplaced = this.state.maxConcurrentReplacements();
    for (const worker of unreachable.slice(0, beingReplaced)) {
      const sinceMs = worker.delivery.unreachableSinceMs;
      if (sinceMs !== null && this.isSilentReturnDue(sinceMs))
        this.returnWorker(worker, "does not receive");
    }
  }

  private isSilentReturnDue(sinceMs: number): boolean {
    const { nowMs, tuning } = this.context;
    return nowMs - sinceMs > tuning.silentReturnS * 1000;
  }

  private returnNeverUp(): void {
    const { nowMs, tuning } = this.context;
    for (const [id, { type, rentedMs }] of this.scaleOut.booting) {
      const bootMs = this.bootS(type) * 1000;
      const maxBootMs = bootMs * tuning.bootPatience + FIRST_REPORT_GRACE_MS;
      if (nowMs - rentedMs > maxBootMs)
        this.returnMachine(id, type, "never came up");
    }
  }

  // ---- the cloud's list ------------------------------------------------------------------------------------

  private onList(list: MachineList, startedMs: number): void {
    const lagMs = this.context.settings.cloud.listLagS * 1000 * LIST_LAG_FACTOR;
    this.state.noteMachineList(list, startedMs - lagMs * CLOCK_DRIFT_FACTOR);
    for (const machine of list.values()) this.onListed(machine);
    this.returns.forgetOlderThan(2 * lagMs + RETURNED_MEMORY_MS);
    this.forgetUnlistedBooting(list, lagMs);
    this.returnUnlisted(list, lagMs);
  }

  private onListed(machine: ListedMachine): void {
    const { id, type, zone, spot, state, ageS } = machine;
    const { nowMs } = this.context;
    if (this.returns.isReturningOrReturned(id)) return;
    if (state === "failed") {
      this.returnMachine(id, type, "failed");
      return;
    }
    const { booting } = this.scaleOut;
    if (this.state.workers.has(id) || booting.has(id)) return;
    // A rental of a former leader, or one carried out late: used like any other once it comes up.
    // One that runs already may be cut off: it has as long as a new one to send a report.
    const rentedMs = state === "starting" ? nowMs - ageS * 1000 : nowMs;
    booting.set(id, { type, zone, spot, rentedMs });
  }

  private forgetUnlistedBooting(list: MachineList, lagMs: number): void {
    const { booting } = this.scaleOut;
    const maxUnlistedMs = lagMs + UNLISTED_BOOTING_GRACE_MS;
    for (const [id, { rentedMs }] of booting)
      if (!list.has(id) && this.context.nowMs - rentedMs > maxUnlistedMs)
        booting.delete(id);
  }

  /** Machines that the cloud took: their lease expired and the list does not show them. */
  private returnUnlisted(list: MachineList, lagMs: number): void {
    const maxUnlistedMs = lagMs + UNLISTED_EXPIRED_GRACE_MS;
    for (const worker of this.state.workers.values())
      if (
        worker.leaseExpired &&
        !worker.isReturning &&
        !list.has(worker.id) &&
        this.context.nowMs - worker.lastAnsweredMs > maxUnlistedMs
      )
        this.returnWorker(worker, "gone");
  }
}
