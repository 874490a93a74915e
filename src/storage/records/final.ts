/**
 * How a job ended: kept for ever, and never changed. Written in one transaction with the deletion of the job's live record
 * and conditional on that; or at submission, for a job that depends on a cancelled one, conditional on there being neither.
 */
import * as v from "valibot";
import type { Write } from "../../protocol/state.js";
import { finalKey, jobKey } from "../keys.js";
import { read } from "./codec.js";

const StoredFinal = v.object({
  s: v.picklist(["done", "cancelled"]),
  n: v.number(),
  d: v.number(),
  // An earlier version leaves it out, and does not mind it.
  h: v.optional(v.tuple([v.string(), v.string(), v.number()])),
});

export interface FinalRecord {
  status: "done" | "cancelled";
  /** Tasks of the job, and those of them that were done. */
  tasks: number;
  done: number;
  /** What webhooks tell beside; written only if these are turned on. */
  end?: {
    team: string;
    /** The job's class. */
    class: string;
    /** Time of day of the end, in ms since the epoch. */
    at: number;
  };
}

export function readFinal(value: unknown): FinalRecord | null {
  const stored = read(StoredFinal, value);
  if (!stored) return null;
  const { s: status, n: tasks, d: done, h: end } = stored;
  if (!end) return { status, tasks, done };
  const [team, jobClass, at] = end;
  return { status, tasks, done, end: { team, class: jobClass, at } };
}

export const writeFinal = (record: FinalRecord): object => ({
  s: record.status,
  n: record.tasks,
  d: record.done,
  ...(record.end
    ? { h: [record.end.team, record.end.class, record.end.at] }
    : {}),
});

/** A job's end in one transaction: its final record in place of the live one, and of its other records those named. */
export const jobEndWrites = (
  id: string,
  record: FinalRecord,
  sideKeys: readonly string[] = [],
): Write[] => [
  { op: "put", key: finalKey(id), value: writeFinal(record) },
  ...[jobKey(id), ...sideKeys].map((key): Write => ({ op: "delete", key })),
];
