/** Jobs whose refusals are remembered; the one that was refused longest ago is forgotten last. */
const MAX_REMEMBERED_REFUSALS = 20_000;
/** Users ask again within a few seconds. */
const REFUSAL_FORGOTTEN_MS = 60_000;

/**
 * Questions that wait, bounded. Beyond the bound who was refused longest comes first: of a storm of questions each job is
 * answered after at most as many rounds as all jobs that are asked about fill, however often others are asked about.
 */
export class FairQueue<T extends { readonly id: string }> {
  private items: T[] = [];
  /** Since when a job's questions are refused, until one is answered. Steady time, ms; in the order of those times. */
  private readonly refusedMs = new Map<
    string,
    { since: number; last: number }
  >();
  /** Questions refused so far. */
  refused = 0;

  constructor(private readonly capacity: number) {}

  get size(): number {
    return this.items.length;
  }
  /** The question that must be refused now: another one, this one, or none. */
  add(item: T, nowMs: number): T | null {
    if (this.items.length < this.capacity) {
      this.items.push(item);
      return null;
    }
    let last = 0;
    for (let i = 1; i < this.items.length; i++)
      if (this.rank(this.items[i]!) >= this.rank(this.items[last]!)) last = i;
    const out = this.items[last]!;
    if (this.rank(item) >= this.rank(out)) return this.refuse(item, nowMs);
    this.items.splice(last, 1);
    this.items.push(item);
    return this.refuse(out, nowMs);
  }
  private rank(item: T): number {
    return this.refusedMs.get(item.id)?.since ?? Infinity;
  }

  /** Notes a refusal, whatever for. */
  refuse(item: T, nowMs: number): T {
    this.refused++;
    const known = this.refusedMs.get(item.id);
    if (known) known.last = nowMs;
    else {
      // Never the oldest: the last one has waited least.
      if (this.refusedMs.size >= MAX_REMEMBERED_REFUSALS)
        this.refusedMs.delete([...this.refusedMs.keys()].at(-1)!);
      this.refusedMs.set(item.id, { since: nowMs, last: nowMs });
    }
    return item;
  }
  answered(id: string): void {
    this.refusedMs.delete(id);
  }

  /** Takes up to so many, those refused longest first. */
  take(n = Infinity): T[] {
    if (n >= this.items.length) {
      const all = this.items;
      this.items = [];
      return all;
    }
    const first = this.items
      .map((item, i) => ({ item, i, rank: this.rank(item) }))
      .sort((a, b) => (a.rank === b.rank ? a.i - b.i : a.rank - b.rank))
      .slice(0, n);
    const taken = new Set(first.map((f) => f.item));
    this.items = this.items.filter((x) => !taken.has(x));
    return first.map((f) => f.item);
  }

  /** Since when the job that has been refused longest is refused; null: none. One that nobody asks about any more is forgotten. */
  oldestMs(nowMs: number): number | null {
    for (const [id, r] of this.refusedMs) {
      if (nowMs - r.last < REFUSAL_FORGOTTEN_MS) return r.since;
      this.refusedMs.delete(id);
    }
    return null;
  }
}
