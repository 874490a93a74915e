/**
 * The protocol by which a gang with `spread` starts in several partitions at once. Owns no state: what the partitions agree
 * on is in the store.
 */
import type { JobSpec } from "../model.js";

/**
 * The records of a gang that has parts in several partitions, all of which must start under one attempt. Each partition
 * writes that its part is ready once its tasks of the previous attempt are gone and its slots are reserved. When all parts
 * are ready, the first partition by name announces the next attempt, and each partition starts its part under it, once.
 */
export interface GangView {
  /** The last announced attempt; 0 if there was none yet. */
  attempt: number;
  revision: number;
  /** By partition: the attempt after which its part is ready to start again. */
  readyAfterAttempt: ReadonlyMap<string, number>;
}
/** The view of a gang that has no records yet. */
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
  | { kind: "ready"; afterAttempt: number }
  | { kind: "announce" }
  | { kind: "start"; attempt: number }
  | { kind: "wait" };

/**
 * What a partition does next whose part has slots and no task left on any machine. `lastAttempt` is the attempt under which
 * its leader last started the part. Invariant (ran_twice): the records only say when to start and under which attempt; as
 * for every other job, each leader makes sure itself that no task of its part is on a machine.
 */
export function nextGangStep(
  partitions: readonly string[],
  partition: string,
  gang: GangView,
  lastAttempt: number,
): GangStep {
  const readyAfter = gang.readyAfterAttempt.get(partition);
  if (readyAfter !== gang.attempt) {
    // The attempt was announced after this partition wrote that it was ready: even a late start completes the gang.
    const isAnnounced = gang.attempt > 0 && readyAfter !== undefined;
    return isAnnounced && lastAttempt !== gang.attempt
      ? { kind: "start", attempt: gang.attempt }
      : { kind: "ready", afterAttempt: gang.attempt };
  }
  const [first] = [...partitions].sort();
  const areAllReady = partitions.every(
    (name) => gang.readyAfterAttempt.get(name) === gang.attempt,
  );
  return first === partition && areAllReady
    ? { kind: "announce" }
    : { kind: "wait" };
}
