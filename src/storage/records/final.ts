/**
 * How a job ended. Final records are kept forever and never changed. A final record is written by the transaction that deletes
 * the job's live record, conditional on that record; or at submission, if the job depends on a cancelled one, conditional on
 * there being neither a live nor a final record.
 */
import * as v from "valibot";
import type { Write } from "../../protocol/state.js";
import { finalKey, jobKey } from "../keys.js";
import { parseRecord } from "./codec.js";

const StoredFinal = v.object({
  s: v.picklist(["done", "cancelled"]),
  n: v.number(),
  d: v.number(),
  // Earlier versions neither write nor read it.
  h: v.optional(v.tuple([v.string(), v.string(), v.number()])),
});

export interface FinalRecord {
  status: "done" | "cancelled";
  /** Number of tasks of the job, and of those that were done. */
  tasks: number;
  done: number;
  /** Further data for webhooks; only written if they are enabled. */
  end?: {
    team: string;
    /** The job's class. */
    class: string;
    /** Time of day of the end, in ms since the epoch. */
    at: number;
  };
}

export function readFinal(value: unknown): FinalRecord | null {
  const stored = parseRecord(StoredFinal, value);
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

/** The writes that end a job: its final record replaces the live one, and the records under `sideKeys` are deleted. */
export const jobEndWrites = (
  id: string,
  record: FinalRecord,
  sideKeys: readonly string[] = [],
): Write[] => [
  { op: "put", key: finalKey(id), value: writeFinal(record) },
  ...[jobKey(id), ...sideKeys].map((key): Write => ({ op: "delete", key })),
];
