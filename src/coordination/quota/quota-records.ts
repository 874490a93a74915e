import type { Team } from "../../config/settings.js";
import {
  bytesOf,
  quotaKey,
  QUOTA_KEY,
  type Shares,
} from "../../storage/records.js";
import { EPSILON } from "../scheduling/placement.js";

/**
 * The records of the teams' limits, as a pure matter of values. For each team a record holds the parts of its limit
 * by group, and the limit that they are parts of (its `cap`: the generation of the entry). What is written holds,
 * whatever the settings of whoever reads it say: a group that a team's entry does not name has no part of it.
 *
 * Rule `quota`: a group starts tasks only within its own part; a part is lessened only by the group that has it,
 * which keeps below what it will have left from before that commit is sent; a part grows only out of what such a
 * commit, or nobody, has. So what groups may use never adds up to more than the cap, whichever commits are lost,
 * late, doubled or unanswered. Design: docs/design/limits.md.
 */
export type ResourceAmounts = [cpus: number, gpus: number];

/** Parts are written in hundredths, rounded down: sums of them don't pass the limit. */
export const roundDownToHundredth = (x: number): number =>
  Math.floor(x * 100 + 1e-6) / 100;
/** What is asked for is rounded up: a hundredth too little would start nothing. */
export const roundUpToHundredth = (x: number): number =>
  Math.ceil(x * 100 - 1e-6) / 100;
/** Sums of earlier versions' unrounded parts differ from the limit by less than this. */
export const SLACK = 0.05;

export const DIMENSIONS = [0, 1] as const;
export const limitOf = (t: Team): ResourceAmounts => [t.cpusMax, t.gpusMax];

/**
 * Under this name a record holds the cap of each team in it. No team can have it, for names have no slashes; the
 * version before reads it as one more team and writes it back as it is.
 */
export const CAPS_NAME = "/cap";

export interface QuotaRecord {
  shares: Shares;
  revision: number;
}
/** Records by key. */
export type QuotaRecords = ReadonlyMap<string, QuotaRecord>;

/** What a record says of one team. */
export interface QuotaEntry {
  key: string;
  parts: Record<string, ResourceAmounts>;
  /** Infinity: none. */
  cap: ResourceAmounts;
  /** All parts together. */
  sum: ResourceAmounts;
}

export function entryIn(
  key: string,
  shares: Shares,
  team: string,
): QuotaEntry | null {
  const parts = shares[team];
  if (!parts || team === CAPS_NAME) return null;
  const sum: ResourceAmounts = [0, 0];
  for (const p of Object.values(parts))
    for (const d of DIMENSIONS) sum[d] += p[d];
  // Without a cap it was written by the version before, whose parts make up the whole limit.
  const written = shares[CAPS_NAME]?.[team] ?? sum;
  // JSON knows no Infinity: 0 stands for it.
  return {
    key,
    parts,
    sum,
    cap: [written[0] || Infinity, written[1] || Infinity],
  };
}

export function entryOf(
  records: QuotaRecords,
  team: string,
): QuotaEntry | null {
  const root = records.get(QUOTA_KEY);
  const first = root && entryIn(QUOTA_KEY, root.shares, team);
  if (first) return first;
  for (const [key, r] of records) {
    const e = key === QUOTA_KEY ? null : entryIn(key, r.shares, team);
    if (e) return e;
  }
  return null;
}

/** More is handed out than the limit allows, until the groups have given back what they don't use of it. */
export const overdrawn = (e: QuotaEntry, d: 0 | 1): boolean =>
  e.sum[d] > e.cap[d] + EPSILON;

/**
 * Up to how much a group may start tasks of a team, by what is written and by its own settings; `use`: what it uses
 * already. Where more is handed out than the smallest limit that is known of, nothing starts: tasks that run go on.
 */
export function mayUse(
  team: Team,
  entry: QuotaEntry | null,
  partition: string,
  use: () => ResourceAmounts,
): ResourceAmounts {
  const limit = limitOf(team);
  return DIMENSIONS.map((d) => {
    if (!entry) return limit[d] === Infinity ? Infinity : use()[d];
    const cap = entry.cap[d];
    if (cap === Infinity) return limit[d] === Infinity ? Infinity : use()[d];
    // A limit lowered in the own settings is to be written first, so that all go by it.
    if (cap > limit[d] + SLACK || overdrawn(entry, d)) return use()[d];
    return entry.parts[partition]?.[d] ?? 0;
  }) as ResourceAmounts;
}

/** An entry as it is to be written. */
export interface NewQuotaEntry {
  parts: Record<string, ResourceAmounts>;
  cap: ResourceAmounts;
}

/**
 * The records with some entries written anew, each value within `most` bytes: what has no room in its record goes to the
 * next one that has. `done`: teams that it holds; the others would take more than `writes` records at once.
 */
export function withEntries(
  records: QuotaRecords,
  changed: ReadonlyMap<string, NewQuotaEntry>,
  most: number,
  writes: number,
): { writes: Map<string, Shares>; done: Set<string> } {
  const out = new Map<string, { value: Shares; bytes: number }>();
  const done = new Set<string>();
  const open = (key: string): { value: Shares; bytes: number } => {
    const had = records.get(key)?.shares ?? {};
    const value: Shares = { ...had, [CAPS_NAME]: { ...had[CAPS_NAME] } };
    return out.get(key) ?? { value, bytes: bytesOf(value) };
  };
  const cost = (team: string, parts: object, cap: object): number =>
    bytesOf({ [team]: parts }) + bytesOf({ [team]: cap }) - 2;
  for (const [team, e] of changed) {
    const cap = e.cap.map((x) => (x === Infinity ? 0 : x)) as ResourceAmounts;
    const need = cost(team, e.parts, cap);
    const at = entryOf(records, team)?.key;
    const keys = at === undefined ? [] : [at];
    // Where it is, else the first record with room.
    for (let n = -1; n < records.size + changed.size; n++) {
      const key = n < 0 ? QUOTA_KEY : quotaKey(n);
      if (key !== at) keys.push(key);
    }
    for (const key of keys) {
      const r = open(key);
      const had = r.value[team];
      const bytes =
        r.bytes +
        need -
        (had ? cost(team, had, r.value[CAPS_NAME]![team] ?? [0, 0]) : 0);
      if (bytes > most) continue;
      // Moving to another record is a change of both.
      const fresh = [key, ...(at === undefined ? [] : [at])].filter(
        (k) => !out.has(k),
      ).length;
      if (out.size + (key === at ? Number(!out.has(key)) : fresh) > writes)
        break;
      r.value[team] = e.parts;
      r.value[CAPS_NAME]![team] = cap;
      out.set(key, { value: r.value, bytes });
      if (at !== undefined && at !== key) {
        const from = open(at);
        from.bytes -= cost(
          team,
          from.value[team]!,
          from.value[CAPS_NAME]![team] ?? [0, 0],
        );
        delete from.value[team];
        delete from.value[CAPS_NAME]![team];
        out.set(at, from);
      }
      done.add(team);
      break;
    }
  }
  return { writes: new Map([...out].map(([key, r]) => [key, r.value])), done };
}

export const withinShare = (
  used: { cpus: number; gpus: number },
  need: { cpus: number; gpus: number },
  share: Readonly<ResourceAmounts>,
): boolean =>
  used.cpus + need.cpus <= share[0] + EPSILON &&
  used.gpus + need.gpus <= share[1] + EPSILON;
