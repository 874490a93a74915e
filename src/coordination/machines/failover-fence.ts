/**
 * Machines on which a former leader's tasks may still run after a failover. Owns the set of those that are not accounted for,
 * and whether the cloud's machine list is still to complete it.
 */

import type { RegistryEntry } from "../../storage/records.js";
import type { ListedMachine, MachineType } from "../model.js";
import type { ResourceUse } from "./resource-ledger.js";
import type { Worker } from "./worker-state.js";

/** What a machine of unknown size may use at most, in CPUs and in accelerators: more than any limit. */
const UNKNOWN_MACHINE_SIZE = 1e9;

/**
 * Invariant (rules ran_twice, quota, wrong_place): whatever a former leader may have started counts as running until every
 * machine it could have used has reported under this leader's token or is past its lease.
 */
export class FailoverFence {
  /** Types of the machines that are not accounted for, by machine. */
  private readonly unaccounted = new Map<string, string>();

  constructor(
    registered: ReadonlyMap<string, RegistryEntry>,
    private isListMissing: boolean,
  ) {
    for (const [id, { type }] of registered) this.unaccounted.set(id, type);
  }

  /** The registry may lack machines: the fence also waits for a list of the cloud that names them. */
  get awaitsMachineList(): boolean {
    return this.isListMissing;
  }

  /** Nothing is waited for any more. */
  get isCleared(): boolean {
    return this.unaccounted.size === 0 && !this.isListMissing;
  }

  /** Machines that are not accounted for, as a copy. */
  unaccountedMachines(): string[] {
    return [...this.unaccounted.keys()];
  }

  noteAccountedFor(id: string): void {
    this.unaccounted.delete(id);
  }

  /**
   * Completes the fence from the cloud's list and returns how many machines that added. Invariant (ran_twice, quota): what
   * the former leader may have started runs on machines that were up before this leader began, so this list names them,
   * whether the registry does or not. A machine that stopped of its own accord runs nothing.
   */
  addListed(
    machines: ReadonlyMap<string, ListedMachine>,
    hasReported: (id: string) => boolean,
  ): number {
    this.isListMissing = false;
    let added = 0;
    for (const [id, { state, type }] of machines) {
      if (state === "failed" || hasReported(id) || this.unaccounted.has(id))
        continue;
      this.unaccounted.set(id, type);
      added++;
    }
    return added;
  }

  /**
   * Adds to `sum` what may run unseen: a silent machine may run tasks of any team, also of jobs that are over, and one whose
   * heartbeat may be a late copy may run more than that lists.
   */
  addPossibleUse(
    sum: ResourceUse,
    catalog: readonly MachineType[] | null,
    workers: ReadonlyMap<string, Worker>,
  ): void {
    for (const [id, typeName] of this.unaccounted) {
      const type = catalog?.find(({ name }) => name === typeName);
      const known = knownUseOn(workers.get(id));
      const cpus = type?.cpus ?? UNKNOWN_MACHINE_SIZE;
      const gpus = type?.gpus ?? UNKNOWN_MACHINE_SIZE;
      sum.cpus += Math.max(0, cpus - known.cpus);
      sum.gpus += Math.max(0, gpus - known.gpus);
    }
    if (!this.isListMissing) return;
    sum.cpus += UNKNOWN_MACHINE_SIZE;
    sum.gpus += UNKNOWN_MACHINE_SIZE;
  }
}

/** What the tasks take that a machine is known to have. */
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
