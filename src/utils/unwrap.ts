/** Unwrapping of results where a failure also ends the caller, such as at the start of a node. */
import type { Result } from 'neverthrow';

/** Returns the value of a result; throws the error of a failed one. */
export function unwrap<Value, Failure extends Error>(result: Result<Value, Failure>): Value {
  if (result.isErr()) throw result.error;
  return result.value;
}
