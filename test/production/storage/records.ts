import * as v from "valibot";
import { type JobSpec, URGENCIES } from "../coordination/model.js";
import { RangeSet } from "../coordination/ranges.js";

/**
 * Keys and values in the state service. What is alive lies under `lc/now/`, so a starting controller reads
 * only that; finished jobs move to `lc/past/`, are kept for ever and read one by one. One watch on `lc/`
 * shows both.
 */
export const ROOT = "lc/";
export const NOW = "lc/now/";

export const groupKey = (g: string): string => `lc/now/group/${g}`;
export const claimKey = (g: string): string => `lc/now/claim/${g}`;
export const jobKey = (id: string): string => `lc/now/job/${id}`;
export const pastKey = (id: string): string => `lc/past/${id}`;
export const finKey = (id: string, g: string, chunk: number): string => `lc/now/fin/${id}/${g}/${chunk}`;
/** The attempt under which the parts of a gang start, and which group is ready for the next one. */
export const gangKey = (id: string): string => `lc/now/gang/${id}`;
export const readyKey = (id: string, g: string): string => `lc/now/ready/${id}/${g}`;
export const rosterKey = (g: string, chunk: number): string => `lc/now/roster/${g}/${chunk}`;
export const roomKey = (g: string): string => `lc/now/room/${g}`;
export const QUOTA_KEY = "lc/now/quota";

export type Key =
  | { kind: "group" | "claim" | "room"; group: string }
  | { kind: "job" | "past"; id: string }
  | { kind: "fin"; id: string; group: string; chunk: number }
  | { kind: "roster"; group: string; chunk: number }
  | { kind: "gang"; id: string }
  | { kind: "ready"; id: string; group: string }
  | { kind: "quota" };

export function parseKey(key: string): Key | null {
  const p = key.split("/");
  if (p[0] !== "lc") return null;
  if (p[1] === "past" && p.length === 3) return { kind: "past", id: p[2]! };
  if (p[1] !== "now") return null;
  switch (p[2]) {
    case "group":
    case "claim":
    case "room":
      return p.length === 4 ? { kind: p[2], group: p[3]! } : null;
    case "job":
      return p.length === 4 ? { kind: "job", id: p[3]! } : null;
    case "fin":
      return p.length === 6 ? { kind: "fin", id: p[3]!, group: p[4]!, chunk: Number(p[5]) } : null;
    case "roster":
      return p.length === 5 ? { kind: "roster", group: p[3]!, chunk: Number(p[4]) } : null;
    case "gang":
      return p.length === 4 ? { kind: "gang", id: p[3]! } : null;
    case "ready":
      return p.length === 5 ? { kind: "ready", id: p[3]!, group: p[4]! } : null;
    case "quota":
      return { kind: "quota" };
    default:
      return null;
  }
}

export interface GroupRecord {
  owner: string;
  hold: number;
}
export interface ClaimRecord {
  by: string;
  /** Token that the claim speaks against, so that an old claim says nothing of a later owner. */
  token: number;
}
export interface JobRecord {
  spec: JobSpec;
  /** Time of day of acceptance, in ms since the epoch. */
  acceptedAt: number;
  /** Which group runs which tasks. */
  split: Map<string, RangeSet>;
}
export interface PastRecord {
  status: "done" | "cancelled";
  tasks: number;
  done: number;
}
/** One row of a group's written room: what is free on its machines of one type, zone and kind. */
export interface RoomRow {
  type: string;
  zone: string;
  spot: boolean;
  machines: number;
  /** Free resources of the machines that have any left; equal ones are counted together. */
  free: FreeKind[];
  /** The same of the machines that serve short tasks only. */
  reserved: FreeKind[];
}
export type FreeKind = [cpus: number, gpus: number, memGb: number, machines: number];
export interface Want {
  cpus: number;
  gpus: number;
  /** Time of day since which the oldest such job waits. */
  since: number;
}
export interface RoomRecord {
  rows: RoomRow[];
  /** Tasks waiting, by whether they need accelerators: these compete for different machines. */
  queue: { plain: number; accelerated: number };
  /** Tasks on machines, by job: for display. */
  running: Map<string, number>;
  /** Offers that the cloud had nothing left of, lately. */
  soldOut: string[];
  /** By offer, where it is known: how many more machines the cloud seems to have for the group. */
  left: Map<string, number>;
  /** By team: more of its limit that the group could use. */
  wants: Map<string, Want>;
}
export interface RosterEntry {
  /** Marked for return: never used again. */
  going: boolean;
  type: string;
}

const pairs = v.array(v.tuple([v.number(), v.number()]));
const Group = v.object({ owner: v.string(), hold: v.number() });
const Claim = v.object({ by: v.string(), token: v.number() });
const Spec = v.object({
  id: v.string(),
  class: v.string(),
  team: v.string(),
  shape: v.picklist(["batch", "ensemble", "daemon"]),
  urgency: v.picklist(URGENCIES),
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
const Job = v.object({ spec: Spec, at: v.number(), split: v.array(v.tuple([v.string(), pairs])) });
const Past = v.object({ s: v.picklist(["done", "cancelled"]), n: v.number(), d: v.number() });
const Fin = v.object({ r: v.optional(pairs), b: v.optional(v.string()) });
const frees = v.array(v.union([v.tuple([v.number(), v.number(), v.number(), v.number()]), v.tuple([v.number(), v.number(), v.number()])]));
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
    }),
  ),
  q: v.tuple([v.number(), v.number()]),
  run: v.array(v.tuple([v.string(), v.number()])),
  out: v.array(v.string()),
  left: v.optional(v.array(v.tuple([v.string(), v.number()]))),
  want: v.array(v.tuple([v.string(), v.number(), v.number(), v.number()])),
});
/** Types are written once, machines refer to them by place. */
const Roster = v.object({ t: v.array(v.string()), m: v.array(v.tuple([v.string(), v.number(), v.number()])) });
const Quota = v.record(v.string(), v.record(v.string(), v.tuple([v.number(), v.number()])));

function read<S extends v.GenericSchema>(schema: S, value: unknown): v.InferOutput<S> | null {
  const got = v.safeParse(schema, value);
  return got.success ? got.output : null;
}

export const readGroup = (value: unknown): GroupRecord | null => read(Group, value);
export const readClaim = (value: unknown): ClaimRecord | null => read(Claim, value);
export function readJob(value: unknown): JobRecord | null {
  const o = read(Job, value);
  return o && { spec: o.spec, acceptedAt: o.at, split: new Map(o.split.map(([g, r]) => [g, RangeSet.of(r)])) };
}
export const writeJob = (j: JobRecord): object => ({
  spec: j.spec,
  at: j.acceptedAt,
  split: [...j.split].filter(([, r]) => !r.isEmpty).map(([g, r]) => [g, r.pairs()]),
});
export function readPast(value: unknown): PastRecord | null {
  const o = read(Past, value);
  return o && { status: o.s, tasks: o.n, done: o.d };
}
export const writePast = (p: PastRecord): object => ({ s: p.status, n: p.tasks, d: p.done });

/**
 * Finished tasks of one job and group are kept in chunks of this many task numbers, so that a chunk fits
 * the smallest values: as ranges while these are few, else as a bitmap of at most 2.7 KiB.
 */
export const FIN_CHUNK = 16_384;

export function writeFin(set: RangeSet, chunk: number): object {
  const ranges = set.slice(chunk * FIN_CHUNK, (chunk + 1) * FIN_CHUNK - 1).pairs();
  if (ranges.length <= 150) return { r: ranges };
  const bits = Buffer.alloc(FIN_CHUNK / 8);
  for (const [lo, hi] of ranges)
    for (let i = lo - chunk * FIN_CHUNK; i <= hi - chunk * FIN_CHUNK; i++) bits[i >> 3]! |= 1 << (i & 7);
  return { b: bits.toString("base64") };
}
export function readFin(value: unknown, chunk: number): RangeSet | null {
  const o = read(Fin, value);
  if (!o) return null;
  if (o.r) return RangeSet.of(o.r);
  const bits = Buffer.from(o.b ?? "", "base64");
  const set = RangeSet.empty();
  for (let i = 0; i < Math.min(bits.length * 8, FIN_CHUNK); i++)
    if (bits[i >> 3]! & (1 << (i & 7))) set.add(chunk * FIN_CHUNK + i);
  return set;
}

const Attempt = v.object({ attempt: v.number() });
export const readAttempt = (value: unknown): number | null => read(Attempt, value)?.attempt ?? null;

const counted = (f: v.InferOutput<typeof frees>): FreeKind[] => f.map(([c, g, m, n]) => [c, g, m, n ?? 1]);
export function readRoom(value: unknown): RoomRecord | null {
  const o = read(Room, value);
  return (
    o && {
      rows: o.rows.map((r) => ({ type: r.t, zone: r.z, spot: r.s, machines: r.n, free: counted(r.f), reserved: counted(r.r) })),
      queue: { plain: o.q[0], accelerated: o.q[1] },
      running: new Map(o.run),
      soldOut: o.out,
      left: new Map(o.left),
      wants: new Map(o.want.map(([t, cpus, gpus, since]) => [t, { cpus, gpus, since }])),
    }
  );
}
/** Room is written in tenths, rounded down. */
export const tenth = (x: number): number => Math.floor(x * 10 + 1e-6) / 10;
/** Bytes that one kind of free room, and one job's running count, take at most in a written room. */
export const FREE_BYTES = 28;
export const RUNNING_BYTES = 24;
export const writeRoom = (r: RoomRecord): object => ({
  rows: r.rows.map((x) => ({
    t: x.type,
    z: x.zone,
    s: x.spot,
    n: x.machines,
    f: x.free,
    r: x.reserved,
  })),
  q: [r.queue.plain, r.queue.accelerated],
  run: [...r.running],
  out: r.soldOut,
  left: [...r.left],
  want: [...r.wants].map(([t, w]) => [t, w.cpus, w.gpus, w.since]),
});

/** Machines in one roster record: some 20 bytes each, so that a record stays below 8 KiB. */
export const ROSTER_CHUNK = 200;
export function readRoster(value: unknown): Map<string, RosterEntry> | null {
  const o = read(Roster, value);
  return o && new Map(o.m.map(([id, type, going]) => [id, { going: going === 1, type: o.t[type] ?? "" }]));
}
export function writeRoster(m: ReadonlyMap<string, RosterEntry>): object {
  const t = [...new Set([...m.values()].map((e) => e.type))];
  return { t, m: [...m].map(([id, e]) => [id, t.indexOf(e.type), e.going ? 1 : 0]) };
}

/** Team -> group -> [CPUs, GPUs] of the team's limit that the group may use. */
export type Shares = Record<string, Record<string, [number, number]>>;
export const readQuota = (value: unknown): Shares | null => read(Quota, value);
