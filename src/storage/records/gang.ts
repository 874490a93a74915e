/**
 * Attempts of a gang whose parts start together in several partitions: the attempt under which the parts start, and for each
 * partition the attempt that its part is ready to follow. Leaders write them, conditional on their leadership, on the job's live
 * record and on the record of the attempt that they follow.
 */
import * as v from "valibot";
import { parseRecord } from "./codec.js";

const StoredAttempt = v.object({ attempt: v.number() });

export const readGangAttempt = (value: unknown): number | null =>
  parseRecord(StoredAttempt, value)?.attempt ?? null;
