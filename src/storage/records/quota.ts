/**
 * The division of the teams' quotas among the partitions. Leaders write these records, conditional on their leadership, on
 * every quota record that the division is based on and, for partitions without a leader, on there still being none.
 */
import * as v from "valibot";
import { parseRecord } from "./codec.js";

const StoredQuota = v.record(
  v.string(),
  v.record(v.string(), v.tuple([v.number(), v.number()])),
);
const StoredObservedLimits = v.object({ limits: v.string() });

/** Team -> partition -> [CPUs, GPUs] of the team's quota that the partition may use. */
export type QuotaShares = Record<string, Record<string, [number, number]>>;

export const readQuota = (value: unknown): QuotaShares | null =>
  parseRecord(StoredQuota, value);

/**
 * The hash of the limits in a controller's settings. Each controller writes its own record, conditional on the record's revision
 * and attached to its store lease.
 */
export const readObservedLimits = (value: unknown): string | null =>
  parseRecord(StoredObservedLimits, value)?.limits ?? null;
