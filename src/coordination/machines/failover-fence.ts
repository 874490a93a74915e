/**
 * Machines on which a former leader's tasks may still run after a failover. Owns the set of machines that are not accounted for
 * yet, and whether that set is still to be completed from the cloud's machine list.
 */

import type { RegistryEntry } from "../../storage/records.js";
import type { ListedMachine, MachineType } from "../model.js";
import type { ResourceUse } from "./resource-ledger.js";
import type { Worker } from "./worker-state.js";

/** Assumed CPUs and accelerators of a machine whose type is unknown. Exceeds every quota limit. */
const UNKNOWN_MACHINE_SIZE = 1e9;

/**
 * Invariant (rules ran_twice, quota, wrong_place): every task that a former leader may have started counts as running until each
 * machine that it could have used has sent a heartbeat with this leader's token or is past its lease.
 */
export class FailoverFence {
  /** Type names of the machines that are not accounted for, by machine id. */
  private readonly unaccounted = new Map<string, string>();

  constructor(
    registered: ReadonlyMap<string, RegistryEntry>,
    private isListPending: boolean,
  ) {
    for (const [id, { type }] of registered) this.unaccounted.set(id, type);
  }

  /** Whether the registry may lack machines, so that the fence also waits for the cloud's machine list. */
  get awaitsMachineList(): boolean {
    return this.isListPending;
  }

  /** Whether every machine is accounted for and no machine list is awaited. */
  get isCleared(): boolean {
    return this.unaccounted.size === 0 && !this.isListPending;
  }

  /** Ids of the machines that are not accounted for, as a copy. */
  unaccountedMachines(): string[] {
    return [...this.unaccounted.keys()];
  }

  noteAccountedFor(id: string): void {
    this.unaccounted.delete(id);
  }

  /**
   * Completes the fence from the cloud's machine list and returns how many machines were added. Invariant (ran_twice, quota):
   * tasks that the former leader may have started run on machines that were up before this leader began, so this list contains
   * them even if the registry does not. A machine that is listed as failed has stopped by itself and runs nothing.
   */
  addListed(
    machines: ReadonlyMap<string, ListedMachine>,
    isAccountedFor: (id: string) => boolean,
  ): number {
    this.isListPending = false;
    let added = 0;
    for (const [id, { state, type }] of machines) {
      if (state === "failed" || isAccountedFor(id) || this.unaccounted.has(id))
        continue;
      this.unaccounted.set(id, type);
      added++;
    }
    return added;
  }

  /**
   * Adds to `sum` what tasks that no heartbeat has shown may use. A silent machine may run tasks of any team, including tasks of
   * jobs that are over. A machine whose heartbeat may be a late copy may run more tasks than the heartbeat lists.
   */
  addPossibleUse(
    sum: ResourceUse,
    catalog: readonly MachineType[] | null,
    workers: ReadonlyMap<string, Worker>,
  ): void {
    for (const [id, typeName] of this.unaccounted) {
      const type = catalog?.find(({ name }) => name === typeName);
      const knownUse = knownUseOn(workers.get(id));
      const cpus = type?.cpus ?? UNKNOWN_MACHINE_SIZE;
      const gpus = type?.gpus ?? UNKNOWN_MACHINE_SIZE;
      sum.cpus += Math.max(0, cpus - knownUse.cpus);
      sum.gpus += Math.max(0, gpus - knownUse.gpus);
    }
    if (!this.isListPending) return;
    sum.cpus += UNKNOWN_MACHINE_SIZE;
    sum.gpus += UNKNOWN_MACHINE_SIZE;
  }
}

/** Resources used by the tasks that are known to be on a machine, including unconfirmed ones. */
function knownUseOn(worker: Worker | undefined): ResourceUse {
  const sum = { cpus: 0, gpus: 0 };
  for (const { job } of worker?.tasks.values() ?? []) {
    sum.cpus += job.view.spec.cpus;
    sum.gpus += job.view.spec.gpus;
  }
  for (const { need } of worker?.unconfirmedTasks.values() ?? []) {
    sum.cpus += need?.cpus ?? 0;
    sum.gpus += need?.gpus ?? 0;
  }
  return sum;
}
