/**
 * A partition's demand for a team's quota beyond its own share, computed from its waiting tasks or read from the capacity record
 * of another partition. Owns no state.
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

/** What a partition's waiting tasks of a team lack beyond its share of the limit. The fields are those of `TeamRow`. */
export interface PartitionDemand {
  /** For tasks that have a free slot, or have waited for so long that they count as if they had. */
  startable: ResourceAmounts;
  /**
   * Position in the queue order (time of day, ms) of the first of these that lacks CPUs, and of the first that lacks
   * accelerators; Infinity if none does.
   */
  startableSinceMs: ResourceAmounts;
  /** For tasks whose machines are yet to be rented. */
  awaitingMachines: ResourceAmounts;
  awaitingMachinesSinceMs: ResourceAmounts;
  /** The share that this demand comes on top of. The demand shrinks by as much as the share has grown since. */
  baseShare: ResourceAmounts;
  /**
   * What the first tasks lack that could start with idle quota of other partitions; absent if there are none or an earlier
   * version published the demand.
   */
  backfill?: ResourceAmounts | undefined;
  /** For a large job whose first start is overdue; absent if there is none or an earlier version published the demand. */
  reservation?: QuotaReservation | undefined;
}

/** Quota to be reserved for one job until it starts. */
export interface QuotaReservation {
  /** Quota that the job still lacks. */
  missing: ResourceAmounts;
  /** When the job became ready, in whole ms since the epoch. */
  readyAt: number;
  /** Index of the job's priority in `PRIORITIES`. */
  priority: number;
}

/** What these tasks lack beyond `share`, of which `use` is already in use; null if they lack nothing. */
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
  // Startable tasks take the free quota first.
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

/** Takes what the tasks need from `free`, which may become negative, and adds what they lack to `wanted`. */
function addLacking(
  { need, queueOrderMs }: WaitingTasks,
  free: ResourceAmounts,
  wanted: ResourceAmounts,
  sinceMs: ResourceAmounts,
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
    sinceMs[dimension] = Math.min(sinceMs[dimension], queueOrderMs);
  }
}

/** Demands of another partition, by team, as last published. `shareOf`: its share of a team's limit in the quota records. */
export function publishedDemands(
  capacity: CapacityRecord,
  shareOf: (team: string) => Readonly<ResourceAmounts>,
): ReadonlyMap<string, PartitionDemand> {
  if (capacity.teams) return capacity.teams;
  const demands = new Map<string, PartitionDemand>();
  // An earlier version does not publish the share that its demand comes on top of: the current share is assumed.
  for (const [team, want] of capacity.wants) {
    const share = shareOf(team);
    demands.set(team, {
      startable: [want.cpus, want.gpus],
      startableSinceMs: [want.since, want.since],
      awaitingMachines: [0, 0],
      awaitingMachinesSinceMs: [Infinity, Infinity],
      baseShare: [share[0], share[1]],
    });
  }
  return demands;
}
