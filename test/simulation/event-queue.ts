/** A call scheduled for a moment of simulated time; calls of the same moment run by ascending `order`. */
interface ScheduledCall {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

const isBefore = (a: ScheduledCall, b: ScheduledCall): boolean =>
  a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

/** Binary heap of scheduled calls, ordered by time; calls of the same moment keep the order in which they were added. */
export class EventQueue {
  private readonly heap: ScheduledCall[] = [];
  private added = 0;

  /** When the next call is due; Infinity if the queue is empty. */
  get nextMs(): number {
    return this.heap[0]?.atMs ?? Infinity;
  }

  add(atMs: number, run: () => void): void {
    const call = { atMs, order: ++this.added, run };
    let position = this.heap.push(call) - 1;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (!isBefore(call, this.heap[parent]!)) break;
      this.heap[position] = this.heap[parent]!;
      position = parent;
    }
    this.heap[position] = call;
  }

  /** Removes and returns the next call; undefined if the queue is empty. */
  take(): ScheduledCall | undefined {
    const next = this.heap[0];
    const last = this.heap.pop();
    if (next && last && next !== last) this.sinkFromTop(last);
    return next;
  }

  private sinkFromTop(call: ScheduledCall): void {
    let position = 0;
    for (;;) {
      const child = this.earlierChild(position);
      if (child === null || !isBefore(this.heap[child]!, call)) break;
      this.heap[position] = this.heap[child]!;
      position = child;
    }
    this.heap[position] = call;
  }

  private earlierChild(position: number): number | null {
    const left = 2 * position + 1;
    const right = left + 1;
    if (left >= this.heap.length) return null;
    const hasRight = right < this.heap.length;
    return hasRight && isBefore(this.heap[right]!, this.heap[left]!)
      ? right
      : left;
  }
}
