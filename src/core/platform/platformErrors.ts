/** Mapping of failed platform requests to error kinds. */
import { errors } from 'undici';
import { buildError, isStepError, type StepError } from '../../errors.js';

/** Context of a request, for its errors. */
export interface RequestContext {
  readonly step: string;
  readonly peer: string;
  readonly isWrite: boolean;
}

/** Error codes of failures before any byte of the request was sent. */
const NOT_SENT_ERROR_CODES: readonly unknown[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Part of an error response that is quoted in the message. */
const MAX_QUOTED_LENGTH = 200;

/** Returns the error for a status outside 200 to 299, or undefined. */
export function buildStatusError(
  status: number,
  text: string,
  { step, peer, isWrite }: RequestContext,
): StepError | undefined {
  if (status >= 200 && status < 300) return undefined;
  const message = `status ${status}: ${text.slice(0, MAX_QUOTED_LENGTH)}`;
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
      // After any other server error it is unknown whether a write was stored.
      if (status < 500) return buildError('refused', step, peer, message);
      return buildError(isWrite ? 'answer-lost' : 'unavailable', step, peer, message);
  }
}

/** Converts a connection failure, a time-out or an exceeded size limit to an error. */
export function toTransportError(thrown: unknown, context: RequestContext): StepError {
  const { step, peer, isWrite } = context;
  const { code, name, message } = thrown as Error & { code?: unknown };
  if (NOT_SENT_ERROR_CODES.includes(code)) {
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
