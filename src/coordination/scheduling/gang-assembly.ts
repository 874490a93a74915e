/**
 * Decides which jobs must begin now so that none waits too long for its first start. Owns the size of the largest gang
 * seen in each job class, and which gangs are being assembled.
 */
import type { Context } from "../context.js";
import { hasBegun } from "./job-progress.js";
import type { PartitionState } from "./partition-state.js";
import type { QuotaAllocator } from "../quota/index.js";
import type { JobSpec } from "../model.js";
import {
  isAllowedOn,
  addTask,
  fitCount,
  fitWithinLimit,
  requestKeyOf,
  isSuitable,
} from "./placement.js";
import type { Precedence } from "./scheduling-round.js";
import {
  freeOn,
  type JobRun,
  type TaskRun,
  type Worker,
} from "../machines/worker-state.js";

/** Gangs are checked no more often than this, because a check reads all running tasks of the partition. */
const CHECK_INTERVAL_MS = 1_000;
/** Share of the bound after which a gang that fits precedes other jobs. A gang that has waited less reserves nothing. */
const FITTING_GANG_AGE_SHARE = 0.65;
/** A gang is large if it has at least this share of the tasks of its class's largest gang. Others follow the queues' order. */
const LARGE_GANG_SHARE = 0.75;
/** Time from a gang's placement to its first second of work: commands, image pulls, the slowest machine. */
const START_MARGIN_S = 20;
/** Estimates are often too short by half, so assembly is expected to take this many times as long as they say. */
const ESTIMATE_FACTOR = 1.15;
/** A task near or past the end of its estimate is expected to run on for this share of the estimate. */
const MIN_REMAINING_SHARE = 0.25;
/** Share of the bound after which the first task of an array precedes all other work. */
const FIRST_TASK_AGE_SHARE = 0.6;
/** A task that is being stopped is expected to end within this time. */
const STOPPING_S = 5;
/** Job classes whose largest gang a leader remembers, at about 100 bytes each. Gangs of further classes are never large. */
const MAX_CLASSES = 5_000;
const MS_PER_S = 1_000;
/** Key for all zones together, for gangs that need not be in one zone. */
const ANY_ZONE = "";

/** Where and when a gang is expected to have all its slots. */
interface AssemblyForecast {
  readonly zone: string;
  readonly inS: number;
}

/**
 * Decides which jobs have to begin now so that none waits longer than a bound, `begin_within_s`, for its first start. Small
 * jobs pass large ones in the queues, so a gang that needs many machines never found them free at the same time, while
 * reserving freed capacity from the start made many small gangs wait for each large one. Reserving therefore begins as late
 * as the running tasks allow: when the gang's age plus the expected time until enough slots are free reaches the bound.
 * One gang per zone reserves at a time, the oldest first.
 */
export class GangAssembly {
  private lastCheckMs = -Infinity;
  /** Gangs that are being assembled, with the expected seconds until each has all its slots. */
  private assembling: ReadonlyMap<string, number> = new Map();
  /** By job class: number of tasks of the largest gang seen. */
  private readonly largestByClass = new Map<string, number>();

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly quota: QuotaAllocator,
  ) {}

  private get boundS(): number {
    return this.ctx.tuning.beginWithinS;
  }
  private ageS(job: JobRun): number {
    return (this.ctx.wallMs - job.view.readyAt) / MS_PER_S;
  }

  /** Called at the beginning of a scheduling round, with the jobs that are ready to start. */
  update(ready: readonly JobRun[]): void {
    if (
      this.boundS <= 0 ||
      this.ctx.nowMs - this.lastCheckMs < CHECK_INTERVAL_MS
    )
      return;
    this.lastCheckMs = this.ctx.nowMs;
    this.noteGangSizes();
    const oldestFirst = ready
      .filter((job) => this.mayBeAssembled(job))
      .sort((first, second) => first.view.readyAt - second.view.readyAt);
    this.assembling =
      oldestFirst.length === 0 ? new Map() : this.gangsToAssemble(oldestFirst);
  }

  private noteGangSizes(): void {
    for (const { spec } of this.ctx.cache.jobs.values()) {
      if (spec.kind !== "gang") continue;
      const largest = this.largestByClass.get(spec.jobClass);
      const mayNote =
        largest !== undefined || this.largestByClass.size < MAX_CLASSES;
      if (mayNote && spec.tasks > (largest ?? 0))
        this.largestByClass.set(spec.jobClass, spec.tasks);
    }
  }

  private mayBeAssembled(job: JobRun): boolean {
    return (
      this.isLarge(job.view.spec) &&
      !job.view.spec.spread &&
      job.quarantinedSinceMs === null &&
      this.comesFirstWhenFitting(job) &&
      this.state.isWhollyWaiting(job) &&
      this.isWithinQuota(job)
    );
  }

  private comesFirstWhenFitting(job: JobRun): boolean {
    return this.ageS(job) >= this.boundS * FITTING_GANG_AGE_SHARE;
  }

  /** Whether a job has to begin now, and which other jobs it therefore precedes. */
  precedenceOf(job: JobRun): Precedence {
    if (this.boundS <= 0 || job.quarantinedSinceMs !== null) return "no";
    if (job.view.spec.kind === "gang") return this.gangPrecedenceOf(job);
    const hasWaitedLong = this.ageS(job) > this.boundS * FIRST_TASK_AGE_SHARE;
    return hasWaitedLong && !hasBegun(this.ctx, job) ? "firstTask" : "no";
  }

  private gangPrecedenceOf(job: JobRun): Precedence {
    if (this.assembling.has(job.id)) return "assembling";
    return this.isLarge(job.view.spec) && this.comesFirstWhenFitting(job)
      ? "whenFitting"
      : "no";
  }

  /** Expected seconds until a gang that is being assembled has all its slots. Work that ends before then may use them. */
  assembledInS(job: JobRun): number {
    return this.assembling.get(job.id) ?? 0;
  }

  private isLarge(spec: JobSpec): boolean {
    return (
      spec.kind === "gang" &&
      spec.tasks > 1 &&
      spec.tasks >=
        (this.largestByClass.get(spec.jobClass) ?? Infinity) * LARGE_GANG_SHARE
    );
  }
  /** Whether a gang fits into the partition's share of its team's limit, not counting what other jobs of the team use. */
  private isWithinQuota(job: JobRun): boolean {
    const { spec } = job.view;
    const [cpus, gpus] = this.quota.share(spec.team);
    return fitWithinLimit(spec, { cpus, gpus }) >= spec.tasks;
  }

  /** Selects from `gangs`, oldest first, those that reserve from now on, with the seconds until each has all its slots. */
  private gangsToAssemble(gangs: readonly JobRun[]): Map<string, number> {
    const { usable, reserved } = this.state.usableWorkers();
    const unreserved = usable.filter((worker) => !reserved.has(worker.id));
    const slotsByRequest = new Map<string, Map<string, number[]>>();
    /** Slots of each zone that older gangs take first. */
    const takenByZone = new Map<string, number>();
    const firstOfZone = new Map<string, { job: JobRun; inS: number }>();
    const assembling = new Map<string, number>();
    for (const job of gangs) {
      const { spec } = job.view;
      const key = requestKeyOf(spec);
      const slots =
        slotsByRequest.get(key) ?? this.slotsBecomingFree(spec, unreserved);
      slotsByRequest.set(key, slots);
      const forecast = soonestAssembly(spec.tasks, slots, takenByZone);
      // The partition has too few slots, so that reserving does not help: the gang moves, or machines are rented.
      if (!forecast) continue;
      const { zone, inS } = forecast;
      takenByZone.set(zone, (takenByZone.get(zone) ?? 0) + spec.tasks);
      const first = firstOfZone.get(zone) ?? { job, inS };
      firstOfZone.set(zone, first);
      if (this.mustReserveNow(job, inS))
        assembling.set(first.job.id, first.inS);
    }
    return assembling;
  }

  private mustReserveNow(job: JobRun, assembledInS: number): boolean {
    return (
      this.ageS(job) + assembledInS * ESTIMATE_FACTOR >=
      this.boundS - START_MARGIN_S
    );
  }

  /** By zone: the seconds until each slot for a task of the job is expected to be free, soonest first. */
  private slotsBecomingFree(
    spec: JobSpec,
    workers: readonly Worker[],
  ): Map<string, number[]> {
    const slotsByZone = new Map<string, number[]>();
    for (const worker of workers) {
      if (
        !isAllowedOn(spec, worker.typeName, worker.zone, worker.spot) ||
        !isSuitable(spec, worker.type, worker.spot, this.ctx.catalog)
      )
        continue;
      const zone = spec.samePlace ? worker.zone : ANY_ZONE;
      const slots = slotsByZone.get(zone) ?? [];
      slotsByZone.set(zone, slots);
      for (const inS of this.slotsBecomingFreeOn(worker, spec)) slots.push(inS);
    }
    for (const slots of slotsByZone.values())
      slots.sort((first, second) => first - second);
    return slotsByZone;
  }

  /** The same for the slots on one machine, as its running tasks end one by one. */
  private slotsBecomingFreeOn(worker: Worker, spec: JobSpec): number[] {
    const free = freeOn(worker);
    const slots = Array.from({ length: fitCount(spec, free) }, () => 0);
    const taskEnds = [...worker.tasks.values()]
      .map((task) => ({ inS: this.remainingS(task), task }))
      .sort((first, second) => first.inS - second.inS);
    for (const { inS, task } of taskEnds) {
      if (inS === Infinity) break;
      addTask(free, task.job.view.spec);
      const count = fitCount(spec, free);
      while (slots.length < count) slots.push(inS);
    }
    return slots;
  }

  /** Expected seconds until a task ends; Infinity if it has no estimate. */
  private remainingS(task: TaskRun): number {
    if (task.stop) return STOPPING_S;
    const { estimateS } = task.job.view.spec;
    if (estimateS <= 0) return Infinity;
    const ranS =
      task.phase === "running"
        ? (this.ctx.nowMs - task.phaseSinceMs) / MS_PER_S
        : 0;
    return Math.max(estimateS - ranS, estimateS * MIN_REMAINING_SHARE);
  }
}

/** The zone where this many slots, besides those already taken, are free first; null if no zone has enough. */
function soonestAssembly(
  tasks: number,
  slotsByZone: ReadonlyMap<string, readonly number[]>,
  takenByZone: ReadonlyMap<string, number>,
): AssemblyForecast | null {
  let soonest: AssemblyForecast | null = null;
  for (const [zone, slots] of slotsByZone) {
    const inS = slots[(takenByZone.get(zone) ?? 0) + tasks - 1];
    if (inS !== undefined && inS < (soonest?.inS ?? Infinity))
      soonest = { zone, inS };
  }
  return soonest;
}
