/**
 * Where tasks fit: arithmetic on resources, and the rules on machine types, zones and prices. Owns no state but what
 * `UnplaceableCache` keeps for one scheduling round.
 */
import type { JobSpec, MachineType } from "../model.js";

/** Amounts are sums of decimal numbers: comparisons allow for this rounding error. */
export const EPSILON = 1e-6;

/** Resources of a task or a machine. */
export interface Resources {
  cpus: number;
  gpus: number;
  memGb: number;
}

/** Whether a task of this need has room. */
export const fits = (need: Resources, room: Resources): boolean =>
  need.cpus <= room.cpus + EPSILON &&
  need.gpus <= room.gpus + EPSILON &&
  need.memGb <= room.memGb + EPSILON;

/** Tasks without any need are bounded by this a machine. */
const MAX_TASKS_WITHOUT_NEED = 1_000;

/** How many tasks of this need go into this room. */
export function fitCount(need: Resources, room: Resources): number {
  const count = Math.min(
    fitCountOf(need.cpus, room.cpus),
    fitCountOf(need.gpus, room.gpus),
    fitCountOf(need.memGb, room.memGb),
  );
  return count === Infinity ? MAX_TASKS_WITHOUT_NEED : Math.max(0, count);
}

const fitCountOf = (need: number, room: number): number =>
  need > 0 ? Math.floor((room + EPSILON) / need) : Infinity;

/** How many tasks go into what is left of a limit, which counts no memory. */
export const fitWithinLimit = (
  need: Resources,
  left: { cpus: number; gpus: number },
): number =>
  fitCount(
    { cpus: need.cpus, gpus: need.gpus, memGb: 0 },
    { cpus: left.cpus, gpus: left.gpus, memGb: 0 },
  );

/** The type, zone and kind that a job's tasks may run on. */
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

/** Whether a task of a job can run on an ordinary machine of this type in a zone. */
export function canRunOn(
  spec: JobSpec,
  type: MachineType,
  zone: string,
): boolean {
  return (
    type.zones.includes(zone) &&
    isAllowedOn(spec, type.name, zone, false) &&
    fits(spec, type)
  );
}

/** How much dearer a place on an accelerated machine may be than one on a plain machine, for plain work. */
const MAX_PRICE_RATIO = 2;

/**
 * Machines with accelerators are for work that needs them, the dearest and the scarcest there are: plain work gets
 * one only where a place on it costs about as much as on a plain machine (a cheap spot offer), or where no plain
 * machine could run it.
 */
export function isSuitable(
  spec: JobSpec,
  type: MachineType | null,
  spot: boolean,
  catalog: readonly MachineType[] | null,
): boolean {
  if (!type || spec.gpus > 0 || type.gpus === 0) return true;
  const price = spot ? type.spotPrice : type.price;
  const pricePerPlace = price / Math.max(1, fitCount(spec, type));
  return pricePerPlace <= plainPricePerPlace(spec, catalog) * MAX_PRICE_RATIO;
}

/** The lowest price of a place on a machine without accelerators; Infinity: none can run the job. */
function plainPricePerPlace(
  spec: JobSpec,
  catalog: readonly MachineType[] | null,
): number {
  let lowest = Infinity;
  for (const type of catalog ?? [])
    if (
      type.gpus === 0 &&
      type.zones.some((zone) => canRunOn(spec, type, zone))
    )
      lowest = Math.min(lowest, type.price / fitCount(spec, type));
  return lowest;
}

/** With `spread`, at most half of the tasks, rounded up, may be in one zone. */
export const maxTasksPerZone = (spec: JobSpec): number =>
  spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;

/** All tasks go to one partition: gangs start together, and `samePlace` wants one zone. */
export const startsWhole = (spec: JobSpec): boolean =>
  spec.kind === "gang" || spec.samePlace;

/** A key of what a job asks of the place of a task: jobs that share it can use the same machines. */
export const requestKeyOf = (spec: JobSpec): string =>
  JSON.stringify([
    spec.cpus,
    spec.gpus,
    spec.memGb,
    spec.machineTypes,
    spec.zone,
    spec.spot,
  ]);

/** A key of a type in a zone, spot or ordinary. */
export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type}/${zone}/${spot ? "spot" : "ordinary"}`;

/** A request that found no room. */
interface UnplaceableRequest extends Resources {
  tasks: number;
}

/**
 * Requests that found no room in a scheduling round. Room only shrinks during one: a job that asks for the same kind of
 * place and no less of it need not search again. `machineClass`: which machines the job may use, beside what its
 * specification says.
 */
export class UnplaceableCache {
  private readonly requestsByKind = new Map<string, UnplaceableRequest[]>();

  /** Remembers that a job found no room. */
  add(spec: JobSpec, machineClass: string): void {
    if (!isComparable(spec)) return;
    const kind = placeKindOf(spec, machineClass);
    const requests = this.requestsByKind.get(kind) ?? [];
    requests.push({
      cpus: spec.cpus,
      gpus: spec.gpus,
      memGb: spec.memGb,
      tasks: tasksAtOnce(spec),
    });
    this.requestsByKind.set(kind, requests);
  }

  /** Whether a job that asks for no more than this one found no room. */
  includes(spec: JobSpec, machineClass: string): boolean {
    if (!isComparable(spec)) return false;
    const kind = placeKindOf(spec, machineClass);
    return (this.requestsByKind.get(kind) ?? []).some(
      (request) => fits(request, spec) && request.tasks <= tasksAtOnce(spec),
    );
  }
}

/** Jobs whose zones depend on where their other tasks are cannot be compared with others. */
const isComparable = (spec: JobSpec): boolean =>
  !spec.spread && (!spec.samePlace || spec.kind === "gang");

const tasksAtOnce = (spec: JobSpec): number =>
  spec.kind === "gang" ? spec.tasks : 1;

const placeKindOf = (spec: JobSpec, machineClass: string): string =>
  [
    spec.machineTypes?.join("+"),
    spec.zone,
    spec.spot,
    spec.samePlace,
    machineClass,
  ].join("/");
