/**
 * The autoscaler of a partition. Decides from use, heartbeats and the cloud's machine list which machines are returned to the
 * cloud, and drives scale-out, machine returns, warm capacity and the polling of the list.
 */
import { type Context, CLOCK_DRIFT_FACTOR } from "../context.js";
import type { JobSpec, ListedMachine } from "../model.js";
import type { QuotaAllocator } from "../quota/index.js";
import {
  capacityOf,
  fits,
  isAllowedOn,
  isSuitable,
} from "../scheduling/placement.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import { machineTypeOf } from "./capacity-offers.js";
import { type MachineList, MachineListPoller } from "./machine-list-poller.js";
import { MachineReturns } from "./machine-returns.js";
import { memoizeByOffer } from "./memoize-by-offer.js";
import { ScaleOut } from "./scale-out.js";
import { WarmCapacityTracker } from "./warm-capacity.js";
import type { Worker } from "./worker-state.js";

/** Assumed boot time of a type that the catalog lacks. */
const DEFAULT_BOOT_S = 60;
/** Time that a new machine has after its boot to send its first heartbeat. */
const FIRST_HEARTBEAT_GRACE_MS = 5_000;
/** How long beyond its lag the list may omit a booting machine before that machine is forgotten. */
const UNLISTED_BOOTING_GRACE_MS = 30_000;
/** How long beyond its lag the list may omit a machine with an expired lease before that machine is returned. */
const UNLISTED_EXPIRED_GRACE_MS = 60_000;
/** How long returned machines are remembered: late copies of heartbeats may arrive well over a lease after they were made. */
const RETURNED_RETENTION_MS = 900_000;
/** The list's actual lag may be this many times the configured one. */
const LIST_LAG_FACTOR = 2;

/** Rents the machines that a partition's waiting work needs, and returns those that are not needed or do not work. */
export class Autoscaler {
  readonly scaleOut: ScaleOut;
  private readonly returns: MachineReturns;
  private readonly warmCapacity: WarmCapacityTracker;
  private readonly listPoller: MachineListPoller;

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    quota: QuotaAllocator,
  ) {
    this.scaleOut = new ScaleOut(ctx, state, quota, () => this.zones());
    this.returns = new MachineReturns(ctx, state, this.scaleOut.booting);
    this.warmCapacity = new WarmCapacityTracker(ctx, state);
    this.listPoller = new MachineListPoller(
      ctx,
      state.partition,
      (list, startedMs) => this.onList(list, startedMs),
    );
  }

  /** Does nothing until the catalog of machine types has been read. */
  tick(): void {
    if (!this.ctx.catalog) return;
    this.listPoller.tick();
    this.warmCapacity.noteUse();
    this.returnUnneeded();
    this.returns.sendDue();
    this.scaleOut.tick(() => this.warmCapacity.capacityToKeepFree());
  }

  /** Handles the first heartbeat of a machine under this leader. */
  onMachineUp(worker: Worker): void {
    const isRented = this.scaleOut.booting.delete(worker.id);
    if (!isRented) this.warmCapacity.noteFoundMachine(worker.typeName);
    if (worker.isReturning)
      this.returnWorker(worker, "marked for return by a former leader");
  }

  /** Remembers the requirements of the job's class, for the warm capacity. */
  noteJob(spec: JobSpec): void {
    this.warmCapacity.noteJob(spec);
  }

  /** Whether the cloud has confirmed the machine's return, so that later messages from it are late. */
  isReturned(id: string): boolean {
    return this.returns.isReturned(id);
  }

  /** Returns a machine that has sent a heartbeat. `reason` is logged. */
  returnWorker(worker: Worker, reason: string): void {
    this.returns.returnWorker(worker, reason);
  }

  /** Returns a machine that may never have sent a heartbeat. `reason` is logged. */
  returnMachine(id: string, type: string, reason: string): void {
    this.returns.returnMachine(id, type, reason);
  }

  /** Zones of this partition in which the catalog offers machines, sorted. */
  private zones(): string[] {
    const zones = new Set<string>();
    for (const machineType of this.ctx.catalog ?? [])
      for (const zone of machineType.zones)
        if (this.ctx.partitions.partitionOf(zone) === this.state.partition)
          zones.add(zone);
    return [...zones].sort();
  }

  private bootS(type: string): number {
    return machineTypeOf(this.ctx, type)?.bootS ?? DEFAULT_BOOT_S;
  }

  // ---- machines that are not needed or do not work --------------------------------------------------------

  private returnUnneeded(): void {
    this.returnIdle();
    this.returnSilent();
    this.returnUnreachable();
    this.returnNeverUp();
  }

  /**
   * Returns machines that have been idle for too long and that no waiting job can use. If an objective expects jobs to start
   * sooner than such a machine boots, only the surplus over the recent peak use and the warm capacity is returned.
   */
  private returnIdle(): void {
    const isUsableByWaitingJob = memoizeByOffer((worker) =>
      this.isUsableByWaitingJob(worker),
    );
    const isWarmCapacity = memoizeByOffer((worker) =>
      this.warmCapacity.hasWaitObjectiveBelow(
        worker,
        this.bootS(worker.typeName),
      ),
    );
    const surplusByType = new Map<string, number>();
    for (const worker of this.returnableIdleWorkers()) {
      if (isUsableByWaitingJob(worker)) continue;
      if (isWarmCapacity(worker)) {
        const type = worker.typeName;
        const surplus =
          surplusByType.get(type) ?? this.warmCapacity.countSurplus(type);
        surplusByType.set(type, surplus - 1);
        if (surplus <= 0) continue;
      }
      this.returnWorker(worker, "idle");
    }
  }

  /** Machines that have been idle for about as long as booting another would take, the longest idle first. */
  private returnableIdleWorkers(): Worker[] {
    const { nowMs, tuning } = this.ctx;
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
  private isUsableByWaitingJob(worker: Worker): boolean {
    const { type, typeName, zone, spot } = worker;
    if (!type) return false;
    for (const job of this.state.jobs.values()) {
      const { spec } = job.view;
      if (
        !job.waiting.isEmpty &&
        isAllowedOn(spec, typeName, zone, spot) &&
        fits(spec, capacityOf(type)) &&
        isSuitable(spec, type, spot, this.ctx.catalog)
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

  /** Returns machines whose heartbeats arrive but that receive nothing, a few at a time. */
  private returnUnreachable(): void {
    const unreachable = this.state.unreachableMachines();
    const maxReplacements = this.state.maxConcurrentReplacements();
    for (const worker of unreachable.slice(0, maxReplacements)) {
      const sinceMs = worker.delivery.unreachableSinceMs;
      if (sinceMs !== null && this.isSilentReturnDue(sinceMs))
        this.returnWorker(worker, "receives no messages");
    }
  }

  private isSilentReturnDue(sinceMs: number): boolean {
    const { nowMs, tuning } = this.ctx;
    return nowMs - sinceMs > tuning.silentReturnS * 1000;
  }

  private returnNeverUp(): void {
    const { nowMs, tuning } = this.ctx;
    for (const [id, { type, rentedMs }] of this.scaleOut.booting) {
      const bootMs = this.bootS(type) * 1000;
      const maxBootMs = bootMs * tuning.bootPatience + FIRST_HEARTBEAT_GRACE_MS;
      if (nowMs - rentedMs > maxBootMs)
        this.returnMachine(id, type, "never came up");
    }
  }

  // ---- the cloud's list ------------------------------------------------------------------------------------

  private onList(list: MachineList, startedMs: number): void {
    const lagMs = this.ctx.settings.cloud.listLagS * 1000 * LIST_LAG_FACTOR;
    this.state.noteMachineList(list, startedMs - lagMs * CLOCK_DRIFT_FACTOR);
    for (const machine of list.values()) this.onListed(machine);
    this.returns.forgetOlderThan(2 * lagMs + RETURNED_RETENTION_MS);
    this.forgetUnlistedBooting(list, lagMs);
    this.returnUnlisted(list, lagMs);
  }

  private onListed(machine: ListedMachine): void {
    const { id, type, zone, spot, state, ageS } = machine;
    const { nowMs } = this.ctx;
    if (this.returns.isReturningOrReturned(id)) return;
    if (state === "failed") {
      this.returnMachine(id, type, "failed");
      return;
    }
    const { booting } = this.scaleOut;
    if (this.state.workers.has(id) || booting.has(id)) return;
    // Rented by a former leader, or by a request that was carried out late: used like any other machine once it is up.
    // If it is already running, it may be disconnected: it has as long as a new machine to send a heartbeat.
    const rentedMs = state === "starting" ? nowMs - ageS * 1000 : nowMs;
    booting.set(id, { type, zone, spot, rentedMs });
  }

  private forgetUnlistedBooting(list: MachineList, lagMs: number): void {
    const { booting } = this.scaleOut;
    const maxUnlistedMs = lagMs + UNLISTED_BOOTING_GRACE_MS;
    for (const [id, { rentedMs }] of booting)
      if (!list.has(id) && this.ctx.nowMs - rentedMs > maxUnlistedMs)
        booting.delete(id);
  }

  /** Returns machines that the cloud has taken away: their lease has expired and the list does not show them. */
  private returnUnlisted(list: MachineList, lagMs: number): void {
    const maxUnlistedMs = lagMs + UNLISTED_EXPIRED_GRACE_MS;
    for (const worker of this.state.workers.values())
      if (
        worker.leaseExpired &&
        !worker.isReturning &&
        !list.has(worker.id) &&
        this.ctx.nowMs - worker.lastAnsweredMs > maxUnlistedMs
      )
        this.returnWorker(worker, "gone");
  }
}
