/**
 * Warm capacity: machines kept free for job classes that an objective expects to start sooner than a machine boots. Owns the last
 * job of each such class, and the recent peak of machines in use of each type.
 */
import type { Context } from "../context.js";
import type { JobSpec } from "../model.js";
import { capacityOf, fits, isAllowedOn } from "../scheduling/placement.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import { memoizeByOffer } from "./memoize-by-offer.js";
import type { WarmCapacity } from "./scale-out-planner.js";
import type { Worker } from "./worker-state.js";

/** The window over which peak use is remembered (`warmWindowS`) is divided into this many periods. */
const PEAK_PERIODS = 6;

/** Tracks a partition's peak use by machine type, and derives how many machines to keep free. */
export class WarmCapacityTracker {
  /** Peak number of machines in use at once in each of the last periods, the present one first, by machine type. */
  private readonly peaks = new Map<string, number[]>();
  private periodStartMs: number;
  private readonly objectiveClasses: ReadonlySet<string>;
  /** The last job of each class that an objective names. Machines are kept free for jobs like it. */
  private readonly classNeeds = new Map<string, JobSpec>();

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
  ) {
    this.periodStartMs = ctx.nowMs;
    this.objectiveClasses = new Set(
      ctx.settings.objectives.flatMap((objective) => objective.class ?? []),
    );
  }

  /** Remembers the requirements of the job's class, if an objective names the class. */
  noteJob(spec: JobSpec): void {
    if (this.objectiveClasses.has(spec.jobClass))
      this.classNeeds.set(spec.jobClass, spec);
  }

  /** Handles a running machine that this leader did not rent. Assumes that all present machines of its type were in use. */
  noteFoundMachine(type: string): void {
    this.notePeak(type, this.countMachines(type));
  }

  /** Updates the peaks with the number of machines of each type that have tasks now. */
  noteUse(): void {
    this.startPeriodIfDue();
    const busyByType = new Map<string, number>();
    for (const worker of this.state.workers.values())
      if (worker.tasks.size > 0)
        busyByType.set(
          worker.typeName,
          (busyByType.get(worker.typeName) ?? 0) + 1,
        );
    for (const [type, count] of busyByType) this.notePeak(type, count);
  }

  /** Whether an objective expects a class that this machine serves to start in less than `bootS` seconds. */
  hasWaitObjectiveBelow(worker: Worker, bootS: number): boolean {
    return this.ctx.settings.objectives.some(
      (objective) =>
        objective.kind === "wait" &&
        (objective.withinS ?? Infinity) < bootS &&
        this.serves(objective.class, worker),
    );
  }

  /** How many machines of a type there are beyond the recent peak use and those to keep free. */
  countSurplus(type: string): number {
    return (
      this.countMachines(type) -
      this.peakOf(type) -
      this.countMachinesToKeepFree(type)
    );
  }

  /** Slots to keep free, one entry per objective. */
  capacityToKeepFree(): WarmCapacity[] {
    const capacity: WarmCapacity[] = [];
    for (const { kind, class: jobClass, withinS } of this.ctx.settings
      .objectives) {
      if (kind !== "wait" || jobClass === undefined) continue;
      const spec = this.classNeeds.get(jobClass);
      if (!spec) continue;
      let slots = 0;
      for (const type of this.typesBootingSlowerThan(withinS, spec.jobClass))
        slots += this.countMachinesToKeepFree(type);
      if (slots > 0)
        capacity.push({
          spec: { ...spec, zone: null, deadlineS: null },
          slots,
        });
    }
    return capacity;
  }

  /** Types of present machines that serve the class and take longer to boot than its jobs are expected to wait. */
  private typesBootingSlowerThan(
    withinS: number | undefined,
    jobClass: string,
  ): Set<string> {
    const types = new Set<string>();
    const serves = memoizeByOffer((worker) => this.serves(jobClass, worker));
    for (const worker of this.state.workers.values())
      if (
        !worker.leaseExpired &&
        !worker.isReturning &&
        worker.type &&
        (withinS ?? Infinity) < worker.type.bootS &&
        !types.has(worker.typeName) &&
        serves(worker)
      )
        types.add(worker.typeName);
    return types;
  }

  private serves(jobClass: string | undefined, worker: Worker): boolean {
    const spec =
      jobClass === undefined ? undefined : this.classNeeds.get(jobClass);
    return (
      spec !== undefined &&
      worker.type !== null &&
      isAllowedOn(
        { ...spec, zone: null },
        worker.typeName,
        worker.zone,
        worker.spot,
      ) &&
      fits(spec, capacityOf(worker.type)) &&
      spec.gpus > 0 === worker.type.gpus > 0
    );
  }

  /** Number of machines of a type to keep free for the next job that is expected to start at once. */
  private countMachinesToKeepFree(type: string): number {
    return Math.ceil(this.peakOf(type) * this.ctx.tuning.spareShare);
  }

  private countMachines(type: string): number {
    let count = 0;
    for (const worker of this.state.workers.values())
      if (
        worker.typeName === type &&
        !worker.leaseExpired &&
        !worker.isReturning
      )
        count++;
    return count;
  }

  private peakOf(type: string): number {
    return Math.max(0, ...(this.peaks.get(type) ?? []));
  }

  private notePeak(type: string, count: number): void {
    let peaks = this.peaks.get(type);
    if (!peaks) {
      peaks = Array.from({ length: PEAK_PERIODS }, () => 0);
      this.peaks.set(type, peaks);
    }
    peaks[0] = Math.max(peaks[0] ?? 0, count);
  }

  private startPeriodIfDue(): void {
    const { nowMs, tuning } = this.ctx;
    const periodMs = (tuning.warmWindowS * 1000) / PEAK_PERIODS;
    if (nowMs - this.periodStartMs <= periodMs) return;
    this.periodStartMs = nowMs;
    for (const peaks of this.peaks.values()) {
      peaks.pop();
      peaks.unshift(0);
    }
  }
}
