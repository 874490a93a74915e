/**
 * Decides which machines to rent for waiting tasks that fit neither on running nor on booting machines, and for the warm
 * capacity. Exists for one plan, in which jobs are considered in order of their due time.
 */
import type { Context } from "../context.js";
import type { JobSpec } from "../model.js";
import { backlogKindOf } from "../jobs/partition-capacity.js";

import {
  capacityOf,
  fitCount,
  fitWithinLimit,
  maxTasksPerZone,
  staysUndivided,
} from "../scheduling/placement.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import {
  machineTypeOf,
  type CapacityOffers,
  type MachineCapacity,
} from "./capacity-offers.js";
import { countSlots, RentalPlan, takeSlots } from "./rental-plan.js";
import {
  ESTIMATE_FACTOR,
  timeToDeadlineS,
  timeToReadyS,
} from "./rental-timing.js";
import { RequestKinds } from "./request-kinds.js";
import type { ResourceUse } from "./resource-ledger.js";
import type { JobRun } from "./worker-state.js";

/** Slots to keep free for tasks like `spec`, because jobs of its class are expected to start at once. */
export interface WarmCapacity {
  spec: JobSpec;
  slots: number;
}

/** The slots that a job with `spread` takes in one zone. */
interface ZoneShare {
  zone: string;
  /** Tasks that may still be added in this zone; below 0 if more are there than allowed. */
  allowedTasks: number;
  presentSlots: number;
  rentedSlots: number;
}

/** Zones in which an undivided job could run, its candidate machines there, and how many tasks they have no slot for. */
interface UndividedCandidate {
  zones: readonly string[];
  machines: MachineCapacity[];
  unplaced: number;
}

/** Sort key of a job: when it is due or, without a deadline, when it became ready. */
const sortTimeOf = ({ view }: JobRun): number =>
  Number.isFinite(view.dueAt) ? view.dueAt : view.readyAt;

/** Plans rentals for one partition. */
export class ScaleOutPlanner {
  private readonly requestKinds: RequestKinds;
  /** Work of arrays that is due no later than the present job, by kind of machine, in slot-seconds. */
  private readonly dueWorkS = { plain: 0, accelerated: 0 };

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly plan: RentalPlan,
    private readonly zones: readonly string[],
    offers: CapacityOffers,
  ) {
    this.requestKinds = new RequestKinds(ctx.tuning, (spec, machine) =>
      offers.serves(spec, machine),
    );
  }

  /** `headroom`: what each team may still use, by team. The use planned for its jobs is subtracted in place. */
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

  /** Plans machines for the slots that are to be kept free beyond those that jobs take. */
  planWarmCapacity(warmCapacity: readonly WarmCapacity[]): void {
    for (const { spec, slots } of warmCapacity) {
      const unplaced = takeSlots(spec, slots, this.plan.machinesServing(spec));
      this.plan.rentFor(spec, null, unplaced, this.zones);
    }
  }

  private planJob(job: JobRun, taskCount: number): void {
    const { spec } = job.view;
    const kind = this.requestKinds.kindOf(spec, taskCount, job.active.size);
    // Free slots and offers only shrink during a plan: once a job found neither, others of its kind won't either.
    if (kind.foundNothing) return;
    const candidates = kind.machinesWithSlots(spec, this.plan.machines);
    const found = this.planByShape(job, taskCount, candidates);
    kind.foundNothing = !found && spec.deadlineS === null;
  }

  /** Returns whether the job found a slot or an offer. */
  private planByShape(
    job: JobRun,
    taskCount: number,
    candidates: readonly MachineCapacity[],
  ): boolean {
    const { spec } = job.view;
    if (spec.spread) return this.planSpread(job, taskCount, candidates);
    if (staysUndivided(spec))
      return this.planUndivided(job, taskCount, candidates);
    return this.planTaskByTask(job, taskCount, candidates);
  }

  private planTaskByTask(
    job: JobRun,
    taskCount: number,
    candidates: readonly MachineCapacity[],
  ): boolean {
    const { spec } = job.view;
    const unplaced = takeSlots(spec, taskCount, candidates);
    const canReuseSlots =
      spec.kind === "array" && spec.deadlineS !== null && spec.estimateS > 0;
    const toRent = canReuseSlots
      ? this.countSlotsToRent(job, unplaced)
      : unplaced;
    const hasRented = this.plan.rentFor(spec, job.view, toRent, this.zones);
    return unplaced < taskCount || hasRented;
  }

  /** Adds the job's work to `dueWorkS`. Returns the sum for its kind of machine, in slot-seconds. */
  private addDueWork(job: JobRun): number {
    const { spec } = job.view;
    // On average, tasks on machines are assumed to be half done.
    const taskCount = job.waiting.size + job.active.size / 2;
    const kind = backlogKindOf(spec);
    this.dueWorkS[kind] += taskCount * spec.estimateS;
    return this.dueWorkS[kind];
  }

  /**
   * How many slots to rent for the unplaced tasks of an array with a deadline: as many as the work due by then needs beyond what
   * the present slots can do, running one task after the other. Renting one slot per task would waste machines, which cost as
   * much while they boot and fetch images as while they work.
   */
  private countSlotsToRent(job: JobRun, unplaced: number): number {
    const { spec } = job.view;
    const dueWorkS = this.addDueWork(job);
    const timeLeftS = timeToDeadlineS(this.ctx, spec, job.view);
    let slots = 0;
    for (const machine of this.plan.machinesServing(spec)) {
      const machineType = machineTypeOf(this.ctx, machine.type);
      if (machineType) slots += fitCount(spec, capacityOf(machineType));
    }
    const lackingWorkS = dueWorkS - (slots * timeLeftS) / ESTIMATE_FACTOR;
    if (lackingWorkS <= 0) return 0;
    const workTimeS = timeLeftS - timeToReadyS(this.ctx, spec);
    return Math.min(
      unplaced,
      Math.ceil(lackingWorkS / Math.max(spec.estimateS, workTimeS)),
    );
  }

  /**
   * For an undivided job: rents the missing slots in the zones where the fewest are missing. A gang starts only when all its tasks
   * have a slot, so nothing is rented for it unless all can be had: the first machines would stand idle until the rest came. An
   * array in one zone runs on as many slots as there are, so it takes the zone that has most of them.
   */
  private planUndivided(
    job: JobRun,
    taskCount: number,
    candidates: readonly MachineCapacity[],
  ): boolean {
    const { spec } = job.view;
    let best: UndividedCandidate | null = null;
    for (const zones of this.zoneSetsFor(job)) {
      const machines = candidates.filter((machine) =>
        zones.includes(machine.zone),
      );
      const unplaced = Math.max(0, taskCount - countSlots(spec, machines));
      const rentableSlots =
        unplaced > 0 ? this.plan.countRentable(spec, zones) : 0;
      const canStartPartly =
        spec.kind !== "gang" && (unplaced < taskCount || rentableSlots > 0);
      const isPossible = unplaced <= rentableSlots || canStartPartly;
      if (isPossible && (!best || unplaced < best.unplaced))
        best = { zones, machines, unplaced };
    }
    if (!best) return false;
    const toRent = takeSlots(spec, taskCount, best.machines);
    this.plan.rentFor(spec, job.view, toRent, best.zones);
    return true;
  }

  /** Sets of zones of which the job must use one. With `samePlace`, single zones; if it has tasks on machines, only theirs. */
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
   * For a job with `spread`: slots beyond a zone's limit for the job do not count. When they did, nothing was rented in other zones
   * for a gang that fitted into one zone, and the gang waited forever.
   */
  private planSpread(
    job: JobRun,
    taskCount: number,
    candidates: readonly MachineCapacity[],
  ): boolean {
    const { spec } = job.view;
    const shares = this.zoneSharesFor(job);
    const unplacedOnPresent = assignPresentSlots(
      spec,
      taskCount,
      shares,
      candidates,
    );
    const unplaced = this.assignRentableSlots(spec, unplacedOnPresent, shares);
    // A gang starts only when all its tasks have a slot.
    if (spec.kind === "gang" && unplaced > 0) return false;
    for (const { zone, presentSlots, rentedSlots } of shares) {
      const machines = candidates.filter((machine) => machine.zone === zone);
      takeSlots(spec, presentSlots, machines);
      if (rentedSlots > 0)
        this.plan.rentFor(spec, job.view, rentedSlots, [zone]);
    }
    return shares.some(
      ({ presentSlots, rentedSlots }) => presentSlots + rentedSlots > 0,
    );
  }

  private zoneSharesFor(job: JobRun): ZoneShare[] {
    const allowed = new Map(
      this.zones.map((zone) => [zone, maxTasksPerZone(job.view.spec)]),
    );
    for (const { worker } of job.active.values())
      allowed.set(worker.zone, (allowed.get(worker.zone) ?? 0) - 1);
    return [...allowed].map(([zone, count]) => ({
      zone,
      allowedTasks: count,
      presentSlots: 0,
      rentedSlots: 0,
    }));
  }

  /** Sets how many slots to rent in each zone. Returns how many tasks still lack a slot. */
  private assignRentableSlots(
    spec: JobSpec,
    taskCount: number,
    shares: readonly ZoneShare[],
  ): number {
    let unplaced = taskCount;
    for (const share of shares) {
      const rentableSlots = this.plan.countRentable(spec, [share.zone]);
      share.rentedSlots = Math.max(
        0,
        Math.min(
          unplaced,
          share.allowedTasks - share.presentSlots,
          rentableSlots,
        ),
      );
      unplaced -= share.rentedSlots;
    }
    return unplaced;
  }
}

/** Sets how many present slots to use in each zone. Returns how many tasks lack a slot. */
function assignPresentSlots(
  spec: JobSpec,
  taskCount: number,
  shares: readonly ZoneShare[],
  candidates: readonly MachineCapacity[],
): number {
  let unplaced = taskCount;
  for (const share of shares) {
    const machines = candidates.filter(
      (machine) => machine.zone === share.zone,
    );
    share.presentSlots = Math.max(
      0,
      Math.min(unplaced, share.allowedTasks, countSlots(spec, machines)),
    );
    unplaced -= share.presentSlots;
  }
  return unplaced;
}

/**
 * Takes the job's waiting tasks from its team's headroom and returns how many fit; all or none for a gang. Nothing is rented for
 * tasks that the team may not start now.
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
