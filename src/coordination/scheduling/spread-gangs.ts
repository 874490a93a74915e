/**
 * The protocol by which a gang with `spread` starts in several partitions at once. Owns no state: what the partitions agree
 * on is in the store.
 */
import type { JobSpec } from "../model.js";

/**
 * The records of a gang that has a part in several partitions: all parts must start under one attempt. Each partition
 * writes that its part is ready: its tasks of the attempt before are gone, and the room is reserved. The first partition
 * by name then writes the next attempt, and each partition starts its part under it, once.
 */
export interface GangView {
  /** The attempt that was called; 0: none yet. */
  attempt: number;
  revision: number;
  /** By partition: the attempt that it is ready to follow. */
  readyAfterAttempt: ReadonlyMap<string, number>;
}
/** The records of a gang for which nothing is written yet. */
export const NO_GANG: GangView = {
  attempt: 0,
  revision: 0,
  readyAfterAttempt: new Map(),
};

/** Whether the parts of a job must agree on the attempt under which they start. */
export const isSpreadOverPartitions = (
  spec: JobSpec,
  partitions: number,
): boolean => spec.kind === "gang" && spec.spread && partitions > 1;

/** What a partition does next for its part of a gang. */
type GangStep =
  | { kind: "ready"; after: number }
  | { kind: "call" }
  | { kind: "start"; attempt: number }
  | { kind: "wait" };

/**
 * What a partition does whose part has room and nothing left on any machine. `lastAttempt`: the one under which its leader
 * has started the part. Invariant (ran_twice): the records only say when to start and under which attempt; that nothing
 * of the part is anywhere is each leader's own knowledge, as for every other job.
 */
export function nextGangStep(
  partitions: readonly string[],
  partition: string,
  gang: GangView,
  lastAttempt: number,
): GangStep {
  const readyAfter = gang.readyAfterAttempt.get(partition);
  if (readyAfter !== gang.attempt) {
    // Called after this partition said that it was ready: whoever starts late still completes the gang.
    const isCalled = gang.attempt > 0 && readyAfter !== undefined;
    return isCalled && lastAttempt !== gang.attempt
      ? { kind: "start", attempt: gang.attempt }
      : { kind: "ready", after: gang.attempt };
  }
  const [first] = [...partitions].sort();
  const areAllReady = partitions.every(
    (name) => gang.readyAfterAttempt.get(name) === gang.attempt,
  );
  return first === partition && areAllReady
    ? { kind: "call" }
    : { kind: "wait" };
}
