/**
 * Keys in the state service. What is alive lies under `lc/now/`, so a controller that starts reads only that; the records of
 * finished jobs move to `lc/past/`, are kept for ever and read one by one. One watch on `lc/` shows both.
 *
 * The stored names are older than the terms of this code, and stay: controllers of an earlier version read and write the
 * same keys at the same time.
 */
export const ROOT_PREFIX = "lc/";
export const LIVE_PREFIX = "lc/now/";

export const partitionKey = (partition: string): string =>
  `lc/now/group/${partition}`;
export const leadershipBidKey = (partition: string): string =>
  `lc/now/claim/${partition}`;
export const jobKey = (id: string): string => `lc/now/job/${id}`;
/** Final records: kept for ever. */
export const FINAL_PREFIX = "lc/past/";
export const finalKey = (id: string): string => `${FINAL_PREFIX}${id}`;
export const completionKey = (
  id: string,
  partition: string,
  block: number,
): string => `lc/now/fin/${id}/${partition}/${block}`;
/** The attempt under which the parts of a gang start, and for each partition the attempt that it is ready for. */
export const gangKey = (id: string): string => `lc/now/gang/${id}`;
export const readyKey = (id: string, partition: string): string =>
  `lc/now/ready/${id}/${partition}`;
export const registryKey = (partition: string, chunk: number): string =>
  `lc/now/roster/${partition}/${chunk}`;
export const capacityKey = (partition: string): string =>
  `lc/now/room/${partition}`;
/**
 * The partitions' shares of the teams' quotas. The first record is the one that the version before knows; it reads any key below it as
 * the same record, so teams that it has no room for are elsewhere.
 */
export const QUOTA_KEY = "lc/now/quota";
export const quotaKey = (index: number): string => `lc/now/limit/${index}`;
/** Which limits a live controller goes by; deleted with its store lease. */
export const observedLimitsKey = (label: string): string =>
  `lc/now/belief/${label}`;
/** What leaders preempt of teams that are beyond their guarantee, for teams that are below theirs. */
export const RECLAIM_KEY = "lc/now/reclaim";

/** What the keys of each kind of record name. */
export interface StoreKeyFields {
  group: { partition: string };
  claim: { partition: string };
  room: { partition: string };
  job: { id: string };
  past: { id: string };
  fin: { id: string; partition: string; chunk: number };
  roster: { partition: string; chunk: number };
  gang: { id: string };
  ready: { id: string; partition: string };
  limits: object;
  reclaim: object;
  belief: { label: string };
}
export type StoreKeyKind = keyof StoreKeyFields;
/** A parsed key, discriminated by the kind of its record; with a type argument, only the keys of these kinds. */
export type StoreKey<Kind extends StoreKeyKind = StoreKeyKind> = {
  [K in Kind]: { kind: K } & StoreKeyFields[K];
}[Kind];

/** What a key names; null: it is not of a kind that this version knows. */
export function parseKey(key: string): StoreKey | null {
  const [root, area, first, ...names] = key.split("/");
  if (root !== "lc" || first === undefined) return null;
  if (area === "past" && names.length === 0) return { kind: "past", id: first };
  return area === "now" ? parseLiveKey(first, names) : null;
}

function parseLiveKey(kind: string, names: readonly string[]): StoreKey | null {
  const [first = "", second = "", third] = names;
  switch (kind) {
    case "group":
    case "claim":
    case "room":
      return names.length === 1 ? { kind, partition: first } : null;
    case "job":
    case "gang":
      return names.length === 1 ? { kind, id: first } : null;
    case "fin":
      return names.length === 3
        ? { kind, id: first, partition: second, chunk: Number(third) }
        : null;
    case "roster":
      return names.length === 2
        ? { kind, partition: first, chunk: Number(second) }
        : null;
    case "ready":
      return names.length === 2 ? { kind, id: first, partition: second } : null;
    case "quota":
      return names.length === 0 ? { kind: "limits" } : null;
    case "limit":
      return names.length === 1 ? { kind: "limits" } : null;
    case "reclaim":
      return names.length === 0 ? { kind } : null;
    case "belief":
      return names.length === 1 ? { kind, label: first } : null;
    default:
      return null;
  }
}
