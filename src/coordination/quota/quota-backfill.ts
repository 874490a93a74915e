/**
 * Backfill of idle quota: a partition whose waiting tasks are all too large for its remaining quota lends this to partitions with
 * tasks that fit. Design: docs/design/limits.md.
 */
import type { Clock } from "../context.js";
import { EPSILON } from "../scheduling/placement.js";
import type { WaitingTasks } from "./quota-demand.js";
import {
  DIMENSIONS,
  isAnyPositive,
  perDimension,
  type ResourceAmounts,
  roundDownToHundredth,
  roundUpToHundredth,
} from "./resource-amounts.js";

/** What the first tasks need that could start with idle quota of other partitions, and how much of it is missing here. */
export interface BackfillTarget {
  need: ResourceAmounts;
  missing: ResourceAmounts;
}

/** Free quota counts as idle once no waiting task could use it for this long, so that tasks about to start can still use it. */
const MIN_IDLE_BEFORE_LENDING_MS = 5_000;
/** How long borrowed quota is kept for the tasks that it was requested for: long enough to rent and boot a machine. */
const KEEP_BORROWED_MS = 60_000;

/** A partition's quota of a team, and the tasks that wait for it. */
interface OwnQuota {
  waiting: readonly WaitingTasks[];
  free: Readonly<ResourceAmounts>;
  /** Idle quota of other partitions, as last published. */
  idleElsewhere: Readonly<ResourceAmounts>;
}

/** A partition's lending and borrowing, by team. Owns since when its quota is idle, and its last request for idle quota. */
export class QuotaBackfill {
  private readonly idleSinceMs = new Map<string, number>();
  private readonly lastTargets = new Map<
    string,
    { need: ResourceAmounts; atMs: number }
  >();

  constructor(
    private readonly context: Clock,
    private readonly ownQuota: (team: string) => OwnQuota,
  ) {}

  /** Records since when quota of these teams is idle; called a few times per second. */
  update(teams: Iterable<string>): void {
    for (const team of teams)
      if (!isAnyPositive(this.idleNow(team))) this.idleSinceMs.delete(team);
      else if (!this.idleSinceMs.has(team))
        this.idleSinceMs.set(team, this.context.nowMs);
  }

  private idleNow(team: string): ResourceAmounts {
    const { waiting, free } = this.ownQuota(team);
    return waiting.length === 0 ? [0, 0] : idleAmounts(waiting, free);
  }

  /** Quota that has been idle for long enough to be lent. */
  lendable(team: string): ResourceAmounts {
    const sinceMs = this.idleSinceMs.get(team);
    const isLendable =
      sinceMs !== undefined &&
      this.context.nowMs - sinceMs >= MIN_IDLE_BEFORE_LENDING_MS;
    return isLendable ? this.idleNow(team) : [0, 0];
  }

  /** The idle quota that this partition requests; null if no task waiting here could start with it. */
  target(team: string): BackfillTarget | null {
    const { waiting, free, idleElsewhere } = this.ownQuota(team);
    const target = backfillTarget(waiting, free, idleElsewhere);
    if (target)
      this.lastTargets.set(team, {
        need: target.need,
        atMs: this.context.nowMs,
      });
    return target;
  }

  /** Free quota kept for the tasks that it was requested for, even if older tasks elsewhere demand it but can't use it. */
  keptForBackfill(team: string): ResourceAmounts {
    const target = this.target(team);
    if (target) return target.need;
    const lastTarget = this.lastTargets.get(team);
    if (!lastTarget || this.context.nowMs - lastTarget.atMs > KEEP_BORROWED_MS)
      return [0, 0];
    const { waiting, free } = this.ownQuota(team);
    const { remaining } = simulateStarts(waiting, free);
    return perDimension((dimension) =>
      Number.isFinite(free[dimension])
        ? Math.max(
            0,
            Math.min(
              lastTarget.need[dimension],
              free[dimension] - remaining[dimension],
            ),
          )
        : 0,
    );
  }
}

/** What remains of `free` after all waiting tasks that fit into it have started. */
export function idleAmounts(
  waiting: readonly WaitingTasks[],
  free: Readonly<ResourceAmounts>,
): ResourceAmounts {
  const { remaining } = simulateStarts(waiting, free);
  return perDimension((dimension) =>
    Number.isFinite(remaining[dimension])
      ? Math.max(0, roundDownToHundredth(remaining[dimension]))
      : 0,
  );
}

/**
 * The first startable tasks, in queue order, for which free quota here suffices only together with idle quota elsewhere: as many
 * tasks of one job as both suffice for. null if there are none.
 */
export function backfillTarget(
  waiting: readonly WaitingTasks[],
  free: Readonly<ResourceAmounts>,
  idleElsewhere: Readonly<ResourceAmounts>,
): BackfillTarget | null {
  if (!DIMENSIONS.some((dimension) => idleElsewhere[dimension] > EPSILON))
    return null;
  const { remaining, started } = simulateStarts(waiting, free);
  const reachable = perDimension(
    (dimension) => Math.max(0, remaining[dimension]) + idleElsewhere[dimension],
  );
  for (const [index, tasks] of waiting.entries()) {
    const { unit, isStartable, isPartOfGang } = tasks;
    // Quota for one part of a spread gang is of no use without the other parts.
    if (!isStartable || isPartOfGang || fitCount(unit, remaining) > 0) continue;
    const remainingUnits = tasks.units - (started[index] ?? 0);
    const units = Math.min(remainingUnits, fitCount(unit, reachable));
    if (units <= 0) continue;
    const need = perDimension((dimension) => unit[dimension] * units);
    const missing = perDimension((dimension) =>
      Math.max(0, roundUpToHundredth(need[dimension] - remaining[dimension])),
    );
    return { need, missing };
  }
  return null;
}

/** Simulates starting, in queue order, all tasks that fit into `free`: units started of each, and what remains. */
function simulateStarts(
  waiting: readonly WaitingTasks[],
  free: Readonly<ResourceAmounts>,
): { started: number[]; remaining: ResourceAmounts } {
  const remaining: ResourceAmounts = [free[0], free[1]];
  const started = waiting.map(({ unit, units, isStartable, isPartOfGang }) => {
    if (!isStartable || isPartOfGang) return 0;
    const starting = Math.min(units, fitCount(unit, remaining));
    for (const dimension of DIMENSIONS)
      remaining[dimension] -= unit[dimension] * starting;
    return starting;
  });
  return { started, remaining };
}

/** Number of units that fit into these amounts. */
function fitCount(
  unit: Readonly<ResourceAmounts>,
  amounts: Readonly<ResourceAmounts>,
): number {
  let count = Infinity;
  for (const dimension of DIMENSIONS)
    if (unit[dimension] > 0)
      count = Math.min(
        count,
        Math.floor((amounts[dimension] + EPSILON) / unit[dimension]),
      );
  return Math.max(0, count);
}
