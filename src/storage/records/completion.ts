/**
 * Finished tasks of a job in one partition. The partition's leader writes them in blocks, conditional on its leadership, on
 * the job's live record and on the last known revision of the block's record. They are deleted after the job has ended.
 */
import * as v from "valibot";
import { RangeSet } from "../../coordination/jobs/range-set.js";
import { parseRecord, StoredRanges } from "./codec.js";

/** Ranges; in records of an earlier version possibly a bitmap in base64. */
const StoredCompletion = v.object({
  r: v.optional(StoredRanges),
  b: v.optional(v.string()),
});

/**
 * Finished tasks of one job and partition are stored as ranges, in blocks of this many task indexes: a block fits the smallest
 * value size, however scattered its tasks are. An earlier version uses blocks of 16,384, some as bitmaps, and rewrites a whole
 * block under its number. The numbers of the new blocks start where those end; ranges mean the same under any block number.
 */
export const COMPLETION_BLOCK_SIZE = 128;
const FIRST_COMPLETION_BLOCK = 1_000;
const BITMAP_BLOCK_SIZE = 16_384;

/** Number of the block that a task belongs to. */
export const completionBlockOf = (task: number): number =>
  FIRST_COMPLETION_BLOCK + Math.floor(task / COMPLETION_BLOCK_SIZE);

/** The tasks of a set that belong to a block. */
export const tasksInBlock = (tasks: RangeSet, block: number): RangeSet =>
  tasks.slice(
    (block - FIRST_COMPLETION_BLOCK) * COMPLETION_BLOCK_SIZE,
    (block - FIRST_COMPLETION_BLOCK + 1) * COMPLETION_BLOCK_SIZE - 1,
  );

export const writeCompletion = (tasks: RangeSet): object => ({
  r: tasks.pairs(),
});

/** `block`: the block number in the record's key. */
export function readCompletion(value: unknown, block: number): RangeSet | null {
  const stored = parseRecord(StoredCompletion, value);
  if (!stored) return null;
  if (stored.r) return RangeSet.of(stored.r);
  const bitmap = Buffer.from(stored.b ?? "", "base64");
  return readBitmap(bitmap, block * BITMAP_BLOCK_SIZE);
}

/** Bit 0 of byte 0 is the first task. */
function readBitmap(bitmap: Buffer, firstTask: number): RangeSet {
  const tasks = RangeSet.empty();
  const size = Math.min(bitmap.length * 8, BITMAP_BLOCK_SIZE);
  for (let index = 0; index < size; index++)
    if (bitmap[index >> 3]! & (1 << (index & 7))) tasks.add(firstTask + index);
  return tasks;
}
