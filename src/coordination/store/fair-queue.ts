/**
 * A bounded queue of users' queries about jobs that prefers the jobs whose queries have been refused longest. Owns the waiting
 * queries and, for each job, the times of its refusals.
 */

/** Maximum number of jobs whose refusals are remembered. */
const MAX_REMEMBERED_REFUSALS = 20_000;
/** The refusals of a job are forgotten after this time without another one: users repeat a query within a few seconds. */
const REFUSAL_EXPIRY_MS = 60_000;

/** Times (steady, ms) of the first and the last refusal of queries about one job since one was answered. */
interface Refusals {
  readonly sinceMs: number;
  lastMs: number;
}

/**
 * A bounded queue of waiting queries, each about the job `id`. When it is full, queries about the jobs that have been refused
 * longest take precedence: under overload every job is answered after at most as many rounds as it takes to answer one
 * query about each job, however often other jobs are asked about.
 */
export class FairQueue<T extends { readonly id: string }> {
  private items: T[] = [];
  /** By job, until one of its queries is answered; in the order of `sinceMs`. */
  private readonly refusals = new Map<string, Refusals>();
  /** Queries refused so far. */
  refusedCount = 0;

  constructor(private readonly capacity: number) {}

  /** Number of waiting queries. */
  get size(): number {
    return this.items.length;
  }

  /** Adds a query. If the queue is full, refuses this or another query and returns that one, otherwise returns null. */
  add(item: T, nowMs: number): T | null {
    if (this.items.length < this.capacity) {
      this.items.push(item);
      return null;
    }
    const indexOfLast = this.lastInOrderIndex();
    const last = this.items[indexOfLast]!;
    if (this.rank(item) >= this.rank(last)) return this.refuse(item, nowMs);
    this.items.splice(indexOfLast, 1);
    this.items.push(item);
    return this.refuse(last, nowMs);
  }

  /** Records that a query was refused, for any reason, and returns it. */
  refuse(item: T, nowMs: number): T {
    this.refusedCount++;
    const refusals = this.refusals.get(item.id);
    if (refusals) refusals.lastMs = nowMs;
    else this.rememberRefusal(item.id, nowMs);
    return item;
  }

  /** Records that a query about the job was answered. */
  noteAnswered(id: string): void {
    this.refusals.delete(id);
  }

  /** Removes and returns up to `count` queries, preferring the jobs that have been refused longest. */
  take(count = Infinity): T[] {
    if (count >= this.items.length) {
      const all = this.items;
      this.items = [];
      return all;
    }
    const selected = this.items
      .map((item, index) => ({ item, index, rank: this.rank(item) }))
      .sort((a, b) => (a.rank === b.rank ? a.index - b.index : a.rank - b.rank))
      .slice(0, count)
      .map(({ item }) => item);
    const selectedSet = new Set(selected);
    this.items = this.items.filter((item) => !selectedSet.has(item));
    return selected;
  }

  /**
   * Time (steady, ms) since which the job refused longest has been refused; null if no job is. Forgets jobs that are no longer
   * asked about.
   */
  longestRefusedSinceMs(nowMs: number): number | null {
    for (const [id, { sinceMs, lastMs }] of this.refusals) {
      if (nowMs - lastMs < REFUSAL_EXPIRY_MS) return sinceMs;
      this.refusals.delete(id);
    }
    return null;
  }

  /** Queries of lower rank come first. */
  private rank(item: T): number {
    return this.refusals.get(item.id)?.sinceMs ?? Infinity;
  }

  /** Index of the query with the highest rank; of equal ones, the newest. */
  private lastInOrderIndex(): number {
    let lastIndex = 0;
    for (let index = 1; index < this.items.length; index++)
      if (this.rank(this.items[index]!) >= this.rank(this.items[lastIndex]!))
        lastIndex = index;
    return lastIndex;
  }

  private rememberRefusal(id: string, nowMs: number): void {
    // Beyond the bound, drops the newest entry, since its job has waited least.
    if (this.refusals.size >= MAX_REMEMBERED_REFUSALS)
      this.refusals.delete([...this.refusals.keys()].at(-1)!);
    this.refusals.set(id, { sinceMs: nowMs, lastMs: nowMs });
  }
}
