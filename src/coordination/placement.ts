import type { JobSpec, MachineType } from "./model.js";

/** Amounts are sums of decimal numbers: compare them with some slack. */
export const EPS = 1e-6;

export interface Amounts {
  cpus: number;
  gpus: number;
  memGb: number;
}

export const fits = (need: Amounts, room: Amounts): boolean =>
  need.cpus <= room.cpus + EPS &&
  need.gpus <= room.gpus + EPS &&
  need.memGb <= room.memGb + EPS;

/** How many tasks of this need go into this room. */
export function fitCount(need: Amounts, room: Amounts): number {
  let n = Infinity;
  if (need.cpus > 0) n = Math.min(n, Math.floor((room.cpus + EPS) / need.cpus));
  if (need.gpus > 0) n = Math.min(n, Math.floor((room.gpus + EPS) / need.gpus));
  if (need.memGb > 0)
    n = Math.min(n, Math.floor((room.memGb + EPS) / need.memGb));
  return n === Infinity ? 1_000 : Math.max(0, n);
}

/** How many tasks go into what is left of a limit, which counts no memory. */
export const fitLimit = (
  need: Amounts,
  left: { cpus: number; gpus: number },
): number =>
  fitCount(
    { cpus: need.cpus, gpus: need.gpus, memGb: 0 },
    { cpus: left.cpus, gpus: left.gpus, memGb: 0 },
  );

/** The type, zone and kind that a job's tasks may run on. */
export function allowedOn(
  spec: JobSpec,
  type: string,
  zone: string,
  spot: boolean,
): boolean {
  if (spec.types !== null && !spec.types.includes(type)) return false;
  if (spec.zone !== null && spec.zone !== zone) return false;
  return spec.spot || !spot;
}

export function couldRun(spec: JobSpec, t: MachineType, zone: string): boolean {
  return (
    t.zones.includes(zone) &&
    allowedOn(spec, t.name, zone, false) &&
    fits(spec, t)
  );
}

/** How much dearer a place on an accelerated machine may be than one on a plain machine, for plain work. */
const LIKE_PRICE = 2;

/**
 * Machines with accelerators are for work that needs them, the dearest and the scarcest there are: plain work gets
 * one only where a place on it costs about as much as on a plain machine (a cheap spot offer), or where no plain
 * machine could run it.
 */
export function suits(
  spec: JobSpec,
  t: MachineType | null,
  spot: boolean,
  catalog: readonly MachineType[] | null,
): boolean {
  if (!t || spec.gpus > 0 || t.gpus === 0) return true;
  let plain = Infinity;
  for (const x of catalog ?? [])
    if (x.gpus === 0 && x.zones.some((z) => couldRun(spec, x, z)))
      plain = Math.min(plain, x.price / fitCount(spec, x));
  return (
    (spot ? t.spotPrice : t.price) / Math.max(1, fitCount(spec, t)) <=
    plain * LIKE_PRICE
  );
}

/** With `spread`, at most half of the tasks, rounded up, may be in one zone. */
export const zoneCap = (spec: JobSpec): number =>
  spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;

/** All tasks go to one group: gangs start together, and `samePlace` wants one zone. */
export const goesWhole = (spec: JobSpec): boolean =>
  spec.shape === "ensemble" || spec.samePlace;

/** What a job asks of the place of a task, as one word: jobs that share it can use the same machines. */
export const placeAsked = (s: JobSpec): string =>
  JSON.stringify([s.cpus, s.gpus, s.memGb, s.types, s.zone, s.spot]);

/** A type in a zone, spot or ordinary, as one word. */
export const offer = (type: string, zone: string, spot: boolean): string =>
  `${type}/${zone}/${spot ? "spot" : "ordinary"}`;

/**
 * What found no room in a placing pass. Room only shrinks during one: whatever asks for the same kind of place
 * and no less of it need not look again. `look`: which machines it may look at, beside what its description says.
 */
export class Misfits {
  private readonly of = new Map<string, (Amounts & { tasks: number })[]>();

  private static kind(s: JobSpec, look: string): string {
    return [s.types?.join("+"), s.zone, s.spot, s.samePlace, look].join("/");
  }
  /** Jobs that look at machines in a way of their own are never counted in. */
  private static own(s: JobSpec): boolean {
    return s.spread || (s.samePlace && s.shape !== "ensemble");
  }
  private static tasks(s: JobSpec): number {
    return s.shape === "ensemble" ? s.tasks : 1;
  }
  add(s: JobSpec, look: string): void {
    if (Misfits.own(s)) return;
    const key = Misfits.kind(s, look);
    const list = this.of.get(key) ?? [];
    list.push({
      cpus: s.cpus,
      gpus: s.gpus,
      memGb: s.memGb,
      tasks: Misfits.tasks(s),
    });
    this.of.set(key, list);
  }
  includes(s: JobSpec, look: string): boolean {
    if (Misfits.own(s)) return false;
    return (this.of.get(Misfits.kind(s, look)) ?? []).some(
      (m) => fits(m, s) && m.tasks <= Misfits.tasks(s),
    );
  }
}
