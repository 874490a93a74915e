/**
 * Divides a job's tasks among partitions by the capacity that each last wrote (Pigeon's suggestion, section 2.2). Owns no
 * state.
 */
import type { CapacityRecord } from "../../storage/records.js";
import type { JobSpec, MachineType } from "../model.js";
import { maxTasksPerZone, startsWhole } from "../scheduling/placement.js";
import { expectedWaitS, expectedWholeWaitS } from "./expected-wait.js";
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

/** What is known of the partitions when a job is divided. */
interface CapacityView {
  readonly capacities: ReadonlyMap<string, CapacityRecord>;
  readonly catalog: readonly MachineType[];
  readonly isShort: boolean;
  readonly pending: ReadonlyMap<string, readonly PendingAssignment[]>;
}

interface WeightedPartition extends CapablePartition {
  /** Tasks that fit at once. */
  room: number;
  /** How fast it may come to the rest: the inverse of the expected wait in seconds. */
  speed: number;
  /** Tasks that its zones may hold at most. */
  limit: number;
}

/** A fixed shuffle by job id (FNV-1a): equal partitions take turns without a source of chance in the core. */
export function hashToIndex(id: string, count: number): number {
  let hash = FNV_OFFSET_BASIS;
  for (const character of id)
    hash = Math.imul(hash ^ character.charCodeAt(0), FNV_PRIME) >>> 0;
  return hash % count;
}

/** An assignment with these tasks of one partition given to another. */
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
 * Divides a job's tasks among the partitions that can run it. All its tasks go somewhere: those without room wait where
 * they are expected to start first.
 */
export function partitionJob(
  spec: JobSpec,
  capable: readonly CapablePartition[],
  capacities: ReadonlyMap<string, CapacityRecord>,
  catalog: readonly MachineType[],
  isShort: boolean,
  pending: ReadonlyMap<string, readonly PendingAssignment[]>,
): Map<string, RangeSet> {
  const view: CapacityView = { capacities, catalog, isShort, pending };
  const start = hashToIndex(spec.id, capable.length);
  const weighted = [...capable.slice(start), ...capable.slice(0, start)].map(
    (partition) => weighPartition(spec, partition, view),
  );
  if (startsWhole(spec)) return assignWhole(spec, weighted, view);
  const distribution = new TaskDistribution(spec.tasks, weighted);
  distribution.fillRoom();
  distribution.fillRoundingRest();
  distribution.divideByExpectedWait();
  distribution.divideRest();
  return distribution.assignment();
}

function weighPartition(
  spec: JobSpec,
  partition: CapablePartition,
  { capacities, catalog, isShort, pending }: CapacityView,
): WeightedPartition {
  const capacity = capacities.get(partition.partition);
  const assigned = pending.get(partition.partition) ?? [];
  let waiting = backlogAhead(spec, capacity);
  for (const other of assigned)
    if (backlogKindOf(other.spec) === backlogKindOf(spec))
      waiting += other.tasks;
  const waitS = expectedWaitS(
    spec,
    partition.zones,
    capacity,
    catalog,
    waiting,
  );
  return {
    ...partition,
    room: availableSlots(spec, capacity, catalog, isShort, assigned),
    speed: 1 / waitS,
    limit: maxTasksPerZone(spec) * partition.zones.length,
  };
}

/**
 * Assigns an undivided job to the roomiest partition that can hold it; if none can, to the one that is expected to be
 * able to first. A gang with `spread` that no partition has zones enough for goes to as few partitions as it can.
 */
function assignWhole(
  spec: JobSpec,
  weighted: readonly WeightedPartition[],
  view: CapacityView,
): Map<string, RangeSet> {
  const ranked = rankForWhole(spec, weighted, view);
  const assignment = new Map<string, RangeSet>();
  let next = 0;
  for (const { partition, limit } of ranked) {
    const tasks = Math.min(limit, spec.tasks - next);
    if (tasks > 0) assignment.set(partition, rangeFrom(next, tasks));
    next += tasks;
  }
  const isComplete = next >= spec.tasks && !spec.samePlace;
  const [first] = ranked;
  // It has zones enough nowhere, or asks for one and for two at once: it waits where it may find them one day.
  if (!isComplete && first)
    return new Map([[first.partition, RangeSet.upTo(spec.tasks)]]);
  return assignment;
}

/** Partitions with zones enough for an undivided job, or all if none has: those where it starts first come first. */
function rankForWhole(
  spec: JobSpec,
  weighted: readonly WeightedPartition[],
  { capacities, catalog, isShort, pending }: CapacityView,
): WeightedPartition[] {
  const sufficient = weighted.filter(({ limit }) => limit >= spec.tasks);
  const rated = (sufficient.length > 0 ? sufficient : weighted).map(
    (candidate) => {
      const capacity = capacities.get(candidate.partition);
      const places = slotsForUndividedJob(
        spec,
        candidate.zones,
        capacity,
        catalog,
        isShort,
        pending.get(candidate.partition),
      );
      const waitS = expectedWholeWaitS(
        spec,
        candidate,
        places,
        capacity,
        catalog,
      );
      return { candidate, now: places.free, waitS };
    },
  );
  rated.sort(
    (first, second) => first.waitS - second.waitS || second.now - first.now,
  );
  return rated.map(({ candidate }) => candidate);
}

/** The division of a job's tasks among partitions, phase by phase; each phase divides what the ones before left. */
class TaskDistribution {
  private readonly counts = new Map<WeightedPartition, number>();
  private left: number;

  constructor(
    private readonly tasks: number,
    private readonly partitions: readonly WeightedPartition[],
  ) {
    this.left = tasks;
  }

  /** Into the room there is, in proportion to it. */
  fillRoom(): void {
    const room = this.partitions.reduce(
      (sum, partition) => sum + usableRoom(partition),
      0,
    );
    if (room <= 0) return;
    const share = Math.min(1, this.tasks / room);
    for (const partition of this.partitions)
      this.give(
        partition,
        Math.min(this.left, Math.floor(usableRoom(partition) * share)),
      );
  }

  /** What rounding down left of the room: one task each, to those with the most room left. */
  fillRoundingRest(): void {
    for (
      let round = 0;
      this.left > 0 && round < this.partitions.length;
      round++
    ) {
      const partition = this.best((candidate) =>
        this.isFull(candidate)
          ? -1
          : usableRoom(candidate) - this.given(candidate),
      );
      const room = Math.max(0, usableRoom(partition) - this.given(partition));
      this.give(partition, Math.min(1, this.left, room));
    }
  }

  /** Without room: in inverse proportion to the expected wait. */
  divideByExpectedWait(): void {
    const open = this.partitions.filter((partition) => !this.isFull(partition));
    const totalSpeed =
      open.reduce((sum, partition) => sum + partition.speed, 0) || 1;
    const rest = this.left;
    for (const partition of open) {
      const share = Math.floor((rest * partition.speed) / totalSpeed);
      const allowed = partition.limit - this.given(partition);
      this.give(partition, Math.min(this.left, share, allowed));
    }
  }

  /** What is left after rounding and limits: to whichever comes to it first, beyond its limit if all are full. */
  divideRest(): void {
    while (this.left > 0) {
      const partition = this.best((candidate) =>
        this.isFull(candidate)
          ? -1
          : candidate.speed / (1 + this.given(candidate)),
      );
      const batch = Math.max(1, Math.floor(this.left / this.partitions.length));
      const allowed = partition.limit - this.given(partition);
      this.give(
        partition,
        this.isFull(partition)
          ? this.left
          : Math.min(this.left, batch, allowed),
      );
    }
  }

  /** Consecutive tasks for each partition. */
  assignment(): Map<string, RangeSet> {
    const assignment = new Map<string, RangeSet>();
    let next = 0;
    for (const partition of this.partitions) {
      const tasks = this.given(partition);
      if (tasks > 0)
        assignment.set(partition.partition, rangeFrom(next, tasks));
      next += tasks;
    }
    return assignment;
  }

  private given(partition: WeightedPartition): number {
    return this.counts.get(partition) ?? 0;
  }

  private give(partition: WeightedPartition, tasks: number): void {
    this.counts.set(partition, this.given(partition) + tasks);
    this.left -= tasks;
  }

  private isFull(partition: WeightedPartition): boolean {
    return this.given(partition) >= partition.limit;
  }

  /** The first partition of those with the highest score. */
  private best(
    score: (partition: WeightedPartition) => number,
  ): WeightedPartition {
    return this.partitions.reduce((best, candidate) =>
      score(candidate) > score(best) ? candidate : best,
    );
  }
}

/** Tasks that fit at once, within the limit of its zones. */
const usableRoom = ({ room, limit }: WeightedPartition): number =>
  Math.min(room, limit);

const rangeFrom = (first: number, tasks: number): RangeSet =>
  RangeSet.of([[first, first + tasks - 1]]);
