/** Access to results where a failure ends the caller as well, such as the start of a node. */
import type { Result } from 'neverthrow';

/** Returns the value of a result; throws its error. */
export function unwrap<Value, Failure extends Error>(result: Result<Value, Failure>): Value {
  if (result.isErr()) throw result.error;
  return result.value;
}
