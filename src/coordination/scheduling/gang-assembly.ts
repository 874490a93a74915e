/**
 * Decides which jobs must begin now so that none waits too long for its first start. Owns the largest gang size seen of
 * each class, and which gangs are being assembled.
 */
import type { Context } from "../context.js";
import { hasBegun } from "./job-progress.js";
import type { PartitionState } from "./partition-state.js";
import type { QuotaAllocator } from "../quota/index.js";
import type { JobSpec } from "../model.js";
import {
  isAllowedOn,
  fitCount,
  fitWithinLimit,
  requestKeyOf,
  isSuitable,
} from "./placement.js";
import type { Precedence } from "./scheduling-round.js";
import {
  freeOn,
  type JobRun,
  subtract,
  type TaskRun,
  type Worker,
} from "../machines/worker-state.js";

/** Gangs are checked no more often than this: it reads all running tasks of a partition. */
const CHECK_INTERVAL_MS = 1_000;
/** A gang comes first where it fits once it has waited this part of the time; a younger one never reserves anything. */
const PRIORITY_WHEN_FITTING_AFTER = 0.65;
/** Of its class's largest gang: what has about so many tasks counts as large. Smaller ones find their places by the order of the queues. */
const LARGE_GANG_SHARE = 0.75;
/** Between a gang's placement and its first second of work: commands, images, the slowest machine. */
const START_MARGIN_S = 20;
/** Estimates are often too short by half: assembly is expected to take so many times as long as they say. */
const ESTIMATE_FACTOR = 1.15;
/** A task past its estimate is expected to run for this part of it again. */
const OVERRUN_SHARE = 0.25;
/** An array's first task comes before everything once it has waited this part of the time. */
const FIRST_TASK_AFTER = 0.6;
/** A task that is being stopped is expected to take this long. */
const STOPPING_S = 5;
/** Classes of gangs whose largest is remembered, for the life of a partition leader: some 100 bytes each. A gang of a further class is never large. */
const MAX_CLASSES = 5_000;
const MS_PER_S = 1_000;
/** Stands for all zones of a gang that need not be in one. */
const ANY_ZONE = "";

/** Where and when a gang has all its places, as far as can be said. */
interface AssemblyForecast {
  readonly zone: string;
  readonly inS: number;
}

/**
 * Which jobs have to begin now so that none waits longer than `begin_within_s` for its first start. Small work passes large
 * work in the queues, so a gang of many machines never found them free together; reserving freed room from the first moment
 * kept many small gangs waiting for each large one. So reserving begins as late as the machines' running tasks allow: when the
 * gang's age and the time in which so many places come free add up to the bound; one gang to a zone, the oldest first.
 */
export class GangAssembly {
  private checkedMs = -Infinity;
  private assembling: ReadonlyMap<string, number> = new Map();
  /** By class: tasks of the largest gang that was seen. */
  private readonly largestByClass = new Map<string, number>();

  constructor(
    private readonly ctx: Context,
    private readonly partition: PartitionState,
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
    if (this.boundS <= 0 || this.ctx.nowMs - this.checkedMs < CHECK_INTERVAL_MS)
      return;
    this.checkedMs = this.ctx.nowMs;
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
      this.partition.isWhollyWaiting(job) &&
      this.isWithinQuota(job)
    );
  }

  private comesFirstWhenFitting(job: JobRun): boolean {
    return this.ageS(job) >= this.boundS * PRIORITY_WHEN_FITTING_AFTER;
  }

  /** Whether a job has to begin now, and what it comes before for that. */
  precedenceOf(job: JobRun): Precedence {
    if (this.boundS <= 0 || job.quarantinedSinceMs !== null) return "no";
    if (job.view.spec.kind === "gang") return this.gangPrecedenceOf(job);
    const hasWaitedLong = this.ageS(job) > this.boundS * FIRST_TASK_AFTER;
    return hasWaitedLong && !hasBegun(this.ctx, job) ? "array" : "no";
  }

  private gangPrecedenceOf(job: JobRun): Precedence {
    if (this.assembling.has(job.id)) return "gang";
    return this.isLarge(job.view.spec) && this.comesFirstWhenFitting(job)
      ? "fit"
      : "no";
  }

  /** Seconds until a gang that is due has all its places, as far as can be said; what is done before then may use them. */
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
  /** Whether the partition's share of its team's limit has room for a gang, whatever of it others of the team use now. */
  private isWithinQuota(job: JobRun): boolean {
    const { spec } = job.view;
    const [cpus, gpus] = this.quota.share(spec.team);
    return fitWithinLimit(spec, { cpus, gpus }) >= spec.tasks;
  }

  /** Of gangs, oldest first: those that reserve from now on, with the seconds until they have what they need. */
  private gangsToAssemble(gangs: readonly JobRun[]): Map<string, number> {
    const { usable, reserved } = this.partition.usableWorkers();
    const open = usable.filter((worker) => !reserved.has(worker.id));
    const placesByRequest = new Map<string, Map<string, number[]>>();
    /** Places of each zone that older gangs take first. */
    const taken = new Map<string, number>();
    const firstOfZone = new Map<string, { job: JobRun; inS: number }>();
    const assembling = new Map<string, number>();
    for (const job of gangs) {
      const { spec } = job.view;
      const key = requestKeyOf(spec);
      const places =
        placesByRequest.get(key) ?? this.placesBecomingFree(spec, open);
      placesByRequest.set(key, places);
      const forecast = soonestAssembly(spec.tasks, places, taken);
      // More than the partition has: nothing is gained by reserving here; it goes elsewhere, or machines are rented.
      if (!forecast) continue;
      const { zone, inS } = forecast;
      taken.set(zone, (taken.get(zone) ?? 0) + spec.tasks);
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

  /** By zone: in how many seconds each place for such a task is free, soonest first. */
  private placesBecomingFree(
    spec: JobSpec,
    open: readonly Worker[],
  ): Map<string, number[]> {
    const placesByZone = new Map<string, number[]>();
    for (const worker of open) {
      if (
        !isAllowedOn(spec, worker.typeName, worker.zone, worker.spot) ||
        !isSuitable(spec, worker.type, worker.spot, this.ctx.catalog)
      )
        continue;
      const zone = spec.samePlace ? worker.zone : ANY_ZONE;
      const places = placesByZone.get(zone) ?? [];
      placesByZone.set(zone, places);
      for (const inS of this.placesBecomingFreeOn(worker, spec))
        places.push(inS);
    }
    for (const places of placesByZone.values())
      places.sort((first, second) => first - second);
    return placesByZone;
  }

  /** The same on one machine, as its running tasks end one by one. */
  private placesBecomingFreeOn(worker: Worker, spec: JobSpec): number[] {
    const room = freeOn(worker);
    const places = Array.from({ length: fitCount(spec, room) }, () => 0);
    const ends = [...worker.tasks.values()]
      .map((task) => ({ inS: this.remainingS(task), task }))
      .sort((first, second) => first.inS - second.inS);
    for (const { inS, task } of ends) {
      if (inS === Infinity) break;
      const { cpus, gpus, memGb } = task.job.view.spec;
      subtract(room, { cpus: -cpus, gpus: -gpus, memGb: -memGb });
      const count = fitCount(spec, room);
      while (places.length < count) places.push(inS);
    }
    return places;
  }

  /** Seconds until a task is expected to end; Infinity: that can't be said. */
  private remainingS(task: TaskRun): number {
    if (task.stop) return STOPPING_S;
    const { estimateS } = task.job.view.spec;
    if (estimateS <= 0) return Infinity;
    const ranS =
      task.phase === "running"
        ? (this.ctx.nowMs - task.phaseSinceMs) / MS_PER_S
        : 0;
    return Math.max(estimateS - ranS, estimateS * OVERRUN_SHARE);
  }
}

/** The zone where so many places come free first, beside those that are taken; null: none has as many. */
function soonestAssembly(
  tasks: number,
  placesByZone: ReadonlyMap<string, readonly number[]>,
  taken: ReadonlyMap<string, number>,
): AssemblyForecast | null {
  let soonest: AssemblyForecast | null = null;
  for (const [zone, places] of placesByZone) {
    const inS = places[(taken.get(zone) ?? 0) + tasks - 1];
    if (inS !== undefined && inS < (soonest?.inS ?? Infinity))
      soonest = { zone, inS };
  }
  return soonest;
}
