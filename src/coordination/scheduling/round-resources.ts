/**
 * The resources that a scheduling round works with: machines, their free capacity and the teams' use. They are collected
 * when a round begins and updated as tasks are placed.
 */
import type { ResourceUse } from "../machines/resource-ledger.js";
import { freeOn, type Worker } from "../machines/worker-state.js";
import type { PartitionState } from "./partition-state.js";
import type { FreeCapacity } from "./placement.js";

export interface RoundResources {
  /** Machines on which tasks may be started. */
  readonly workers: readonly Worker[];
  /** Those of them that long tasks may use, too. */
  readonly unreserved: readonly Worker[];
  /** Ids of the machines that are reserved for short tasks. */
  readonly reservedIds: ReadonlySet<string>;
  /** Free capacity of each machine, less what this round has placed or reserved there. */
  readonly free: Map<Worker, FreeCapacity>;
  /** What each team uses of its limit, including what this round has placed or reserved. */
  readonly used: Map<string, ResourceUse>;
}

export function roundResourcesOf(state: PartitionState): RoundResources {
  const used = state.usage();
  const { usable, reserved } = state.usableWorkers();
  return {
    workers: usable,
    unreserved: usable.filter((worker) => !reserved.has(worker.id)),
    reservedIds: reserved,
    free: new Map(usable.map((worker) => [worker, freeOn(worker)])),
    used,
  };
}
