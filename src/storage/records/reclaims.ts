/**
 * Resources that partition leaders preempt from teams above their guarantee, for teams below theirs. All leaders write the same
 * record, conditional on their leadership and on its revision.
 */
import * as v from "valibot";
import { parseRecord } from "./codec.js";

const StoredReclaims = v.object({
  by: v.record(
    v.string(),
    v.array(
      v.object({
        t: v.number(),
        team: v.string(),
        n: v.tuple([v.number(), v.number()]),
        from: v.array(v.tuple([v.string(), v.number(), v.number()])),
        u: v.number(),
      }),
    ),
  ),
});

/** Resources that one leader has preempted, or is about to preempt, so that a team gets its guarantee. */
export interface Reclaim {
  /** Fencing token of the leader. A former leader's reclaim ends with the machines on which it preempted tasks. */
  token: number;
  /** The team that gets the resources, and how much of its deficit they cover. */
  team: string;
  coveredDeficit: [cpus: number, gpus: number];
  /** How much is preempted from which teams. */
  from: [team: string, cpus: number, gpus: number][];
  /** Time of day, in ms, until which other leaders take the reclaim into account. */
  expiresAt: number;
}

/** By partition. */
export function readReclaims(value: unknown): Map<string, Reclaim[]> | null {
  const stored = parseRecord(StoredReclaims, value);
  return (
    stored &&
    new Map(
      Object.entries(stored.by).map(([partition, reclaims]) => [
        partition,
        reclaims.map((reclaim) => ({
          token: reclaim.t,
          team: reclaim.team,
          coveredDeficit: reclaim.n,
          from: reclaim.from,
          expiresAt: reclaim.u,
        })),
      ]),
    )
  );
}

export const writeReclaims = (
  byPartition: ReadonlyMap<string, readonly Reclaim[]>,
): object => ({
  by: Object.fromEntries(
    [...byPartition].map(([partition, reclaims]) => [
      partition,
      reclaims.map((reclaim) => ({
        t: reclaim.token,
        team: reclaim.team,
        n: reclaim.coveredDeficit,
        from: reclaim.from,
        u: reclaim.expiresAt,
      })),
    ]),
  ),
});
