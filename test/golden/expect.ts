import assert from "node:assert/strict";

/** Bytes that other programs read: the literal is what they are, whatever the names in the program. */
export function expectText(actual: string, literal: string): void {
  assert.equal(actual, literal);
}

/** The same of a value that is sent or stored as JSON. */
export function expectJson(actual: unknown, literal: string): void {
  expectText(JSON.stringify(actual), literal);
}

/** A value that is written as the literal, and read from it again. */
export function expectStored<Value>(
  value: Value,
  write: (value: Value) => unknown,
  read: (stored: unknown) => Value | null,
  literal: string,
): void {
  expectJson(write(value), literal);
  assert.deepEqual(read(JSON.parse(literal)), value);
}
