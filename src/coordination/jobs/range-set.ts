/**
 * A compact set of task indices. Owns its ranges; a set returned by `clone`, `take` or `slice` shares nothing with the
 * original.
 */

/** Lowest and highest index of a range, both included. */
type Range = [first: number, last: number];

/** A set of task indices, kept as sorted, disjoint, closed ranges, so that it stays small for large jobs. */
export class RangeSet {
  private constructor(private readonly ranges: Range[]) {}

  /** The union of closed ranges, in any order. */
  static of(pairs: readonly (readonly [number, number])[]): RangeSet {
    const set = new RangeSet([]);
    for (const [first, last] of pairs) set.addRange(first, last);
    return set;
  }

  static empty(): RangeSet {
    return new RangeSet([]);
  }

  /** The indices below `count`. */
  static upTo(count: number): RangeSet {
    return new RangeSet(count > 0 ? [[0, count - 1]] : []);
  }

  /** How many indices are in the set. */
  get size(): number {
    let size = 0;
    for (const [first, last] of this.ranges) size += last - first + 1;
    return size;
  }

  get isEmpty(): boolean {
    return this.ranges.length === 0;
  }

  /** The ranges as pairs of first and last index, ascending: the form in which they are stored. */
  pairs(): [number, number][] {
    return this.ranges.map(([first, last]) => [first, last]);
  }

  clone(): RangeSet {
    return new RangeSet(this.pairs());
  }

  has(index: number): boolean {
    const range = this.ranges[this.positionOf(index)];
    return range !== undefined && range[0] <= index;
  }

  add(index: number): void {
    this.addRange(index, index);
  }

  /** Adds the indices from `first` to `last`, merging ranges that overlap or adjoin them. */
  addRange(first: number, last: number): void {
    const start = this.positionOf(first - 1);
    let end = start;
    let mergedFirst = first;
    let mergedLast = last;
    for (
      let range = this.ranges[end];
      range !== undefined && range[0] <= mergedLast + 1;
      range = this.ranges[++end]
    ) {
      mergedFirst = Math.min(mergedFirst, range[0]);
      mergedLast = Math.max(mergedLast, range[1]);
    }
    this.ranges.splice(start, end - start, [mergedFirst, mergedLast]);
  }

  addAll(other: RangeSet): void {
    for (const [first, last] of other.ranges) this.addRange(first, last);
  }

  remove(index: number): void {
    this.removeRange(index, index);
  }

  removeRange(first: number, last: number): void {
    let position = this.positionOf(first);
    for (
      let range = this.ranges[position];
      range !== undefined && range[0] <= last;
      range = this.ranges[position]
    ) {
      const rest: Range[] = [];
      if (range[0] < first) rest.push([range[0], first - 1]);
      if (range[1] > last) rest.push([last + 1, range[1]]);
      this.ranges.splice(position, 1, ...rest);
      position += rest.length;
    }
  }

  removeAll(other: RangeSet): void {
    for (const [first, last] of other.ranges) this.removeRange(first, last);
  }

  /** The smallest index, or undefined if the set is empty. */
  first(): number | undefined {
    return this.ranges[0]?.[0];
  }

  /** The `count` smallest indices, as a new set. */
  take(count: number): RangeSet {
    const taken = RangeSet.empty();
    let remaining = count;
    for (const [first, last] of this.ranges) {
      if (remaining <= 0) break;
      const end = Math.min(last, first + remaining - 1);
      taken.ranges.push([first, end]);
      remaining -= end - first + 1;
    }
    return taken;
  }

  /** The indices from `lowest` to `highest`, as a new set. */
  slice(lowest: number, highest: number): RangeSet {
    const sliced = RangeSet.empty();
    for (const range of this.ranges) {
      const first = Math.max(range[0], lowest);
      const last = Math.min(range[1], highest);
      if (first <= last) sliced.ranges.push([first, last]);
    }
    return sliced;
  }

  /** Iterates in ascending order over the indices that are in the set when the iteration begins. */
  *[Symbol.iterator](): Generator<number> {
    for (const [first, last] of this.pairs())
      for (let index = first; index <= last; index++) yield index;
  }

  /** Position of the first range that ends at or after an index. */
  private positionOf(index: number): number {
    let low = 0;
    let high = this.ranges.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const range = this.ranges[middle];
      if (range !== undefined && range[1] < index) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
