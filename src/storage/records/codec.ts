/** What the codecs of the records share. */
import * as v from "valibot";

/** Ranges as they are stored: the first and the last member of each. */
export const StoredRanges = v.array(v.tuple([v.number(), v.number()]));

/** What a stored value says; null if it is not of that form. */
export function read<Schema extends v.GenericSchema>(
  schema: Schema,
  value: unknown,
): v.InferOutput<Schema> | null {
  const parsed = v.safeParse(schema, value);
  return parsed.success ? parsed.output : null;
}

/** Bytes that a value takes at the state service. */
export const bytesOf = (value: object): number =>
  Buffer.byteLength(JSON.stringify(value));
