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

/** Identifies an attempt that a circuit breaker was told of, until its end is recorded there. */
export type AttemptPermit = symbol;

/**
 * Opens after `failureThreshold` failures in a row. While it is open, no attempt is made. After a pause it is half-open and
 * allows a single attempt, whose outcome closes it or opens it again for longer. Half of each pause is fixed, the rest is jitter.
 *
 * The end of every attempt must be recorded, also if its notification or its subscription is gone by then: until the end of the
 * only attempt that it allows, a half-open circuit breaker allows no other.
 */
export class CircuitBreaker {
  private consecutiveFailures = 0;
  private consecutiveOpenings = 0;
  private openUntilMs = -Infinity;
  /** Until when the receiver asked for a pause, whatever other attempts show. */
  private pausedUntilMs = -Infinity;
  /** The attempt that it allowed while half-open; null if there is none in flight. */
  private probe: AttemptPermit | null = null;

  constructor(
    private readonly failureThreshold: number,
    private readonly pauseLimits: BackoffLimits,
    private readonly random: () => number,
  ) {}

  state(nowMs: number): BreakerState {
    if (this.isResting(nowMs)) return "open";
    return this.consecutiveFailures < this.failureThreshold
      ? "closed"
      : "half-open";
  }
  /** Whether no attempt may start yet, after failures or because the receiver asked for a pause. */
  private isResting(nowMs: number): boolean {
    return nowMs < Math.max(this.openUntilMs, this.pausedUntilMs);
  }
  /** Whether an attempt may start now. */
  allows(nowMs: number): boolean {
    const state = this.state(nowMs);
    return state === "closed" || (state === "half-open" && this.probe === null);
  }
  /** An attempt starts. */
  recordStart(nowMs: number): AttemptPermit {
    const permit = Symbol("attempt");
    if (this.state(nowMs) === "half-open") this.probe = permit;
    return permit;
  }
  /** The receiver answered the attempt and is working, whether or not it accepted the notification. */
  recordSuccess(permit: AttemptPermit): void {
    this.release(permit);
    this.consecutiveFailures = 0;
    this.consecutiveOpenings = 0;
    this.openUntilMs = -Infinity;
  }
  recordFailure(permit: AttemptPermit, nowMs: number): void {
    this.release(permit);
    this.consecutiveFailures++;
    // Attempts in flight at the same time fail together. This is one failure of the receiver and opens the breaker only once.
    if (
      this.consecutiveFailures < this.failureThreshold ||
      this.isResting(nowMs)
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
  recordAbort(permit: AttemptPermit): void {
    this.release(permit);
  }
  private release(permit: AttemptPermit): void {
    if (this.probe === permit) this.probe = null;
  }
  /** The receiver asked for a pause (Retry-After). */
  pauseFor(nowMs: number, pauseMs: number): void {
    this.pausedUntilMs = Math.max(this.pausedUntilMs, nowMs + pauseMs);
  }
}
