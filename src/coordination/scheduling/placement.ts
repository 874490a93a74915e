import type { JobSpec, MachineType } from "../model.js";

/** Amounts are sums of decimal numbers: compare them with some slack. */
export const EPSILON = 1e-6;

export interface Resources {
  cpus: number;
  gpus: number;
  memGb: number;
}

export const fits = (need: Resources, room: Resources): boolean =>
  need.cpus <= room.cpus + EPSILON &&
  need.gpus <= room.gpus + EPSILON &&
  need.memGb <= room.memGb + EPSILON;

/** How many tasks of this need go into this room. */
export function fitCount(need: Resources, room: Resources): number {
  let n = Infinity;
  if (need.cpus > 0)
    n = Math.min(n, Math.floor((room.cpus + EPSILON) / need.cpus));
  if (need.gpus > 0)
    n = Math.min(n, Math.floor((room.gpus + EPSILON) / need.gpus));
  if (need.memGb > 0)
    n = Math.min(n, Math.floor((room.memGb + EPSILON) / need.memGb));
  return n === Infinity ? 1_000 : Math.max(0, n);
}

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

export function canRunOn(spec: JobSpec, t: MachineType, zone: string): boolean {
  return (
    t.zones.includes(zone) &&
    isAllowedOn(spec, t.name, zone, false) &&
    fits(spec, t)
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
  t: MachineType | null,
  spot: boolean,
  catalog: readonly MachineType[] | null,
): boolean {
  if (!t || spec.gpus > 0 || t.gpus === 0) return true;
  let plain = Infinity;
  for (const x of catalog ?? [])
    if (x.gpus === 0 && x.zones.some((z) => canRunOn(spec, x, z)))
      plain = Math.min(plain, x.price / fitCount(spec, x));
  return (
    (spot ? t.spotPrice : t.price) / Math.max(1, fitCount(spec, t)) <=
    plain * MAX_PRICE_RATIO
  );
}

/** With `spread`, at most half of the tasks, rounded up, may be in one zone. */
export const maxTasksPerZone = (spec: JobSpec): number =>
  spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;

/** All tasks go to one group: gangs start together, and `samePlace` wants one zone. */
export const startsWhole = (spec: JobSpec): boolean =>
  spec.kind === "gang" || spec.samePlace;

/** What a job asks of the place of a task, as one word: jobs that share it can use the same machines. */
export const requestKeyOf = (s: JobSpec): string =>
  JSON.stringify([s.cpus, s.gpus, s.memGb, s.machineTypes, s.zone, s.spot]);

/** A type in a zone, spot or ordinary, as one word. */
export const offerKey = (type: string, zone: string, spot: boolean): string =>
  `${type}/${zone}/${spot ? "spot" : "ordinary"}`;

/**
 * What found no room in a placing pass. Room only shrinks during one: whatever asks for the same kind of place
 * and no less of it need not look again. `look`: which machines it may look at, beside what its description says.
 */
export class UnplaceableCache {
  private readonly of = new Map<string, (Resources & { tasks: number })[]>();

  private static kind(s: JobSpec, look: string): string {
    return [s.machineTypes?.join("+"), s.zone, s.spot, s.samePlace, look].join(
      "/",
    );
  }
  /** Jobs that look at machines in a way of their own are never counted in. */
  private static own(s: JobSpec): boolean {
    return s.spread || (s.samePlace && s.kind !== "gang");
  }
  private static tasks(s: JobSpec): number {
    return s.kind === "gang" ? s.tasks : 1;
  }
  add(s: JobSpec, look: string): void {
    if (UnplaceableCache.own(s)) return;
    const key = UnplaceableCache.kind(s, look);
    const list = this.of.get(key) ?? [];
    list.push({
      cpus: s.cpus,
      gpus: s.gpus,
      memGb: s.memGb,
      tasks: UnplaceableCache.tasks(s),
    });
    this.of.set(key, list);
  }
  includes(s: JobSpec, look: string): boolean {
    if (UnplaceableCache.own(s)) return false;
    return (this.of.get(UnplaceableCache.kind(s, look)) ?? []).some(
      (m) => fits(m, s) && m.tasks <= UnplaceableCache.tasks(s),
    );
  }
}
