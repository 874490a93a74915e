/**
 * Attempts of a gang whose parts start together in several partitions: the attempt that is called, and for each partition
 * the last attempt that it is ready for. Leaders write them, conditional on their leadership, on the job's live record and on
 * the call that they follow.
 */
import * as v from "valibot";
import { read } from "./codec.js";

const StoredAttempt = v.object({ attempt: v.number() });

export const readGangAttempt = (value: unknown): number | null =>
  read(StoredAttempt, value)?.attempt ?? null;
