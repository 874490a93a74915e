/** Duration of a controller's lease at the store: a pure function of the settings. */
import type { Settings } from "../../config/settings.js";

/** Part of `cancel_s` reserved for a worker lease that outlasts the leadership lease, and for clock drift. */
const CANCEL_MARGIN_MS = 2_000;
/** A lease of this duration survives most short outages of the store. */
const MIN_LEASE_TTL_MS = 12_000;
/** Time for a worker to find the new leader after a failure: an unanswered heartbeat, its retry, and the failover. */
const REDISCOVERY_MS = 5_000;
/** Heartbeats may come later than their interval by up to this factor. */
const HEARTBEAT_JITTER_FACTOR = 1.25;
/** Lower bound of the duration, however short `cancel_s` is. */
const MIN_CANCELLABLE_TTL_MS = 1_000;

/**
 * Duration of the store lease, in ms. Rule `ran_cancelled`: a leader that cannot read cancellations continues for at most this time, and
 * then the leases of its workers expire; both together must be within `cancel_s`. Within that bound, a long lease keeps a short outage
 * of the store from stopping a partition, and a short lease lets a peer take over from a hung or cut-off leader before the leases of
 * its workers expire. If worker leases are long enough for both, the store lease is shorter than they are by the time that workers need
 * to find the new leader; otherwise it is as long as allowed. Running tasks survive an outage as long as both leases together.
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
