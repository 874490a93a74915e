import type { JobSpec } from "../model.js";

/**
 * A gang with `spread` whose groups have one zone each has a part in several groups, and all parts must start under
 * one attempt. Each group writes that its part is ready: its tasks of the attempt before are gone, and it holds the
 * room. The first group by name then writes the next attempt, and each group starts its part under it, once.
 */
export interface GangView {
  /** The attempt that was called; 0: none yet. */
  attempt: number;
  revision: number;
  /** By group: the attempt that it is ready to follow. */
  ready: ReadonlyMap<string, number>;
}
export const NO_GANG: GangView = { attempt: 0, revision: 0, ready: new Map() };

export const isSpreadOverPartitions = (
  spec: JobSpec,
  partitions: number,
): boolean => spec.kind === "gang" && spec.spread && partitions > 1;

type GangStep =
  | { kind: "ready"; after: number }
  | { kind: "call" }
  | { kind: "start"; attempt: number }
  | { kind: "wait" };

/**
 * What a group does whose part has room and nothing left on any machine. `tried`: the attempt that this master has
 * started its part under. Invariant (ran_twice): the records only say when to start and under which attempt; that
 * nothing of the part is anywhere is each master's own knowledge, as for every other job.
 */
export function nextGangStep(
  partitions: readonly string[],
  partition: string,
  gang: GangView,
  tried: number,
): GangStep {
  const mine = gang.ready.get(partition);
  // Called after this group said that it was ready: whoever starts late still completes the gang.
  if (
    gang.attempt > 0 &&
    mine !== gang.attempt &&
    tried !== gang.attempt &&
    mine !== undefined
  )
    return { kind: "start", attempt: gang.attempt };
  if (mine !== gang.attempt) return { kind: "ready", after: gang.attempt };
  const first = [...partitions].sort()[0];
  return first === partition &&
    partitions.every((g) => gang.ready.get(g) === gang.attempt)
    ? { kind: "call" }
    : { kind: "wait" };
}
