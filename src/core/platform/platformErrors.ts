/** Error kinds of platform calls: what is known about a call that did not succeed. */
import { errors } from 'undici';
import { buildError, isStepError, type StepError } from '../../errors.js';

/** The call that failed. */
export interface CallPlace {
  readonly step: string;
  readonly peer: string;
  readonly isWrite: boolean;
}

/** Codes of failures before a byte of the request was sent. */
const NOT_SENT_CODES: readonly unknown[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Returns the error of a status outside 200 to 299, or undefined. */
export function buildStatusError(
  status: number,
  text: string,
  { step, peer, isWrite }: CallPlace,
): StepError | undefined {
  if (status >= 200 && status < 300) return undefined;
  const message = `status ${status}: ${text.slice(0, 200)}`;
  switch (status) {
    case 404:
      return buildError('not-found', step, peer, message);
    case 410:
      return buildError('stale', step, peer, message);
    case 412:
      return buildError('conflict', step, peer, message);
    case 413:
      return buildError('too-large', step, peer, message);
    case 429:
    case 503:
      return buildError('unavailable', step, peer, message);
    default:
      // Other failures of the server do not say whether a write was stored before them.
      if (status < 500) return buildError('refused', step, peer, message);
      return buildError(isWrite ? 'answer-lost' : 'unavailable', step, peer, message);
  }
}

/** Converts a failure of the connection or of the limits. */
export function toTransportError(thrown: unknown, place: CallPlace): StepError {
  const { step, peer, isWrite } = place;
  const { code, name, message } = thrown as Error & { code?: unknown };
  if (NOT_SENT_CODES.includes(code)) {
    return buildError('unavailable', step, peer, `cannot connect: ${message}`, thrown);
  }
  if (isWrite) {
    return buildError('answer-lost', step, peer, `the response was lost: ${message}`, thrown);
  }
  if (isStepError(thrown)) return buildError(thrown.kind, step, peer, message, thrown);
  const isTimeout =
    name === 'TimeoutError' ||
    thrown instanceof errors.HeadersTimeoutError ||
    thrown instanceof errors.BodyTimeoutError;
  return buildError(isTimeout ? 'timeout' : 'unavailable', step, peer, message, thrown);
}
