import type { Result } from 'neverthrow';

/** Returns the value of a result; throws its error, which fails the test. */
export function unwrap<Value, Failure extends Error>(result: Result<Value, Failure>): Value {
  if (result.isErr()) throw result.error;
  return result.value;
}

/** Returns the error of a result that must have failed. */
export function unwrapError<Value, Failure>(result: Result<Value, Failure>): Failure {
  if (result.isOk()) throw new Error('the result is not an error');
  return result.error;
}
