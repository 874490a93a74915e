/**
 * A bounded queue of questions that is fair to whoever has been refused longest. It owns the questions that wait and the
 * times since which the questions about a job are refused.
 */

/** Jobs whose refusals are remembered; the one that was refused longest ago is forgotten last. */
const MAX_REMEMBERED_REFUSALS = 20_000;
/** A refusal is forgotten when nobody asks again for so long: users ask again within a few seconds. */
const REFUSAL_FORGOTTEN_MS = 60_000;

/** Times at which questions about one job were refused; steady time, ms. */
interface Refusals {
  readonly sinceMs: number;
  lastMs: number;
}

/**
 * Questions that wait, bounded; each names the job that it is about. Beyond the bound, who has been refused longest comes
 * first: in a storm of questions each job is answered after at most as many rounds as all jobs that are asked about fill,
 * however often others are asked about.
 */
export class FairQueue<T extends { readonly id: string }> {
  private items: T[] = [];
  /** By job, until one of its questions is answered; in the order of `sinceMs`. */
  private readonly refusals = new Map<string, Refusals>();
  /** Questions refused so far. */
  refusedCount = 0;

  constructor(private readonly capacity: number) {}

  /** Questions that wait. */
  get size(): number {
    return this.items.length;
  }

  /** Adds a question, and returns the one that must be refused for it: another one, this one, or none. */
  add(item: T, nowMs: number): T | null {
    if (this.items.length < this.capacity) {
      this.items.push(item);
      return null;
    }
    const lastIndex = this.lastInOrder();
    const last = this.items[lastIndex]!;
    if (this.rank(item) >= this.rank(last)) return this.refuse(item, nowMs);
    this.items.splice(lastIndex, 1);
    this.items.push(item);
    return this.refuse(last, nowMs);
  }

  /** Notes that a question was refused, for whatever reason, and returns it. */
  refuse(item: T, nowMs: number): T {
    this.refusedCount++;
    const known = this.refusals.get(item.id);
    if (known) known.lastMs = nowMs;
    else this.rememberRefusal(item.id, nowMs);
    return item;
  }

  /** Notes that a question about the job was answered. */
  answered(id: string): void {
    this.refusals.delete(id);
  }

  /** Takes up to so many questions, those about the jobs that have been refused longest first. */
  take(count = Infinity): T[] {
    if (count >= this.items.length) {
      const all = this.items;
      this.items = [];
      return all;
    }
    const first = this.items
      .map((item, index) => ({ item, index, rank: this.rank(item) }))
      .sort((a, b) => (a.rank === b.rank ? a.index - b.index : a.rank - b.rank))
      .slice(0, count)
      .map(({ item }) => item);
    const taken = new Set(first);
    this.items = this.items.filter((item) => !taken.has(item));
    return first;
  }

  /**
   * Since when (steady time, ms) the job that has been refused longest is refused; null: there is none. A job that nobody
   * asks about any more is forgotten.
   */
  longestRefusedSinceMs(nowMs: number): number | null {
    for (const [id, { sinceMs, lastMs }] of this.refusals) {
      if (nowMs - lastMs < REFUSAL_FORGOTTEN_MS) return sinceMs;
      this.refusals.delete(id);
    }
    return null;
  }

  /** Questions of lower rank come first. */
  private rank(item: T): number {
    return this.refusals.get(item.id)?.sinceMs ?? Infinity;
  }

  /** Place of the question of the highest rank; of equal ones, the newest. */
  private lastInOrder(): number {
    let lastIndex = 0;
    for (let index = 1; index < this.items.length; index++)
      if (this.rank(this.items[index]!) >= this.rank(this.items[lastIndex]!))
        lastIndex = index;
    return lastIndex;
  }

  private rememberRefusal(id: string, nowMs: number): void {
    // Never forgets the oldest: the newest has waited least.
    if (this.refusals.size >= MAX_REMEMBERED_REFUSALS)
      this.refusals.delete([...this.refusals.keys()].at(-1)!);
    this.refusals.set(id, { sinceMs: nowMs, lastMs: nowMs });
  }
}
