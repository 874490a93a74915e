/**
 * Scale-out: rents the machines that waiting work needs. Owns the set of booting machines and the latest plan, and determines
 * which further capacity is available for a job.
 */
import type { Context } from "../context.js";
import type { JobSpec } from "../model.js";
import type { QuotaAllocator } from "../quota/index.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import { capacityOf, fitCount, fits } from "../scheduling/placement.js";
import {
  type BootingMachine,
  type CapacityOffer,
  CapacityOffers,
  machineTypeOf,
  type MachineCapacity,
  type PlannedRental,
} from "./capacity-offers.js";
import { RentalPlan } from "./rental-plan.js";
import { RentalRequests } from "./rental-requests.js";
import { ScaleOutPlanner, type WarmCapacity } from "./scale-out-planner.js";
import { freeOn, type Worker } from "./worker-state.js";

/** Minimum interval between plans, which examine all jobs and machines. A conclusive cloud reply triggers a new plan at once. */
const PLAN_INTERVAL_MS = 500;

/** The offer that a registered machine belongs to. */
const offerOf = ({ typeName, zone, spot }: Worker): CapacityOffer => ({
  type: typeName,
  zone,
  spot,
});

/** Decides what a partition rents from its waiting work, free capacity and refused rentals, and sends the requests. */
export class ScaleOut {
  /** Machines that were rented or are in the cloud's list and have not sent a heartbeat yet, by id. */
  readonly booting = new Map<string, BootingMachine>();
  private readonly offers: CapacityOffers;
  private readonly requests: RentalRequests;
  private plannedRentals: PlannedRental[] = [];
  private lastPlanMs = -Infinity;
  private cachedBootingCapacity: {
    computedMs: number;
    machines: readonly MachineCapacity[];
  } = {
    computedMs: -Infinity,
    machines: [],
  };

  constructor(
    private readonly ctx: Context,
    private readonly state: PartitionState,
    private readonly quota: QuotaAllocator,
    private readonly zones: () => string[],
  ) {
    this.offers = new CapacityOffers(ctx, state, this.booting, zones);
    this.requests = new RentalRequests(
      ctx,
      state,
      this.offers,
      this.booting,
      () => (this.lastPlanMs = -Infinity),
    );
  }

  /** `warmCapacity`: called only when a plan is made. */
  tick(warmCapacity: () => WarmCapacity[]): void {
    if (this.ctx.nowMs - this.lastPlanMs >= PLAN_INTERVAL_MS) {
      this.lastPlanMs = this.ctx.nowMs;
      this.plannedRentals = this.makePlan(warmCapacity());
    }
    this.requests.sendDue(this.plannedRentals);
  }

  /** How many more machines can be rented, by offer key; only offers for which a refusal showed this. */
  remainingByOffer(): Map<string, number> {
    return this.offers.remainingByOffer();
  }

  /** Keys of the offers that are, or recently were, sold out. */
  soldOutOffers(): string[] {
    return this.offers.recentlySoldOut();
  }

  /** Whether no booting machine has a slot for this job and no suitable offer is known to be available. */
  isCapacityExhausted(spec: JobSpec): boolean {
    for (const machine of this.bootingCapacityOnce())
      if (this.offers.serves(spec, machine) && fits(spec, machine.free))
        return false;
    const rentableOffers = this.offers.rentableOffers(
      spec,
      this.zones(),
      new Map(),
      this.plannedRentals,
    );
    return rentableOffers.next().done === true;
  }

  /** Whether a task of this job fits on a usable or booting machine, or a suitable machine may be rented. */
  canGetSlot(spec: JobSpec): boolean {
    for (const worker of this.state.usableWorkers().usable)
      if (
        this.offers.serves(spec, offerOf(worker)) &&
        fits(spec, freeOn(worker))
      )
        return true;
    return !this.isCapacityExhausted(spec);
  }

  /** How many tasks of this job fit on booting machines. */
  countTasksFittingBooting(spec: JobSpec): number {
    let taskCount = 0;
    for (const machine of this.bootingCapacityOnce())
      if (this.offers.serves(spec, machine))
        taskCount += fitCount(spec, machine.free);
    return taskCount;
  }

  private makePlan(warmCapacity: readonly WarmCapacity[]): PlannedRental[] {
    const machines = [...this.bootingCapacity(), ...this.usableCapacity()];
    const plan = new RentalPlan(this.ctx, this.offers, machines);
    const planner = new ScaleOutPlanner(
      this.ctx,
      this.state,
      plan,
      this.zones(),
      this.offers,
    );
    planner.planJobs(this.quota.headroom());
    planner.planWarmCapacity(warmCapacity);
    return plan.rentals;
  }

  private usableCapacity(): MachineCapacity[] {
    const { usable, reserved } = this.state.usableWorkers();
    return usable.map((worker) => ({
      ...offerOf(worker),
      isReserved: reserved.has(worker.id),
      free: freeOn(worker),
    }));
  }

  /** The booting capacity, computed once per step. Callers must not modify it. */
  private bootingCapacityOnce(): readonly MachineCapacity[] {
    const { nowMs } = this.ctx;
    if (this.cachedBootingCapacity.computedMs !== nowMs)
      this.cachedBootingCapacity = {
        computedMs: nowMs,
        machines: this.bootingCapacity(),
      };
    return this.cachedBootingCapacity.machines;
  }

  private bootingCapacity(): MachineCapacity[] {
    const machines: MachineCapacity[] = [];
    for (const offer of this.upcomingMachines()) {
      const machineType = machineTypeOf(this.ctx, offer.type);
      if (!machineType) continue;
      const { type, zone, spot } = offer;
      const free = capacityOf(machineType);
      machines.push({ type, zone, spot, isReserved: false, free });
    }
    return machines;
  }

  /**
   * Machines that tasks may be able to use soon. These include unreachable machines, except the few that are replaced at a time,
   * so that a broken link to a zone does not cause its machines to be rented a second time.
   */
  private *upcomingMachines(): Generator<CapacityOffer> {
    yield* this.booting.values();
    const request = this.requests.pendingRequest;
    if (request) for (let i = 0; i < request.count; i++) yield request;
    // Machines that are up but not usable yet, because their registry entry is being written.
    for (const worker of this.state.workers.values())
      if (
        !worker.leaseExpired &&
        !worker.isReturning &&
        !this.state.registry.has(worker.id)
      )
        yield offerOf(worker);
    const unreachable = this.state.unreachableMachines();
    const maxReplacements = this.state.maxConcurrentReplacements();
    yield* unreachable.slice(maxReplacements).map(offerOf);
  }
}
