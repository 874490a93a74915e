/**
 * Finished tasks of a job in one partition. The partition's leader writes them, block by block, conditional on its
 * leadership, on the job's live record and on the block's record as it last knew it; they are deleted after the job's end.
 */
import * as v from "valibot";
import { RangeSet } from "../../coordination/jobs/range-set.js";
import { read, StoredRanges } from "./codec.js";

/** Ranges, or, in records of an earlier version, a bitmap in base64. */
const StoredCompletion = v.object({
  r: v.optional(StoredRanges),
  b: v.optional(v.string()),
});

/**
 * Finished tasks of one job and partition are kept as ranges in blocks of this many task numbers: however scattered, a block
 * fits the smallest values. The earlier version kept blocks of 16,384, some as bitmaps, and writes its whole block anew
 * under its number: these numbers begin where its end, and ranges mean the same to it under any number.
 */
export const COMPLETION_BLOCK_SIZE = 128;
const FIRST_COMPLETION_BLOCK = 1_000;
const FORMER_COMPLETION_BLOCK = 16_384;

/** Number of the block that a task belongs to. */
export const completionBlockOf = (task: number): number =>
  FIRST_COMPLETION_BLOCK + Math.floor(task / COMPLETION_BLOCK_SIZE);

/** The members of a set that belong to a block. */
export const tasksInBlock = (tasks: RangeSet, block: number): RangeSet =>
  tasks.slice(
    (block - FIRST_COMPLETION_BLOCK) * COMPLETION_BLOCK_SIZE,
    (block - FIRST_COMPLETION_BLOCK + 1) * COMPLETION_BLOCK_SIZE - 1,
  );

export const writeCompletion = (tasks: RangeSet): object => ({
  r: tasks.pairs(),
});

/** `block`: the number in the record's key. */
export function readCompletion(value: unknown, block: number): RangeSet | null {
  const stored = read(StoredCompletion, value);
  if (!stored) return null;
  if (stored.r) return RangeSet.of(stored.r);
  const bits = Buffer.from(stored.b ?? "", "base64");
  return readBitmap(bits, block * FORMER_COMPLETION_BLOCK);
}

/** Bit 0 of byte 0 stands for the first task. */
function readBitmap(bits: Buffer, firstTask: number): RangeSet {
  const tasks = RangeSet.empty();
  const size = Math.min(bits.length * 8, FORMER_COMPLETION_BLOCK);
  for (let index = 0; index < size; index++)
    if (bits[index >> 3]! & (1 << (index & 7))) tasks.add(firstTask + index);
  return tasks;
}
