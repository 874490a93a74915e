/**
 * Computes from a partition's capacity record how many slots it has for one job: free now, after preempting lower priorities
 * and after renting machines. A slot is capacity for one task of the job. Owns no state.
 */
import type { CapacityRecord, CapacityRow } from "../../storage/records.js";
import type { PartitionMap } from "../leadership/partition-map.js";
import { type JobSpec, type MachineType, PRIORITIES } from "../model.js";
import {
  canRunOn,
  capacityOf,
  fitCount,
  isAllowedOn,
  isSuitable,
  offerKey,
} from "../scheduling/placement.js";

/** A partition without machines counts as having this many slots, so that expected waits stay finite. */
const MIN_SLOTS = 0.1;

/** A partition that may run a job. */
export interface CapablePartition {
  partition: string;
  /** Zones of the partition where a machine type that can run the job is offered. */
  zones: string[];
}

/** The partitions with a zone where a task of the job can run. */
export function capablePartitions(
  spec: JobSpec,
  catalog: readonly MachineType[],
  partitions: PartitionMap,
): CapablePartition[] {
  const zones = new Set<string>();
  for (const type of catalog)
    for (const zone of type.zones)
      if (canRunOn(spec, type, zone)) zones.add(zone);
  return partitions.names
    .map((partition) => ({
      partition,
      zones: [...zones]
        .filter((zone) => partitions.partitionOf(zone) === partition)
        .sort(),
    }))
    .filter(({ zones: capable }) => capable.length > 0);
}

/** Tasks of a job that fit into a partition's free capacity; `usesReserved` includes machines reserved for short tasks. */
function freeSlotsFor(
  spec: JobSpec,
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  usesReserved: boolean,
): number {
  if (!capacity) return 0;
  let slots = 0;
  for (const row of capacity.rows) {
    if (!mayUseRow(spec, row, catalog)) continue;
    const kinds = usesReserved ? [...row.free, ...row.reserved] : row.free;
    for (const [cpus, gpus, memGb, machines] of kinds)
      slots += machines * fitCount(spec, capacityOf({ cpus, gpus, memGb }));
  }
  return slots;
}

/** Whether a job's tasks may run on the machines of a row. */
function mayUseRow(
  spec: JobSpec,
  row: CapacityRow,
  catalog: readonly MachineType[],
): boolean {
  if (!isAllowedOn(spec, row.type, row.zone, row.spot)) return false;
  const type = catalog.find(({ name }) => name === row.type) ?? null;
  return isSuitable(spec, type, row.spot, catalog);
}

/**
 * Slots on machines where preempting lower priorities would free some, within a few seconds of the request; they include
 * the slots already free there. Without them, many small tasks of one team on all machines of a partition sent the
 * high-priority work of other teams to other partitions, where it waited for minutes
 * (docs/incidents/claimdesk-ops-visitors.md).
 */
function preemptibleSlotsFor(
  spec: JobSpec,
  rows: readonly CapacityRow[],
  catalog: readonly MachineType[],
): number {
  const priority = PRIORITIES.indexOf(spec.priority);
  let slots = 0;
  for (const row of rows) {
    if (!row.preemptible?.length || !mayUseRow(spec, row, catalog)) continue;
    for (const [
      cpus,
      gpus,
      memGb,
      machines,
      minPriority,
      maxPriority,
    ] of row.preemptible)
      if (priority >= minPriority && priority <= maxPriority)
        slots += machines * fitCount(spec, capacityOf({ cpus, gpus, memGb }));
  }
  return slots;
}

/**
 * Tasks in a partition's backlog of the job's kind that have at least the job's priority, since lower ones do not delay it;
 * all tasks of that backlog if the record does not count them by priority.
 */
export function backlogAhead(
  spec: JobSpec,
  capacity: CapacityRecord | undefined,
): number {
  const kind = backlogKindOf(spec);
  const queue =
    capacity?.queueByMinPriority?.[PRIORITIES.indexOf(spec.priority)];
  return queue ? queue[kind === "plain" ? 0 : 1] : (capacity?.queue[kind] ?? 0);
}

/** Tasks that were assigned to a partition and may be missing from its capacity record. */
export interface PendingAssignment {
  spec: JobSpec;
  tasks: number;
}

/** The backlog that a job's tasks wait in: tasks with accelerators need other machines than those without. */
export const backlogKindOf = (spec: JobSpec): "plain" | "accelerated" =>
  spec.gpus > 0 ? "accelerated" : "plain";

/** Free slots for a job in a partition, less the tasks assigned to it since it wrote its record. */
export function availableSlots(
  spec: JobSpec,
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  usesReserved: boolean,
  pending: readonly PendingAssignment[] = [],
): number {
  return Math.max(
    0,
    freeSlotsFor(spec, capacity, catalog, usesReserved) -
      pendingTasksOf(spec, pending),
  );
}

/** Slots of a partition for a job that is not divided among partitions; each number includes the ones before it. */
export interface UndividedJobSlots {
  free: number;
  afterPreemption: number;
  afterRental: number;
}

/**
 * Slots for a job that is not divided, less the tasks assigned to the partition since it wrote its record. With
 * `samePlace` one zone must hold all tasks, so the zone with the most slots counts instead of the sum over the zones.
 */
export function slotsForUndividedJob(
  spec: JobSpec,
  zones: readonly string[],
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  usesReserved: boolean,
  pending: readonly PendingAssignment[] = [],
): UndividedJobSlots {
  const best: UndividedJobSlots = {
    free: 0,
    afterPreemption: 0,
    afterRental: 0,
  };
  const sum: UndividedJobSlots = {
    free: 0,
    afterPreemption: 0,
    afterRental: 0,
  };
  for (const zone of zones) {
    const inZone = slotsInZone(spec, zone, capacity, catalog, usesReserved);
    for (const stage of ["free", "afterPreemption", "afterRental"] as const) {
      sum[stage] += inZone[stage];
      best[stage] = Math.max(best[stage], inZone[stage]);
    }
  }
  const total = spec.samePlace ? best : sum;
  const pendingTasks = pendingTasksOf(spec, pending);
  return {
    free: Math.max(0, total.free - pendingTasks),
    afterPreemption: Math.max(0, total.afterPreemption - pendingTasks),
    afterRental: Math.max(0, total.afterRental - pendingTasks),
  };
}

function slotsInZone(
  spec: JobSpec,
  zone: string,
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  usesReserved: boolean,
): UndividedJobSlots {
  const rows = capacity?.rows.filter((row) => row.zone === zone) ?? [];
  const free = capacity
    ? freeSlotsFor(spec, { ...capacity, rows }, catalog, usesReserved)
    : 0;
  const afterPreemption = free + preemptibleSlotsFor(spec, rows, catalog);
  const soldOut = new Set(capacity?.soldOut);
  let afterRental = afterPreemption;
  for (const { type, spot } of suitableOffers(spec, zone, catalog)) {
    const key = offerKey(type.name, zone, spot);
    const machines =
      capacity?.left.get(key) ?? (soldOut.has(key) ? 0 : Infinity);
    if (machines > 0)
      afterRental += machines * fitCount(spec, capacityOf(type));
  }
  return { free, afterPreemption, afterRental };
}

/** A machine type offered at its on-demand or its spot price. */
interface SuitableOffer {
  type: MachineType;
  spot: boolean;
}

/** Offers of a zone whose machines can run a job's tasks. */
function* suitableOffers(
  spec: JobSpec,
  zone: string,
  catalog: readonly MachineType[],
): Generator<SuitableOffer> {
  for (const type of catalog) {
    if (!canRunOn(spec, type, zone)) continue;
    for (const spot of spec.spot ? [false, true] : [false])
      if (isSuitable(spec, type, spot, catalog)) yield { type, spot };
  }
}

/** Tasks assigned to a partition since it wrote its record, converted by CPUs into tasks of this job's size. */
function pendingTasksOf(
  spec: JobSpec,
  pending: readonly PendingAssignment[],
): number {
  const kind = backlogKindOf(spec);
  let tasks = 0;
  for (const assigned of pending) {
    if (backlogKindOf(assigned.spec) !== kind) continue;
    const ratio = spec.cpus > 0 ? assigned.spec.cpus / spec.cpus : 1;
    tasks += assigned.tasks * Math.max(1, Math.ceil(ratio));
  }
  return tasks;
}

/** The machine type with the shortest boot time among those that a partition may rent for a job and has not recently found sold out. */
export function fastestRentableType(
  spec: JobSpec,
  zones: readonly string[],
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
): MachineType | null {
  const soldOut = new Set(capacity?.soldOut);
  let best: MachineType | null = null;
  for (const type of catalog)
    for (const zone of zones)
      for (const spot of spec.spot ? [false, true] : [false])
        if (
          canRunOn(spec, type, zone) &&
          isSuitable(spec, type, spot, catalog) &&
          !soldOut.has(offerKey(type.name, zone, spot)) &&
          (!best || type.bootS < best.bootS)
        )
          best = type;
  return best;
}

/** Slots for a job on all machines of a partition, as if nothing else ran on them. */
export function slotsOnAllMachines(
  spec: JobSpec,
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
): number {
  let slots = 0;
  for (const row of capacity?.rows ?? []) {
    const type = catalog.find(({ name }) => name === row.type);
    if (type && mayUseRow(spec, row, catalog))
      slots += row.machines * fitCount(spec, capacityOf(type));
  }
  return Math.max(MIN_SLOTS, slots);
}
