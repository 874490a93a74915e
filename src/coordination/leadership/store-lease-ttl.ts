/** How long a controller's lease at the store lasts: a pure function of the settings. */
import type { Settings } from "../../config/settings.js";

/** Part of cancel_s left over for a worker lease that outlives the leadership lease, and for clocks that differ. */
const CANCEL_MARGIN_MS = 2_000;
/** A lease this long rides out most short outages of the store. */
const MIN_LEASE_TTL_MS = 12_000;
/** Until a worker whose leader is gone has found the new one: an unanswered heartbeat, its retry, a failover. */
const REDISCOVERY_MS = 5_000;
/** Heartbeats may come this much later than their interval. */
const HEARTBEAT_JITTER_FACTOR = 1.25;
/** However short cancel_s is. */
const MIN_CANCELLABLE_TTL_MS = 1_000;

/**
 * Duration of the store lease, in ms. Rule `ran_cancelled`: a leader that cannot read cancellations goes on for at most this long; then
 * the leases of its workers run out; both together must lie within cancel_s. Within that there are two wishes: a short outage of
 * the store should not stop a partition (long), and a peer should take over from a hung or cut-off leader before the leases of its
 * workers end (short). Where worker leases are long enough for both, the store lease ends so much before them; where they are
 * not, only the first can be had. An outage is survived for store lease and worker lease together in any case.
 */
export function storeLeaseTtlMs(
  settings: Pick<Settings, "cancelS" | "leaseS" | "reportS">,
): number {
  const { cancelS, leaseS, reportS } = settings;
  const maxTtlMs = Math.max(
    MIN_CANCELLABLE_TTL_MS,
    Math.floor((cancelS - leaseS) * 1000 - CANCEL_MARGIN_MS),
  );
  const failoverTtlMs = Math.floor(
    (leaseS - reportS * HEARTBEAT_JITTER_FACTOR) * 1000 - REDISCOVERY_MS,
  );
  return failoverTtlMs >= MIN_LEASE_TTL_MS
    ? Math.min(maxTtlMs, failoverTtlMs)
    : maxTtlMs;
}
