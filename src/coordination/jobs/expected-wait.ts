/**
 * Estimates how long a job would wait in a partition, from its capacity record. Owns no state.
 */
import type { CapacityRecord } from "../../storage/records.js";
import type { JobSpec, MachineType } from "../model.js";
import { canRunOn, isSuitable } from "../scheduling/placement.js";
import {
  fastestRentableType,
  type CapablePartition,
  slotsOnAllMachines,
  type UndividedJobSlots,
  backlogAhead,
} from "./partition-capacity.js";

/** Time from a preemption request until the preempted tasks have saved their checkpoints and exited. */
const PREEMPTION_DELAY_S = 12;
/** Added to the boot time of a rented machine. */
const RENTAL_OVERHEAD_S = 5;
/** Assumed run time of a task without an estimate. */
const DEFAULT_ESTIMATE_S = 120;
/** Expected wait where the free slots suffice for the job, but not also for the backlog ahead, which may be about to take them. */
const CONTENDED_SLOTS_WAIT_S = 1;

/**
 * Expected wait of a task in a partition without a free slot: until a rented machine has booted, with one second more for each
 * queued task; or, if none can be rented, until the tasks ahead have run.
 */
export function expectedWaitS(
  spec: JobSpec,
  zones: readonly string[],
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  queuedTasks: number,
): number {
  const rentable = fastestRentableType(spec, zones, capacity, catalog);
  if (rentable) return rentable.bootS + RENTAL_OVERHEAD_S + queuedTasks;
  const workS = (queuedTasks + 1) * (spec.estimateS || DEFAULT_ESTIMATE_S);
  return workS / slotsOnAllMachines(spec, capacity, catalog);
}

/** Expected wait of an undivided job in a partition: none, for preemption, for machines to boot, or for other tasks to end. */
export function expectedUndividedWaitS(
  spec: JobSpec,
  { zones }: CapablePartition,
  slots: UndividedJobSlots,
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
): number {
  const neededSlots = spec.tasks + backlogAhead(spec, capacity);
  if (slots.free >= neededSlots) return 0;
  if (slots.free >= spec.tasks) return CONTENDED_SLOTS_WAIT_S;
  if (slots.afterPreemption >= neededSlots) return PREEMPTION_DELAY_S;
  const bootTimesS = catalog
    .filter(
      (type) =>
        isSuitable(spec, type, spec.spot, catalog) &&
        zones.some((zone) => canRunOn(spec, type, zone)),
    )
    .map(({ bootS }) => bootS);
  const rentalS = Math.min(...bootTimesS) + RENTAL_OVERHEAD_S;
  const missingSlots = neededSlots - slots.afterRental;
  if (missingSlots <= 0) return rentalS;
  const workS = missingSlots * (spec.estimateS || DEFAULT_ESTIMATE_S);
  return rentalS + workS / slotsOnAllMachines(spec, capacity, catalog);
}
