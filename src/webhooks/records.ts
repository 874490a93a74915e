import * as v from "valibot";
import { parseRecord } from "../storage/records.js";

/**
 * The records of webhooks in the state service, all under `lc/hook/`, which a controller without webhooks does not read:
 *
 * - `now/sub/NAME`  a subscription, as users defined it
 * - `now/at/NAME`   progress of its deliveries: cursor, window, numbers of the batches in the spool and of dead letters
 * - `now/own/LANE`  the controller that delivers for the subscriptions of a lane. Attached to the owner's store lease; its
 *                   revision is the lane's fencing token
 * - `now/here/NODE` present while a controller delivers webhooks. Attached to its store lease
 * - `now/upto`      for each lane a revision: all ends up to it are settled or named in the other records
 * - `spool/NAME/N`  a batch of waiting notifications
 * - `dead/NAME/N`   a batch of dead letters: notifications that were given up
 *
 * A notification is settled when it was delivered or given up.
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
/** Padded with zeros, so that the keys of batches sort by number. */
const paddedNumber = (batchNo: number): string =>
  String(batchNo).padStart(10, "0");
export const spoolKey = (name: string, batchNo: number): string =>
  spoolPrefix(name) + paddedNumber(batchNo);
export const deadKey = (name: string, batchNo: number): string =>
  deadPrefix(name) + paddedNumber(batchNo);
export const batchNumber = (key: string): number =>
  Number(key.slice(key.lastIndexOf("/") + 1));

/** The number of lanes. It must never change: all controllers, of all versions, derive a subscription's lane from its name. */
export const LANE_COUNT = 16;

export const OUTCOMES = ["done", "cancelled"] as const;
export type Outcome = (typeof OUTCOMES)[number];

/** The end of a job, as its final record describes it. `test`: a test notification that an operator requested, without a job. */
export interface JobEnd {
  id: string;
  outcome: Outcome | "test";
  tasks: number;
  done: number;
  team: string;
  class: string;
  /** Time of day of the end, ms since the epoch. */
  at: number;
  /** Time of day from which the delivery horizon counts: `at`, or the time of the last redrive. */
  since: number;
}

/** A position in the order of job ends (by revision, then by job id). It stands for all ends up to and including itself. */
export interface Cursor {
  version: number;
  id: string;
}
/** Sorts after every job id, so a cursor with it covers its whole revision. */
export const LAST_ID = "\uFFFF";
export const isAfter = (a: Cursor, b: Cursor): boolean =>
  a.version > b.version || (a.version === b.version && a.id > b.id);
export const laterOf = (a: Cursor, b: Cursor): Cursor =>
  isAfter(a, b) ? a : b;

export type SubscriptionState = "active" | "paused" | "ended";
export interface Subscription {
  url: string;
  /** Only jobs of these teams and of these classes; null: of all. */
  teams: string[] | null;
  classes: string[] | null;
  outcomes: Outcome[];
  /** Ids of signing keys in the operators' file, the newest first. */
  keys: string[];
  /** Deliver notifications one after the other, in the order in which the jobs ended. */
  ordered: boolean;
  /** Before repeating a notification that may have arrived, ask the receiver whether it has it. */
  ask: boolean;
  state: SubscriptionState;
  /** Number of requests so far to send the dead letters again, and of requests for a test notification. */
  redrives: number;
  tests: number;
}

const nullableNames = v.nullable(v.array(v.string()));
const SubscriptionValue = v.object({
  u: v.string(),
  t: nullableNames,
  c: nullableNames,
  o: v.array(v.picklist(OUTCOMES)),
  k: v.array(v.string()),
  ord: v.boolean(),
  ask: v.boolean(),
  st: v.picklist(["active", "paused", "ended"]),
  rd: v.number(),
  ts: v.number(),
});
const PackedEntryValue = v.tuple([
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
const NameList = v.array(v.string());
const CursorValue = v.tuple([v.number(), v.string()]);
const ProgressValue = v.object({
  q: v.number(),
  tk: v.number(),
  c: v.nullable(CursorValue),
  nm: NameList,
  w: v.array(PackedEntryValue),
  sp: v.tuple([v.number(), v.number(), v.number()]),
  dd: v.tuple([v.number(), v.number()]),
  rd: v.number(),
  ts: v.number(),
  ls: v.optional(v.nullable(v.tuple([v.number(), v.string()])), null),
});
const Batch = v.object({
  to: v.nullable(CursorValue),
  nm: NameList,
  e: v.array(PackedEntryValue),
});
const LaneOwnerValue = v.object({ owner: v.string(), hold: v.number() });
const PresenceValue = v.object({ hold: v.number() });
const SettledUpToValue = v.record(v.string(), v.number());

/** A job end with the number of attempts that may have been made to deliver it. */
export interface PendingDelivery {
  end: JobEnd;
  attempts: number;
}
export interface ProgressRecord {
  /** Counts the writes of this record under one token, so that a write whose reply was lost can be recognized. */
  seq: number;
  /** Fencing token of the lane when the record was written. */
  token: number;
  /** All ends up to here are in the window, in the spool, or settled; null: all up to this record's own revision. */
  cursor: Cursor | null;
  /** Notifications that may have been sent and are not known to have arrived. */
  window: PendingDelivery[];
  /** Number of the spool's first batch, how many of its entries were taken, and the lowest number that the next batch may get. */
  spool: { first: number; taken: number; next: number };
  /** Number of the first batch of dead letters, and of the next one to be written. */
  dead: { first: number; next: number };
  /** How many of the subscription's redrives and test notifications have been handled. */
  redrives: number;
  tests: number;
  /** Set while ends up to revision `to` are searched for among all final records; `after` is the last key read. */
  listing: { to: number; after: string } | null;
}
export interface Batch {
  /** The cursor after this batch; null if the batch does not move it (ends found among all final records, dead letters). */
  to: Cursor | null;
  entries: PendingDelivery[];
}

export function readSubscription(value: unknown): Subscription | null {
  const stored = parseRecord(SubscriptionValue, value);
  return (
    stored && {
      url: stored.u,
      teams: stored.t,
      classes: stored.c,
      outcomes: stored.o,
      keys: stored.k,
      ordered: stored.ord,
      ask: stored.ask,
      state: stored.st,
      redrives: stored.rd,
      tests: stored.ts,
    }
  );
}
export const writeSubscription = (subscription: Subscription): object => ({
  u: subscription.url,
  t: subscription.teams,
  c: subscription.classes,
  o: subscription.outcomes,
  k: subscription.keys,
  ord: subscription.ordered,
  ask: subscription.ask,
  st: subscription.state,
  rd: subscription.redrives,
  ts: subscription.tests,
});

const OUTCOME_BY_CODE = ["done", "cancelled", "test"] as const;
type PackedEntry = v.InferOutput<typeof PackedEntryValue>;

const RESERVED_ATTEMPT_DIGITS = 7;
const MIN_NAME_BYTES = 24;
const jsonBytes = (text: string): number =>
  Buffer.byteLength(JSON.stringify(text));
/** Shortens a name until its JSON text takes at most `maxBytes`. */
function truncate(name: string, maxBytes: number): string {
  if (jsonBytes(name) <= maxBytes) return name;
  const chars = Array.from(name);
  while (jsonBytes(chars.join("")) > maxBytes) chars.pop();
  return chars.join("");
}
/** Packs entries into at most `maxBytes`. Names of teams and classes are written once and referred to by index. */
export class Packer {
  readonly names: string[] = [];
  readonly entries: PackedEntry[] = [];
  private usedBytes = 0;

  constructor(private readonly maxBytes: number) {}

  private nameIndex(fullName: string): number {
    // Names are shortened to the same length whatever else is packed. A notification that fits into no record would block all
    // later ones, and one that fits only the first time would be lost when the record is written again.
    const name = truncate(
      fullName,
      Math.max(MIN_NAME_BYTES, this.maxBytes / 4),
    );
    const index = this.names.indexOf(name);
    if (index >= 0) return index;
    this.names.push(name);
    return this.names.length - 1;
  }
  /** Returns false, and changes nothing, if the entry does not fit. */
  add(delivery: PendingDelivery): boolean {
    const namesBefore = this.names.length;
    const end = delivery.end;
    const packed: PackedEntry = [
      end.id,
      OUTCOME_BY_CODE.indexOf(end.outcome) as 0 | 1 | 2,
      end.tasks,
      end.done,
      this.nameIndex(end.team),
      this.nameIndex(end.class),
      end.at,
      end.since - end.at,
      delivery.attempts,
    ];
    // Space for more digits, so that the entry still fits when it is written again with more attempts.
    const spareDigits =
      RESERVED_ATTEMPT_DIGITS - String(delivery.attempts).length;
    const addedBytes =
      spareDigits +
      Buffer.byteLength(JSON.stringify(packed)) +
      1 +
      this.names
        .slice(namesBefore)
        .reduce((n, x) => n + Buffer.byteLength(JSON.stringify(x)) + 1, 0);
    if (this.usedBytes + addedBytes > this.maxBytes) {
      this.names.length = namesBefore;
      return false;
    }
    this.usedBytes += addedBytes;
    this.entries.push(packed);
    return true;
  }
}

/** Packs all entries into at most `maxBytes`; null if they don't fit. */
export function packAll(
  entries: readonly PendingDelivery[],
  maxBytes: number,
): Packer | null {
  const packer = new Packer(maxBytes);
  return entries.every((entry) => packer.add(entry)) ? packer : null;
}

/** The longest prefix of entries that fits into `maxBytes`, packed, and the entries after it. */
export function packPrefix<Entry extends PendingDelivery>(
  entries: readonly Entry[],
  maxBytes: number,
): { packer: Packer; count: number; rest: readonly Entry[] } {
  const packer = new Packer(maxBytes);
  let count = 0;
  while (count < entries.length && packer.add(entries[count]!)) count++;
  return { packer, count, rest: entries.slice(count) };
}

/** Packs all entries, in their order, into as many records of at most `maxBytes` as they need; null if that is more than `maxRecords`. */
export function packRecords(
  entries: readonly PendingDelivery[],
  maxBytes: number,
  maxRecords: number,
): Packer[] | null {
  const packers: Packer[] = [];
  let remaining = entries;
  while (remaining.length > 0) {
    const { packer, count, rest } = packPrefix(remaining, maxBytes);
    if (count === 0 || packers.length === maxRecords) return null;
    packers.push(packer);
    remaining = rest;
  }
  return packers;
}
const unpack = (
  names: readonly string[],
  entry: PackedEntry,
): PendingDelivery => ({
  end: {
    id: entry[0],
    outcome: OUTCOME_BY_CODE[entry[1]],
    tasks: entry[2],
    done: entry[3],
    team: names[entry[4]] ?? "",
    class: names[entry[5]] ?? "",
    at: entry[6],
    since: entry[6] + entry[7],
  },
  attempts: entry[8],
});

/** Upper bounds of the bytes that a record takes besides its entries. */
export const PROGRESS_OVERHEAD_BYTES = 420;
export const BATCH_OVERHEAD_BYTES = 120;

export function readProgress(value: unknown): ProgressRecord | null {
  const stored = parseRecord(ProgressValue, value);
  return (
    stored && {
      seq: stored.q,
      token: stored.tk,
      cursor: stored.c && { version: stored.c[0], id: stored.c[1] },
      window: stored.w.map((e) => unpack(stored.nm, e)),
      spool: { first: stored.sp[0], taken: stored.sp[1], next: stored.sp[2] },
      dead: { first: stored.dd[0], next: stored.dd[1] },
      redrives: stored.rd,
      tests: stored.ts,
      listing: stored.ls && { to: stored.ls[0], after: stored.ls[1] },
    }
  );
}
/** `window`: the window of the record, already packed. */
export const writeProgress = (
  progress: Omit<ProgressRecord, "window">,
  window: Packer,
): object => ({
  q: progress.seq,
  tk: progress.token,
  c: progress.cursor && [progress.cursor.version, progress.cursor.id],
  nm: window.names,
  w: window.entries,
  sp: [progress.spool.first, progress.spool.taken, progress.spool.next],
  dd: [progress.dead.first, progress.dead.next],
  rd: progress.redrives,
  ts: progress.tests,
  ...(progress.listing
    ? { ls: [progress.listing.to, progress.listing.after] }
    : {}),
});
/** The progress record of a new subscription. */
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
  const stored = parseRecord(Batch, value);
  return (
    stored && {
      to: stored.to && { version: stored.to[0], id: stored.to[1] },
      entries: stored.e.map((e) => unpack(stored.nm, e)),
    }
  );
}
export const writeBatch = (packer: Packer, to: Cursor | null): object => ({
  to: to && [to.version, to.id],
  nm: packer.names,
  e: packer.entries,
});

/** `hold`: the owner's store lease. */
export const readLaneOwner = (
  value: unknown,
): { owner: string; hold: number } | null => parseRecord(LaneOwnerValue, value);
export const readPresence = (value: unknown): { hold: number } | null =>
  parseRecord(PresenceValue, value);
export const readSettledUpTo = (value: unknown): Record<string, number> =>
  parseRecord(SettledUpToValue, value) ?? {};
