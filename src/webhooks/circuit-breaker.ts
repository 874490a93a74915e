/** What the core and its parts know of a receiver: every subscription to one origin shares it. */

/** Reasons that a notification is repeated for, as its header names them. */
export const REASONS = [
  "timeout",
  "reset",
  "status",
  "refused",
  "tls",
  "blocked",
  "name",
  "owner-lost",
  "redriven",
] as const;
export type Reason = (typeof REASONS)[number];
/** After these the receiver may have it. */
export const mayHave = (r: Reason): boolean =>
  r === "timeout" ||
  r === "reset" ||
  r === "status" ||
  r === "owner-lost" ||
  r === "redriven";

export interface BackoffLimits {
  baseMs: number;
  mostMs: number;
}
/** Exponential with full jitter: anything from nothing to the bound, which doubles with each failure. `random` lies within 0 and 1. */
export const backoffMs = (
  b: BackoffLimits,
  failures: number,
  random: number,
): number =>
  random *
  Math.min(b.mostMs, b.baseMs * 2 ** Math.min(40, Math.max(0, failures - 1)));

export type BreakerState = "closed" | "open" | "half-open";

/**
 * Opens after so many failures in a row: then nothing is sent until a pause is over, and after it one attempt alone, whose
 * outcome opens it for longer or closes it. Half of each pause is certain, the rest is jitter.
 */
export class Breaker {
  private failures = 0;
  private openings = 0;
  private untilMs = -Infinity;
  private probing = false;

  constructor(
    private readonly after: number,
    private readonly pause: BackoffLimits,
    private readonly random: () => number,
  ) {}

  state(nowMs: number): BreakerState {
    if (this.failures < this.after && nowMs >= this.untilMs) return "closed";
    return nowMs < this.untilMs ? "open" : "half-open";
  }
  /** Whether an attempt may be made now. */
  allows(nowMs: number): boolean {
    const s = this.state(nowMs);
    return s === "closed" || (s === "half-open" && !this.probing);
  }
  /** One is made. */
  begin(nowMs: number): void {
    if (this.state(nowMs) === "half-open") this.probing = true;
  }
  /** It came through, whatever the receiver said. */
  well(): void {
    this.failures = 0;
    this.openings = 0;
    this.untilMs = -Infinity;
    this.probing = false;
  }
  failed(nowMs: number): void {
    this.probing = false;
    this.failures++;
    // Attempts that were on their way together fail together: that is one failure of the receiver.
    if (this.failures < this.after || nowMs < this.untilMs) return;
    this.openings++;
    const most = Math.min(
      this.pause.mostMs,
      this.pause.baseMs * 2 ** Math.min(40, this.openings - 1),
    );
    this.untilMs = Math.max(
      this.untilMs,
      nowMs + (most / 2) * (1 + this.random()),
    );
  }
  /** It was given up on our side: says nothing of the receiver. */
  neither(): void {
    this.probing = false;
  }
  /** The receiver asked for a pause. */
  rest(nowMs: number, ms: number): void {
    this.untilMs = Math.max(this.untilMs, nowMs + ms);
  }
}
