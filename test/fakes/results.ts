import assert from 'node:assert/strict';
import type { Result } from 'neverthrow';

export { unwrap } from '../../src/utils/unwrap.js';

/** Returns the error of a failed result; throws if the result is a success. */
export function unwrapError<Value, Failure>(result: Result<Value, Failure>): Failure {
  if (result.isOk()) throw new Error('the result is not an error');
  return result.error;
}

/** Asserts that the list is not empty and that the value of each item equals `expected`. */
export function assertAll<Item, Value>(
  items: readonly Item[],
  getValue: (item: Item) => Value,
  expected: Value,
): void {
  assert.ok(items.length > 0);
  assert.deepEqual(items.map(getValue), Array<Value>(items.length).fill(expected));
}
