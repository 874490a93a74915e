/**
 * The records of the teams' limits, as a pure matter of values. For each team a record holds the parts of its limit by
 * partition, and the limit that they are parts of (its `cap`: the generation of the entry). What is written holds, whatever
 * the settings of whoever reads it say: a partition that a team's entry does not name has no part of it.
 *
 * Invariant (quota): a partition starts tasks only within its own part; a part is lessened only by the partition that has it,
 * which keeps below what it will have left from before that commit is sent; a part grows only out of what such a commit, or
 * nobody, has. So what partitions may use never adds up to more than the cap, whichever commits are lost, late, doubled or
 * unanswered. Design: docs/design/limits.md.
 */
import type { Team } from "../../config/settings.js";
import { QUOTA_KEY, type QuotaShares } from "../../storage/records.js";
import { EPSILON } from "../scheduling/placement.js";
import {
  type Dimension,
  DIMENSIONS,
  perDimension,
  type ResourceAmounts,
} from "./resource-amounts.js";

/** Sums of earlier versions' unrounded parts differ from the limit by less than this. */
export const MAX_ROUNDING_ERROR = 0.05;

/** The team's limit by the settings; Infinity: none. */
export const limitOf = (team: Team): ResourceAmounts => [
  team.cpusMax,
  team.gpusMax,
];

/**
 * Under this name a record holds the cap of each team in it. No team can have it, for names have no slashes; the
 * version before reads it as one more team and writes it back as it is.
 */
export const CAPS_NAME = "/cap";

/** A record as read: the parts by team and partition, and the revision of its key. */
export interface QuotaRecord {
  shares: QuotaShares;
  revision: number;
}

/** Records by key. */
export type QuotaRecords = ReadonlyMap<string, QuotaRecord>;

/** An entry as it is to be written. */
export interface NewQuotaEntry {
  /** By partition. */
  shares: Record<string, ResourceAmounts>;
  /** Infinity: none. */
  cap: ResourceAmounts;
}

/** What a record says of one team. */
export interface QuotaEntry extends NewQuotaEntry {
  /** Key of the record. */
  key: string;
  /** All parts together. */
  sum: ResourceAmounts;
}

/** What the record at this key says of a team; null: nothing. */
export function entryIn(
  key: string,
  shares: QuotaShares,
  team: string,
): QuotaEntry | null {
  const parts = shares[team];
  if (!parts || team === CAPS_NAME) return null;
  const sum: ResourceAmounts = [0, 0];
  for (const part of Object.values(parts))
    for (const dimension of DIMENSIONS) sum[dimension] += part[dimension];
  // Without a cap it was written by the version before, whose parts make up the whole limit.
  const written = shares[CAPS_NAME]?.[team] ?? sum;
  // JSON knows no Infinity: 0 stands for it.
  const cap = perDimension((dimension) => written[dimension] || Infinity);
  return { key, shares: parts, sum, cap };
}

/** What the records say of a team; the first record goes before the others. */
export function entryOf(
  records: QuotaRecords,
  team: string,
): QuotaEntry | null {
  const root = records.get(QUOTA_KEY);
  const first = root && entryIn(QUOTA_KEY, root.shares, team);
  if (first) return first;
  for (const [key, record] of records) {
    const entry = key === QUOTA_KEY ? null : entryIn(key, record.shares, team);
    if (entry) return entry;
  }
  return null;
}

/** Whether more is handed out than the limit allows, until the partitions have given back what they don't use of it. */
export const isOverAllocated = (
  entry: QuotaEntry,
  dimension: Dimension,
): boolean => entry.sum[dimension] > entry.cap[dimension] + EPSILON;

/**
 * Up to how much a partition may start tasks of a team, by what is written and by its own settings; `use`: what it uses
 * already. Where more is handed out than the smallest limit that is known of, nothing starts: tasks that run go on.
 */
export function maxUsage(
  team: Team,
  entry: QuotaEntry | null,
  partition: string,
  use: () => ResourceAmounts,
): ResourceAmounts {
  const limit = limitOf(team);
  return perDimension((dimension) => {
    const cap = entry ? entry.cap[dimension] : Infinity;
    if (!entry || cap === Infinity)
      return limit[dimension] === Infinity ? Infinity : use()[dimension];
    // A limit lowered in the own settings is to be written first, so that all go by it.
    const isLowered = cap > limit[dimension] + MAX_ROUNDING_ERROR;
    if (isLowered || isOverAllocated(entry, dimension)) return use()[dimension];
    return entry.shares[partition]?.[dimension] ?? 0;
  });
}
