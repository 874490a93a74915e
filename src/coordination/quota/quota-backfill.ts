/**
 * Backfill of what is idle of a team's limit: a partition whose waiting tasks are all too large for what it has left lends it to
 * partitions whose tasks fit. Owns no state. Design: docs/design/limits.md.
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

/** What the first tasks that idle parts of the limit elsewhere are enough for need of it, and what of that is missing here. */
export interface BackfillTarget {
  need: ResourceAmounts;
  lacks: ResourceAmounts;
}

/** Free quota counts as idle once nothing that waits could use it for so long: what is about to start still has its turn. */
const IDLE_BEFORE_LENDING_MS = 5_000;
/** Borrowed quota is kept for so long, in which a machine is rented and boots. */
const KEEP_BORROWED_MS = 60_000;

/** What a partition knows of its own quota of a team. */
interface OwnQuota {
  waiting: readonly WaitingTasks[];
  free: Readonly<ResourceAmounts>;
  /** What other partitions have idle, as they last published it. */
  idleElsewhere: Readonly<ResourceAmounts>;
}

/** Lending and borrowing of a partition, by team. Owns since when its quota is idle, and what it last asked for. */
export class QuotaBackfill {
  private readonly idleSinceMs = new Map<string, number>();
  private readonly asked = new Map<
    string,
    { need: ResourceAmounts; atMs: number }
  >();

  constructor(
    private readonly context: Clock,
    private readonly ownQuota: (team: string) => OwnQuota,
  ) {}

  /** Called a few times a second: notes since when quota of these teams is idle. */
  update(teams: Iterable<string>): void {
    for (const team of teams)
      if (!isAnyPositive(this.idle(team))) this.idleSinceMs.delete(team);
      else if (!this.idleSinceMs.has(team))
        this.idleSinceMs.set(team, this.context.nowMs);
  }

  private idle(team: string): ResourceAmounts {
    const { waiting, free } = this.ownQuota(team);
    return waiting.length === 0 ? [0, 0] : idleAmounts(waiting, free);
  }

  /** What has been idle for long enough. */
  lendable(team: string): ResourceAmounts {
    const sinceMs = this.idleSinceMs.get(team);
    const isIdle =
      sinceMs !== undefined &&
      this.context.nowMs - sinceMs >= IDLE_BEFORE_LENDING_MS;
    return isIdle ? this.idle(team) : [0, 0];
  }

  /** What this partition asks for; null: nothing that waits here would be completed by it. */
  target(team: string): BackfillTarget | null {
    const { waiting, free, idleElsewhere } = this.ownQuota(team);
    const target = backfillTarget(waiting, free, idleElsewhere);
    if (target)
      this.asked.set(team, { need: target.need, atMs: this.context.nowMs });
    return target;
  }

  /** What of the free quota is kept for the work that it was asked for, though older work elsewhere wants it and can't use it. */
  kept(team: string): ResourceAmounts {
    const target = this.target(team);
    if (target) return target.need;
    const asked = this.asked.get(team);
    if (!asked || this.context.nowMs - asked.atMs > KEEP_BORROWED_MS)
      return [0, 0];
    const { waiting, free } = this.ownQuota(team);
    const { left } = startWithin(waiting, free);
    return perDimension((dimension) =>
      Number.isFinite(free[dimension])
        ? Math.max(
            0,
            Math.min(asked.need[dimension], free[dimension] - left[dimension]),
          )
        : 0,
    );
  }
}

/** What is left of `free` once all waiting tasks that it is enough for have started. */
export function idleAmounts(
  waiting: readonly WaitingTasks[],
  free: Readonly<ResourceAmounts>,
): ResourceAmounts {
  const { left } = startWithin(waiting, free);
  return perDimension((dimension) =>
    Number.isFinite(left[dimension])
      ? Math.max(0, roundDownToHundredth(left[dimension]))
      : 0,
  );
}

/**
 * The first startable tasks, by turn, that what is free here and idle elsewhere is enough for together, as many of one job as it is
 * enough for; null: there are none.
 */
export function backfillTarget(
  waiting: readonly WaitingTasks[],
  free: Readonly<ResourceAmounts>,
  idleElsewhere: Readonly<ResourceAmounts>,
): BackfillTarget | null {
  if (!DIMENSIONS.some((dimension) => idleElsewhere[dimension] > EPSILON))
    return null;
  const { left, started } = startWithin(waiting, free);
  const reachable = perDimension(
    (dimension) => Math.max(0, left[dimension]) + idleElsewhere[dimension],
  );
  for (const [index, tasks] of waiting.entries()) {
    const { unit, isStartable, isPartOfGang } = tasks;
    // The quota for one part of a gang starts nothing without the others.
    if (!isStartable || isPartOfGang || fitCount(unit, left) > 0) continue;
    const unitsLeft = tasks.units - (started[index] ?? 0);
    const units = Math.min(unitsLeft, fitCount(unit, reachable));
    if (units <= 0) continue;
    const need = perDimension((dimension) => unit[dimension] * units);
    const lacks = perDimension((dimension) =>
      Math.max(0, roundUpToHundredth(need[dimension] - left[dimension])),
    );
    return { need, lacks };
  }
  return null;
}

/** Starts what `free` is enough for, in the order of turns: how many units of each, and what is left. */
function startWithin(
  waiting: readonly WaitingTasks[],
  free: Readonly<ResourceAmounts>,
): { started: number[]; left: ResourceAmounts } {
  const left: ResourceAmounts = [free[0], free[1]];
  const started = waiting.map(({ unit, units, isStartable, isPartOfGang }) => {
    if (!isStartable || isPartOfGang) return 0;
    const starting = Math.min(units, fitCount(unit, left));
    for (const dimension of DIMENSIONS)
      left[dimension] -= unit[dimension] * starting;
    return starting;
  });
  return { started, left };
}

/** How many units fit into these amounts. */
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
