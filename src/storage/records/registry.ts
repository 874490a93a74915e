/**
 * The machines of a partition, in chunks that fit a record. The partition's leader writes them, conditional on its leadership
 * and on the last known revision of each chunk.
 */
import * as v from "valibot";
import { parseRecord } from "./codec.js";

/** Each type is stored once; machines refer to it by index. */
const StoredRegistry = v.object({
  t: v.array(v.string()),
  m: v.array(v.tuple([v.string(), v.number(), v.number()])),
  // The previous version ignores it, and drops it when it rewrites the record.
  c: v.optional(v.number()),
});

export interface RegistryEntry {
  /** Marked for return: never used again. */
  isReturning: boolean;
  /** Machine type; empty if unknown. */
  type: string;
}

/** One of the records that list the machines of a partition. */
export interface RegistryRecord {
  /** By machine id. */
  machines: Map<string, RegistryEntry>;
  /**
   * The record was written by a transaction conditional on the record that it replaces, so it contains all machines added before.
   * The version in production writes records without this condition, and without this field.
   */
  complete: boolean;
}

export function readRegistry(value: unknown): RegistryRecord | null {
  const stored = parseRecord(StoredRegistry, value);
  if (!stored) return null;
  const machines = new Map(
    stored.m.map(([id, typeIndex, returning]) => [
      id,
      { isReturning: returning === 1, type: stored.t[typeIndex] ?? "" },
    ]),
  );
  return { machines, complete: stored.c === 1 };
}

export function writeRegistry({ machines, complete }: RegistryRecord): object {
  const types = [...new Set([...machines.values()].map(({ type }) => type))];
  return {
    t: types,
    m: [...machines].map(([id, { type, isReturning }]) => [
      id,
      types.indexOf(type),
      isReturning ? 1 : 0,
    ]),
    ...(complete ? { c: 1 } : {}),
  };
}
