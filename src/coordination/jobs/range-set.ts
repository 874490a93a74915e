/** A set of task numbers, kept as sorted, disjoint, closed ranges: small however large the job is. */
export class RangeSet {
  private constructor(private readonly r: [number, number][]) {}

  static of(pairs: readonly (readonly [number, number])[]): RangeSet {
    const set = new RangeSet([]);
    for (const [lo, hi] of pairs) set.addRange(lo, hi);
    return set;
  }
  static empty(): RangeSet {
    return new RangeSet([]);
  }
  static upTo(n: number): RangeSet {
    return new RangeSet(n > 0 ? [[0, n - 1]] : []);
  }
  get size(): number {
    let n = 0;
    for (const [lo, hi] of this.r) n += hi - lo + 1;
    return n;
  }
  get isEmpty(): boolean {
    return this.r.length === 0;
  }
  pairs(): [number, number][] {
    return this.r.map(([lo, hi]) => [lo, hi]);
  }
  clone(): RangeSet {
    return new RangeSet(this.pairs());
  }
  /** Position of the first range that ends at or after i. */
  private at(i: number): number {
    let lo = 0;
    let hi = this.r.length;
    while (lo < hi) {
      const mid = (lo + hi) >> 1;
      if (this.r[mid]![1] < i) lo = mid + 1;
      else hi = mid;
    }
    return lo;
  }
  has(i: number): boolean {
    const x = this.r[this.at(i)];
    return x !== undefined && x[0] <= i;
  }
  add(i: number): void {
    this.addRange(i, i);
  }
  addRange(lo: number, hi: number): void {
    const from = this.at(lo - 1);
    let to = from;
    while (to < this.r.length && this.r[to]![0] <= hi + 1) {
      lo = Math.min(lo, this.r[to]![0]);
      hi = Math.max(hi, this.r[to]![1]);
      to++;
    }
    this.r.splice(from, to - from, [lo, hi]);
  }
  addAll(other: RangeSet): void {
    for (const [lo, hi] of other.r) this.addRange(lo, hi);
  }
  remove(i: number): void {
    this.removeRange(i, i);
  }
  removeRange(lo: number, hi: number): void {
    let k = this.at(lo);
    while (k < this.r.length && this.r[k]![0] <= hi) {
      const [a, b] = this.r[k]!;
      const rest: [number, number][] = [];
      if (a < lo) rest.push([a, lo - 1]);
      if (b > hi) rest.push([hi + 1, b]);
      this.r.splice(k, 1, ...rest);
      k += rest.length;
    }
  }
  removeAll(other: RangeSet): void {
    for (const [lo, hi] of other.r) this.removeRange(lo, hi);
  }
  first(): number | undefined {
    return this.r[0]?.[0];
  }
  /** The `n` smallest members, as a new set. */
  take(n: number): RangeSet {
    const out = RangeSet.empty();
    for (const [lo, hi] of this.r) {
      if (n <= 0) break;
      const end = Math.min(hi, lo + n - 1);
      out.r.push([lo, end]);
      n -= end - lo + 1;
    }
    return out;
  }
  /** The members between two numbers, as a new set. */
  slice(lo: number, hi: number): RangeSet {
    const out = RangeSet.empty();
    for (const [a, b] of this.r) {
      const x = Math.max(a, lo);
      const y = Math.min(b, hi);
      if (x <= y) out.r.push([x, y]);
    }
    return out;
  }
  *[Symbol.iterator](): Generator<number> {
    for (const [lo, hi] of this.pairs()) for (let i = lo; i <= hi; i++) yield i;
  }
}
