import * as v from "valibot";
import {
  type JobKind,
  type JobSpec,
  PRIORITIES,
} from "../coordination/model.js";
import { RangeSet } from "../coordination/jobs/range-set.js";
import type { Write } from "../protocol/state.js";

/**
 * Keys and values in the state service. Controllers of an earlier version read and write them at the same time: nothing
 * is written that these can't read, and fields that they don't know are lost when they write a record anew
 * (docs/design.md, "Old beside new"; test/production holds that version). What is alive lies under `lc/now/`, so a starting controller reads
 * only that; finished jobs move to `lc/past/`, are kept for ever and read one by one. One watch on `lc/`
 * shows both.
 */
export const ROOT_PREFIX = "lc/";
export const LIVE_PREFIX = "lc/now/";

export const partitionKey = (g: string): string => `lc/now/group/${g}`;
export const leadershipBidKey = (g: string): string => `lc/now/claim/${g}`;
export const jobKey = (id: string): string => `lc/now/job/${id}`;
/** Final records: kept for ever. */
export const FINAL_PREFIX = "lc/past/";
export const finalKey = (id: string): string => `${FINAL_PREFIX}${id}`;
export const completionKey = (id: string, g: string, block: number): string =>
  `lc/now/fin/${id}/${g}/${block}`;
/** The attempt under which the parts of a gang start, and which group is ready for the next one. */
export const gangKey = (id: string): string => `lc/now/gang/${id}`;
export const readyKey = (id: string, g: string): string =>
  `lc/now/ready/${id}/${g}`;
export const registryKey = (g: string, chunk: number): string =>
  `lc/now/roster/${g}/${chunk}`;
export const capacityKey = (g: string): string => `lc/now/room/${g}`;
/**
 * Parts of the teams' limits. The first record is the one that the version before knows; it reads any key below it as
 * the same record, so teams that it has no room for are elsewhere.
 */
export const QUOTA_KEY = "lc/now/quota";
export const quotaKey = (n: number): string => `lc/now/limit/${n}`;
/** Which limits a live controller goes by; ends with its hold. */
export const observedLimitsKey = (label: string): string =>
  `lc/now/belief/${label}`;
/** What controllers stop of teams that are beyond their guarantee, for teams that are not. */
export const RECLAIM_KEY = "lc/now/reclaim";

/** What the keys of each kind of record name. */
export interface StoreKeyFields {
  group: { partition: string };
  claim: { partition: string };
  room: { partition: string };
  job: { id: string };
  past: { id: string };
  fin: { id: string; partition: string; chunk: number };
  roster: { partition: string; chunk: number };
  gang: { id: string };
  ready: { id: string; partition: string };
  limits: object;
  reclaim: object;
  belief: { label: string };
}
export type StoreKeyKind = keyof StoreKeyFields;
/** A parsed key, discriminated by the kind of its record; with a type argument, only the keys of these kinds. */
export type StoreKey<Kind extends StoreKeyKind = StoreKeyKind> = {
  [K in Kind]: { kind: K } & StoreKeyFields[K];
}[Kind];

export function parseKey(key: string): StoreKey | null {
  const p = key.split("/");
  if (p[0] !== "lc") return null;
  if (p[1] === "past" && p.length === 3) return { kind: "past", id: p[2]! };
  if (p[1] !== "now") return null;
  switch (p[2]) {
    case "group":
    case "claim":
    case "room":
      return p.length === 4 ? { kind: p[2], partition: p[3]! } : null;
    case "job":
      return p.length === 4 ? { kind: "job", id: p[3]! } : null;
    case "fin":
      return p.length === 6
        ? { kind: "fin", id: p[3]!, partition: p[4]!, chunk: Number(p[5]) }
        : null;
    case "roster":
      return p.length === 5
        ? { kind: "roster", partition: p[3]!, chunk: Number(p[4]) }
        : null;
    case "gang":
      return p.length === 4 ? { kind: "gang", id: p[3]! } : null;
    case "ready":
      return p.length === 5
        ? { kind: "ready", id: p[3]!, partition: p[4]! }
        : null;
    case "quota":
      return p.length === 3 ? { kind: "limits" } : null;
    case "limit":
      return p.length === 4 ? { kind: "limits" } : null;
    case "reclaim":
      return p.length === 3 ? { kind: "reclaim" } : null;
    case "belief":
      return p.length === 4 ? { kind: "belief", label: p[3]! } : null;
    default:
      return null;
  }
}

export interface PartitionRecord {
  owner: string;
  hold: number;
}
export interface LeadershipBidRecord {
  by: string;
  /** Token that the claim speaks against, so that an old claim says nothing of a later owner. */
  token: number;
}
export interface JobRecord {
  spec: JobSpec;
  /** Time of day of acceptance, in ms since the epoch. */
  acceptedAt: number;
  /** Which group runs which tasks. Empty while the job waits for others: then no controller has anything to start. */
  assignment: Map<string, RangeSet>;
  /** Jobs that were not done yet when it was accepted; empty once it was released. */
  dependsOn: readonly string[];
  /** Time of day when the last of them was found done; null: it never waited, or an earlier version wrote this. */
  releasedAt: number | null;
}
export interface FinalRecord {
  status: "done" | "cancelled";
  tasks: number;
  done: number;
  /** What those who asked for it are told beside: only with hooks turned on. */
  end?: {
    team: string;
    class: string;
    /** Time of day, ms since the epoch. */ at: number;
  };
}
/** One row of a group's written room: what is free on its machines of one type, zone and kind. */
export interface CapacityRow {
  type: string;
  zone: string;
  spot: boolean;
  machines: number;
  /** Free resources of the machines that have any left; equal ones are counted together. */
  free: FreeKind[];
  /** The same of the machines that serve short tasks only. */
  reserved: FreeKind[];
  /** What is free, or would be once tasks that must give way to such urgency were stopped; only of machines where that is more. */
  reclaimable?: ReclaimableKind[];
}
/** `from`, `to`: the least and the highest urgency that it is meant for, as their places in `URGENCIES`. */
export type ReclaimableKind = [
  cpus: number,
  gpus: number,
  memGb: number,
  machines: number,
  from: number,
  to: number,
];
export type FreeKind = [
  cpus: number,
  gpus: number,
  memGb: number,
  machines: number,
];
export interface QuotaWant {
  cpus: number;
  gpus: number;
  /** Time of day since which the oldest such job waits. */
  since: number;
}
/** What a group uses and wants of one team; of pairs, CPUs and accelerators. */
export interface TeamRow {
  /** On machines, known to be there. */
  use: [number, number];
  /** The most that may be: after a takeover more than what is known. */
  may: [number, number];
  /** Beyond the group's part of the limit: for tasks that have a place at once, or waited for long. */
  now: [number, number];
  /** Time of day, in ms, since which the oldest waits of those that lack CPUs, and of those that lack accelerators; Infinity: there is none. */
  nowSince: [number, number];
  /** For tasks whose place is yet to be rented. */
  soon: [number, number];
  soonSince: [number, number];
  /** The part that this is beyond. */
  beyond: [number, number];
  /** Waiting tasks within the group's part that have a place once others make it, in all. */
  waits: [number, number];
}
export interface CapacityRecord {
  rows: CapacityRow[];
  /** Tasks waiting, by whether they need accelerators: these compete for different machines. */
  queue: { plain: number; accelerated: number };
  /** The same for each urgency, with all above it: [plain, accelerated]; absent: an earlier version wrote it. */
  queueFrom?: readonly (readonly [number, number])[];
  /** Tasks on machines, by job: for display. */
  running: Map<string, number>;
  /** Offers that the cloud had nothing left of, lately. */
  soldOut: string[];
  /** By offer, where it is known: how many more machines the cloud seems to have for the group. */
  left: Map<string, number>;
  /** By team: more of its limit that the group could use. */
  wants: Map<string, QuotaWant>;
  /** By team; null: an earlier version wrote it. */
  teams: Map<string, TeamRow> | null;
  /** Not all teams found room in the record. */
  cut: boolean;
}
/** One of the records that list the machines of a group. */
export interface RegistryRecord {
  machines: Map<string, RegistryEntry>;
  /**
   * The record was written by a commit that is conditional on the record that it replaces, so it lacks no machine that was
   * added before. The version in production writes records without this condition, and leaves the mark out.
   */
  complete: boolean;
}
export interface RegistryEntry {
  /** Marked for return: never used again. */
  isReturning: boolean;
  type: string;
}

const pairs = v.array(v.tuple([v.number(), v.number()]));
const many = (n: number): v.NumberSchema<undefined>[] =>
  Array.from({ length: n }, () => v.number());
const Partition = v.object({ owner: v.string(), hold: v.number() });
const Claim = v.object({ by: v.string(), token: v.number() });
/** Stored names of the kinds of jobs. */
const STORED_KINDS = {
  array: "batch",
  gang: "ensemble",
  service: "daemon",
} as const satisfies Record<JobKind, string>;
const KINDS = {
  batch: "array",
  ensemble: "gang",
  daemon: "service",
} as const satisfies Record<string, JobKind>;
const Spec = v.object({
  id: v.string(),
  class: v.string(),
  team: v.string(),
  shape: v.picklist(["batch", "ensemble", "daemon"]),
  urgency: v.picklist(PRIORITIES),
  tasks: v.number(),
  cpus: v.number(),
  gpus: v.number(),
  memGb: v.number(),
  image: v.string(),
  imageGb: v.number(),
  types: v.nullable(v.array(v.string())),
  zone: v.nullable(v.string()),
  samePlace: v.boolean(),
  spread: v.boolean(),
  spot: v.boolean(),
  estimateS: v.number(),
  checkpointS: v.number(),
  saveS: v.number(),
  deadlineS: v.nullable(v.number()),
});
const Job = v.object({
  spec: Spec,
  at: v.number(),
  split: v.array(v.tuple([v.string(), pairs])),
  needs: v.optional(v.array(v.string()), []),
  rel: v.optional(v.nullable(v.number()), null),
});
const Past = v.object({
  s: v.picklist(["done", "cancelled"]),
  n: v.number(),
  d: v.number(),
  // An earlier version leaves it out, and does not mind it.
  h: v.optional(v.tuple([v.string(), v.string(), v.number()])),
});
const Fin = v.object({ r: v.optional(pairs), b: v.optional(v.string()) });
const frees = v.array(
  v.union([
    v.tuple([v.number(), v.number(), v.number(), v.number()]),
    v.tuple([v.number(), v.number(), v.number()]),
  ]),
);
const Room = v.object({
  rows: v.array(
    v.object({
      t: v.string(),
      z: v.string(),
      s: v.boolean(),
      n: v.number(),
      // Without counts and reserved machines: written by an earlier version.
      f: frees,
      r: v.optional(frees, []),
      y: v.optional(
        v.array(
          v.tuple([
            v.number(),
            v.number(),
            v.number(),
            v.number(),
            v.number(),
            v.number(),
          ]),
        ),
      ),
    }),
  ),
  q: v.tuple([v.number(), v.number()]),
  // Not known to the version before, which does not mind it.
  qu: v.optional(v.pipe(pairs, v.length(PRIORITIES.length))),
  run: v.array(v.tuple([v.string(), v.number()])),
  out: v.array(v.string()),
  left: v.optional(v.array(v.tuple([v.string(), v.number()]))),
  want: v.array(v.tuple([v.string(), v.number(), v.number(), v.number()])),
  // Name, use, may, now, its time, soon, its time, beyond, waits; the version before leaves it out and does not mind it.
  team: v.optional(
    v.array(v.tupleWithRest([v.string(), ...many(14)], v.number())),
  ),
  cut: v.optional(v.boolean(), false),
});
/** Types are written once, machines refer to them by place. */
const Registry = v.object({
  t: v.array(v.string()),
  m: v.array(v.tuple([v.string(), v.number(), v.number()])),
  // Not known to the version before, which neither minds nor keeps it.
  c: v.optional(v.number()),
});
const Quota = v.record(
  v.string(),
  v.record(v.string(), v.tuple([v.number(), v.number()])),
);

/** What a record says; null if it is not of that form. */
export function read<S extends v.GenericSchema>(
  schema: S,
  value: unknown,
): v.InferOutput<S> | null {
  const got = v.safeParse(schema, value);
  return got.success ? got.output : null;
}

export const readPartition = (value: unknown): PartitionRecord | null =>
  read(Partition, value);
export const readLeadershipBid = (value: unknown): LeadershipBidRecord | null =>
  read(Claim, value);
/** A job's description under the names that its record has for it. */
function storedSpec(spec: JobSpec): v.InferOutput<typeof Spec> {
  const { id, jobClass, team, kind, priority, tasks, cpus, gpus, memGb } = spec;
  const { image, imageGb, machineTypes, ...rest } = spec;
  return {
    id,
    class: jobClass,
    team,
    shape: STORED_KINDS[kind],
    urgency: priority,
    tasks,
    cpus,
    gpus,
    memGb,
    image,
    imageGb,
    types: machineTypes,
    zone: rest.zone,
    samePlace: rest.samePlace,
    spread: rest.spread,
    spot: rest.spot,
    estimateS: rest.estimateS,
    checkpointS: rest.checkpointS,
    saveS: rest.saveS,
    deadlineS: rest.deadlineS,
  };
}

function readSpec(stored: v.InferOutput<typeof Spec>): JobSpec {
  const { class: jobClass, shape, urgency, types, ...rest } = stored;
  return {
    ...rest,
    jobClass,
    kind: KINDS[shape],
    priority: urgency,
    machineTypes: types,
  };
}

export function readJob(value: unknown): JobRecord | null {
  const o = read(Job, value);
  return (
    o && {
      spec: readSpec(o.spec),
      acceptedAt: o.at,
      assignment: new Map(o.split.map(([g, r]) => [g, RangeSet.of(r)])),
      dependsOn: o.needs,
      releasedAt: o.rel,
    }
  );
}
export const writeJob = (j: JobRecord): object => ({
  spec: storedSpec(j.spec),
  at: j.acceptedAt,
  split: [...j.assignment]
    .filter(([, r]) => !r.isEmpty)
    .map(([g, r]) => [g, r.pairs()]),
  ...(j.dependsOn.length > 0 ? { needs: j.dependsOn } : {}),
  ...(j.releasedAt === null ? {} : { rel: j.releasedAt }),
});
/** A job's end, in one transaction: its final record in place of the live one, and of records `beside` it as many as are named. */
export const endWrites = (
  id: string,
  past: FinalRecord,
  beside: readonly string[] = [],
): Write[] => [
  { op: "put", key: finalKey(id), value: writeFinal(past) },
  ...[jobKey(id), ...beside].map((key): Write => ({ op: "delete", key })),
];
/** Bytes that a record takes at the state service. */
export const bytesOf = (value: object): number =>
  Buffer.byteLength(JSON.stringify(value));
export function readFinal(value: unknown): FinalRecord | null {
  const o = read(Past, value);
  return (
    o && {
      status: o.s,
      tasks: o.n,
      done: o.d,
      ...(o.h ? { end: { team: o.h[0], class: o.h[1], at: o.h[2] } } : {}),
    }
  );
}
export const writeFinal = (p: FinalRecord): object => ({
  s: p.status,
  n: p.tasks,
  d: p.done,
  ...(p.end ? { h: [p.end.team, p.end.class, p.end.at] } : {}),
});

/**
 * Finished tasks of one job and group are kept as ranges in blocks of this many task numbers: however scattered, a block
 * fits the smallest values. The earlier version kept blocks of 16,384, some as bitmaps, and writes its whole block anew
 * under its number: these numbers begin where its end, and ranges mean the same to it under any number.
 */
export const COMPLETION_BLOCK = 128;
const FIRST_COMPLETION_BLOCK = 1_000;
const FORMER_COMPLETION_BLOCK = 16_384;

export const completionBlock = (task: number): number =>
  FIRST_COMPLETION_BLOCK + Math.floor(task / COMPLETION_BLOCK);
/** The members of a set that belong into a block. */
export const inBlock = (set: RangeSet, block: number): RangeSet =>
  set.slice(
    (block - FIRST_COMPLETION_BLOCK) * COMPLETION_BLOCK,
    (block - FIRST_COMPLETION_BLOCK + 1) * COMPLETION_BLOCK - 1,
  );
export const writeCompletion = (set: RangeSet): object => ({ r: set.pairs() });
export function readCompletion(value: unknown, block: number): RangeSet | null {
  const o = read(Fin, value);
  if (!o) return null;
  if (o.r) return RangeSet.of(o.r);
  const bits = Buffer.from(o.b ?? "", "base64");
  const set = RangeSet.empty();
  for (let i = 0; i < Math.min(bits.length * 8, FORMER_COMPLETION_BLOCK); i++)
    if (bits[i >> 3]! & (1 << (i & 7)))
      set.add(block * FORMER_COMPLETION_BLOCK + i);
  return set;
}

const Attempt = v.object({ attempt: v.number() });
export const readAttempt = (value: unknown): number | null =>
  read(Attempt, value)?.attempt ?? null;

const counted = (f: v.InferOutput<typeof frees>): FreeKind[] =>
  f.map(([c, g, m, n]) => [c, g, m, n ?? 1]);
export function readCapacity(value: unknown): CapacityRecord | null {
  const o = read(Room, value);
  return (
    o && {
      rows: o.rows.map((r) => ({
        type: r.t,
        zone: r.z,
        spot: r.s,
        machines: r.n,
        free: counted(r.f),
        reserved: counted(r.r),
        ...(r.y ? { reclaimable: r.y } : {}),
      })),
      queue: { plain: o.q[0], accelerated: o.q[1] },
      ...(o.qu ? { queueFrom: o.qu } : {}),
      running: new Map(o.run),
      soldOut: o.out,
      left: new Map(o.left),
      wants: new Map(
        o.want.map(([t, cpus, gpus, since]) => [t, { cpus, gpus, since }]),
      ),
      teams: o.team
        ? new Map(o.team.map(([t, ...x]) => [t, teamRow(x)]))
        : null,
      cut: o.cut,
    }
  );
}
const sinces = (
  want: readonly number[],
  first: number,
  gpus: number | undefined,
): [number, number] => [
  want[0]! > 0 ? first || Infinity : Infinity,
  want[1]! > 0 ? (gpus ?? first) || Infinity : Infinity,
];
const teamRow = (x: number[]): TeamRow => ({
  use: [x[0]!, x[1]!],
  may: [x[2]!, x[3]!],
  now: [x[4]!, x[5]!],
  nowSince: sinces(x.slice(4, 6), x[6]!, x[14]),
  soon: [x[7]!, x[8]!],
  soonSince: sinces(x.slice(7, 9), x[9]!, x[15]),
  beyond: [x[10]!, x[11]!],
  waits: [x[12]!, x[13]!],
});
/**
 * A row as it is written: JSON knows no Infinity, 0 stands for no time. The times of what lacks accelerators come last: a reader from
 * before takes the first for both.
 */
const teamValues = (r: TeamRow): number[] => {
  const first = (
    want: readonly number[],
    since: readonly [number, number],
  ): number => (want[0]! > 0 ? since[0] : since[1]);
  return [
    ...r.use,
    ...r.may,
    ...r.now,
    first(r.now, r.nowSince),
    ...r.soon,
    first(r.soon, r.soonSince),
    ...r.beyond,
    ...r.waits,
    r.nowSince[1],
    r.soonSince[1],
  ].map((x) => (Number.isFinite(x) ? Math.round(x * 100) / 100 : 0));
};
/** Room is written in tenths, rounded down. */
export const tenth = (x: number): number => Math.floor(x * 10 + 1e-6) / 10;
export const writeCapacity = (r: CapacityRecord): object => ({
  rows: r.rows.map((x) => ({
    t: x.type,
    z: x.zone,
    s: x.spot,
    n: x.machines,
    f: x.free,
    r: x.reserved,
    ...(x.reclaimable?.length ? { y: x.reclaimable } : {}),
  })),
  q: [r.queue.plain, r.queue.accelerated],
  ...(r.queueFrom?.some(([plain, accelerated]) => plain + accelerated > 0)
    ? { qu: r.queueFrom }
    : {}),
  run: [...r.running],
  out: r.soldOut,
  left: [...r.left],
  want: [...r.wants].map(([t, w]) => [t, w.cpus, w.gpus, w.since]),
  ...(r.teams
    ? { team: [...r.teams].map(([t, x]) => [t, ...teamValues(x)]) }
    : {}),
  ...(r.cut ? { cut: true } : {}),
});

export function readRegistry(value: unknown): RegistryRecord | null {
  const record = read(Registry, value);
  if (!record) return null;
  const machines = new Map(
    record.m.map(([id, type, going]) => [
      id,
      { isReturning: going === 1, type: record.t[type] ?? "" },
    ]),
  );
  return { machines, complete: record.c === 1 };
}
export function writeRegistry({ machines, complete }: RegistryRecord): object {
  const types = [...new Set([...machines.values()].map((e) => e.type))];
  return {
    t: types,
    m: [...machines].map(([id, e]) => [
      id,
      types.indexOf(e.type),
      e.isReturning ? 1 : 0,
    ]),
    ...(complete ? { c: 1 } : {}),
  };
}

/** Team -> group -> [CPUs, GPUs] of the team's limit that the group may use. */
export type Shares = Record<string, Record<string, [number, number]>>;
export const readQuota = (value: unknown): Shares | null => read(Quota, value);

const Belief = v.object({ limits: v.string() });
export const readObservedLimits = (value: unknown): string | null =>
  read(Belief, value)?.limits ?? null;

/** What one master has stopped, or is about to stop, so that a team gets its guarantee. */
export interface Reclaim {
  /** Token of the master: a claim of a former one ends with the machines that it stopped tasks on. */
  token: number;
  /** The team it is for, and how much of its deficit it takes up. */
  team: string;
  need: [cpus: number, gpus: number];
  /** Of which teams how much is stopped. */
  from: [team: string, cpus: number, gpus: number][];
  /** Time of day, in ms, until which others count it. */
  until: number;
}
const Reclaims = v.object({
  by: v.record(
    v.string(),
    v.array(
      v.object({
        t: v.number(),
        team: v.string(),
        n: v.tuple([v.number(), v.number()]),
        from: v.array(v.tuple([v.string(), v.number(), v.number()])),
        u: v.number(),
      }),
    ),
  ),
});
/** By group. */
export function readReclaims(value: unknown): Map<string, Reclaim[]> | null {
  const o = read(Reclaims, value);
  return (
    o &&
    new Map(
      Object.entries(o.by).map(([g, list]) => [
        g,
        list.map((c) => ({
          token: c.t,
          team: c.team,
          need: c.n,
          from: c.from,
          until: c.u,
        })),
      ]),
    )
  );
}
export const writeReclaims = (
  by: ReadonlyMap<string, readonly Reclaim[]>,
): object => ({
  by: Object.fromEntries(
    [...by].map(([g, list]) => [
      g,
      list.map((c) => ({
        t: c.token,
        team: c.team,
        n: c.need,
        from: c.from,
        u: c.until,
      })),
    ]),
  ),
});
