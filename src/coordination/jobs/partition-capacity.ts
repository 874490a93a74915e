/**
 * What a partition's capacity record says about one job: places that are free now, once lower priorities are preempted
 * and once machines are rented. Owns no state.
 */
import type { CapacityRecord, CapacityRow } from "../../storage/records.js";
import type { PartitionMap } from "../leadership/partition-map.js";
import { type JobSpec, type MachineType, PRIORITIES } from "../model.js";
import {
  canRunOn,
  fitCount,
  isAllowedOn,
  isSuitable,
  offerKey,
} from "../scheduling/placement.js";

/** A partition without machines counts as so many places: expected waits stay finite. */
const MIN_PLACES = 0.1;

/** A partition that may run a job. */
export interface CapablePartition {
  partition: string;
  /** Zones of the partition where some allowed type is offered. */
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

/** Tasks of a job that fit into a partition's free capacity. */
function placesFor(
  spec: JobSpec,
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  isShort: boolean,
): number {
  if (!capacity) return 0;
  let places = 0;
  for (const row of capacity.rows) {
    if (!mayUseRow(spec, row, catalog)) continue;
    const kinds = isShort ? [...row.free, ...row.reserved] : row.free;
    for (const [cpus, gpus, memGb, machines] of kinds)
      places += machines * fitCount(spec, { cpus, gpus, memGb });
  }
  return places;
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
 * Tasks of a job that a partition can run, beside what is free, once work of lower priority is preempted: a few seconds
 * after it asks. Without it another team's many small tasks on all machines of a partition sent all high-priority work
 * to the others, where it waited for minutes (docs/incidents/claimdesk-ops-visitors.md).
 */
function reclaimablePlacesFor(
  spec: JobSpec,
  rows: readonly CapacityRow[],
  catalog: readonly MachineType[],
): number {
  const priority = PRIORITIES.indexOf(spec.priority);
  let places = 0;
  for (const row of rows) {
    if (!row.reclaimable?.length || !mayUseRow(spec, row, catalog)) continue;
    for (const [cpus, gpus, memGb, machines, from, to] of row.reclaimable)
      if (priority >= from && priority <= to)
        places += machines * fitCount(spec, { cpus, gpus, memGb });
  }
  return places;
}

/** Tasks that wait in a partition and come before a job or beside it: lower priorities do not keep it waiting. */
export function backlogAhead(
  spec: JobSpec,
  capacity: CapacityRecord | undefined,
): number {
  const kind = backlogKindOf(spec);
  const from =
    capacity?.queueByMinPriority?.[PRIORITIES.indexOf(spec.priority)];
  return from ? from[kind === "plain" ? 0 : 1] : (capacity?.queue[kind] ?? 0);
}

/** Tasks that were assigned to a partition and that its capacity record may not show yet. */
export interface PendingAssignment {
  spec: JobSpec;
  tasks: number;
}

/** Which backlog of a partition a job's tasks are in: those that need accelerators wait for other machines. */
export const backlogKindOf = (spec: JobSpec): "plain" | "accelerated" =>
  spec.gpus > 0 ? "accelerated" : "plain";

/** Tasks of a job that a partition can start at once, less what was assigned to it since it wrote its record. */
export function availableSlots(
  spec: JobSpec,
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  isShort: boolean,
  pending: readonly PendingAssignment[] = [],
): number {
  return Math.max(
    0,
    placesFor(spec, capacity, catalog, isShort) - pendingTasksOf(spec, pending),
  );
}

/** Tasks of a job that a partition can start: now, once lower priorities are preempted, and once machines are rented too. */
export interface UndividedJobSlots {
  free: number;
  afterPreemption: number;
  afterRental: number;
}

/**
 * Places for a job that is not divided, less what was assigned to the partition since it wrote its record. With
 * `samePlace` one zone must hold all tasks, so the best zone counts and zones are not added up.
 */
export function slotsForUndividedJob(
  spec: JobSpec,
  zones: readonly string[],
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  isShort: boolean,
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
    const inZone = placesInZone(spec, zone, capacity, catalog, isShort);
    for (const when of ["free", "afterPreemption", "afterRental"] as const) {
      sum[when] += inZone[when];
      best[when] = Math.max(best[when], inZone[when]);
    }
  }
  const places = spec.samePlace ? best : sum;
  const taken = pendingTasksOf(spec, pending);
  return {
    free: Math.max(0, places.free - taken),
    afterPreemption: Math.max(0, places.afterPreemption - taken),
    afterRental: Math.max(0, places.afterRental - taken),
  };
}

function placesInZone(
  spec: JobSpec,
  zone: string,
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  isShort: boolean,
): UndividedJobSlots {
  const rows = capacity?.rows.filter((row) => row.zone === zone) ?? [];
  const now = capacity
    ? placesFor(spec, { ...capacity, rows }, catalog, isShort)
    : 0;
  const yields = now + reclaimablePlacesFor(spec, rows, catalog);
  const soldOut = new Set(capacity?.soldOut);
  let soon = yields;
  for (const { type, spot } of suitableOffers(spec, zone, catalog)) {
    const key = offerKey(type.name, zone, spot);
    const machines =
      capacity?.left.get(key) ?? (soldOut.has(key) ? 0 : Infinity);
    if (machines > 0) soon += machines * fitCount(spec, type);
  }
  return { free: now, afterPreemption: yields, afterRental: soon };
}

/** A machine type at its ordinary or its spot price. */
interface SuitableOffer {
  type: MachineType;
  spot: boolean;
}

/** Offers of a zone that a job's tasks may run on. */
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

/** What was assigned to a partition since it wrote its record, in tasks of this job's size. */
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

/** Of the machine types that a partition may rent for a job and did not find sold out lately, the one that boots first. */
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

/** Places for a job's tasks on all machines of a partition, whatever runs there now. */
export function placesOnAllMachines(
  spec: JobSpec,
  capacity: CapacityRecord | undefined,
  catalog: readonly MachineType[],
): number {
  let places = 0;
  for (const row of capacity?.rows ?? []) {
    const type = catalog.find(({ name }) => name === row.type);
    if (type && mayUseRow(spec, row, catalog))
      places += row.machines * fitCount(spec, type);
  }
  return Math.max(MIN_PLACES, places);
}
