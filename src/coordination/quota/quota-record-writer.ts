/**
 * Puts changed entries of teams' limits into the quota records, within the size of a value and the number of records that one
 * transaction may write. Owns the new values while they are put together.
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

/** What one transaction can carry. */
export interface RecordLimits {
  maxValueBytes: number;
  maxRecords: number;
}

/** New values by key, and the teams whose changes they hold; the other changes wait for the next transaction. */
export interface RewrittenRecords {
  writes: Map<string, QuotaShares>;
  done: Set<string>;
}

interface NewValue {
  value: QuotaShares;
  bytes: number;
}

/** The two objects that are counted have four braces, for which the record has two commas. */
const SURPLUS_BYTES = 2;

/** Bytes that an entry adds to a record: its parts and its cap. */
const entryBytes = (team: string, parts: object, cap: object): number =>
  bytesOf({ [team]: parts }) + bytesOf({ [team]: cap }) - SURPLUS_BYTES;

/** The records with some entries written anew: what has no room in its record goes to the next one that has. */
export function rewriteRecords(
  records: QuotaRecords,
  changed: ReadonlyMap<string, NewQuotaEntry>,
  limits: RecordLimits,
): RewrittenRecords {
  const writer = new QuotaRecordWriter(records, changed.size, limits);
  const done = new Set<string>();
  for (const [team, entry] of changed)
    if (writer.put(team, entry)) done.add(team);
  return { writes: writer.writes(), done };
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
    // JSON knows no Infinity: 0 stands for it.
    const cap = perDimension((dimension) =>
      entry.cap[dimension] === Infinity ? 0 : entry.cap[dimension],
    );
    const bytes = entryBytes(team, entry.shares, cap);
    const presentKey = entryOf(this.records, team)?.key;
    for (const key of this.candidateKeys(presentKey)) {
      const target = this.open(key);
      const newBytes = target.bytes + bytes - presentBytes(target, team);
      if (newBytes > this.limits.maxValueBytes) continue;
      if (this.countRecordsWith(key, presentKey) > this.limits.maxRecords)
        return false;
      target.value[team] = entry.shares;
      capsOf(target)[team] = cap;
      this.newValues.set(key, { value: target.value, bytes: newBytes });
      if (presentKey !== undefined && presentKey !== key)
        this.remove(presentKey, team);
      return true;
    }
    return false;
  }

  /** The record where the entry is, else the first one with room. */
  private candidateKeys(presentKey: string | undefined): string[] {
    const keys = presentKey === undefined ? [] : [presentKey];
    const moreRecords = this.records.size + this.changedCount;
    const others = [
      QUOTA_KEY,
      ...Array.from({ length: moreRecords }, (_, index) => quotaKey(index)),
    ];
    keys.push(...others.filter((key) => key !== presentKey));
    return keys;
  }

  /** How many records are written once the entry is put there; moving it to another record is a change of both. */
  private countRecordsWith(
    key: string,
    presentKey: string | undefined,
  ): number {
    const touched = new Set([key, presentKey ?? key]);
    const added = [...touched].filter((other) => !this.newValues.has(other));
    return this.newValues.size + added.length;
  }

  private remove(key: string, team: string): void {
    const record = this.open(key);
    const bytes = record.bytes - presentBytes(record, team);
    delete record.value[team];
    delete capsOf(record)[team];
    this.newValues.set(key, { value: record.value, bytes });
  }

  /** The new value at this key, or a copy of the present one. */
  private open(key: string): NewValue {
    const changed = this.newValues.get(key);
    if (changed) return changed;
    const present = this.records.get(key)?.shares ?? {};
    const value: QuotaShares = {
      ...present,
      [CAPS_NAME]: { ...present[CAPS_NAME] },
    };
    return { value, bytes: bytesOf(value) };
  }
}

const capsOf = ({ value }: NewValue): Record<string, ResourceAmounts> =>
  (value[CAPS_NAME] ??= {});

/** Bytes that the team's entry takes in the value now. */
function presentBytes(record: NewValue, team: string): number {
  const parts = record.value[team];
  if (!parts) return 0;
  return entryBytes(team, parts, capsOf(record)[team] ?? [0, 0]);
}
