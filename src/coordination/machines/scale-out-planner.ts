/**
 * Decides which machines to rent for the waiting tasks that fit neither on free places nor on machines that are booting, and
 * for the capacity to be kept free. Lives for one plan; jobs are looked at by due time.
 */
import type { Context } from "../context.js";
import type { JobSpec } from "../model.js";
import { backlogKindOf } from "../jobs/partition-capacity.js";

import {
  fitCount,
  fitWithinLimit,
  maxTasksPerZone,
  startsWhole,
} from "../scheduling/placement.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import {
  machineTypeOf,
  type CapacityOffers,
  type Place,
} from "./capacity-offers.js";
import { countFitting, RentalPlan, takePlaces } from "./rental-plan.js";
import {
  ESTIMATE_FACTOR,
  timeToDeadlineS,
  timeToReadyS,
} from "./rental-timing.js";
import { RequestKinds } from "./request-kinds.js";
import type { ResourceUse } from "./resource-ledger.js";
import type { JobRun } from "./worker-state.js";

/** Places to keep free for tasks like `spec`, for jobs of its class that are expected to start at once. */
export interface WarmCapacity {
  spec: JobSpec;
  places: number;
}

/** The places that a job with `spread` takes in one zone. */
interface ZoneShare {
  zone: string;
  /** Tasks that may still be added in this zone; below 0 when more run there than may. */
  allowed: number;
  present: number;
  rented: number;
}

/** Zones in which a job that starts whole could run, and what it lacks there. */
interface WholeCandidate {
  zones: readonly string[];
  places: Place[];
  lacking: number;
}

/** When the job should be done; without a deadline, when it could start. */
const sortTimeOf = ({ view }: JobRun): number =>
  Number.isFinite(view.dueAt) ? view.dueAt : view.readyAt;

/** Plans rentals for one partition. */
export class ScaleOutPlanner {
  private readonly requestKinds: RequestKinds;
  /** Work of arrays that is due up to the job looked at, by kind of machine, in seconds of one place. */
  private readonly dueWorkS = { plain: 0, accelerated: 0 };

  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    private readonly plan: RentalPlan,
    private readonly zones: readonly string[],
    offers: CapacityOffers,
  ) {
    this.requestKinds = new RequestKinds(context.tuning, (spec, place) =>
      offers.serves(spec, place),
    );
  }

  /** `headroom`: what each team may still use; what is planned for its jobs is taken from it. */
  planJobs(headroom: ReadonlyMap<string, ResourceUse>): void {
    for (const job of this.state.jobs.values())
      if (job.waiting.isEmpty && job.view.spec.kind === "array")
        this.addDueWork(job);
    const jobs = [...this.state.jobs.values()]
      .filter(
        (job) => this.state.mayStart(job) && job.quarantinedSinceMs === null,
      )
      .sort((a, b) => sortTimeOf(a) - sortTimeOf(b));
    for (const job of jobs) {
      const taskCount = takeHeadroom(job, headroom.get(job.view.spec.team));
      if (taskCount > 0) this.planJob(job, taskCount);
    }
  }

  /** Plans machines for capacity that is to be kept free beyond what jobs take. */
  planWarmCapacity(warmCapacity: readonly WarmCapacity[]): void {
    for (const { spec, places } of warmCapacity) {
      const lacking = takePlaces(spec, places, this.plan.placesServing(spec));
      this.plan.rentFor(spec, null, lacking, this.zones);
    }
  }

  private planJob(job: JobRun, taskCount: number): void {
    const { spec } = job.view;
    const kind = this.requestKinds.kindOf(spec, taskCount, job.active.size);
    // Places and offers only shrink while a plan is made: what found neither is not looked for again.
    if (kind.foundNothing) return;
    const candidates = kind.placesWithRoom(spec, this.plan.places);
    const found = this.planByShape(job, taskCount, candidates);
    kind.foundNothing = !found && spec.deadlineS === null;
  }

  /** Returns whether the job found a place or an offer. */
  private planByShape(
    job: JobRun,
    taskCount: number,
    candidates: readonly Place[],
  ): boolean {
    const { spec } = job.view;
    if (spec.spread) return this.planSpread(job, taskCount, candidates);
    if (startsWhole(spec)) return this.planWhole(job, taskCount, candidates);
    return this.planTaskByTask(job, taskCount, candidates);
  }

  private planTaskByTask(
    job: JobRun,
    taskCount: number,
    candidates: readonly Place[],
  ): boolean {
    const { spec } = job.view;
    const lacking = takePlaces(spec, taskCount, candidates);
    const canTakeTurns =
      spec.kind === "array" && spec.deadlineS !== null && spec.estimateS > 0;
    const toRent = canTakeTurns ? this.countInTurns(job, lacking) : lacking;
    const hasRented = this.plan.rentFor(spec, job.view, toRent, this.zones);
    return lacking < taskCount || hasRented;
  }

  /** Adds the job's work to what is due; returns the sum for its kind of machine, in seconds of one place. */
  private addDueWork(job: JobRun): number {
    const { spec } = job.view;
    // Tasks that run now are halfway, on the whole.
    const taskCount = job.waiting.size + job.active.size / 2;
    const kind = backlogKindOf(spec);
    this.dueWorkS[kind] += taskCount * spec.estimateS;
    return this.dueWorkS[kind];
  }

  /**
   * How many places to rent for the tasks of an array with a deadline that found none: as many as the work due until then
   * needs beyond what the present places can do one task after the other. A machine costs as much while it boots and fetches
   * images as while it works.
   */
  private countInTurns(job: JobRun, lacking: number): number {
    const { spec } = job.view;
    const dueWorkS = this.addDueWork(job);
    const timeLeftS = timeToDeadlineS(this.context, spec, job.view);
    let slots = 0;
    for (const place of this.plan.placesServing(spec)) {
      const machineType = machineTypeOf(this.context, place.type);
      if (machineType) slots += fitCount(spec, machineType);
    }
    const lackingS = dueWorkS - (slots * timeLeftS) / ESTIMATE_FACTOR;
    if (lackingS <= 0) return 0;
    const workedS = timeLeftS - timeToReadyS(this.context, spec);
    return Math.min(
      lacking,
      Math.ceil(lackingS / Math.max(spec.estimateS, workedS)),
    );
  }

  /**
   * For a job whose tasks go together, in one zone if they must: rents what is missing where the least is. A gang starts once
   * all of it has a place, so only where that can be had: part of what it needs would stand idle until the rest came. An array
   * in one zone runs on whatever there is: it stays with the zone that has most for it.
   */
  private planWhole(
    job: JobRun,
    taskCount: number,
    candidates: readonly Place[],
  ): boolean {
    const { spec } = job.view;
    let best: WholeCandidate | null = null;
    for (const zones of this.zoneSetsFor(job)) {
      const places = candidates.filter((place) => zones.includes(place.zone));
      const lacking = Math.max(0, taskCount - countFitting(spec, places));
      const rentable = lacking > 0 ? this.plan.countRentable(spec, zones) : 0;
      const canStartPartly =
        spec.kind !== "gang" && (lacking < taskCount || rentable > 0);
      const isPossible = lacking <= rentable || canStartPartly;
      if (isPossible && (!best || lacking < best.lacking))
        best = { zones, places, lacking };
    }
    if (!best) return false;
    const toRent = takePlaces(spec, taskCount, best.places);
    this.plan.rentFor(spec, job.view, toRent, best.zones);
    return true;
  }

  /** Sets of zones of which the job must choose one: with `samePlace` each zone, and only where its tasks already run. */
  private zoneSetsFor(job: JobRun): (readonly string[])[] {
    if (!job.view.spec.samePlace) return [this.zones];
    const activeZones = new Set(
      [...job.active.values()].map((task) => task.worker.zone),
    );
    return this.zones
      .filter((zone) => activeZones.size === 0 || activeZones.has(zone))
      .map((zone) => [zone]);
  }

  /**
   * For a job with `spread`: a place in a zone that may take no more of its tasks is none for it. A gang that fitted well into
   * one zone of its partition had nothing rented in the others, and waited for ever.
   */
  private planSpread(
    job: JobRun,
    taskCount: number,
    candidates: readonly Place[],
  ): boolean {
    const { spec } = job.view;
    const shares = this.zoneSharesFor(job);
    const lackingPresent = sharePresent(spec, taskCount, shares, candidates);
    const lacking = this.shareRentable(spec, lackingPresent, shares);
    // A gang starts once all of it has a place.
    if (spec.kind === "gang" && lacking > 0) return false;
    for (const { zone, present, rented } of shares) {
      const places = candidates.filter((place) => place.zone === zone);
      takePlaces(spec, present, places);
      if (rented > 0) this.plan.rentFor(spec, job.view, rented, [zone]);
    }
    return shares.some(({ present, rented }) => present + rented > 0);
  }

  private zoneSharesFor(job: JobRun): ZoneShare[] {
    const allowed = new Map(
      this.zones.map((zone) => [zone, maxTasksPerZone(job.view.spec)]),
    );
    for (const { worker } of job.active.values())
      allowed.set(worker.zone, (allowed.get(worker.zone) ?? 0) - 1);
    return [...allowed].map(([zone, count]) => ({
      zone,
      allowed: count,
      present: 0,
      rented: 0,
    }));
  }

  /** Sets how many places each zone is to rent; returns how many tasks lack a place even so. */
  private shareRentable(
    spec: JobSpec,
    taskCount: number,
    shares: readonly ZoneShare[],
  ): number {
    let lacking = taskCount;
    for (const share of shares) {
      const rentable = this.plan.countRentable(spec, [share.zone]);
      share.rented = Math.max(
        0,
        Math.min(lacking, share.allowed - share.present, rentable),
      );
      lacking -= share.rented;
    }
    return lacking;
  }
}

/** Sets how many present places each zone gives; returns how many tasks lack one. */
function sharePresent(
  spec: JobSpec,
  taskCount: number,
  shares: readonly ZoneShare[],
  candidates: readonly Place[],
): number {
  let lacking = taskCount;
  for (const share of shares) {
    const places = candidates.filter((place) => place.zone === share.zone);
    share.present = Math.max(
      0,
      Math.min(lacking, share.allowed, countFitting(spec, places)),
    );
    lacking -= share.present;
  }
  return lacking;
}

/**
 * How many of the job's waiting tasks its team may still start, taken from the team's headroom. For what the team may not use
 * now nothing is rented, and for a gang all or none.
 */
function takeHeadroom(job: JobRun, headroom: ResourceUse | undefined): number {
  const { spec } = job.view;
  if (!headroom) return 0;
  const taskCount = Math.min(job.waiting.size, fitWithinLimit(spec, headroom));
  if (spec.kind === "gang" && taskCount < job.waiting.size) return 0;
  headroom.cpus -= taskCount * spec.cpus;
  headroom.gpus -= taskCount * spec.gpus;
  return taskCount;
}
