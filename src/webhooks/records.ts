import * as v from "valibot";
import { read } from "../storage/records.js";

/**
 * What hooks keep in the state service, all under `lc/hook/`, which a controller without hooks does not read:
 *
 * - `now/sub/NAME`  a subscription, as users made it
 * - `now/at/NAME`   how far its deliveries are: cursor, window, numbers of the spool's and the dead letters' batches
 * - `now/own/LANE`  who sends for the subscriptions of a lane; attached to the owner's hold, its revision is the lane's token
 * - `now/here/NODE` that a controller sends hooks at all; attached to its hold
 * - `now/upto`      by lane: up to this revision nothing is owed that the other records don't name
 * - `spool/NAME/N`  batches of notifications that wait, `dead/NAME/N` of those given up
 */
export const WEBHOOKS_PREFIX = "lc/hook/";
export const WEBHOOKS_LIVE_PREFIX = "lc/hook/now/";
export const SUBSCRIPTIONS_PREFIX = "lc/hook/now/sub/";
export const SETTLED_UP_TO_KEY = "lc/hook/now/upto";
export const subscriptionKey = (name: string): string =>
  `${SUBSCRIPTIONS_PREFIX}${name}`;
export const progressKey = (name: string): string => `lc/hook/now/at/${name}`;
export const laneOwnerKey = (lane: number): string => `lc/hook/now/own/${lane}`;
export const presenceKey = (label: string): string =>
  `lc/hook/now/here/${label}`;
export const spoolPrefix = (name: string): string => `lc/hook/spool/${name}/`;
export const deadPrefix = (name: string): string => `lc/hook/dead/${name}/`;
/** Batches sort by their number. */
const numbered = (n: number): string => String(n).padStart(10, "0");
export const spoolKey = (name: string, n: number): string =>
  spoolPrefix(name) + numbered(n);
export const deadKey = (name: string, n: number): string =>
  deadPrefix(name) + numbered(n);
export const batchNumber = (key: string): number =>
  Number(key.slice(key.lastIndexOf("/") + 1));

/** The number of lanes: a subscription's name decides its lane, the same on every controller and for ever. */
export const LANE_COUNT = 16;

export const OUTCOMES = ["done", "cancelled"] as const;
export type Outcome = (typeof OUTCOMES)[number];

/** One end of a job, as its final record tells it; `test`: asked for by an operator, no job. */
export interface JobEnd {
  id: string;
  outcome: Outcome | "test";
  tasks: number;
  done: number;
  team: string;
  class: string;
  /** Time of day, ms since the epoch. */
  at: number;
  /** Time of day from which the horizon counts: `at`, or when it was redriven. */
  since: number;
}

/** A place in the order of ends: by revision, those of one revision by id. Everything up to it, itself included. */
export interface Cursor {
  version: number;
  id: string;
}
/** After every id of its revision. */
export const LAST_ID = "\uFFFF";
export const after = (a: Cursor, b: Cursor): boolean =>
  a.version > b.version || (a.version === b.version && a.id > b.id);
export const later = (a: Cursor, b: Cursor): Cursor => (after(a, b) ? a : b);

export type SubscriptionState = "active" | "paused" | "ended";
export interface Subscription {
  url: string;
  /** null: every one. */
  teams: string[] | null;
  classes: string[] | null;
  outcomes: Outcome[];
  /** Ids of keys in the operators' file, the newest first. */
  keys: string[];
  /** One after the other, in the order in which the jobs ended. */
  ordered: boolean;
  /** Ask the receiver before a repeat that it may have received. */
  ask: boolean;
  state: SubscriptionState;
  /** How often dead letters were asked to be sent again, and test notifications asked for. */
  redrives: number;
  tests: number;
}

const names = v.nullable(v.array(v.string()));
const Sub = v.object({
  u: v.string(),
  t: names,
  c: names,
  o: v.array(v.picklist(OUTCOMES)),
  k: v.array(v.string()),
  ord: v.boolean(),
  ask: v.boolean(),
  st: v.picklist(["active", "paused", "ended"]),
  rd: v.number(),
  ts: v.number(),
});
const Packed = v.tuple([
  v.string(),
  v.picklist([0, 1, 2]),
  v.number(),
  v.number(),
  v.number(),
  v.number(),
  v.number(),
  v.number(),
  v.number(),
]);
const Names = v.array(v.string());
const cursor = v.tuple([v.number(), v.string()]);
const At = v.object({
  q: v.number(),
  tk: v.number(),
  c: v.nullable(cursor),
  nm: Names,
  w: v.array(Packed),
  sp: v.tuple([v.number(), v.number(), v.number()]),
  dd: v.tuple([v.number(), v.number()]),
  rd: v.number(),
  ts: v.number(),
  ls: v.optional(v.nullable(v.tuple([v.number(), v.string()])), null),
});
const Batch = v.object({
  to: v.nullable(cursor),
  nm: Names,
  e: v.array(Packed),
});
const Own = v.object({ owner: v.string(), hold: v.number() });
const Here = v.object({ hold: v.number() });
const Upto = v.record(v.string(), v.number());

/** An end with the number of attempts that may have been made. */
export interface PendingDelivery {
  end: JobEnd;
  attempts: number;
}
export interface ProgressRecord {
  /** Counts the writes of this record under one token: so a write without an answer is known again. */
  seq: number;
  token: number;
  /** Everything up to here is in the window, in the spool, or settled; null: up to this record's own revision. */
  cursor: Cursor | null;
  /** What may have been sent and is not known to have arrived. */
  window: PendingDelivery[];
  /** First batch of the spool, how many of its entries were taken, and the number of the next one (or a later one). */
  spool: { first: number; taken: number; next: number };
  /** First batch of dead letters and the number of the next one. */
  dead: { first: number; next: number };
  redrives: number;
  tests: number;
  /** Ends up to a revision are being found among all final records, which has come to a key. */
  listing: { to: number; after: string } | null;
}
export interface Batch {
  to: Cursor | null;
  entries: PendingDelivery[];
}

export function readSubscription(value: unknown): Subscription | null {
  const o = read(Sub, value);
  return (
    o && {
      url: o.u,
      teams: o.t,
      classes: o.c,
      outcomes: o.o,
      keys: o.k,
      ordered: o.ord,
      ask: o.ask,
      state: o.st,
      redrives: o.rd,
      tests: o.ts,
    }
  );
}
export const writeSubscription = (s: Subscription): object => ({
  u: s.url,
  t: s.teams,
  c: s.classes,
  o: s.outcomes,
  k: s.keys,
  ord: s.ordered,
  ask: s.ask,
  st: s.state,
  rd: s.redrives,
  ts: s.tests,
});

const CODES = ["done", "cancelled", "test"] as const;
type PackedEntry = v.InferOutput<typeof Packed>;

const ATTEMPT_DIGITS = 7;
const LEAST_NAME = 24;
const quoted = (text: string): number =>
  Buffer.byteLength(JSON.stringify(text));
/** As much of a name as takes so many bytes. */
function cut(name: string, most: number): string {
  if (quoted(name) <= most) return name;
  const chars = Array.from(name);
  while (quoted(chars.join("")) > most) chars.pop();
  return chars.join("");
}
/** Packs entries until no more fit into so many bytes; teams and classes are written once and referred to by place. */
export class Packer {
  readonly names: string[] = [];
  readonly entries: PackedEntry[] = [];
  private bytes = 0;

  constructor(private readonly most: number) {}

  private place(whole: string): number {
    // The same cut whatever else is packed: a notification that fits no record would stop all after it, and one that fits but once
    // would be forgotten when the record is written anew.
    const name = cut(whole, Math.max(LEAST_NAME, this.most / 4));
    const at = this.names.indexOf(name);
    if (at >= 0) return at;
    this.names.push(name);
    return this.names.length - 1;
  }
  /** False: it does not fit, nothing changed. */
  add(o: PendingDelivery): boolean {
    const before = this.names.length;
    const e = o.end;
    const packed: PackedEntry = [
      e.id,
      CODES.indexOf(e.outcome) as 0 | 1 | 2,
      e.tasks,
      e.done,
      this.place(e.team),
      this.place(e.class),
      e.at,
      e.since - e.at,
      o.attempts,
    ];
    // An entry that was written once fits again when its attempts have become more.
    const room = ATTEMPT_DIGITS - String(o.attempts).length;
    const more =
      room +
      Buffer.byteLength(JSON.stringify(packed)) +
      1 +
      this.names
        .slice(before)
        .reduce((n, x) => n + Buffer.byteLength(JSON.stringify(x)) + 1, 0);
    if (this.bytes + more > this.most) {
      this.names.length = before;
      return false;
    }
    this.bytes += more;
    this.entries.push(packed);
    return true;
  }
}
const unpack = (nm: readonly string[], e: PackedEntry): PendingDelivery => ({
  end: {
    id: e[0],
    outcome: CODES[e[1]],
    tasks: e[2],
    done: e[3],
    team: nm[e[4]] ?? "",
    class: nm[e[5]] ?? "",
    at: e[6],
    since: e[6] + e[7],
  },
  attempts: e[8],
});

/** What a record takes beside its entries, at most. */
export const AT_HEAD = 420;
export const BATCH_HEAD = 120;

export function readProgress(value: unknown): ProgressRecord | null {
  const o = read(At, value);
  return (
    o && {
      seq: o.q,
      token: o.tk,
      cursor: o.c && { version: o.c[0], id: o.c[1] },
      window: o.w.map((e) => unpack(o.nm, e)),
      spool: { first: o.sp[0], taken: o.sp[1], next: o.sp[2] },
      dead: { first: o.dd[0], next: o.dd[1] },
      redrives: o.rd,
      tests: o.ts,
      listing: o.ls && { to: o.ls[0], after: o.ls[1] },
    }
  );
}
/** `window` holds the record's window already packed. */
export const writeProgress = (
  a: Omit<ProgressRecord, "window">,
  window: Packer,
): object => ({
  q: a.seq,
  tk: a.token,
  c: a.cursor && [a.cursor.version, a.cursor.id],
  nm: window.names,
  w: window.entries,
  sp: [a.spool.first, a.spool.taken, a.spool.next],
  dd: [a.dead.first, a.dead.next],
  rd: a.redrives,
  ts: a.tests,
  ...(a.listing ? { ls: [a.listing.to, a.listing.after] } : {}),
});
/** The state of a subscription that was just made. */
export const newProgress = (): object =>
  writeProgress(
    {
      seq: 0,
      token: 0,
      cursor: null,
      spool: { first: 0, taken: 0, next: 0 },
      dead: { first: 0, next: 0 },
      redrives: 0,
      tests: 0,
      listing: null,
    },
    new Packer(0),
  );

export function readBatch(value: unknown): Batch | null {
  const o = read(Batch, value);
  return (
    o && {
      to: o.to && { version: o.to[0], id: o.to[1] },
      entries: o.e.map((e) => unpack(o.nm, e)),
    }
  );
}
export const writeBatch = (p: Packer, to: Cursor | null): object => ({
  to: to && [to.version, to.id],
  nm: p.names,
  e: p.entries,
});

export const readLaneOwner = (
  value: unknown,
): { owner: string; hold: number } | null => read(Own, value);
export const readPresence = (value: unknown): { hold: number } | null =>
  read(Here, value);
export const readSettledUpTo = (value: unknown): Record<string, number> =>
  read(Upto, value) ?? {};
