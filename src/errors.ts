/** Every error of the project is built here and carries the step and the peer at which it arose. */

/** Kinds of errors, switched on by callers. */
export type ErrorKind =
  | 'invalid'
  | 'conflict'
  | 'not-found'
  | 'unavailable'
  | 'timeout'
  | 'answer-lost'
  | 'too-large'
  | 'refused'
  | 'stale'
  | 'mismatch'
  | 'busy'
  | 'internal';

/** An error with its kind, the step that failed and the peer, address or file involved. */
export class StepError extends Error {
  constructor(
    readonly kind: ErrorKind,
    readonly step: string,
    readonly peer: string,
    message: string,
    cause?: unknown,
  ) {
    super(message, { cause });
    this.name = 'StepError';
  }
}

/** Builds an error; `peer` is an address, a node id, a file name or `self`. */
export function buildError(
  kind: ErrorKind,
  step: string,
  peer: string,
  message: string,
  cause?: unknown,
): StepError {
  return new StepError(kind, step, peer, message, cause);
}

/** True for errors built by this module. */
export function isStepError(value: unknown): value is StepError {
  return value instanceof StepError;
}

/** Converts anything thrown into a StepError, keeping one that already is. */
export function toStepError(thrown: unknown, step: string, peer: string): StepError {
  if (isStepError(thrown)) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return buildError('internal', step, peer, message, thrown);
}
