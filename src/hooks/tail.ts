import { readPast, PAST } from "../storage/records.js";
import type { Change, Item } from "../protocol/state.js";
import { after, type Cursor, type Ending } from "./records.js";

export interface Ended {
  at: Cursor;
  end: Ending;
}

/** What a final record says; null if it is none, or was written by a controller without hooks, which does not say whose job it was. */
export function endingOf(
  item: Pick<Item, "key" | "value" | "version">,
): Ended | null {
  if (!item.key.startsWith(PAST)) return null;
  const p = readPast(item.value);
  if (!p?.end) return null;
  const id = item.key.slice(PAST.length);
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
export function endingsOf(changes: readonly Change[]): Ended[] {
  const out: Ended[] = [];
  for (const c of changes) {
    const e = c.op === "put" ? endingOf(c) : null;
    if (e) out.push(e);
  }
  return out.sort((a, b) => (after(a.at, b.at) ? 1 : -1));
}

/**
 * The ends that this controller has read lately, without a gap between two revisions. Subscriptions that lag behind what is
 * kept here read the state service's log, or the final records themselves.
 */
export class Tail {
  /** Ends later than this revision are all here, up to `end`. */
  start: number | null = null;
  end = 0;
  private ends: Ended[] = [];
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
        c.key.startsWith(PAST) &&
        !endingOf(c)
      )
        this.unnamed++;
    // Two reads may overlap.
    const fresh = endingsOf(changes).filter((e) => e.at.version > this.end);
    this.ends.push(...fresh);
    this.end = Math.max(this.end, to);
    if (this.ends.length <= this.most) return;
    const cut = this.ends.splice(0, this.ends.length - this.most);
    // Whole revisions only.
    this.start = cut.at(-1)!.at.version;
    while (this.ends[0]?.at.version === this.start) this.ends.shift();
  }

  /** The ends after a place; null if some may be missing here. */
  since(c: Cursor): readonly Ended[] | null {
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
