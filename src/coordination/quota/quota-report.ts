/**
 * What a partition publishes of each team with its capacity record: use, wants and what waits; and the wants once more as an
 * earlier version reads them. Owns no state.
 */
import type { QuotaWant, TeamRow } from "../../storage/records.js";
import type { PartitionDemand } from "./partition-demand.js";
import type { WaitingTasks } from "./quota-demand.js";
import { isAnyPositive, type ResourceAmounts } from "./resource-amounts.js";

/** The rows of a capacity record that concern teams, by team. */
export interface QuotaReport {
  teams: Map<string, TeamRow>;
  wants: Map<string, QuotaWant>;
}

/** How a team stands in one partition. */
export interface TeamQuotaState {
  demand: PartitionDemand | null;
  /** On machines, known to be there. */
  use: ResourceAmounts;
  /** The most that may be on machines. */
  possibleUse: ResourceAmounts;
  /** What waits and has a place, now or to be rented. */
  waiting: ResourceAmounts;
  /** What others may borrow. */
  idle: ResourceAmounts;
}

/** The row of a team; null when there is nothing to say of it. */
export function teamRowOf(state: TeamQuotaState): TeamRow | null {
  const { demand, use, possibleUse, waiting, idle } = state;
  const isIdle =
    !demand &&
    !isAnyPositive(use) &&
    !isAnyPositive(possibleUse) &&
    !isAnyPositive(waiting);
  if (isIdle) return null;
  return {
    use,
    possibleUse: possibleUse,
    startable: demand?.startable ?? [0, 0],
    startableSinceMs: demand?.startableSinceMs ?? [Infinity, Infinity],
    awaitingMachines: demand?.awaitingMachines ?? [0, 0],
    awaitingMachinesSinceMs: demand?.awaitingMachinesSinceMs ?? [
      Infinity,
      Infinity,
    ],
    baseShare: finiteOrZero(demand?.baseShare ?? [0, 0]),
    waiting: waiting,
    idle: isAnyPositive(idle) ? idle : undefined,
    backfill: demand?.backfill,
    reservation: demand?.reservation,
  };
}

/** The want of a team as an earlier version reads it. */
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

/** JSON knows no Infinity. */
const finiteOrZero = ([cpus, gpus]: ResourceAmounts): ResourceAmounts => [
  Number.isFinite(cpus) ? cpus : 0,
  Number.isFinite(gpus) ? gpus : 0,
];
