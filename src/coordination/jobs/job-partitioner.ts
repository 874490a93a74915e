import type { CapacityRecord, CapacityRow } from "../../storage/records.js";
import type { PartitionMap } from "../leadership/partition-map.js";
import { type JobSpec, type MachineType, PRIORITIES } from "../model.js";
import {
  isAllowedOn,
  canRunOn,
  fitCount,
  startsWhole,
  offerKey,
  isSuitable,
  maxTasksPerZone,
} from "../scheduling/placement.js";
import { RangeSet } from "./range-set.js";

/** How a job is cut over the groups: by the room that each group last wrote (Pigeon's suggestion, section 2.2). */

interface CapablePartition {
  partition: string;
  /** Zones of the group where some allowed type is offered. */
  zones: string[];
}

export function capablePartitions(
  spec: JobSpec,
  catalog: readonly MachineType[],
  partitions: PartitionMap,
): CapablePartition[] {
  const zones = new Set<string>();
  for (const t of catalog)
    for (const z of t.zones) if (canRunOn(spec, t, z)) zones.add(z);
  return partitions.names
    .map((partition) => ({
      partition,
      zones: [...zones]
        .filter((z) => partitions.partitionOf(z) === partition)
        .sort(),
    }))
    .filter((c) => c.zones.length > 0);
}

/** Tasks of this job that fit into a group's written room. */
function placesFor(
  spec: JobSpec,
  room: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  short: boolean,
): number {
  let n = 0;
  if (!room) return 0;
  for (const row of room.rows) {
    if (
      !isAllowedOn(spec, row.type, row.zone, row.spot) ||
      !isSuitable(
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
function reclaimablePlacesFor(
  spec: JobSpec,
  rows: readonly CapacityRow[],
  catalog: readonly MachineType[],
): number {
  const priority = PRIORITIES.indexOf(spec.priority);
  let n = 0;
  for (const row of rows) {
    if (
      !row.reclaimable?.length ||
      !isAllowedOn(spec, row.type, row.zone, row.spot) ||
      !isSuitable(
        spec,
        catalog.find((t) => t.name === row.type) ?? null,
        row.spot,
        catalog,
      )
    )
      continue;
    for (const [cpus, gpus, memGb, machines, from, to] of row.reclaimable)
      if (priority >= from && priority <= to)
        n += machines * fitCount(spec, { cpus, gpus, memGb });
  }
  return n;
}

/** Tasks that wait in a group and come before this job or beside it: what is less urgent does not keep it waiting. */
export function waitingBefore(
  spec: JobSpec,
  room: CapacityRecord | undefined,
): number {
  const kind = backlogKindOf(spec);
  const from = room?.queueFrom?.[PRIORITIES.indexOf(spec.priority)];
  return from ? from[kind === "plain" ? 0 : 1] : (room?.queue[kind] ?? 0);
}

/** Tasks that were given to a group and that its written room may not show yet. */
export interface PendingAssignment {
  spec: JobSpec;
  tasks: number;
}

/** Which queue of a group a job's tasks stand in, as far as others need to know. */
export const backlogKindOf = (spec: JobSpec): "plain" | "accelerated" =>
  spec.gpus > 0 ? "accelerated" : "plain";

/** Tasks of this job that a group can start at once, less what was handed to it since it wrote so. */
export function placesLeft(
  spec: JobSpec,
  room: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  short: boolean,
  pending: readonly PendingAssignment[] = [],
): number {
  return Math.max(
    0,
    placesFor(spec, room, catalog, short) - pendingTasksOf(spec, pending),
  );
}

/**
 * For a job that goes whole: the most of its tasks that a group can start at once, the most once less urgent work has given
 * way, and the most with what it may still rent as well. With `samePlace` one zone must hold them all, so zones are not added up.
 */
export function placesForWhole(
  spec: JobSpec,
  zones: readonly string[],
  room: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  short: boolean,
  pending: readonly PendingAssignment[] = [],
): { now: number; yields: number; soon: number } {
  const gone = new Set(room?.soldOut);
  const taken = pendingTasksOf(spec, pending);
  const best = { now: 0, yields: 0, soon: 0 };
  const sum = { now: 0, yields: 0, soon: 0 };
  for (const zone of zones) {
    const rows = room?.rows.filter((r) => r.zone === zone) ?? [];
    const one = {
      now: room ? placesFor(spec, { ...room, rows }, catalog, short) : 0,
      yields: 0,
      soon: 0,
    };
    one.yields = one.now + reclaimablePlacesFor(spec, rows, catalog);
    one.soon = one.yields;
    for (const t of catalog) {
      if (!canRunOn(spec, t, zone)) continue;
      for (const spot of spec.spot ? [false, true] : [false]) {
        if (!isSuitable(spec, t, spot, catalog)) continue;
        const what = offerKey(t.name, zone, spot);
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
function pendingTasksOf(
  spec: JobSpec,
  pending: readonly PendingAssignment[],
): number {
  let n = 0;
  for (const h of pending)
    if (backlogKindOf(h.spec) === backlogKindOf(spec))
      n +=
        h.tasks *
        Math.max(1, Math.ceil(spec.cpus > 0 ? h.spec.cpus / spec.cpus : 1));
  return n;
}

interface WeightedPartition extends CapablePartition {
  /** Tasks that fit at once. */
  room: number;
  /** How fast it may come to the rest: machines it has or could have, over what waits there. */
  later: number;
  cap: number;
}

function weighPartition(
  spec: JobSpec,
  capable: readonly CapablePartition[],
  rooms: ReadonlyMap<string, CapacityRecord>,
  catalog: readonly MachineType[],
  short: boolean,
  pending: ReadonlyMap<string, readonly PendingAssignment[]>,
): WeightedPartition[] {
  return capable.map((c) => {
    const r = rooms.get(c.partition);
    const given = pending.get(c.partition) ?? [];
    let waiting = waitingBefore(spec, r);
    for (const h of given)
      if (backlogKindOf(h.spec) === backlogKindOf(spec)) waiting += h.tasks;
    return {
      ...c,
      room: placesLeft(spec, r, catalog, short, given),
      later: 1 / expectedWaitS(spec, c.zones, r, catalog, waiting),
      cap: maxTasksPerZone(spec) * c.zones.length,
    };
  });
}

/** An offer that this group's cloud calls have not found sold out of late. */
export function canRent(
  spec: JobSpec,
  zones: readonly string[],
  room: CapacityRecord | undefined,
  catalog: readonly MachineType[],
): MachineType | null {
  const gone = new Set(room?.soldOut);
  let best: MachineType | null = null;
  for (const t of catalog)
    for (const z of zones)
      for (const spot of spec.spot ? [false, true] : [false])
        if (
          canRunOn(spec, t, z) &&
          isSuitable(spec, t, spot, catalog) &&
          !gone.has(offerKey(t.name, z, spot)) &&
          (!best || t.bootS < best.bootS)
        )
          best = t;
  return best;
}

/** About how long a task would wait in a group without room: for a machine to boot, or for its turn. */
function expectedWaitS(
  spec: JobSpec,
  zones: readonly string[],
  room: CapacityRecord | undefined,
  catalog: readonly MachineType[],
  waiting: number,
): number {
  const rent = canRent(spec, zones, room, catalog);
  if (rent) return rent.bootS + 5 + waiting;
  return (
    ((waiting + 1) * (spec.estimateS || 120)) / placesOnAll(spec, room, catalog)
  );
}

/** Machines of this group that the job's tasks could use, as places. */
function placesOnAll(
  spec: JobSpec,
  room: CapacityRecord | undefined,
  catalog: readonly MachineType[],
): number {
  let slots = 0;
  for (const row of room?.rows ?? []) {
    const t = catalog.find((x) => x.name === row.type);
    if (
      t &&
      isAllowedOn(spec, row.type, row.zone, row.spot) &&
      isSuitable(spec, t, row.spot, catalog)
    )
      slots += row.machines * fitCount(spec, t);
  }
  return Math.max(0.1, slots);
}

/** From the asking until work that gives way has saved and is gone, in seconds. */
const PREEMPTION_DELAY_S = 12;

/** About how long a whole job would wait in a group: not at all, for machines to boot, or for others to finish. */
function expectedWholeWaitS(
  spec: JobSpec,
  c: CapablePartition,
  at: { now: number; yields: number; soon: number },
  room: CapacityRecord | undefined,
  catalog: readonly MachineType[],
): number {
  const waiting = waitingBefore(spec, room);
  if (at.now >= spec.tasks + waiting) return 0;
  // What waits there does not fit yet and may be holding that room: a little worse than room for all.
  if (at.now >= spec.tasks) return 1;
  // Stopped first, with time to save.
  if (at.yields >= spec.tasks + waiting) return PREEMPTION_DELAY_S;
  const boots = catalog
    .filter(
      (t) =>
        isSuitable(spec, t, spec.spot, catalog) &&
        c.zones.some((z) => canRunOn(spec, t, z)),
    )
    .map((t) => t.bootS);
  const bootS = Math.min(...boots) + 5;
  const short = spec.tasks + waiting - at.soon;
  return short <= 0
    ? bootS
    : bootS +
        (short * (spec.estimateS || 120)) / placesOnAll(spec, room, catalog);
}

/** A fixed shuffle by job id: equal groups take turns without a source of chance in the core. */
export function turnOf(id: string, n: number): number {
  let h = 2166136261;
  for (const ch of id) h = Math.imul(h ^ ch.charCodeAt(0), 16777619) >>> 0;
  return h % n;
}

/** A split with these tasks of one group given to another. */
export function reassigned(
  assignment: ReadonlyMap<string, RangeSet>,
  from: string,
  tasks: RangeSet,
  to: string,
): Map<string, RangeSet> {
  const out = new Map([...assignment].map(([g, r]) => [g, r.clone()]));
  out.get(from)!.removeAll(tasks);
  const theirs = out.get(to) ?? RangeSet.empty();
  theirs.addAll(tasks);
  out.set(to, theirs);
  return out;
}

export function partitionJob(
  spec: JobSpec,
  capable: readonly CapablePartition[],
  rooms: ReadonlyMap<string, CapacityRecord>,
  catalog: readonly MachineType[],
  short: boolean,
  pending: ReadonlyMap<string, readonly PendingAssignment[]>,
): Map<string, RangeSet> {
  const start = turnOf(spec.id, capable.length);
  const ws = weighPartition(
    spec,
    [...capable.slice(start), ...capable.slice(0, start)],
    rooms,
    catalog,
    short,
    pending,
  );
  const best = (score: (w: WeightedPartition) => number): WeightedPartition =>
    ws.reduce((a, b) => (score(b) > score(a) ? b : a));
  if (startsWhole(spec)) {
    const enough =
      spec.kind === "gang" || spec.samePlace
        ? ws.filter((w) => w.cap >= spec.tasks)
        : ws;
    const from = enough.length > 0 ? enough : ws;
    // To the roomiest group that can hold it; if none can, to the one that is expected to be able to first.
    const rated = from.map((w) => {
      const room = rooms.get(w.partition);
      const at = placesForWhole(
        spec,
        w.zones,
        room,
        catalog,
        short,
        pending.get(w.partition),
      );
      return {
        group: w.partition,
        cap: w.cap,
        now: at.now,
        waitS: expectedWholeWaitS(spec, w, at, room, catalog),
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
  const counts = new Map<string, number>(ws.map((w) => [w.partition, 0]));
  const given = (w: WeightedPartition): number => counts.get(w.partition)!;
  const total = ws.reduce((n, w) => n + Math.min(w.room, w.cap), 0);
  let left = spec.tasks;
  if (total > 0) {
    const share = Math.min(1, spec.tasks / total);
    for (const w of ws) {
      const n = Math.min(left, Math.floor(Math.min(w.room, w.cap) * share));
      counts.set(w.partition, n);
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
    counts.set(w.partition, given(w) + n);
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
    counts.set(w.partition, given(w) + n);
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
    counts.set(w.partition, given(w) + n);
    left -= n;
  }
  const assignment = new Map<string, RangeSet>();
  let next = 0;
  for (const w of ws) {
    const n = given(w);
    if (n > 0) assignment.set(w.partition, RangeSet.of([[next, next + n - 1]]));
    next += n;
  }
  return assignment;
}
