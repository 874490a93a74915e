/**
 * Scale out: rents the machines that waiting work needs. Owns the machines that are booting, the last plan and when it was
 * made; answers what else may be had for a job.
 */
import type { Context } from "../context.js";
import type { JobSpec } from "../model.js";
import type { QuotaAllocator } from "../quota/index.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import { fitCount, fits } from "../scheduling/placement.js";
import {
  type BootingMachine,
  type CapacityOffer,
  CapacityOffers,
  machineTypeOf,
  type Place,
  type PlannedRental,
} from "./capacity-offers.js";
import { RentalPlan, resourcesOf } from "./rental-plan.js";
import { RentalRequests } from "./rental-requests.js";
import { ScaleOutPlanner, type WarmCapacity } from "./scale-out-planner.js";
import { freeOn, type Worker } from "./worker-state.js";

/** A plan looks at all jobs and places: it is made no more often than this, but anew after each answer of the cloud. */
const PLAN_INTERVAL_MS = 500;

/** The offer that a registered machine belongs to. */
const offerOf = ({ typeName, zone, spot }: Worker): CapacityOffer => ({
  type: typeName,
  zone,
  spot,
});

/** Decides from waiting work, free places and the cloud's refusals what a partition rents, and sends the requests. */
export class ScaleOut {
  /** Machines that were rented, or that the cloud's list shows, and that have not reported yet. */
  readonly booting = new Map<string, BootingMachine>();
  private readonly offers: CapacityOffers;
  private readonly requests: RentalRequests;
  private planned: PlannedRental[] = [];
  private plannedMs = -Infinity;
  private bootingPlacesNow: { nowMs: number; places: readonly Place[] } = {
    nowMs: -Infinity,
    places: [],
  };

  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
    private readonly quota: QuotaAllocator,
    private readonly zones: () => string[],
  ) {
    this.offers = new CapacityOffers(context, state, this.booting, zones);
    this.requests = new RentalRequests(
      context,
      state,
      this.offers,
      this.booting,
      () => (this.plannedMs = -Infinity),
    );
  }

  /** `warmCapacity`: asked only when a plan is made. */
  tick(warmCapacity: () => WarmCapacity[]): void {
    if (this.context.nowMs - this.plannedMs >= PLAN_INTERVAL_MS) {
      this.plannedMs = this.context.nowMs;
      this.planned = this.makePlan(warmCapacity());
    }
    this.requests.send(this.planned);
  }

  /** How many more machines of each offer there may be, by offer key, where a refusal told. */
  remainingByOffer(): Map<string, number> {
    return this.offers.remaining();
  }

  /** Keys of the offers that the cloud refused of late. */
  soldOutOffers(): string[] {
    return this.offers.recentlySoldOut();
  }

  /** Whether nothing that this job could use is booting or, as far as known, to be had. */
  isCapacityExhausted(spec: JobSpec): boolean {
    for (const place of this.bootingPlacesOnce())
      if (this.offers.serves(spec, place) && fits(spec, place.free))
        return false;
    const rentable = this.offers.rentable(
      spec,
      this.zones(),
      new Map(),
      this.planned,
    );
    return rentable.next().done === true;
  }

  /** Whether some machine has a place for a task of this job, or one that has may be had. */
  hasPlace(spec: JobSpec): boolean {
    for (const worker of this.state.usableWorkers().usable)
      if (
        this.offers.serves(spec, offerOf(worker)) &&
        fits(spec, freeOn(worker))
      )
        return true;
    return !this.isCapacityExhausted(spec);
  }

  /** How many tasks of this job booting machines have places for. */
  countTasksFittingBooting(spec: JobSpec): number {
    let taskCount = 0;
    for (const place of this.bootingPlacesOnce())
      if (this.offers.serves(spec, place))
        taskCount += fitCount(spec, place.free);
    return taskCount;
  }

  private makePlan(warmCapacity: readonly WarmCapacity[]): PlannedRental[] {
    const places = [...this.bootingPlaces(), ...this.usablePlaces()];
    const plan = new RentalPlan(this.context, this.offers, places);
    const planner = new ScaleOutPlanner(
      this.context,
      this.state,
      plan,
      this.zones(),
      this.offers,
    );
    planner.planJobs(this.quota.headroom());
    planner.planWarmCapacity(warmCapacity);
    return plan.rentals;
  }

  private usablePlaces(): Place[] {
    const { usable, reserved } = this.state.usableWorkers();
    return usable.map((worker) => ({
      ...offerOf(worker),
      isReserved: reserved.has(worker.id),
      free: freeOn(worker),
    }));
  }

  /** The booting places, worked out once for all jobs that are looked at in one step; not to be changed. */
  private bootingPlacesOnce(): readonly Place[] {
    const { nowMs } = this.context;
    if (this.bootingPlacesNow.nowMs !== nowMs)
      this.bootingPlacesNow = { nowMs, places: this.bootingPlaces() };
    return this.bootingPlacesNow.places;
  }

  private bootingPlaces(): Place[] {
    const places: Place[] = [];
    for (const offer of this.comingMachines()) {
      const machineType = machineTypeOf(this.context, offer.type);
      if (!machineType) continue;
      const { type, zone, spot } = offer;
      const free = resourcesOf(machineType);
      places.push({ type, zone, spot, isReserved: false, free });
    }
    return places;
  }

  /**
   * Machines that tasks may be able to use soon. Those that receive nothing count too, but for the few that are replaced at a
   * time: a broken link to a zone must not rent a second fleet.
   */
  private *comingMachines(): Generator<CapacityOffer> {
    yield* this.booting.values();
    const request = this.requests.underWay;
    if (request) for (let i = 0; i < request.count; i++) yield request;
    // Up, but not usable yet: its registry entry is being written.
    for (const worker of this.state.workers.values())
      if (
        !worker.leaseExpired &&
        !worker.isReturning &&
        !this.state.registry.has(worker.id)
      )
        yield offerOf(worker);
    const unreachable = this.state.unreachableMachines();
    const beingReplaced = this.state.maxConcurrentReplacements();
    yield* unreachable.slice(beingReplaced).map(offerOf);
  }
}
