import type { Team } from "../../config/settings.js";
import { type Context, STALE_CACHE_MS } from "../context.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { ResourceUse } from "../machines/resource-ledger.js";
import { EPSILON } from "../scheduling/placement.js";
import { entryOf } from "./quota-records.js";
import { DIMENSIONS, type ResourceAmounts } from "./resource-amounts.js";

/** What is guaranteed, where anything is: a dimension without a guarantee does not count where the other has one. */
export function guaranteeOf(t: Team): ResourceAmounts | null {
  return t.cpus <= 0 && t.gpus <= 0
    ? null
    : [t.cpus > 0 ? t.cpus : Infinity, t.gpus > 0 ? t.gpus : Infinity];
}

/** Where a team stands at this moment. */
interface GuaranteeStanding {
  /** All that it uses lies within its guarantee. */
  within: boolean;
  /** Its dominant share, as a multiple of what it is guaranteed (weighted DRF); Infinity: it is guaranteed nothing. */
  share: number;
}

/** Sums are made anew no more often than this. */
const SUM_MS = 200;

/**
 * Teams' use of the whole fleet, as each group publishes it with its room, at most 0.7 s after it changed, and the own
 * use as it is. A guarantee is a promise of the fleet: a team that stands beyond its equal part in one group may be well
 * within what it is promised, and one whose work can run in one zone only is promised no less there.
 */
export class Guarantees {
  private others = new Map<
    string,
    { use: ResourceAmounts; least: ResourceAmounts; most: ResourceAmounts }
  >();
  private summedMs = -Infinity;

  constructor(
    private readonly ctx: Context,
    private readonly own: PartitionState,
  ) {}

  /**
   * What the other groups use of a team: as published; at least (what surely runs); at most (what may run where a
   * takeover is under way or nothing is known).
   */
  elsewhere(team: string): {
    use: ResourceAmounts;
    least: ResourceAmounts;
    most: ResourceAmounts;
  } {
    if (this.ctx.nowMs - this.summedMs >= SUM_MS) {
      this.summedMs = this.ctx.nowMs;
      this.others = new Map();
    }
    let sum = this.others.get(team);
    if (!sum) this.others.set(team, (sum = this.sum(team)));
    return sum;
  }

  private sum(team: string): {
    use: ResourceAmounts;
    least: ResourceAmounts;
    most: ResourceAmounts;
  } {
    const { cache, partitions } = this.ctx;
    const sum = {
      use: [0, 0] as ResourceAmounts,
      least: [0, 0] as ResourceAmounts,
      most: [0, 0] as ResourceAmounts,
    };
    const entry = entryOf(cache.quotaRecords, team);
    for (const g of new Set([
      ...partitions.names,
      ...cache.capacities.keys(),
    ])) {
      if (g === this.own.partition) continue;
      const room = cache.capacities.get(g);
      const row = room?.teams?.get(team);
      // A group that no settings name may be held without a master, for what is left of it.
      const owned = partitions.names.includes(g) && cache.partitions.has(g);
      // Nothing was ever written, or less than all teams: it may use all that it has of the limit.
      const known = room?.teams && (row !== undefined || !room.isTruncated);
      for (const d of DIMENSIONS) {
        const part = entry
          ? entry.cap[d] === Infinity
            ? Infinity
            : (entry.shares[g]?.[d] ?? 0)
          : Infinity;
        sum.use[d] += row?.use[d] ?? 0;
        // What an owner that is gone had published is not sure to run any more.
        sum.least[d] += owned ? (row?.use[d] ?? 0) : 0;
        sum.most[d] += known
          ? Math.max(row?.possibleUse[d] ?? 0, row?.use[d] ?? 0)
          : owned || room
            ? part
            : 0;
      }
    }
    return sum;
  }

  /** For the order of the queues; `own`: what this group uses of the team now. */
  standing(team: string, own: ResourceUse): GuaranteeStanding {
    const t = this.ctx.settings.teams.get(team);
    const g = t && guaranteeOf(t);
    if (!g) return { within: false, share: Infinity };
    const { use } = this.elsewhere(team);
    const share = Math.max(
      (use[0] + own.cpus) / g[0],
      (use[1] + own.gpus) / g[1],
    );
    return { within: share < 1 - EPSILON, share };
  }

  /** How much more a team may have before it is beyond its guarantee, at the least; null: no guarantee, or it can't be judged. */
  headroom(team: string, own: ResourceUse): ResourceAmounts | null {
    const t = this.ctx.settings.teams.get(team);
    const g = t && guaranteeOf(t);
    if (!g || this.ctx.readAgeMs() > STALE_CACHE_MS) return null;
    const { most } = this.elsewhere(team);
    return [g[0] - most[0] - own.cpus, g[1] - most[1] - own.gpus];
  }

  /** How much a team surely has beyond its guarantee; `own`: what surely runs here. */
  excess(team: string, own: ResourceUse): ResourceAmounts {
    const t = this.ctx.settings.teams.get(team);
    if (!t || this.ctx.readAgeMs() > STALE_CACHE_MS) return [0, 0];
    const { least } = this.elsewhere(team);
    const g = guaranteeOf(t) ?? [0, 0];
    return [
      Math.max(0, least[0] + own.cpus - g[0]),
      Math.max(0, least[1] + own.gpus - g[1]),
    ];
  }
}
