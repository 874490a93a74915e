/** Helpers for the codecs of the records. */
import * as v from "valibot";

/** Ranges as stored: the first and the last member of each. */
export const StoredRanges = v.array(v.tuple([v.number(), v.number()]));

/** Parses a stored value; null if it does not match the schema. */
export function parseRecord<Schema extends v.GenericSchema>(
  schema: Schema,
  value: unknown,
): v.InferOutput<Schema> | null {
  const parsed = v.safeParse(schema, value);
  return parsed.success ? parsed.output : null;
}

/** Size of a value in the state service, in bytes. */
export const bytesOf = (value: object): number =>
  Buffer.byteLength(JSON.stringify(value));
