/**
 * Puts changed entries into the quota records, within the maximum size of a record and the maximum number of records per
 * transaction. Owns the new values until they are complete.
 */
import {
  bytesOf,
  quotaKey,
  QUOTA_KEY,
  type QuotaShares,
} from "../../storage/records.js";
import {
  CAPS_NAME,
  entryOf,
  type NewQuotaEntry,
  type QuotaRecords,
} from "./quota-records.js";
import { perDimension, type ResourceAmounts } from "./resource-amounts.js";

/** Maximum size of each record and number of records in one transaction. */
export interface RecordLimits {
  maxValueBytes: number;
  maxRecords: number;
}

/** New values by key, and the teams whose changes they include; the other changes wait for the next transaction. */
export interface RewrittenRecords {
  writes: Map<string, QuotaShares>;
  writtenTeams: Set<string>;
}

interface NewValue {
  value: QuotaShares;
  bytes: number;
}

/** `entryBytes` counts the four braces of two objects, in place of which the record has two commas. */
const SURPLUS_BYTES = 2;

/** Bytes that an entry adds to a record, with its shares and its cap. */
const entryBytes = (team: string, shares: object, cap: object): number =>
  bytesOf({ [team]: shares }) + bytesOf({ [team]: cap }) - SURPLUS_BYTES;

/** Rewrites the records with changed entries. An entry that no longer fits into its record moves to the first one where it fits. */
export function rewriteRecords(
  records: QuotaRecords,
  changed: ReadonlyMap<string, NewQuotaEntry>,
  limits: RecordLimits,
): RewrittenRecords {
  const writer = new QuotaRecordWriter(records, changed.size, limits);
  const writtenTeams = new Set<string>();
  for (const [team, entry] of changed)
    if (writer.put(team, entry)) writtenTeams.add(team);
  return { writes: writer.writes(), writtenTeams };
}

class QuotaRecordWriter {
  private readonly newValues = new Map<string, NewValue>();

  constructor(
    private readonly records: QuotaRecords,
    private readonly changedCount: number,
    private readonly limits: RecordLimits,
  ) {}

  writes(): Map<string, QuotaShares> {
    return new Map([...this.newValues].map(([key, { value }]) => [key, value]));
  }

  /** Returns whether the entry could be put into a record. */
  put(team: string, entry: NewQuotaEntry): boolean {
    // Infinity is stored as 0, because JSON can't represent it.
    const cap = perDimension((dimension) =>
      entry.cap[dimension] === Infinity ? 0 : entry.cap[dimension],
    );
    const bytes = entryBytes(team, entry.shares, cap);
    const currentKey = entryOf(this.records, team)?.key;
    for (const key of this.candidateKeys(currentKey)) {
      const target = this.open(key);
      const newBytes = target.bytes + bytes - entryBytesIn(target, team);
      if (newBytes > this.limits.maxValueBytes) continue;
      if (this.countRecordsWith(key, currentKey) > this.limits.maxRecords)
        return false;
      target.value[team] = entry.shares;
      capsOf(target)[team] = cap;
      this.newValues.set(key, { value: target.value, bytes: newBytes });
      if (currentKey !== undefined && currentKey !== key)
        this.remove(currentKey, team);
      return true;
    }
    return false;
  }

  /** Keys of the records to try: first the entry's current record, then all others in order. */
  private candidateKeys(currentKey: string | undefined): string[] {
    const keys = currentKey === undefined ? [] : [currentKey];
    const moreRecords = this.records.size + this.changedCount;
    const others = [
      QUOTA_KEY,
      ...Array.from({ length: moreRecords }, (_, index) => quotaKey(index)),
    ];
    keys.push(...others.filter((key) => key !== currentKey));
    return keys;
  }

  /** Number of records to write if the entry is put at `key`; moving it from another record changes both. */
  private countRecordsWith(
    key: string,
    currentKey: string | undefined,
  ): number {
    const touched = new Set([key, currentKey ?? key]);
    const added = [...touched].filter((other) => !this.newValues.has(other));
    return this.newValues.size + added.length;
  }

  private remove(key: string, team: string): void {
    const record = this.open(key);
    const bytes = record.bytes - entryBytesIn(record, team);
    delete record.value[team];
    delete capsOf(record)[team];
    this.newValues.set(key, { value: record.value, bytes });
  }

  /** The new value at this key, or a copy of the current one. */
  private open(key: string): NewValue {
    const changed = this.newValues.get(key);
    if (changed) return changed;
    const current = this.records.get(key)?.shares ?? {};
    const value: QuotaShares = {
      ...current,
      [CAPS_NAME]: { ...current[CAPS_NAME] },
    };
    return { value, bytes: bytesOf(value) };
  }
}

const capsOf = ({ value }: NewValue): Record<string, ResourceAmounts> =>
  (value[CAPS_NAME] ??= {});

/** Size of the team's entry in the value; 0 if it has none. */
function entryBytesIn(record: NewValue, team: string): number {
  const shares = record.value[team];
  if (!shares) return 0;
  return entryBytes(team, shares, capsOf(record)[team] ?? [0, 0]);
}
