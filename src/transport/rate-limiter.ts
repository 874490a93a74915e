/**
 * One controller's part of a service's rate limit: a bucket that holds one burst's worth. Calls that must wait
 * are ordered by urgency, then by age; their number and their waiting time are bounded.
 */
interface LimitedCall {
  priority: number;
  /** What it costs of each bucket. */
  cost: readonly number[];
  deadlineMs: number;
  run: () => void;
  refuse: () => void;
}

export class RateLimiter {
  private readonly level: number[];
  private lastMs: number;
  private queue: LimitedCall[] = [];
  private timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly rates: readonly number[],
    private readonly bursts: readonly number[],
    private readonly maxQueue = 500,
    /** Part of a burst that calls of each urgency leave to more urgent ones. */
    private readonly kept: readonly number[] = [],
  ) {
    this.level = [...bursts];
    this.lastMs = performance.now();
  }

  add(job: LimitedCall): void {
    if (this.queue.length >= this.maxQueue) return job.refuse();
    let at = this.queue.length;
    while (at > 0 && this.queue[at - 1]!.priority > job.priority) at--;
    this.queue.splice(at, 0, job);
    this.drain();
  }

  /**
   * How full a bucket must be for a call: what it costs, and a part left for more urgent ones that may come any moment
   * (with 5 changes a second, users waited 200 ms for each that went before). A cost above a whole burst would wait for
   * ever: it goes when the bucket is full.
   */
  private needs(j: LimitedCall, i: number): number {
    const cost = j.cost[i]!;
    return cost === 0
      ? 0
      : Math.min(
          this.bursts[i]!,
          cost + this.bursts[i]! * (this.kept[j.priority] ?? 0),
        );
  }

  private drain(): void {
    const now = performance.now();
    const passed = (now - this.lastMs) / 1000;
    this.lastMs = now;
    this.rates.forEach(
      (r, i) =>
        (this.level[i] = Math.min(
          this.bursts[i]!,
          this.level[i]! + r * passed,
        )),
    );
    const late = this.queue.filter((j) => now > j.deadlineMs);
    if (late.length > 0) {
      this.queue = this.queue.filter((j) => now <= j.deadlineMs);
      for (const j of late) j.refuse();
    }
    while (this.queue.length > 0) {
      const j = this.queue[0]!;
      if (j.cost.some((_, i) => this.level[i]! < this.needs(j, i))) break;
      this.queue.shift();
      j.cost.forEach((c, i) => (this.level[i]! -= c));
      j.run();
    }
    if (this.queue.length > 0 && this.timer === null) {
      const first = this.queue[0]!;
      const wait = Math.max(
        ...first.cost.map(
          (_, i) => (this.needs(first, i) - this.level[i]!) / this.rates[i]!,
        ),
      );
      this.timer = setTimeout(
        () => {
          this.timer = null;
          this.drain();
        },
        Math.min(250, Math.max(1, wait * 1000)),
      );
    }
  }
}
