import assert from "node:assert/strict";

/** Expects text that other programs read. The literal is written out, so that no rename in this program can change it. */
export function expectText(actual: string, literal: string): void {
  assert.equal(actual, literal);
}

/** Expects a value that is sent or stored as JSON. */
export function expectJson(actual: unknown, literal: string): void {
  expectText(JSON.stringify(actual), literal);
}

/** Expects that a value is written as the literal, and that reading the literal gives the value. */
export function expectStored<Value>(
  value: Value,
  write: (value: Value) => unknown,
  read: (stored: unknown) => Value | null,
  literal: string,
): void {
  expectJson(write(value), literal);
  assert.deepEqual(read(JSON.parse(literal)), value);
}
