/** Entries of a subscription's window: notifications that may have been sent and are not known to have arrived. */
import { mayHaveArrived, type RetryReason } from "./circuit-breaker.js";
import type { PendingDelivery } from "./records.js";

/** One notification in the window. */
export interface WindowEntry extends PendingDelivery {
  /** Number of attempts that the record allows for; `attempts` never exceeds it. */
  reservedAttempts: number;
  failures: number;
  /** Why the last attempt did not deliver it; null: there was none. */
  reason: RetryReason | null;
  /** Whether the receiver may have it from any of the attempts so far. */
  mayHaveArrived: boolean;
  notBeforeMs: number;
  /** Id of the attempt in flight; null: there is none. */
  attemptInFlight: number | null;
  /** How the notification was settled; null: not yet. */
  result: "delivered" | "dead" | null;
}

/** An entry without an attempt by this controller. `reason`: why earlier attempts did not deliver it; null: there were none. */
export const newEntry = (
  { end, attempts }: PendingDelivery,
  reservedAttempts: number,
  reason: RetryReason | null,
  nowMs: number,
): WindowEntry => ({
  end,
  attempts,
  reservedAttempts,
  failures: 0,
  reason,
  mayHaveArrived: reason !== null && mayHaveArrived(reason),
  notBeforeMs: nowMs,
  attemptInFlight: null,
  result: null,
});

/** An entry as its record names it. */
export const asReserved = ({
  end,
  reservedAttempts,
}: WindowEntry): PendingDelivery => ({ end, attempts: reservedAttempts });

/** Why an entry of the spool may have been sent before; null: it was not. A redrive sets `since` anew. */
export function reasonFromSpool({
  end,
  attempts,
}: PendingDelivery): RetryReason | null {
  if (attempts === 0) return null;
  return end.since > end.at ? "redriven" : "owner-lost";
}

/** Whether the next attempt may start, as far as the notification itself is concerned. */
export const isAttemptDue = (entry: WindowEntry, nowMs: number): boolean =>
  entry.attemptInFlight === null &&
  entry.attempts < entry.reservedAttempts &&
  nowMs >= entry.notBeforeMs;
