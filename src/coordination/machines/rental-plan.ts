/**
 * One plan of what to rent: the places that are there, booting or planned, and the rentals planned so far. Owns both lists
 * while the plan is made; jobs take their places from it in turn.
 */
import type { Context } from "../context.js";
import type { EffectivePriority, JobSpec, MachineType } from "../model.js";
import { fitCount, type Resources } from "../scheduling/placement.js";
import {
  isSameOffer,
  type CapacityOffers,
  type Place,
  type PlannedRental,
  type RentableOffer,
} from "./capacity-offers.js";
import { isOnlySpotWorthwhile } from "./rental-timing.js";
import { subtract } from "./worker-state.js";

/** All that a machine of this type can hold. */
export const resourcesOf = ({ cpus, gpus, memGb }: MachineType): Resources => ({
  cpus,
  gpus,
  memGb,
});

/** How many tasks of the job fit on these places in all. */
export const countFitting = (spec: JobSpec, places: readonly Place[]): number =>
  places.reduce((sum, place) => sum + fitCount(spec, place.free), 0);

/** Takes places for `taskCount` tasks, first come first; returns how many tasks found none. */
export function takePlaces(
  spec: JobSpec,
  taskCount: number,
  places: readonly Place[],
): number {
  let lacking = taskCount;
  for (const place of places) {
    if (lacking === 0) break;
    const taken = Math.min(lacking, fitCount(spec, place.free));
    for (let i = 0; i < taken; i++) subtract(place.free, spec);
    lacking -= taken;
  }
  return lacking;
}

/** What to rent, worked out job by job. */
export class RentalPlan {
  /** In the order in which they are to be asked for. */
  readonly rentals: PlannedRental[] = [];
  /** How many more machines of each offer there may be, where that is known. */
  private readonly remaining: ReadonlyMap<string, number>;

  /** `places`: those there are or that are booting; planned machines are added to them. */
  constructor(
    private readonly context: Context,
    private readonly offers: CapacityOffers,
    readonly places: Place[],
  ) {
    this.remaining = offers.remaining();
  }

  /** All places that the job may use, those without free resources too. */
  placesServing(spec: JobSpec): Place[] {
    return this.places.filter((place) => this.offers.serves(spec, place));
  }

  /** How many tasks of the job could run on machines that may still be rented in these zones. */
  countRentable(spec: JobSpec, zones: readonly string[]): number {
    let taskCount = 0;
    for (const offer of this.rentable(spec, zones))
      taskCount += offer.maxMachines * fitCount(spec, offer.machineType);
    return taskCount;
  }

  /**
   * Plans machines for `taskCount` tasks where a place for a task costs least; returns whether any were to be had.
   * `priority`: null for capacity that is kept free for jobs to come.
   */
  rentFor(
    spec: JobSpec,
    priority: EffectivePriority | null,
    taskCount: number,
    zones: readonly string[],
  ): boolean {
    const spotOnly = isOnlySpotWorthwhile(this.context, spec, priority);
    let lacking = taskCount;
    while (lacking > 0) {
      const offer = this.cheapest(spec, lacking, zones, spotOnly);
      if (!offer) break;
      lacking = this.add(spec, lacking, offer);
    }
    return lacking < taskCount;
  }

  private rentable(
    spec: JobSpec,
    zones: readonly string[],
  ): Generator<RentableOffer> {
    return this.offers.rentable(spec, zones, this.remaining, this.rentals);
  }

  private cheapest(
    spec: JobSpec,
    lacking: number,
    zones: readonly string[],
    spotOnly: boolean,
  ): RentableOffer | null {
    let cheapest: RentableOffer | null = null;
    let lowestCost = Infinity;
    for (const offer of this.rentable(spec, zones)) {
      if (spotOnly && !offer.spot) continue;
      const { machineType } = offer;
      const price = offer.spot ? machineType.spotPrice : machineType.price;
      const costPerTask =
        price / Math.min(fitCount(spec, machineType), lacking);
      if (costPerTask < lowestCost) {
        cheapest = offer;
        lowestCost = costPerTask;
      }
    }
    return cheapest;
  }

  /** Plans machines of this offer for as many of the tasks as it allows; returns how many tasks still lack a place. */
  private add(spec: JobSpec, lacking: number, offer: RentableOffer): number {
    const { machineType, zone, spot, maxMachines } = offer;
    const tasksPerMachine = fitCount(spec, machineType);
    const rental: PlannedRental = {
      type: machineType.name,
      zone,
      spot,
      count: Math.min(maxMachines, Math.ceil(lacking / tasksPerMachine)),
    };
    const earlier = this.rentals.find((other) => isSameOffer(other, rental));
    if (earlier) earlier.count += rental.count;
    else this.rentals.push(rental);
    // What its tasks leave free of the new machines is there for the jobs behind it.
    const added = Array.from({ length: rental.count }, () => ({
      type: rental.type,
      zone,
      spot,
      isReserved: false,
      free: resourcesOf(machineType),
    }));
    for (const place of added) this.places.push(place);
    return takePlaces(spec, lacking, added);
  }
}
