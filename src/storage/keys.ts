/**
 * Keys in the state service. Live records are under `lc/now/`, so that a starting controller reads only these. Final records of
 * jobs are under `lc/past/`; they are kept forever and read one at a time. One watch on `lc/` covers both.
 *
 * The stored names differ from the terms of this code and cannot change: controllers of an earlier version read and write the
 * same keys at the same time.
 */
export const ROOT_PREFIX = "lc/";
export const LIVE_PREFIX = "lc/now/";

export const partitionKey = (partition: string): string =>
  `lc/now/group/${partition}`;
export const leadershipBidKey = (partition: string): string =>
  `lc/now/claim/${partition}`;
export const jobKey = (id: string): string => `lc/now/job/${id}`;
/** Final records, which are kept forever. */
export const FINAL_PREFIX = "lc/past/";
export const finalKey = (id: string): string => `${FINAL_PREFIX}${id}`;
export const completionKey = (
  id: string,
  partition: string,
  block: number,
): string => `lc/now/fin/${id}/${partition}/${block}`;
/** The attempt under which the parts of a gang start, and for each partition the attempt that its part is ready to follow. */
export const gangKey = (id: string): string => `lc/now/gang/${id}`;
export const readyKey = (id: string, partition: string): string =>
  `lc/now/ready/${id}/${partition}`;
export const registryKey = (partition: string, chunk: number): string =>
  `lc/now/roster/${partition}/${chunk}`;
export const capacityKey = (partition: string): string =>
  `lc/now/room/${partition}`;
/**
 * The partitions' shares of the teams' quotas. The previous version only has this record, and would read any key below it as the same
 * record, so teams that do not fit are stored under `quotaKey`.
 */
export const QUOTA_KEY = "lc/now/quota";
export const quotaKey = (index: number): string => `lc/now/limit/${index}`;
/** The limits in the settings of a live controller; deleted with its store lease. */
export const observedLimitsKey = (label: string): string =>
  `lc/now/belief/${label}`;
/** Resources that leaders preempt from teams above their guarantee, for teams below theirs. */
export const RECLAIM_KEY = "lc/now/reclaim";

/**
 * The parts of a key, by kind of record. The kinds have their stored names (`group`: leader of a partition, `claim`: leadership bid,
 * `room`: capacity, `past`: final record, `fin`: finished tasks, `roster`: registry, `belief`: observed limits), except `limits`, which
 * stands for all quota records.
 */
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

/** Parses a key; null if this version has no records of its kind. */
export function parseKey(key: string): StoreKey | null {
  const [root, section, first, ...rest] = key.split("/");
  if (root !== "lc" || first === undefined) return null;
  if (section === "past" && rest.length === 0)
    return { kind: "past", id: first };
  return section === "now" ? parseLiveKey(first, rest) : null;
}

function parseLiveKey(kind: string, parts: readonly string[]): StoreKey | null {
  const [first = "", second = "", third] = parts;
  switch (kind) {
    case "group":
    case "claim":
    case "room":
      return parts.length === 1 ? { kind, partition: first } : null;
    case "job":
    case "gang":
      return parts.length === 1 ? { kind, id: first } : null;
    case "fin":
      return parts.length === 3
        ? { kind, id: first, partition: second, chunk: Number(third) }
        : null;
    case "roster":
      return parts.length === 2
        ? { kind, partition: first, chunk: Number(second) }
        : null;
    case "ready":
      return parts.length === 2 ? { kind, id: first, partition: second } : null;
    case "quota":
      return parts.length === 0 ? { kind: "limits" } : null;
    case "limit":
      return parts.length === 1 ? { kind: "limits" } : null;
    case "reclaim":
      return parts.length === 0 ? { kind } : null;
    case "belief":
      return parts.length === 1 ? { kind, label: first } : null;
    default:
      return null;
  }
}
