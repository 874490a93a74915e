/**
 * What a partition publishes about each team in its capacity record: use, demand and waiting tasks, and the demand once more in
 * the format of an earlier version. Owns no state.
 */
import type { QuotaWant, TeamRow } from "../../storage/records.js";
import type { PartitionDemand } from "./partition-demand.js";
import type { WaitingTasks } from "./quota-demand.js";
import { isAnyPositive, type ResourceAmounts } from "./resource-amounts.js";

/** The per-team rows of a capacity record, by team. */
export interface QuotaReport {
  teams: Map<string, TeamRow>;
  wants: Map<string, QuotaWant>;
}

/** A team's use and demand in one partition. */
export interface TeamQuotaState {
  demand: PartitionDemand | null;
  /** Known to be on machines. */
  use: ResourceAmounts;
  /** Upper bound of what may be on machines. */
  possibleUse: ResourceAmounts;
  /** Needed by waiting tasks that have a slot, or can get one on a machine to be rented. */
  waiting: ResourceAmounts;
  /** What other partitions may borrow. */
  idle: ResourceAmounts;
}

/** The row of a team; null if there is nothing to report. */
export function teamRowOf(state: TeamQuotaState): TeamRow | null {
  const { demand, use, possibleUse, waiting, idle } = state;
  const hasNothingToReport =
    !demand &&
    !isAnyPositive(use) &&
    !isAnyPositive(possibleUse) &&
    !isAnyPositive(waiting);
  if (hasNothingToReport) return null;
  return {
    use,
    possibleUse,
    startable: demand?.startable ?? [0, 0],
    startableSinceMs: demand?.startableSinceMs ?? [Infinity, Infinity],
    awaitingMachines: demand?.awaitingMachines ?? [0, 0],
    awaitingMachinesSinceMs: demand?.awaitingMachinesSinceMs ?? [
      Infinity,
      Infinity,
    ],
    baseShare: finiteOrZero(demand?.baseShare ?? [0, 0]),
    waiting,
    idle: isAnyPositive(idle) ? idle : undefined,
    backfill: demand?.backfill,
    reservation: demand?.reservation,
  };
}

/** The demand of a team in the format of an earlier version. */
export function quotaWantOf(
  demand: PartitionDemand,
  waiting: readonly WaitingTasks[],
): QuotaWant {
  return {
    cpus: demand.startable[0] + demand.awaitingMachines[0],
    gpus: demand.startable[1] + demand.awaitingMachines[1],
    since: waiting.reduce(
      (oldest, tasks) => Math.min(oldest, tasks.readyAt),
      Infinity,
    ),
  };
}

/** Infinity is stored as 0, because JSON can't represent it. */
const finiteOrZero = ([cpus, gpus]: ResourceAmounts): ResourceAmounts => [
  Number.isFinite(cpus) ? cpus : 0,
  Number.isFinite(gpus) ? gpus : 0,
];
