/**
 * Where tasks fit: arithmetic on resources, and the rules on machine types, zones and prices. Owns no state except the
 * requests that an `UnplaceableCache` records during one scheduling round.
 */
import { MAX_TASKS_PER_MACHINE } from "../../protocol/message-size.js";
import type { JobSpec, MachineType } from "../model.js";

/** Amounts of resources are sums of decimal fractions, so comparisons tolerate this rounding error. */
export const EPSILON = 1e-6;

/** Resources of a task or a machine. */
export interface Resources {
  cpus: number;
  gpus: number;
  memGb: number;
}

/** What is free on a machine. */
export interface FreeCapacity extends Resources {
  /** How many more tasks the machine's heartbeats can list; negative if it holds too many. */
  taskSlots: number;
}

/** The capacity of a machine without tasks. */
export const capacityOf = ({ cpus, gpus, memGb }: Resources): FreeCapacity => ({
  cpus,
  gpus,
  memGb,
  taskSlots: MAX_TASKS_PER_MACHINE,
});

/** The capacity of a machine that can take no task. */
export const NO_CAPACITY: Readonly<FreeCapacity> = {
  cpus: 0,
  gpus: 0,
  memGb: 0,
  taskSlots: 0,
};

/** Subtracts what one task occupies from `free`, in place. */
export function subtractTask(free: FreeCapacity, need: Resources): void {
  free.cpus -= need.cpus;
  free.gpus -= need.gpus;
  free.memGb -= need.memGb;
  free.taskSlots -= 1;
}

/** Adds what one task occupied to `free`, in place. */
export function addTask(free: FreeCapacity, need: Resources): void {
  free.cpus += need.cpus;
  free.gpus += need.gpus;
  free.memGb += need.memGb;
  free.taskSlots += 1;
}

/** Whether a task that needs `need` requires no more of any resource than `available`. */
const needsAtMost = (need: Resources, available: Resources): boolean =>
  need.cpus <= available.cpus + EPSILON &&
  need.gpus <= available.gpus + EPSILON &&
  need.memGb <= available.memGb + EPSILON;

/** Whether one task that needs `need` fits into `free`. */
export const fits = (need: Resources, free: FreeCapacity): boolean =>
  free.taskSlots >= 1 && needsAtMost(need, free);

/** How many tasks that each need `need` fit into `free`. */
export function fitCount(need: Resources, free: FreeCapacity): number {
  const count = Math.min(
    fitCountOf(need.cpus, free.cpus),
    fitCountOf(need.gpus, free.gpus),
    fitCountOf(need.memGb, free.memGb),
    free.taskSlots,
  );
  return Math.max(0, count);
}

const fitCountOf = (need: number, free: number): number =>
  need > 0 ? Math.floor((free + EPSILON) / need) : Infinity;

/**
 * How many tasks fit into what remains of a team's limit, which covers neither memory nor the number of tasks. Infinity if the limit
 * does not bound them.
 */
export const fitWithinLimit = (
  need: Resources,
  remaining: { cpus: number; gpus: number },
): number =>
  Math.max(
    0,
    Math.min(
      fitCountOf(need.cpus, remaining.cpus),
      fitCountOf(need.gpus, remaining.gpus),
    ),
  );

/** Whether a job's tasks may run on machines of this type and zone, spot or on-demand. */
export function isAllowedOn(
  spec: JobSpec,
  type: string,
  zone: string,
  spot: boolean,
): boolean {
  if (spec.machineTypes !== null && !spec.machineTypes.includes(type))
    return false;
  if (spec.zone !== null && spec.zone !== zone) return false;
  return spec.spot || !spot;
}

/** Whether a task of a job can run on an on-demand machine of this type in a zone. */
export function canRunOn(
  spec: JobSpec,
  type: MachineType,
  zone: string,
): boolean {
  return (
    type.zones.includes(zone) &&
    isAllowedOn(spec, type.name, zone, false) &&
    needsAtMost(spec, type)
  );
}

/** For a task that needs no accelerator: how many times as much a slot on an accelerated machine may cost as on a plain one. */
const MAX_PRICE_RATIO = 2;

/**
 * Whether a type of machine is suitable for a job's tasks. Machines with accelerators are the most expensive and the
 * scarcest, so a job that needs no accelerator uses one only if a slot on it costs about as much as on a plain machine (a
 * cheap spot offer), or if no plain machine could run the job.
 */
export function isSuitable(
  spec: JobSpec,
  type: MachineType | null,
  spot: boolean,
  catalog: readonly MachineType[] | null,
): boolean {
  if (!type || spec.gpus > 0 || type.gpus === 0) return true;
  const price = spot ? type.spotPrice : type.price;
  const pricePerSlot = price / Math.max(1, fitCount(spec, capacityOf(type)));
  return pricePerSlot <= plainPricePerSlot(spec, catalog) * MAX_PRICE_RATIO;
}

/** The lowest price of a slot on a machine without accelerators; Infinity if none can run the job. */
function plainPricePerSlot(
  spec: JobSpec,
  catalog: readonly MachineType[] | null,
): number {
  let lowest = Infinity;
  for (const type of catalog ?? [])
    if (
      type.gpus === 0 &&
      type.zones.some((zone) => canRunOn(spec, type, zone))
    )
      lowest = Math.min(lowest, type.price / fitCount(spec, capacityOf(type)));
  return lowest;
}

/** With `spread`, at most half of the tasks, rounded up, may be in one zone. */
export const maxTasksPerZone = (spec: JobSpec): number =>
  spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;

/**
 * Whether a job stays undivided in one partition: gangs start together, and `samePlace` requires one zone. The exception is a
 * gang with `spread` for which no partition has enough zones.
 */
export const staysUndivided = (spec: JobSpec): boolean =>
  spec.kind === "gang" || spec.samePlace;

/** Key of what a job's tasks require of a machine: jobs with the same key can use the same machines. */
export const requestKeyOf = (spec: JobSpec): string =>
  JSON.stringify([
    spec.cpus,
    spec.gpus,
    spec.memGb,
    spec.machineTypes,
    spec.zone,
    spec.spot,
  ]);

/** Key of a machine type in a zone, spot or on-demand. */
export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type}/${zone}/${spot ? "spot" : "ordinary"}`;

/** A request for which there were not enough slots. */
interface UnplaceableRequest extends Resources {
  tasks: number;
}

/**
 * Requests for which there were not enough slots in a scheduling round. Free capacity only shrinks during a round, so a
 * job that has the same requirements and requests no less need not be tried. `machineClass` distinguishes jobs that may
 * use different machines for reasons other than their specification.
 */
export class UnplaceableCache {
  private readonly requestsByKey = new Map<string, UnplaceableRequest[]>();

  /** Records that there were not enough slots for a job. */
  add(spec: JobSpec, machineClass: string): void {
    if (!isComparable(spec)) return;
    const key = requirementsKeyOf(spec, machineClass);
    const requests = this.requestsByKey.get(key) ?? [];
    requests.push({
      cpus: spec.cpus,
      gpus: spec.gpus,
      memGb: spec.memGb,
      tasks: tasksAtOnce(spec),
    });
    this.requestsByKey.set(key, requests);
  }

  /** Whether there were not enough slots for a job that requests no more than this one. */
  includes(spec: JobSpec, machineClass: string): boolean {
    if (!isComparable(spec)) return false;
    const key = requirementsKeyOf(spec, machineClass);
    return (this.requestsByKey.get(key) ?? []).some(
      (request) =>
        needsAtMost(request, spec) && request.tasks <= tasksAtOnce(spec),
    );
  }
}

/** Whether a job can be compared with others: not if its zones depend on where its other tasks are. */
const isComparable = (spec: JobSpec): boolean =>
  !spec.spread && (!spec.samePlace || spec.kind === "gang");

const tasksAtOnce = (spec: JobSpec): number =>
  spec.kind === "gang" ? spec.tasks : 1;

const requirementsKeyOf = (spec: JobSpec, machineClass: string): string =>
  [
    spec.machineTypes?.join("+"),
    spec.zone,
    spec.spot,
    spec.samePlace,
    machineClass,
  ].join("/");
