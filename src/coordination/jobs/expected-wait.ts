/**
 * Estimates how long a job would wait in a partition, from its capacity record. Owns no state.
 */
import type { CapacityRecord } from "../../storage/records.js";
import type { JobSpec, MachineType } from "../model.js";
import { canRunOn, isSuitable } from "../scheduling/placement.js";
import {
  fastestRentableType,
  type CapablePartition,
  placesOnAllMachines,
  type UndividedJobSlots,
  backlogAhead,
} from "./partition-capacity.js";

/** From the request until preempted work has saved its progress and is gone, in seconds. */
const PREEMPTION_DELAY_S = 12;
/** Allowed for beside the boot time of a rented machine, in seconds. */
const RENTAL_OVERHEAD_S = 5;
/** For jobs without an estimate, in seconds a task. */
const DEFAULT_ESTIMATE_S = 120;
/** There is room for the job, but what waits there does not fit yet and may be keeping it: a little worse than room for all. */
const CONTENDED_ROOM_WAIT_S = 1;

/** How long a task would wait in a partition without room, in seconds: for a machine to boot, or for its turn. */
export function expectedWaitS(
  spec: JobSpec,
  zones: readonly string[],
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  waiting: number,
): number {
  const rentable = fastestRentableType(spec, zones, capacity, catalog);
  if (rentable) return rentable.bootS + RENTAL_OVERHEAD_S + waiting;
  const workS = (waiting + 1) * (spec.estimateS || DEFAULT_ESTIMATE_S);
  return workS / placesOnAllMachines(spec, capacity, catalog);
}

/** How long an undivided job would wait in a partition, in seconds: not at all, for machines to boot, or for others to finish. */
export function expectedWholeWaitS(
  spec: JobSpec,
  { zones }: CapablePartition,
  places: UndividedJobSlots,
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
): number {
  const needed = spec.tasks + backlogAhead(spec, capacity);
  if (places.free >= needed) return 0;
  if (places.free >= spec.tasks) return CONTENDED_ROOM_WAIT_S;
  if (places.afterPreemption >= needed) return PREEMPTION_DELAY_S;
  const bootTimesS = catalog
    .filter(
      (type) =>
        isSuitable(spec, type, spec.spot, catalog) &&
        zones.some((zone) => canRunOn(spec, type, zone)),
    )
    .map(({ bootS }) => bootS);
  const rentalS = Math.min(...bootTimesS) + RENTAL_OVERHEAD_S;
  const lacking = needed - places.afterRental;
  if (lacking <= 0) return rentalS;
  const workS = lacking * (spec.estimateS || DEFAULT_ESTIMATE_S);
  return rentalS + workS / placesOnAllMachines(spec, capacity, catalog);
}
