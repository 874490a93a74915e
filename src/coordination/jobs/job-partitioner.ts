/**
 * Divides a job's tasks among partitions by the latest capacity record of each, as section 2.2 of the Pigeon paper suggests.
 * Owns no state.
 */
import type { CapacityRecord } from "../../storage/records.js";
import type { JobSpec, MachineType } from "../model.js";
import { maxTasksPerZone, staysUndivided } from "../scheduling/placement.js";
import { expectedWaitS, expectedUndividedWaitS } from "./expected-wait.js";
import {
  backlogKindOf,
  type CapablePartition,
  type PendingAssignment,
  slotsForUndividedJob,
  availableSlots,
  backlogAhead,
} from "./partition-capacity.js";
import { RangeSet } from "./range-set.js";

const FNV_OFFSET_BASIS = 2166136261;
const FNV_PRIME = 16777619;

/** Inputs for dividing a job that are the same for all partitions. */
interface CapacityView {
  readonly capacities: ReadonlyMap<string, CapacityRecord>;
  readonly catalog: readonly MachineType[];
  readonly usesReserved: boolean;
  readonly pending: ReadonlyMap<string, readonly PendingAssignment[]>;
}

interface WeightedPartition extends CapablePartition {
  /** Tasks of the job that can start at once. */
  freeSlots: number;
  /** Inverse of the expected wait in seconds of tasks that find no free slot. */
  startRate: number;
  /** Most tasks of the job that its zones may hold. */
  maxTasks: number;
}

/**
 * Maps an id to an index below `count` by its FNV-1a hash. It spreads work over equal candidates without a random source,
 * since the core is deterministic.
 */
export function hashToIndex(id: string, count: number): number {
  let hash = FNV_OFFSET_BASIS;
  for (const character of id)
    hash = Math.imul(hash ^ character.charCodeAt(0), FNV_PRIME) >>> 0;
  return hash % count;
}

/** Returns a copy of an assignment in which these tasks have moved from one partition to another. */
export function reassignTasks(
  assignment: ReadonlyMap<string, RangeSet>,
  from: string,
  tasks: RangeSet,
  to: string,
): Map<string, RangeSet> {
  const changed = new Map(
    [...assignment].map(([partition, assigned]) => [
      partition,
      assigned.clone(),
    ]),
  );
  changed.get(from)?.removeAll(tasks);
  const received = changed.get(to) ?? RangeSet.empty();
  received.addAll(tasks);
  changed.set(to, received);
  return changed;
}

/**
 * Divides a job's tasks among the partitions that can run it. Every task is assigned: tasks without a free slot go where they
 * are expected to start first.
 */
export function partitionJob(
  spec: JobSpec,
  capable: readonly CapablePartition[],
  capacities: ReadonlyMap<string, CapacityRecord>,
  catalog: readonly MachineType[],
  usesReserved: boolean,
  pending: ReadonlyMap<string, readonly PendingAssignment[]>,
): Map<string, RangeSet> {
  const view: CapacityView = { capacities, catalog, usesReserved, pending };
  const start = hashToIndex(spec.id, capable.length);
  const weighted = [...capable.slice(start), ...capable.slice(0, start)].map(
    (partition) => weighPartition(spec, partition, view),
  );
  if (staysUndivided(spec)) return assignUndivided(spec, weighted, view);
  const distribution = new TaskDistribution(spec.tasks, weighted);
  distribution.fillFreeSlots();
  distribution.fillRemainingSlots();
  distribution.divideByExpectedWait();
  distribution.assignRest();
  return distribution.assignment();
}

function weighPartition(
  spec: JobSpec,
  partition: CapablePartition,
  { capacities, catalog, usesReserved, pending }: CapacityView,
): WeightedPartition {
  const capacity = capacities.get(partition.partition);
  const pendingAssignments = pending.get(partition.partition) ?? [];
  let queuedTasks = backlogAhead(spec, capacity);
  for (const other of pendingAssignments)
    if (backlogKindOf(other.spec) === backlogKindOf(spec))
      queuedTasks += other.tasks;
  const waitS = expectedWaitS(
    spec,
    partition.zones,
    capacity,
    catalog,
    queuedTasks,
  );
  return {
    ...partition,
    freeSlots: availableSlots(
      spec,
      capacity,
      catalog,
      usesReserved,
      pendingAssignments,
    ),
    startRate: 1 / waitS,
    maxTasks: maxTasksPerZone(spec) * partition.zones.length,
  };
}

/**
 * Assigns an undivided job to the partition where it is expected to start first. A gang with `spread` that needs more zones
 * than any partition has is divided among as few of them as possible, in this order.
 */
function assignUndivided(
  spec: JobSpec,
  weighted: readonly WeightedPartition[],
  view: CapacityView,
): Map<string, RangeSet> {
  const ranked = rankForUndivided(spec, weighted, view);
  const assignment = new Map<string, RangeSet>();
  let next = 0;
  for (const { partition, maxTasks } of ranked) {
    const tasks = Math.min(maxTasks, spec.tasks - next);
    if (tasks > 0) assignment.set(partition, rangeFrom(next, tasks));
    next += tasks;
  }
  const isComplete = next >= spec.tasks && !spec.samePlace;
  const [first] = ranked;
  // All partitions together have too few zones, or the job requires one zone (`samePlace`) and two (`spread`) at once: it
  // waits in one partition until the zones allow it.
  if (!isComplete && first)
    return new Map([[first.partition, RangeSet.upTo(spec.tasks)]]);
  return assignment;
}

/**
 * Partitions with enough zones for an undivided job, or all if none has enough. Sorted by expected wait, then by free slots,
 * most first.
 */
function rankForUndivided(
  spec: JobSpec,
  weighted: readonly WeightedPartition[],
  { capacities, catalog, usesReserved, pending }: CapacityView,
): WeightedPartition[] {
  const sufficient = weighted.filter(({ maxTasks }) => maxTasks >= spec.tasks);
  const rated = (sufficient.length > 0 ? sufficient : weighted).map(
    (candidate) => {
      const capacity = capacities.get(candidate.partition);
      const slots = slotsForUndividedJob(
        spec,
        candidate.zones,
        capacity,
        catalog,
        usesReserved,
        pending.get(candidate.partition),
      );
      const waitS = expectedUndividedWaitS(
        spec,
        candidate,
        slots,
        capacity,
        catalog,
      );
      return { candidate, freeSlots: slots.free, waitS };
    },
  );
  rated.sort(
    (first, second) =>
      first.waitS - second.waitS || second.freeSlots - first.freeSlots,
  );
  return rated.map(({ candidate }) => candidate);
}

/** Divides a job's tasks among partitions in phases; each phase divides the tasks that the earlier ones left unassigned. */
class TaskDistribution {
  private readonly taskCounts = new Map<WeightedPartition, number>();
  private unassigned: number;

  constructor(
    private readonly tasks: number,
    private readonly partitions: readonly WeightedPartition[],
  ) {
    this.unassigned = tasks;
  }

  /** Assigns tasks to free slots, in proportion to each partition's number of them. */
  fillFreeSlots(): void {
    const totalSlots = this.partitions.reduce(
      (sum, partition) => sum + usableSlots(partition),
      0,
    );
    if (totalSlots <= 0) return;
    const share = Math.min(1, this.tasks / totalSlots);
    for (const partition of this.partitions)
      this.assign(
        partition,
        Math.min(this.unassigned, Math.floor(usableSlots(partition) * share)),
      );
  }

  /** Fills slots that stayed free because shares were rounded down: one task each, to the partitions with the most of them. */
  fillRemainingSlots(): void {
    for (
      let round = 0;
      this.unassigned > 0 && round < this.partitions.length;
      round++
    ) {
      const partition = this.highestScored((candidate) =>
        this.isFull(candidate)
          ? -1
          : usableSlots(candidate) - this.assignedTo(candidate),
      );
      const freeSlots = Math.max(
        0,
        usableSlots(partition) - this.assignedTo(partition),
      );
      this.assign(partition, Math.min(1, this.unassigned, freeSlots));
    }
  }

  /** Assigns tasks without a free slot, in inverse proportion to the expected wait. */
  divideByExpectedWait(): void {
    const notFull = this.partitions.filter(
      (partition) => !this.isFull(partition),
    );
    const totalStartRate =
      notFull.reduce((sum, partition) => sum + partition.startRate, 0) || 1;
    const rest = this.unassigned;
    for (const partition of notFull) {
      const share = Math.floor((rest * partition.startRate) / totalStartRate);
      const allowed = partition.maxTasks - this.assignedTo(partition);
      this.assign(partition, Math.min(this.unassigned, share, allowed));
    }
  }

  /**
   * Assigns what rounding and zone limits left over to the partition expected to start it first, beyond its limit if all are
   * full.
   */
  assignRest(): void {
    while (this.unassigned > 0) {
      const partition = this.highestScored((candidate) =>
        this.isFull(candidate)
          ? -1
          : candidate.startRate / (1 + this.assignedTo(candidate)),
      );
      const batch = Math.max(
        1,
        Math.floor(this.unassigned / this.partitions.length),
      );
      const allowed = partition.maxTasks - this.assignedTo(partition);
      this.assign(
        partition,
        this.isFull(partition)
          ? this.unassigned
          : Math.min(this.unassigned, batch, allowed),
      );
    }
  }

  /** The assignment as ranges of consecutive tasks. */
  assignment(): Map<string, RangeSet> {
    const assignment = new Map<string, RangeSet>();
    let next = 0;
    for (const partition of this.partitions) {
      const tasks = this.assignedTo(partition);
      if (tasks > 0)
        assignment.set(partition.partition, rangeFrom(next, tasks));
      next += tasks;
    }
    return assignment;
  }

  private assignedTo(partition: WeightedPartition): number {
    return this.taskCounts.get(partition) ?? 0;
  }

  private assign(partition: WeightedPartition, tasks: number): void {
    this.taskCounts.set(partition, this.assignedTo(partition) + tasks);
    this.unassigned -= tasks;
  }

  private isFull(partition: WeightedPartition): boolean {
    return this.assignedTo(partition) >= partition.maxTasks;
  }

  /** The partition with the highest score; of equal ones, the first. */
  private highestScored(
    score: (partition: WeightedPartition) => number,
  ): WeightedPartition {
    return this.partitions.reduce((best, candidate) =>
      score(candidate) > score(best) ? candidate : best,
    );
  }
}

/** Free slots within the limit of the partition's zones. */
const usableSlots = ({ freeSlots, maxTasks }: WeightedPartition): number =>
  Math.min(freeSlots, maxTasks);

const rangeFrom = (first: number, tasks: number): RangeSet =>
  RangeSet.of([[first, first + tasks - 1]]);
