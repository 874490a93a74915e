/** Orders the partitions that demand more of a team's quota. Owns no state. */
import { EPSILON } from "../scheduling/placement.js";
import type { PartitionDemand } from "./partition-demand.js";
import type { PartitionReservation } from "./quota-reservations.js";
import type { QuotaSituation } from "./quota-situation.js";
import {
  type Dimension,
  perDimension,
  type ResourceAmounts,
} from "./resource-amounts.js";

/** A partition that demands more of one resource of a team's quota. */
export interface QuotaTaker {
  partition: string;
  /** Position in the queue order of the first tasks that lack this resource: a time of day, in ms. */
  queueOrderMs: number;
  /** Whether these tasks have a free slot, or have waited for so long that they count as if they had. */
  isStartable: boolean;
  wanted: number;
}

/** Partitions with startable tasks come first, then those whose tasks are first in the queue order. */
const compareTakers = (first: QuotaTaker, second: QuotaTaker): number =>
  Number(second.isStartable) - Number(first.isStartable) ||
  first.queueOrderMs - second.queueOrderMs ||
  (first.partition < second.partition ? -1 : 1);

/**
 * The partitions that demand more of one resource of a team's quota, in the order in which they get it. The queue order is kept
 * for each resource: with one time for both, a partition whose oldest tasks lacked CPUs also came first for accelerators that
 * only its youngest tasks lacked, then was at once asked to give them back, and they moved back and forth as long as both
 * partitions waited.
 */
export function takersOf(
  situation: QuotaSituation,
  team: string,
  shares: Readonly<Record<string, ResourceAmounts>>,
  dimension: Dimension,
): QuotaTaker[] {
  const takers: QuotaTaker[] = [];
  for (const [partition, demands] of situation.otherDemands) {
    const demand = demands.get(team);
    const isNamed = situation.partitions.includes(partition);
    if (demand && isNamed && partition !== situation.partition)
      takers.push(
        ...takersFor(partition, demand, shares[partition], dimension),
      );
  }
  const own = situation.ownDemands.get(team);
  if (own) {
    const { partition } = situation;
    takers.push(...takersFor(partition, own, shares[partition], dimension));
  }
  return takers.sort(compareTakers);
}

function takersFor(
  partition: string,
  demand: PartitionDemand,
  share: Readonly<ResourceAmounts> | undefined,
  dimension: Dimension,
): QuotaTaker[] {
  const all = perDimension(
    (each) => demand.startable[each] + demand.awaitingMachines[each],
  );
  const startable = stillWanted(
    demand.startable,
    demand.baseShare,
    share,
    dimension,
  );
  const awaitingMachines =
    stillWanted(all, demand.baseShare, share, dimension) - startable;
  const takers: QuotaTaker[] = [
    {
      partition,
      queueOrderMs: demand.startableSinceMs[dimension],
      isStartable: true,
      wanted: startable,
    },
    {
      partition,
      queueOrderMs: demand.awaitingMachinesSinceMs[dimension],
      isStartable: false,
      wanted: awaitingMachines,
    },
  ];
  return takers.filter(({ wanted }) => wanted > EPSILON);
}

/**
 * The partition that has the reservation in force, with what its job still lacks of this resource; null if it is not known to lack
 * anything.
 */
export function reservingTaker(
  situation: QuotaSituation,
  { partition, missing, readyAt }: PartitionReservation,
  team: string,
  shares: Readonly<Record<string, ResourceAmounts>>,
  dimension: Dimension,
): QuotaTaker | null {
  const isOwn = partition === situation.partition;
  const demands = isOwn
    ? situation.ownDemands
    : situation.otherDemands.get(partition);
  const baseShare = demands?.get(team)?.baseShare;
  if (!baseShare) return null;
  const wanted = stillWanted(missing, baseShare, shares[partition], dimension);
  return wanted > EPSILON
    ? { partition, queueOrderMs: readyAt, isStartable: true, wanted }
    : null;
}

/** A partition whose tasks could start with idle quota of other partitions, and how much they lack. */
export interface BackfillTaker {
  partition: string;
  missing: ResourceAmounts;
}

/** The other partitions that ask for idle quota of a team, in the queue order of their first startable tasks. */
export function backfillTakersOf(
  situation: QuotaSituation,
  team: string,
  shares: Readonly<Record<string, ResourceAmounts>>,
): BackfillTaker[] {
  const takers: (BackfillTaker & { queueOrderMs: number })[] = [];
  for (const [partition, demands] of situation.otherDemands) {
    const demand = demands.get(team);
    const isNamed = situation.partitions.includes(partition);
    if (!demand?.backfill || !isNamed || partition === situation.partition)
      continue;
    const { backfill, baseShare, startableSinceMs } = demand;
    const missing = perDimension((dimension) =>
      stillWanted(backfill, baseShare, shares[partition], dimension),
    );
    takers.push({
      partition,
      missing,
      queueOrderMs: Math.min(...startableSinceMs),
    });
  }
  return takers.sort(
    (first, second) =>
      first.queueOrderMs - second.queueOrderMs ||
      (first.partition < second.partition ? -1 : 1),
  );
}

/** The demand that remains after the partition's share has grown since it was published. */
const stillWanted = (
  wanted: Readonly<ResourceAmounts>,
  baseShare: Readonly<ResourceAmounts>,
  share: Readonly<ResourceAmounts> | undefined,
  dimension: Dimension,
): number =>
  Math.max(
    0,
    Math.min(
      wanted[dimension],
      wanted[dimension] + baseShare[dimension] - (share?.[dimension] ?? 0),
    ),
  );
