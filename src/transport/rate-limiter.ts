interface LimitedCall {
  /** Lower numbers run first. */
  priority: number;
  /** Amount that the call takes from each bucket. */
  cost: readonly number[];
  /** Steady time after which the call is refused instead of run. */
  deadlineMs: number;
  run: () => void;
  refuse: () => void;
}

/**
 * Token buckets for one controller's share of a service's rate limits, each with the capacity of one burst. Calls that have to
 * wait are ordered by priority, then by age. Their number and their waiting time are bounded.
 */
export class RateLimiter {
  private readonly levels: number[];
  private lastRefillMs: number;
  private queue: LimitedCall[] = [];
  private timer: NodeJS.Timeout | null = null;

  constructor(
    /** Refill rate of each bucket per second. */
    private readonly rates: readonly number[],
    /** Capacity of each bucket. */
    private readonly bursts: readonly number[],
    private readonly maxQueue = 500,
    /** For each priority, the share of a burst that its calls leave to those of higher priority. */
    private readonly reservedShares: readonly number[] = [],
  ) {
    this.levels = [...bursts];
    this.lastRefillMs = performance.now();
  }

  add(call: LimitedCall): void {
    if (this.queue.length >= this.maxQueue) return call.refuse();
    let index = this.queue.length;
    while (index > 0 && this.queue[index - 1]!.priority > call.priority)
      index--;
    this.queue.splice(index, 0, call);
    this.drain();
  }

  /**
   * The level at which a bucket allows a call: the cost of the call and the share left to calls of higher priority, which may
   * come at any moment (at 5 changes per second, users waited 200 ms for each earlier call). A call that costs more than a whole
   * burst would wait for ever, so it may run when the bucket is full.
   */
  private requiredLevel(call: LimitedCall, bucket: number): number {
    const cost = call.cost[bucket]!;
    return cost === 0
      ? 0
      : Math.min(
          this.bursts[bucket]!,
          cost +
            this.bursts[bucket]! * (this.reservedShares[call.priority] ?? 0),
        );
  }

  private drain(): void {
    const nowMs = performance.now();
    const elapsedS = (nowMs - this.lastRefillMs) / 1000;
    this.lastRefillMs = nowMs;
    this.rates.forEach(
      (rate, bucket) =>
        (this.levels[bucket] = Math.min(
          this.bursts[bucket]!,
          this.levels[bucket]! + rate * elapsedS,
        )),
    );
    const expired = this.queue.filter((call) => nowMs > call.deadlineMs);
    if (expired.length > 0) {
      this.queue = this.queue.filter((call) => nowMs <= call.deadlineMs);
      for (const call of expired) call.refuse();
    }
    while (this.queue.length > 0) {
      const call = this.queue[0]!;
      if (
        call.cost.some(
          (_, bucket) =>
            this.levels[bucket]! < this.requiredLevel(call, bucket),
        )
      )
        break;
      this.queue.shift();
      call.cost.forEach((cost, bucket) => (this.levels[bucket]! -= cost));
      call.run();
    }
    if (this.queue.length > 0 && this.timer === null) {
      const next = this.queue[0]!;
      const waitS = Math.max(
        ...next.cost.map(
          (_, bucket) =>
            (this.requiredLevel(next, bucket) - this.levels[bucket]!) /
            this.rates[bucket]!,
        ),
      );
      this.timer = setTimeout(
        () => {
          this.timer = null;
          this.drain();
        },
        Math.min(250, Math.max(1, waitS * 1000)),
      );
    }
  }
}
