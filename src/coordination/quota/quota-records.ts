/**
 * Pure functions on the quota records. For each team a record contains each partition's share of the team's limit, and its `cap`:
 * the limit that was divided into these shares. The records take precedence over the settings of the controller that reads
 * them: a partition that is not in a team's entry has no share of its limit.
 *
 * Invariant (quota): a partition starts tasks only within its own share. A share is reduced only by the partition that has it,
 * which stays within the reduced share from before it sends that transaction. A share grows only by what the same transaction
 * takes from another share, or by quota that is not assigned to any partition. So what all partitions may use never exceeds the
 * cap in total, whichever transactions are lost, delayed, duplicated or unanswered. Design: docs/design/limits.md.
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

/** Earlier versions stored unrounded shares, whose sum differs from the limit by less than this. */
export const MAX_ROUNDING_ERROR = 0.05;

/** The team's limit in the settings; Infinity if there is none. */
export const limitOf = (team: Team): ResourceAmounts => [
  team.cpusMax,
  team.gpusMax,
];

/**
 * Name under which a record contains the caps of its teams. It can't collide with a team, because team names have no slashes. The
 * previous version reads it as another team and writes it back unchanged.
 */
export const CAPS_NAME = "/cap";

/** A record as read: shares by team and partition, and the revision of its key. */
export interface QuotaRecord {
  shares: QuotaShares;
  revision: number;
}

/** Records by key. */
export type QuotaRecords = ReadonlyMap<string, QuotaRecord>;

/** A team's entry to be written. */
export interface NewQuotaEntry {
  /** By partition. */
  shares: Record<string, ResourceAmounts>;
  /** The limit that the shares divide; Infinity if there is none. */
  cap: ResourceAmounts;
}

/** A team's entry as read from a record. */
export interface QuotaEntry extends NewQuotaEntry {
  /** Key of the record. */
  key: string;
  /** Sum of all shares. */
  sum: ResourceAmounts;
}

/** The team's entry in the record with this key; null if it has none. */
export function entryIn(
  key: string,
  shares: QuotaShares,
  team: string,
): QuotaEntry | null {
  const teamShares = shares[team];
  if (!teamShares || team === CAPS_NAME) return null;
  const sum: ResourceAmounts = [0, 0];
  for (const share of Object.values(teamShares))
    for (const dimension of DIMENSIONS) sum[dimension] += share[dimension];
  // An entry without a cap was written by the previous version, whose shares add up to the limit.
  const storedCap = shares[CAPS_NAME]?.[team] ?? sum;
  // Infinity is stored as 0, because JSON can't represent it.
  const cap = perDimension((dimension) => storedCap[dimension] || Infinity);
  return { key, shares: teamShares, sum, cap };
}

/** The team's entry in the records; null if it has none. The record at `QUOTA_KEY` takes precedence over the others. */
export function entryOf(
  records: QuotaRecords,
  team: string,
): QuotaEntry | null {
  const mainRecord = records.get(QUOTA_KEY);
  const mainEntry = mainRecord && entryIn(QUOTA_KEY, mainRecord.shares, team);
  if (mainEntry) return mainEntry;
  for (const [key, record] of records) {
    const entry = key === QUOTA_KEY ? null : entryIn(key, record.shares, team);
    if (entry) return entry;
  }
  return null;
}

/** Whether the shares exceed the cap, as after a limit was lowered, until the partitions have released what they don't use. */
export const isOverAllocated = (
  entry: QuotaEntry,
  dimension: Dimension,
): boolean => entry.sum[dimension] > entry.cap[dimension] + EPSILON;

/**
 * Up to how much a partition may use of a team's limit, by the records and by its own settings. `use`: what it uses now. While the
 * shares exceed the cap, or the cap (without an entry: Infinity) exceeds the limit in the settings, no task starts, and running
 * tasks continue.
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
    // The limit was lowered in this controller's settings: the records must be updated first, so that all controllers apply it.
    const isLowered = cap > limit[dimension] + MAX_ROUNDING_ERROR;
    if (isLowered || isOverAllocated(entry, dimension)) return use()[dimension];
    return entry.shares[partition]?.[dimension] ?? 0;
  });
}
