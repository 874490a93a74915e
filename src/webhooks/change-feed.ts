import { readFinal, FINAL_PREFIX } from "../storage/records.js";
import type { Change, Item } from "../protocol/state.js";
import { isAfter, type Cursor, type JobEnd } from "./records.js";

export interface FeedEntry {
  at: Cursor;
  end: JobEnd;
}

/**
 * The job end that a final record describes. null if the item is no final record, or if it was written by a controller without
 * webhooks, which does not record the job's team and class.
 */
export function jobEndOf(
  item: Pick<Item, "key" | "value" | "version">,
): FeedEntry | null {
  if (!item.key.startsWith(FINAL_PREFIX)) return null;
  const final = readFinal(item.value);
  if (!final?.end) return null;
  const id = item.key.slice(FINAL_PREFIX.length);
  return {
    at: { version: item.version, id },
    end: {
      id,
      outcome: final.status,
      tasks: final.tasks,
      done: final.done,
      team: final.end.team,
      class: final.end.class,
      at: final.end.at,
      since: final.end.at,
    },
  };
}
/** The job ends among the changes, in the order of their cursors. */
export function jobEndsOf(changes: readonly Change[]): FeedEntry[] {
  const entries: FeedEntry[] = [];
  for (const change of changes) {
    const entry = change.op === "put" ? jobEndOf(change) : null;
    if (entry) entries.push(entry);
  }
  return entries.sort((a, b) => (isAfter(a.at, b.at) ? 1 : -1));
}

/**
 * The job ends that this controller has read most recently, without a gap between two revisions. Subscriptions that lag behind
 * the oldest entry read the state service's change log instead, or all final records.
 */
export class ChangeFeed {
  /** `entries` holds all ends after this revision, up to `endRevision`. null until the first changes are added. */
  startRevision: number | null = null;
  endRevision = 0;
  private entries: FeedEntry[] = [];
  /** Number of final records without team and class, which controllers without webhooks write. They cause no notification. */
  unattributedEnds = 0;

  constructor(private readonly maxEntries = 1_500) {}

  /** Adds the job ends among `changes`: all changes of final records after `fromRevision` and up to `toRevision`. */
  push(
    fromRevision: number,
    toRevision: number,
    changes: readonly Change[],
  ): void {
    if (this.startRevision === null || fromRevision > this.endRevision) {
      this.entries = [];
      this.startRevision = fromRevision;
      this.endRevision = fromRevision;
    }
    for (const change of changes)
      if (
        change.version > this.endRevision &&
        change.op === "put" &&
        change.key.startsWith(FINAL_PREFIX) &&
        !jobEndOf(change)
      )
        this.unattributedEnds++;
    // Two reads may overlap, so that some changes are already here.
    const added = jobEndsOf(changes).filter(
      (e) => e.at.version > this.endRevision,
    );
    this.entries.push(...added);
    this.endRevision = Math.max(this.endRevision, toRevision);
    if (this.entries.length <= this.maxEntries) return;
    const dropped = this.entries.splice(
      0,
      this.entries.length - this.maxEntries,
    );
    // Other entries of the last dropped revision are dropped too, as `startRevision` stands for a whole revision.
    this.startRevision = dropped.at(-1)!.at.version;
    while (this.entries[0]?.at.version === this.startRevision)
      this.entries.shift();
  }

  /** The ends after a cursor; null if some of them may be missing here. */
  since(cursor: Cursor): readonly FeedEntry[] | null {
    if (this.startRevision === null || cursor.version < this.startRevision)
      return null;
    let low = 0;
    let high = this.entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (isAfter(this.entries[middle]!.at, cursor)) high = middle;
      else low = middle + 1;
    }
    return this.entries.slice(low);
  }
}
