/** Circuit breaker and backoff for receivers. All subscriptions whose URLs have the same origin share one circuit breaker. */

/** Why a notification is sent again, as the header `linencove-repeat` names it. */
export const RETRY_REASONS = [
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
export type RetryReason = (typeof RETRY_REASONS)[number];
/** Whether the receiver may have the notification although it is sent again for this reason. */
export const mayHaveArrived = (reason: RetryReason): boolean =>
  reason === "timeout" ||
  reason === "reset" ||
  reason === "status" ||
  reason === "owner-lost" ||
  reason === "redriven";

export interface BackoffLimits {
  baseMs: number;
  maxMs: number;
}
/** Exponential backoff with full jitter: from 0 to a bound that doubles with each failure. `random` is between 0 and 1. */
export const backoffMs = (
  limits: BackoffLimits,
  failures: number,
  random: number,
): number =>
  random *
  Math.min(
    limits.maxMs,
    limits.baseMs * 2 ** Math.min(40, Math.max(0, failures - 1)),
  );

export type BreakerState = "closed" | "open" | "half-open";

/**
 * Opens after `failureThreshold` failures in a row. While it is open, no attempt is made. After a pause it is half-open and
 * allows a single attempt, whose outcome closes it or opens it again for longer. Half of each pause is fixed, the rest is jitter.
 */
export class CircuitBreaker {
  private consecutiveFailures = 0;
  private consecutiveOpenings = 0;
  private openUntilMs = -Infinity;
  private probeInFlight = false;

  constructor(
    private readonly failureThreshold: number,
    private readonly pauseLimits: BackoffLimits,
    private readonly random: () => number,
  ) {}

  state(nowMs: number): BreakerState {
    if (
      this.consecutiveFailures < this.failureThreshold &&
      nowMs >= this.openUntilMs
    )
      return "closed";
    return nowMs < this.openUntilMs ? "open" : "half-open";
  }
  /** Whether an attempt may start now. */
  allows(nowMs: number): boolean {
    const state = this.state(nowMs);
    return state === "closed" || (state === "half-open" && !this.probeInFlight);
  }
  /** An attempt starts. */
  recordStart(nowMs: number): void {
    if (this.state(nowMs) === "half-open") this.probeInFlight = true;
  }
  /** The receiver answered the attempt and is working, whether or not it accepted the notification. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.consecutiveOpenings = 0;
    this.openUntilMs = -Infinity;
    this.probeInFlight = false;
  }
  recordFailure(nowMs: number): void {
    this.probeInFlight = false;
    this.consecutiveFailures++;
    // Attempts in flight at the same time fail together. This is one failure of the receiver and opens the breaker only once.
    if (
      this.consecutiveFailures < this.failureThreshold ||
      nowMs < this.openUntilMs
    )
      return;
    this.consecutiveOpenings++;
    const maxPauseMs = Math.min(
      this.pauseLimits.maxMs,
      this.pauseLimits.baseMs * 2 ** Math.min(40, this.consecutiveOpenings - 1),
    );
    this.openUntilMs = Math.max(
      this.openUntilMs,
      nowMs + (maxPauseMs / 2) * (1 + this.random()),
    );
  }
  /** The sender aborted the attempt, which says nothing about the receiver. */
  recordAbort(): void {
    this.probeInFlight = false;
  }
  /** The receiver asked for a pause (Retry-After). */
  pauseFor(nowMs: number, pauseMs: number): void {
    this.openUntilMs = Math.max(this.openUntilMs, nowMs + pauseMs);
  }
}
