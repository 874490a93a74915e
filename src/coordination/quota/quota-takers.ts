/** Orders the partitions that want more of a team's limit. Owns no state. */
import { EPSILON } from "../scheduling/placement.js";
import type { PartitionDemand } from "./partition-demand.js";
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
  for (const [partition, demands] of situation.others) {
    const demand = demands.get(team);
    const isNamed = situation.partitions.includes(partition);
    if (demand && isNamed && partition !== situation.partition)
      takers.push(...wantsOf(partition, demand, parts[partition], dimension));
  }
  const own = situation.mine.get(team);
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
  const all = perDimension((each) => demand.now[each] + demand.soon[each]);
  const now = remaining(demand.now, demand.beyond, part, dimension);
  const soon = remaining(all, demand.beyond, part, dimension) - now;
  const takers: QuotaTaker[] = [
    { partition, sinceMs: demand.nowSince[dimension], now: true, wanted: now },
    {
      partition,
      sinceMs: demand.soonSince[dimension],
      now: false,
      wanted: soon,
    },
  ];
  return takers.filter(({ wanted }) => wanted > EPSILON);
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
