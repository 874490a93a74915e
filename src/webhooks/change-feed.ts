import { readFinal, FINAL_PREFIX } from "../storage/records.js";
import type { Change, Item } from "../protocol/state.js";
import { after, type Cursor, type JobEnd } from "./records.js";

export interface FeedEntry {
  at: Cursor;
  end: JobEnd;
}

/** What a final record says; null if it is none, or was written by a controller without hooks, which does not say whose job it was. */
export function jobEndOf(
  item: Pick<Item, "key" | "value" | "version">,
): FeedEntry | null {
  if (!item.key.startsWith(FINAL_PREFIX)) return null;
  const p = readFinal(item.value);
  if (!p?.end) return null;
  const id = item.key.slice(FINAL_PREFIX.length);
  return {
    at: { version: item.version, id },
    end: {
      id,
      outcome: p.status,
      tasks: p.tasks,
      done: p.done,
      team: p.end.team,
      class: p.end.class,
      at: p.end.at,
      since: p.end.at,
    },
  };
}
/** The ends among changes, in their order. */
export function jobEndsOf(changes: readonly Change[]): FeedEntry[] {
  const out: FeedEntry[] = [];
  for (const c of changes) {
    const e = c.op === "put" ? jobEndOf(c) : null;
    if (e) out.push(e);
  }
  return out.sort((a, b) => (after(a.at, b.at) ? 1 : -1));
}

/**
 * The ends that this controller has read lately, without a gap between two revisions. Subscriptions that lag behind what is
 * kept here read the state service's log, or the final records themselves.
 */
export class ChangeFeed {
  /** Ends later than this revision are all here, up to `end`. */
  start: number | null = null;
  end = 0;
  private ends: FeedEntry[] = [];
  /** Final records that do not say whose job it was: written by a controller without hooks. Nobody hears of these. */
  unnamed = 0;

  constructor(private readonly most = 1_500) {}

  /** All changes of final records between two revisions. */
  push(from: number, to: number, changes: readonly Change[]): void {
    if (this.start === null || from > this.end) {
      this.ends = [];
      this.start = from;
      this.end = from;
    }
    for (const c of changes)
      if (
        c.version > this.end &&
        c.op === "put" &&
        c.key.startsWith(FINAL_PREFIX) &&
        !jobEndOf(c)
      )
        this.unnamed++;
    // Two reads may overlap.
    const fresh = jobEndsOf(changes).filter((e) => e.at.version > this.end);
    this.ends.push(...fresh);
    this.end = Math.max(this.end, to);
    if (this.ends.length <= this.most) return;
    const cut = this.ends.splice(0, this.ends.length - this.most);
    // Whole revisions only.
    this.start = cut.at(-1)!.at.version;
    while (this.ends[0]?.at.version === this.start) this.ends.shift();
  }

  /** The ends after a place; null if some may be missing here. */
  since(c: Cursor): readonly FeedEntry[] | null {
    if (this.start === null || c.version < this.start) return null;
    let lo = 0;
    let hi = this.ends.length;
    while (lo < hi) {
      const mid = (lo + hi) >> 1;
      if (after(this.ends[mid]!.at, c)) hi = mid;
      else lo = mid + 1;
    }
    return this.ends.slice(lo);
  }
}
