/** Error type of the project; each error names the step that failed and the peer involved. */

/** Error kinds that calling code distinguishes. */
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

/**
 * An error with its kind, the step that failed and the peer involved; `peer` is an address, a node
 * id, a file name or `self`.
 */
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

export function buildError(
  kind: ErrorKind,
  step: string,
  peer: string,
  message: string,
  cause?: unknown,
): StepError {
  return new StepError(kind, step, peer, message, cause);
}

export function isStepError(value: unknown): value is StepError {
  return value instanceof StepError;
}

/** Converts a thrown value to a `StepError`; returns an existing `StepError` unchanged. */
export function toStepError(thrown: unknown, step: string, peer: string): StepError {
  if (isStepError(thrown)) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return buildError('internal', step, peer, message, thrown);
}
