/**
 * Groups waiting jobs by their requirements while rentals are planned. Thousands of jobs have only a few different requirements,
 * and searching hundreds of machines for each job took longer than a tick may. Exists for one plan.
 */
import type { JobSpec, Tuning } from "../model.js";
import {
  fitCount,
  requestKeyOf,
  staysUndivided,
} from "../scheduling/placement.js";
import { isShort } from "../scheduling/scheduling-round.js";
import type { MachineCapacity } from "./capacity-offers.js";

/** The jobs of one plan that have the same requirements. */
export interface RequestKind {
  /** The last job of this kind found neither a free slot nor an offer, so the next one need not search. */
  foundNothing: boolean;
  /** Machines on which a task of this kind still fits. */
  machinesWithSlots(
    spec: JobSpec,
    machines: readonly MachineCapacity[],
  ): readonly MachineCapacity[];
}

/** Candidate machines of one kind, and how many of the plan's machines were examined to find them. */
interface Candidates {
  examinedCount: number;
  machines: MachineCapacity[];
}

/** The request kinds of one plan. While it is made, machines may only be added, and their free resources may only shrink. */
export class RequestKinds {
  private readonly kinds = new Map<string, RequestKind>();
  private readonly candidates = new Map<string, Candidates>();

  constructor(
    private readonly tuning: Tuning,
    private readonly serves: (
      spec: JobSpec,
      machine: MachineCapacity,
    ) => boolean,
  ) {}

  /**
   * The kind of a job that needs `taskCount` slots. `activeCount`: the number of its tasks that are already on machines, which
   * may bind the rest to their zones.
   */
  kindOf(spec: JobSpec, taskCount: number, activeCount: number): RequestKind {
    const isShortJob = isShort(spec, this.tuning);
    const machineKey = `${requestKeyOf(spec)}/${isShortJob}`;
    const shapeKey = shapeKeyOf(spec, taskCount, activeCount);
    // The demand of jobs with a deadline depends on the work that is due, so their kind is never marked as `foundNothing`.
    const key = `${machineKey}/${spec.deadlineS === null}/${shapeKey}`;
    let kind = this.kinds.get(key);
    if (!kind) {
      kind = {
        foundNothing: false,
        machinesWithSlots: (jobSpec, machines) =>
          this.findMachinesWithSlots(jobSpec, isShortJob, machineKey, machines),
      };
      this.kinds.set(key, kind);
    }
    return kind;
  }

  private findMachinesWithSlots(
    spec: JobSpec,
    isShortJob: boolean,
    machineKey: string,
    machines: readonly MachineCapacity[],
  ): readonly MachineCapacity[] {
    let candidates = this.candidates.get(machineKey);
    if (!candidates) {
      candidates = { examinedCount: 0, machines: [] };
      this.candidates.set(machineKey, candidates);
    }
    const fitting = candidates.machines.filter(
      (machine) => fitCount(spec, machine.free) > 0,
    );
    for (const machine of machines.slice(candidates.examinedCount))
      if (
        (isShortJob || !machine.isReserved) &&
        this.serves(spec, machine) &&
        fitCount(spec, machine.free) > 0
      )
        fitting.push(machine);
    candidates.machines = fitting;
    candidates.examinedCount = machines.length;
    return fitting;
  }
}

/** Key of what restricts the zones of a job's tasks. Empty for jobs whose tasks can be placed one by one. */
function shapeKeyOf(
  spec: JobSpec,
  taskCount: number,
  activeCount: number,
): string {
  const bindingJobId = activeCount > 0 ? spec.id : "";
  if (spec.spread) return `spread/${spec.tasks}/${taskCount}/${bindingJobId}`;
  if (staysUndivided(spec))
    return `${spec.kind}/${spec.samePlace}/${taskCount}/${bindingJobId}`;
  return "";
}
