import type { Team } from "../../config/settings.js";
import { type Context, STALE_CACHE_MS } from "../context.js";
import type { PartitionState } from "../scheduling/partition-state.js";
import type { ResourceUse } from "../machines/resource-ledger.js";
import { EPSILON } from "../scheduling/placement.js";
import { entryOf } from "./quota-records.js";
import { DIMENSIONS, type ResourceAmounts } from "./resource-amounts.js";

/** The team's guarantee; null if it has none. If only one resource is guaranteed, the other is Infinity and does not count. */
export function guaranteeOf(team: Team): ResourceAmounts | null {
  return team.cpus <= 0 && team.gpus <= 0
    ? null
    : [
        team.cpus > 0 ? team.cpus : Infinity,
        team.gpus > 0 ? team.gpus : Infinity,
      ];
}

/** A team's current use relative to its guarantee. */
interface GuaranteeStanding {
  /** Whether the team uses less than its guarantee. */
  within: boolean;
  /** Its dominant share as a multiple of its guarantee (weighted DRF); Infinity if it has no guarantee. */
  share: number;
}

/** Minimum interval between recomputations of the use in other partitions. */
const SUM_INTERVAL_MS = 200;

/**
 * Compares teams' use of the whole cluster with their guarantees. The use in other partitions comes from their capacity
 * records, which are written at most 0.7 s after a change; the use in this partition is current. A guarantee applies to the
 * cluster, not to each partition: a team that uses more than an equal share of one partition may still be within its
 * guarantee, and a team whose jobs can run in a single zone only is entitled to all of its guarantee there.
 */
export class Guarantees {
  private useElsewhereByTeam = new Map<
    string,
    {
      use: ResourceAmounts;
      confirmedUse: ResourceAmounts;
      possibleUse: ResourceAmounts;
    }
  >();
  private summedMs = -Infinity;

  constructor(
    private readonly context: Context,
    private readonly state: PartitionState,
  ) {}

  /**
   * What a team uses in all other partitions: `use` as published, `confirmedUse` what certainly runs, and `possibleUse` the
   * upper bound, which also covers partitions in a failover and partitions whose use is unknown.
   */
  useElsewhere(team: string): {
    use: ResourceAmounts;
    confirmedUse: ResourceAmounts;
    possibleUse: ResourceAmounts;
  } {
    if (this.context.nowMs - this.summedMs >= SUM_INTERVAL_MS) {
      this.summedMs = this.context.nowMs;
      this.useElsewhereByTeam = new Map();
    }
    let sum = this.useElsewhereByTeam.get(team);
    if (!sum)
      this.useElsewhereByTeam.set(team, (sum = this.sumUseElsewhere(team)));
    return sum;
  }

  private sumUseElsewhere(team: string): {
    use: ResourceAmounts;
    confirmedUse: ResourceAmounts;
    possibleUse: ResourceAmounts;
  } {
    const { cache, partitions } = this.context;
    const sum = {
      use: [0, 0] as ResourceAmounts,
      confirmedUse: [0, 0] as ResourceAmounts,
      possibleUse: [0, 0] as ResourceAmounts,
    };
    const entry = entryOf(cache.quotaRecords, team);
    for (const partition of new Set([
      ...partitions.names,
      ...cache.capacities.keys(),
    ])) {
      if (partition === this.state.partition) continue;
      const capacity = cache.capacities.get(partition);
      const row = capacity?.teams?.get(team);
      // A partition that is no longer in the settings may be owned without a leader, to clean up what is left of it.
      const isLed =
        partitions.names.includes(partition) && cache.partitions.has(partition);
      // False if the partition published no use, or if the team may have been cut from its record: it may use its whole share.
      const isUseKnown =
        capacity?.teams && (row !== undefined || !capacity.isTruncated);
      for (const dimension of DIMENSIONS) {
        const share = entry
          ? entry.cap[dimension] === Infinity
            ? Infinity
            : (entry.shares[partition]?.[dimension] ?? 0)
          : Infinity;
        sum.use[dimension] += row?.use[dimension] ?? 0;
        // Without a leader, the published use may have ended since.
        sum.confirmedUse[dimension] += isLed ? (row?.use[dimension] ?? 0) : 0;
        sum.possibleUse[dimension] += isUseKnown
          ? Math.max(row?.possibleUse[dimension] ?? 0, row?.use[dimension] ?? 0)
          : isLed || capacity
            ? share
            : 0;
      }
    }
    return sum;
  }

  /** The team's rank in the queue order. `ownUse`: what it uses in this partition. */
  standing(team: string, ownUse: ResourceUse): GuaranteeStanding {
    const settings = this.context.settings.teams.get(team);
    const guarantee = settings && guaranteeOf(settings);
    if (!guarantee) return { within: false, share: Infinity };
    const { use } = this.useElsewhere(team);
    const share = Math.max(
      (use[0] + ownUse.cpus) / guarantee[0],
      (use[1] + ownUse.gpus) / guarantee[1],
    );
    return { within: share < 1 - EPSILON, share };
  }

  /**
   * How much more a team can use for certain without exceeding its guarantee, negative if it may exceed it already; null if it
   * has no guarantee or the cache is too old to tell. `ownUse`: the most that it may use in this partition.
   */
  headroom(team: string, ownUse: ResourceUse): ResourceAmounts | null {
    const settings = this.context.settings.teams.get(team);
    const guarantee = settings && guaranteeOf(settings);
    if (!guarantee || this.context.readAgeMs() > STALE_CACHE_MS) return null;
    const { possibleUse } = this.useElsewhere(team);
    return [
      guarantee[0] - possibleUse[0] - ownUse.cpus,
      guarantee[1] - possibleUse[1] - ownUse.gpus,
    ];
  }

  /** By how much a team certainly exceeds its guarantee. `ownUse`: what it certainly uses in this partition. */
  excess(team: string, ownUse: ResourceUse): ResourceAmounts {
    const settings = this.context.settings.teams.get(team);
    if (!settings || this.context.readAgeMs() > STALE_CACHE_MS) return [0, 0];
    const { confirmedUse } = this.useElsewhere(team);
    const guarantee = guaranteeOf(settings) ?? [0, 0];
    return [
      Math.max(0, confirmedUse[0] + ownUse.cpus - guarantee[0]),
      Math.max(0, confirmedUse[1] + ownUse.gpus - guarantee[1]),
    ];
  }
}
