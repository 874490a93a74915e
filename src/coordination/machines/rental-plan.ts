/**
 * One plan of machines to rent. Owns the list of machines (running, booting or planned) and the rentals planned so far, while
 * jobs take their slots from it one after the other. A slot is the capacity for one task.
 */
import type { Context } from "../context.js";
import type { EffectivePriority, JobSpec } from "../model.js";
import { capacityOf, fitCount, subtractTask } from "../scheduling/placement.js";
import {
  isSameOffer,
  type CapacityOffers,
  type MachineCapacity,
  type PlannedRental,
  type RentableOffer,
} from "./capacity-offers.js";
import { isOnlySpotWorthwhile } from "./rental-timing.js";

/** How many tasks of the job fit on these machines in total. */
export const countSlots = (
  spec: JobSpec,
  machines: readonly MachineCapacity[],
): number =>
  machines.reduce((sum, machine) => sum + fitCount(spec, machine.free), 0);

/** Takes slots for `taskCount` tasks from the machines in order. Returns how many tasks found no slot. */
export function takeSlots(
  spec: JobSpec,
  taskCount: number,
  machines: readonly MachineCapacity[],
): number {
  let unplaced = taskCount;
  for (const machine of machines) {
    if (unplaced === 0) break;
    const takenCount = Math.min(unplaced, fitCount(spec, machine.free));
    for (let i = 0; i < takenCount; i++) subtractTask(machine.free, spec);
    unplaced -= takenCount;
  }
  return unplaced;
}

/** The rentals of one plan, computed job by job. */
export class RentalPlan {
  /** In the order in which they are to be requested. */
  readonly rentals: PlannedRental[] = [];
  /** How many more machines of an offer can be rented, by offer key; only offers for which this is known. */
  private readonly remainingByOffer: ReadonlyMap<string, number>;

  /** `machines`: running and booting machines. Planned machines are added to the list. */
  constructor(
    private readonly ctx: Context,
    private readonly offers: CapacityOffers,
    readonly machines: MachineCapacity[],
  ) {
    this.remainingByOffer = offers.remainingByOffer();
  }

  /** All machines that the job may use, including those without free resources. */
  machinesServing(spec: JobSpec): MachineCapacity[] {
    return this.machines.filter((machine) => this.offers.serves(spec, machine));
  }

  /** How many tasks of the job could run on machines that can still be rented in these zones. */
  countRentable(spec: JobSpec, zones: readonly string[]): number {
    let taskCount = 0;
    for (const offer of this.rentableOffers(spec, zones))
      taskCount +=
        offer.maxMachines * fitCount(spec, capacityOf(offer.machineType));
    return taskCount;
  }

  /**
   * Plans machines for `taskCount` tasks, from the offers with the lowest cost per slot. Returns whether any could be planned.
   * `priority`: null for warm capacity.
   */
  rentFor(
    spec: JobSpec,
    priority: EffectivePriority | null,
    taskCount: number,
    zones: readonly string[],
  ): boolean {
    const spotOnly = isOnlySpotWorthwhile(this.ctx, spec, priority);
    let unplaced = taskCount;
    while (unplaced > 0) {
      const offer = this.cheapestOffer(spec, unplaced, zones, spotOnly);
      if (!offer) break;
      unplaced = this.addRental(spec, unplaced, offer);
    }
    return unplaced < taskCount;
  }

  private rentableOffers(
    spec: JobSpec,
    zones: readonly string[],
  ): Generator<RentableOffer> {
    return this.offers.rentableOffers(
      spec,
      zones,
      this.remainingByOffer,
      this.rentals,
    );
  }

  private cheapestOffer(
    spec: JobSpec,
    unplaced: number,
    zones: readonly string[],
    spotOnly: boolean,
  ): RentableOffer | null {
    let cheapest: RentableOffer | null = null;
    let lowestCost = Infinity;
    for (const offer of this.rentableOffers(spec, zones)) {
      if (spotOnly && !offer.spot) continue;
      const { machineType } = offer;
      const price = offer.spot ? machineType.spotPrice : machineType.price;
      const costPerTask =
        price / Math.min(fitCount(spec, capacityOf(machineType)), unplaced);
      if (costPerTask < lowestCost) {
        cheapest = offer;
        lowestCost = costPerTask;
      }
    }
    return cheapest;
  }

  /** Plans machines of this offer for as many tasks as it allows. Returns how many tasks still lack a slot. */
  private addRental(
    spec: JobSpec,
    unplaced: number,
    offer: RentableOffer,
  ): number {
    const { machineType, zone, spot, maxMachines } = offer;
    const tasksPerMachine = fitCount(spec, capacityOf(machineType));
    const rental: PlannedRental = {
      type: machineType.name,
      zone,
      spot,
      count: Math.min(maxMachines, Math.ceil(unplaced / tasksPerMachine)),
    };
    const existing = this.rentals.find((other) => isSameOffer(other, rental));
    if (existing) existing.count += rental.count;
    else this.rentals.push(rental);
    // Later jobs may use the slots that this job's tasks leave free on the new machines.
    const addedMachines = Array.from({ length: rental.count }, () => ({
      type: rental.type,
      zone,
      spot,
      isReserved: false,
      free: capacityOf(machineType),
    }));
    for (const machine of addedMachines) this.machines.push(machine);
    return takeSlots(spec, unplaced, addedMachines);
  }
}
