import type { JobSpec } from "./model.js";

/**
 * A gang with `spread` whose groups have one zone each has a part in several groups, and all parts must start under
 * one attempt. Each group writes that its part is ready: its tasks of the attempt before are gone, and it holds the
 * room. The first group by name then writes the next attempt, and each group starts its part under it, once.
 */
export interface GangView {
  /** The attempt that was called; 0: none yet. */
  attempt: number;
  version: number;
  /** By group: the attempt that it is ready to follow. */
  ready: ReadonlyMap<string, number>;
}
export const NO_GANG: GangView = { attempt: 0, version: 0, ready: new Map() };

export const inParts = (spec: JobSpec, groups: number): boolean =>
  spec.shape === "ensemble" && spec.spread && groups > 1;

type PartStep =
  | { is: "ready"; after: number }
  | { is: "call" }
  | { is: "start"; attempt: number }
  | { is: "wait" };

/**
 * What a group does whose part has room and nothing left on any machine. `tried`: the attempt that this master has
 * started its part under. Invariant (ran_twice): the records only say when to start and under which attempt; that
 * nothing of the part is anywhere is each master's own knowledge, as for every other job.
 */
export function partStep(
  groups: readonly string[],
  group: string,
  gang: GangView,
  tried: number,
): PartStep {
  const mine = gang.ready.get(group);
  // Called after this group said that it was ready: whoever starts late still completes the gang.
  if (
    gang.attempt > 0 &&
    mine !== gang.attempt &&
    tried !== gang.attempt &&
    mine !== undefined
  )
    return { is: "start", attempt: gang.attempt };
  if (mine !== gang.attempt) return { is: "ready", after: gang.attempt };
  const first = [...groups].sort()[0];
  return first === group &&
    groups.every((g) => gang.ready.get(g) === gang.attempt)
    ? { is: "call" }
    : { is: "wait" };
}
