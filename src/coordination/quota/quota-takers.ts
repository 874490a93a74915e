/** Orders the partitions that want more of a team's limit. Owns no state. */
import { EPSILON } from "../scheduling/placement.js";
import type { PartitionDemand } from "./partition-demand.js";
import type { PartitionReservation } from "./quota-reservations.js";
import type { QuotaSituation } from "./quota-situation.js";
import {
  type Dimension,
  perDimension,
  type ResourceAmounts,
} from "./resource-amounts.js";

/** A partition that wants more of a team's CPUs, or of its accelerators. */
export interface QuotaTaker {
  partition: string;
  /** Time of day, in ms, of the turn of its oldest work that wants this. */
  sinceMs: number;
  /** The work has a place at once, or has waited for long. */
  now: boolean;
  wanted: number;
}

/** Who can use it at once comes first, then whose work has waited for longest. */
const compareTakers = (a: QuotaTaker, b: QuotaTaker): number =>
  Number(b.now) - Number(a.now) ||
  a.sinceMs - b.sinceMs ||
  (a.partition < b.partition ? -1 : 1);

/**
 * Who wants more of a team's CPUs, or of its accelerators: who can use it at once comes first, then who has waited for longest
 * for just that. With one time for both, a partition whose oldest work lacked CPUs also came first for accelerators that only
 * its youngest work wanted, and was asked for them again at once: they went to and fro for as long as both waited.
 */
export function takersOf(
  situation: QuotaSituation,
  team: string,
  parts: Readonly<Record<string, ResourceAmounts>>,
  dimension: Dimension,
): QuotaTaker[] {
  const takers: QuotaTaker[] = [];
  for (const [partition, demands] of situation.otherDemands) {
    const demand = demands.get(team);
    const isNamed = situation.partitions.includes(partition);
    if (demand && isNamed && partition !== situation.partition)
      takers.push(...wantsOf(partition, demand, parts[partition], dimension));
  }
  const own = situation.ownDemands.get(team);
  if (own) {
    const { partition } = situation;
    takers.push(...wantsOf(partition, own, parts[partition], dimension));
  }
  return takers.sort(compareTakers);
}

function wantsOf(
  partition: string,
  demand: PartitionDemand,
  part: Readonly<ResourceAmounts> | undefined,
  dimension: Dimension,
): QuotaTaker[] {
  const all = perDimension(
    (each) => demand.startable[each] + demand.awaitingMachines[each],
  );
  const now = remaining(demand.startable, demand.baseShare, part, dimension);
  const soon = remaining(all, demand.baseShare, part, dimension) - now;
  const takers: QuotaTaker[] = [
    {
      partition,
      sinceMs: demand.startableSinceMs[dimension],
      now: true,
      wanted: now,
    },
    {
      partition,
      sinceMs: demand.awaitingMachinesSinceMs[dimension],
      now: false,
      wanted: soon,
    },
  ];
  return takers.filter(({ wanted }) => wanted > EPSILON);
}

/** The partition of the job that quota is reserved for, with what it still lacks; null: nothing of this. */
export function reservingTaker(
  situation: QuotaSituation,
  { partition, missing: lacks, readyAt }: PartitionReservation,
  team: string,
  parts: Readonly<Record<string, ResourceAmounts>>,
  dimension: Dimension,
): QuotaTaker | null {
  const isOwn = partition === situation.partition;
  const demands = isOwn
    ? situation.ownDemands
    : situation.otherDemands.get(partition);
  const beyond = demands?.get(team)?.baseShare;
  if (!beyond) return null;
  const wanted = remaining(lacks, beyond, parts[partition], dimension);
  return wanted > EPSILON
    ? { partition, sinceMs: readyAt, now: true, wanted }
    : null;
}

/** A partition whose tasks could start with what is idle elsewhere, and what they lack. */
export interface BackfillTaker {
  partition: string;
  lacks: ResourceAmounts;
}

/** The other partitions that ask for idle quota of a team, in the order of the turns of their oldest work. */
export function backfillTakersOf(
  situation: QuotaSituation,
  team: string,
  parts: Readonly<Record<string, ResourceAmounts>>,
): BackfillTaker[] {
  const takers: (BackfillTaker & { sinceMs: number })[] = [];
  for (const [partition, demands] of situation.otherDemands) {
    const demand = demands.get(team);
    const isNamed = situation.partitions.includes(partition);
    if (!demand?.backfill || !isNamed || partition === situation.partition)
      continue;
    const { backfill, baseShare: beyond, startableSinceMs: nowSince } = demand;
    const lacks = perDimension((dimension) =>
      remaining(backfill, beyond, parts[partition], dimension),
    );
    takers.push({ partition, lacks, sinceMs: Math.min(...nowSince) });
  }
  return takers.sort(
    (first, second) =>
      first.sinceMs - second.sinceMs ||
      (first.partition < second.partition ? -1 : 1),
  );
}

/** What is left of a want after what has come since it was published. */
const remaining = (
  wanted: Readonly<ResourceAmounts>,
  beyond: Readonly<ResourceAmounts>,
  part: Readonly<ResourceAmounts> | undefined,
  dimension: Dimension,
): number =>
  Math.max(
    0,
    Math.min(
      wanted[dimension],
      wanted[dimension] + beyond[dimension] - (part?.[dimension] ?? 0),
    ),
  );
