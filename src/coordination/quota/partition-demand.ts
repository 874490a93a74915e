/**
 * What a partition wants of a team's limit beyond its own part: worked out from its waiting tasks, or read from what another
 * partition published. Owns no state.
 */
import type { CapacityRecord } from "../../storage/records.js";
import { EPSILON } from "../scheduling/placement.js";
import type { WaitingTasks } from "./quota-demand.js";
import {
  DIMENSIONS,
  perDimension,
  type ResourceAmounts,
  roundUpToHundredth,
} from "./resource-amounts.js";

/** What a partition's waiting tasks of a team want beyond its part of the limit. The names are those of the stored rows. */
export interface PartitionDemand {
  /** For tasks that have a place at once, or have waited for long. */
  startable: ResourceAmounts;
  /**
   * When the oldest of these became ready that lacks CPUs, and that lacks accelerators, ms since the epoch; Infinity: there
   * is none.
   */
  startableSinceMs: ResourceAmounts;
  /** For tasks whose place is yet to be rented. */
  awaitingMachines: ResourceAmounts;
  awaitingMachinesSinceMs: ResourceAmounts;
  /** The part of the limit that this is beyond: what has come since is not wanted any more. */
  baseShare: ResourceAmounts;
  /** What the first tasks lack that idle parts elsewhere are enough for; absent: there are none, or an earlier version wrote it. */
  backfill?: ResourceAmounts | undefined;
  /** For a large job whose first start is overdue; absent: there is none, or an earlier version wrote it. */
  reservation?: QuotaReservation | undefined;
}

/** Quota to be reserved for one job until it starts. */
export interface QuotaReservation {
  /** What it lacks of the quota. */
  missing: ResourceAmounts;
  /** Time of day since which the job is ready, in whole ms. */
  readyAt: number;
  /** Its place in `PRIORITIES`. */
  priority: number;
}

/** What these tasks want beyond `share`, of which `use` is used already; null: nothing. */
export function demandBeyondShare(
  waiting: readonly WaitingTasks[],
  share: ResourceAmounts,
  use: Readonly<ResourceAmounts>,
): PartitionDemand | null {
  const demand: PartitionDemand = {
    startable: [0, 0],
    startableSinceMs: [Infinity, Infinity],
    awaitingMachines: [0, 0],
    awaitingMachinesSinceMs: [Infinity, Infinity],
    baseShare: share,
  };
  const free = perDimension((dimension) => share[dimension] - use[dimension]);
  const startable = waiting.filter((tasks) => tasks.isStartable);
  const others = waiting.filter((tasks) => !tasks.isStartable);
  // Who can start at once takes what is free first; what it lacks is wanted.
  for (const tasks of startable)
    addLacking(tasks, free, demand.startable, demand.startableSinceMs);
  for (const tasks of others)
    addLacking(
      tasks,
      free,
      demand.awaitingMachines,
      demand.awaitingMachinesSinceMs,
    );
  const isWanted = DIMENSIONS.some(
    (dimension) =>
      demand.startable[dimension] > 0 || demand.awaitingMachines[dimension] > 0,
  );
  return isWanted ? demand : null;
}

/** Takes what the tasks need from `free`, which may fall below 0, and adds what they lack to `wanted`. */
function addLacking(
  { need, turnMs }: WaitingTasks,
  free: ResourceAmounts,
  wanted: ResourceAmounts,
  since: ResourceAmounts,
): void {
  for (const dimension of DIMENSIONS) {
    const needed = need[dimension];
    const lacking = Math.max(
      0,
      roundUpToHundredth(Math.min(needed, needed - free[dimension])),
    );
    free[dimension] -= needed;
    if (lacking <= EPSILON) continue;
    wanted[dimension] += lacking;
    since[dimension] = Math.min(since[dimension], turnMs);
  }
}

/** What another partition wants, by team, as it last published it; `partOf`: its written part of a team's limit. */
export function publishedDemands(
  capacity: CapacityRecord,
  partOf: (team: string) => Readonly<ResourceAmounts>,
): ReadonlyMap<string, PartitionDemand> {
  if (capacity.teams) return capacity.teams;
  const demands = new Map<string, PartitionDemand>();
  // An earlier version wants beyond what it has at the moment.
  for (const [team, want] of capacity.wants) {
    const part = partOf(team);
    demands.set(team, {
      startable: [want.cpus, want.gpus],
      startableSinceMs: [want.since, want.since],
      awaitingMachines: [0, 0],
      awaitingMachinesSinceMs: [Infinity, Infinity],
      baseShare: [part[0], part[1]],
    });
  }
  return demands;
}
