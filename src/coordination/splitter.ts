import type { RoomRecord, RoomRow } from "../storage/records.js";
import type { Groups } from "./groups.js";
import { type JobSpec, type MachineType, URGENCIES } from "./model.js";
import {
  allowedOn,
  couldRun,
  fitCount,
  goesWhole,
  offer,
  suits,
  zoneCap,
} from "./placement.js";
import { RangeSet } from "./ranges.js";

/** How a job is cut over the groups: by the room that each group last wrote (Pigeon's suggestion, section 2.2). */

interface Capable {
  group: string;
  /** Zones of the group where some allowed type is offered. */
  zones: string[];
}

export function capableGroups(
  spec: JobSpec,
  catalog: readonly MachineType[],
  groups: Groups,
): Capable[] {
  const zones = new Set<string>();
  for (const t of catalog)
    for (const z of t.zones) if (couldRun(spec, t, z)) zones.add(z);
  return groups.names
    .map((group) => ({
      group,
      zones: [...zones].filter((z) => groups.of(z) === group).sort(),
    }))
    .filter((c) => c.zones.length > 0);
}

/** Tasks of this job that fit into a group's written room. */
function roomFor(
  spec: JobSpec,
  room: RoomRecord | undefined,
  catalog: readonly MachineType[],
  short: boolean,
): number {
  let n = 0;
  if (!room) return 0;
  for (const row of room.rows) {
    if (
      !allowedOn(spec, row.type, row.zone, row.spot) ||
      !suits(
        spec,
        catalog.find((t) => t.name === row.type) ?? null,
        row.spot,
        catalog,
      )
    )
      continue;
    for (const [cpus, gpus, memGb, machines] of short
      ? [...row.free, ...row.reserved]
      : row.free)
      n += machines * fitCount(spec, { cpus, gpus, memGb });
  }
  return n;
}

/**
 * Tasks of this job that a group can have once work of lower urgency has given way, beside what is free: a few seconds
 * after it asks. Without it a guest's swarm on all machines of a group sent everything urgent to the others, where it waited
 * for minutes (docs/incidents/claimdesk-ops-visitors.md).
 */
function yieldsFor(
  spec: JobSpec,
  rows: readonly RoomRow[],
  catalog: readonly MachineType[],
): number {
  const urgency = URGENCIES.indexOf(spec.urgency);
  let n = 0;
  for (const row of rows) {
    if (
      !row.yields?.length ||
      !allowedOn(spec, row.type, row.zone, row.spot) ||
      !suits(
        spec,
        catalog.find((t) => t.name === row.type) ?? null,
        row.spot,
        catalog,
      )
    )
      continue;
    for (const [cpus, gpus, memGb, machines, from, to] of row.yields)
      if (urgency >= from && urgency <= to)
        n += machines * fitCount(spec, { cpus, gpus, memGb });
  }
  return n;
}

/** Tasks that wait in a group and come before this job or beside it: what is less urgent does not keep it waiting. */
export function waitingBefore(
  spec: JobSpec,
  room: RoomRecord | undefined,
): number {
  const kind = queueOf(spec);
  const from = room?.queueFrom?.[URGENCIES.indexOf(spec.urgency)];
  return from ? from[kind === "plain" ? 0 : 1] : (room?.queue[kind] ?? 0);
}

/** Tasks that were given to a group and that its written room may not show yet. */
export interface Handed {
  spec: JobSpec;
  tasks: number;
}

/** Which queue of a group a job's tasks stand in, as far as others need to know. */
export const queueOf = (spec: JobSpec): "plain" | "accelerated" =>
  spec.gpus > 0 ? "accelerated" : "plain";

/** Tasks of this job that a group can start at once, less what was handed to it since it wrote so. */
export function roomLeft(
  spec: JobSpec,
  room: RoomRecord | undefined,
  catalog: readonly MachineType[],
  short: boolean,
  handed: readonly Handed[] = [],
): number {
  return Math.max(
    0,
    roomFor(spec, room, catalog, short) - handedOf(spec, handed),
  );
}

/**
 * For a job that goes whole: the most of its tasks that a group can start at once, the most once less urgent work has given
 * way, and the most with what it may still rent as well. With `samePlace` one zone must hold them all, so zones are not added up.
 */
export function wholeRoom(
  spec: JobSpec,
  zones: readonly string[],
  room: RoomRecord | undefined,
  catalog: readonly MachineType[],
  short: boolean,
  handed: readonly Handed[] = [],
): { now: number; yields: number; soon: number } {
  const gone = new Set(room?.soldOut);
  const taken = handedOf(spec, handed);
  const best = { now: 0, yields: 0, soon: 0 };
  const sum = { now: 0, yields: 0, soon: 0 };
  for (const zone of zones) {
    const rows = room?.rows.filter((r) => r.zone === zone) ?? [];
    const one = {
      now: room ? roomFor(spec, { ...room, rows }, catalog, short) : 0,
      yields: 0,
      soon: 0,
    };
    one.yields = one.now + yieldsFor(spec, rows, catalog);
    one.soon = one.yields;
    for (const t of catalog) {
      if (!couldRun(spec, t, zone)) continue;
      for (const spot of spec.spot ? [false, true] : [false]) {
        if (!suits(spec, t, spot, catalog)) continue;
        const what = offer(t.name, zone, spot);
        const left = room?.left.get(what) ?? (gone.has(what) ? 0 : Infinity);
        if (left > 0) one.soon += left * fitCount(spec, t);
      }
    }
    for (const k of ["now", "yields", "soon"] as const) {
      sum[k] += one[k];
      best[k] = Math.max(best[k], one[k]);
    }
  }
  const at = spec.samePlace ? best : sum;
  return {
    now: Math.max(0, at.now - taken),
    yields: Math.max(0, at.yields - taken),
    soon: Math.max(0, at.soon - taken),
  };
}

/** What was handed to a group since it wrote its room, in tasks of this job. */
function handedOf(spec: JobSpec, handed: readonly Handed[]): number {
  let n = 0;
  for (const h of handed)
    if (queueOf(h.spec) === queueOf(spec))
      n +=
        h.tasks *
        Math.max(1, Math.ceil(spec.cpus > 0 ? h.spec.cpus / spec.cpus : 1));
  return n;
}

interface Weighted extends Capable {
  /** Tasks that fit at once. */
  room: number;
  /** How fast it may come to the rest: machines it has or could have, over what waits there. */
  later: number;
  cap: number;
}

function weigh(
  spec: JobSpec,
  capable: readonly Capable[],
  rooms: ReadonlyMap<string, RoomRecord>,
  catalog: readonly MachineType[],
  short: boolean,
  handed: ReadonlyMap<string, readonly Handed[]>,
): Weighted[] {
  return capable.map((c) => {
    const r = rooms.get(c.group);
    const given = handed.get(c.group) ?? [];
    let waiting = waitingBefore(spec, r);
    for (const h of given)
      if (queueOf(h.spec) === queueOf(spec)) waiting += h.tasks;
    return {
      ...c,
      room: roomLeft(spec, r, catalog, short, given),
      later: 1 / waitS(spec, c.zones, r, catalog, waiting),
      cap: zoneCap(spec) * c.zones.length,
    };
  });
}

/** An offer that this group's cloud calls have not found sold out of late. */
export function canRent(
  spec: JobSpec,
  zones: readonly string[],
  room: RoomRecord | undefined,
  catalog: readonly MachineType[],
): MachineType | null {
  const gone = new Set(room?.soldOut);
  let best: MachineType | null = null;
  for (const t of catalog)
    for (const z of zones)
      for (const spot of spec.spot ? [false, true] : [false])
        if (
          couldRun(spec, t, z) &&
          suits(spec, t, spot, catalog) &&
          !gone.has(offer(t.name, z, spot)) &&
          (!best || t.bootS < best.bootS)
        )
          best = t;
  return best;
}

/** About how long a task would wait in a group without room: for a machine to boot, or for its turn. */
function waitS(
  spec: JobSpec,
  zones: readonly string[],
  room: RoomRecord | undefined,
  catalog: readonly MachineType[],
  waiting: number,
): number {
  const rent = canRent(spec, zones, room, catalog);
  if (rent) return rent.bootS + 5 + waiting;
  return (
    ((waiting + 1) * (spec.estimateS || 120)) / slotsOf(spec, room, catalog)
  );
}

/** Machines of this group that the job's tasks could use, as places. */
function slotsOf(
  spec: JobSpec,
  room: RoomRecord | undefined,
  catalog: readonly MachineType[],
): number {
  let slots = 0;
  for (const row of room?.rows ?? []) {
    const t = catalog.find((x) => x.name === row.type);
    if (
      t &&
      allowedOn(spec, row.type, row.zone, row.spot) &&
      suits(spec, t, row.spot, catalog)
    )
      slots += row.machines * fitCount(spec, t);
  }
  return Math.max(0.1, slots);
}

/** From the asking until work that gives way has saved and is gone, in seconds. */
const YIELD_S = 12;

/** About how long a whole job would wait in a group: not at all, for machines to boot, or for others to finish. */
function wholeWaitS(
  spec: JobSpec,
  c: Capable,
  at: { now: number; yields: number; soon: number },
  room: RoomRecord | undefined,
  catalog: readonly MachineType[],
): number {
  const waiting = waitingBefore(spec, room);
  if (at.now >= spec.tasks + waiting) return 0;
  // What waits there does not fit yet and may be holding that room: a little worse than room for all.
  if (at.now >= spec.tasks) return 1;
  // Stopped first, with time to save.
  if (at.yields >= spec.tasks + waiting) return YIELD_S;
  const boots = catalog
    .filter(
      (t) =>
        suits(spec, t, spec.spot, catalog) &&
        c.zones.some((z) => couldRun(spec, t, z)),
    )
    .map((t) => t.bootS);
  const bootS = Math.min(...boots) + 5;
  const short = spec.tasks + waiting - at.soon;
  return short <= 0
    ? bootS
    : bootS + (short * (spec.estimateS || 120)) / slotsOf(spec, room, catalog);
}

/** A fixed shuffle by job id: equal groups take turns without a source of chance in the core. */
export function turn(id: string, n: number): number {
  let h = 2166136261;
  for (const ch of id) h = Math.imul(h ^ ch.charCodeAt(0), 16777619) >>> 0;
  return h % n;
}

/** A split with these tasks of one group given to another. */
export function movedSplit(
  split: ReadonlyMap<string, RangeSet>,
  from: string,
  tasks: RangeSet,
  to: string,
): Map<string, RangeSet> {
  const out = new Map([...split].map(([g, r]) => [g, r.clone()]));
  out.get(from)!.removeAll(tasks);
  const theirs = out.get(to) ?? RangeSet.empty();
  theirs.addAll(tasks);
  out.set(to, theirs);
  return out;
}

export function splitJob(
  spec: JobSpec,
  capable: readonly Capable[],
  rooms: ReadonlyMap<string, RoomRecord>,
  catalog: readonly MachineType[],
  short: boolean,
  handed: ReadonlyMap<string, readonly Handed[]>,
): Map<string, RangeSet> {
  const start = turn(spec.id, capable.length);
  const ws = weigh(
    spec,
    [...capable.slice(start), ...capable.slice(0, start)],
    rooms,
    catalog,
    short,
    handed,
  );
  const best = (score: (w: Weighted) => number): Weighted =>
    ws.reduce((a, b) => (score(b) > score(a) ? b : a));
  if (goesWhole(spec)) {
    const enough =
      spec.shape === "ensemble" || spec.samePlace
        ? ws.filter((w) => w.cap >= spec.tasks)
        : ws;
    const from = enough.length > 0 ? enough : ws;
    // To the roomiest group that can hold it; if none can, to the one that is expected to be able to first.
    const rated = from.map((w) => {
      const room = rooms.get(w.group);
      const at = wholeRoom(
        spec,
        w.zones,
        room,
        catalog,
        short,
        handed.get(w.group),
      );
      return {
        group: w.group,
        cap: w.cap,
        now: at.now,
        waitS: wholeWaitS(spec, w, at, room, catalog),
      };
    });
    rated.sort((a, b) => a.waitS - b.waitS || b.now - a.now);
    // A gang with `spread` that no group has zones enough for goes to as few groups as it can.
    const whole = new Map<string, RangeSet>();
    let first = 0;
    for (const r of rated) {
      const n = Math.min(r.cap, spec.tasks - first);
      if (n > 0) whole.set(r.group, RangeSet.of([[first, first + n - 1]]));
      first += n;
    }
    // It has zones enough nowhere, or asks for one and for two at once: it waits where it may find them one day.
    if (first < spec.tasks || spec.samePlace)
      return new Map([[rated[0]!.group, RangeSet.upTo(spec.tasks)]]);
    return whole;
  }
  // First into the room there is, by weight; then the rest by who comes to it soonest.
  const counts = new Map<string, number>(ws.map((w) => [w.group, 0]));
  const given = (w: Weighted): number => counts.get(w.group)!;
  const total = ws.reduce((n, w) => n + Math.min(w.room, w.cap), 0);
  let left = spec.tasks;
  if (total > 0) {
    const share = Math.min(1, spec.tasks / total);
    for (const w of ws) {
      const n = Math.min(left, Math.floor(Math.min(w.room, w.cap) * share));
      counts.set(w.group, n);
      left -= n;
    }
  }
  for (let k = 0; left > 0 && k < ws.length; k++) {
    const w = best((x) =>
      given(x) < x.cap ? Math.min(x.room, x.cap) - given(x) : -1,
    );
    const n = Math.min(
      1,
      left,
      Math.max(0, Math.min(w.room, w.cap) - given(w)),
    );
    counts.set(w.group, given(w) + n);
    left -= n;
  }
  const open = ws.filter((w) => given(w) < w.cap);
  const weights = open.reduce((n, w) => n + w.later, 0) || 1;
  const rest = left;
  for (const w of open) {
    const n = Math.min(
      left,
      Math.floor((rest * w.later) / weights),
      w.cap - given(w),
    );
    counts.set(w.group, given(w) + n);
    left -= n;
  }
  while (left > 0) {
    const w = best((x) => (given(x) < x.cap ? x.later / (1 + given(x)) : -1));
    const n =
      given(w) < w.cap
        ? Math.min(
            left,
            Math.max(1, Math.floor(left / ws.length)),
            w.cap - given(w),
          )
        : left;
    counts.set(w.group, given(w) + n);
    left -= n;
  }
  const split = new Map<string, RangeSet>();
  let next = 0;
  for (const w of ws) {
    const n = given(w);
    if (n > 0) split.set(w.group, RangeSet.of([[next, next + n - 1]]));
    next += n;
  }
  return split;
}
