/** Headers between this node and an upstream. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Call } from '../../types/calls.js';
import type { RequestId } from '../../types/ids.js';
import { CALL_HEADERS } from '../../types/outcome.js';

/** RFC 9110, section 7.6.1, and what the client sets itself. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
const OWN_PREFIX = 'lycheelane-';

/** Lists the headers that a `connection` header names, read once for all headers of a message. */
function listNamed(connection: string | undefined): ReadonlySet<string> {
  // The usual value names a header that is hop-by-hop in any case.
  if (connection === undefined || connection === 'keep-alive') return HOP_BY_HOP;
  return new Set(connection.split(',').map((option) => option.trim().toLowerCase()));
}

/** Builds the request headers for the upstream: the caller's own, and the state of the call. */
export function buildRequestHeaders(call: Call, nowMs: number): IncomingHttpHeaders {
  const headers: IncomingHttpHeaders = {};
  const named = listNamed(call.headers.connection);
  for (const name of Object.keys(call.headers)) {
    const isOwn = name.startsWith(OWN_PREFIX);
    // Node answers `expect` itself, and the client computes the length of the body.
    if (isOwn || name === 'expect' || name === 'content-length') continue;
    if (!HOP_BY_HOP.has(name) && !named.has(name)) headers[name] = call.headers[name];
  }
  headers[CALL_HEADERS.request] = call.requestId;
  headers[CALL_HEADERS.deadlineMs] = String(Math.max(1, Math.floor(call.deadlineMs - nowMs)));
  // The upstream passes this on with its own calls, which have one more call above them.
  headers[CALL_HEADERS.depth] = String(call.depth + 1);
  return headers;
}

/**
 * Filters the response headers of an upstream. Statements about the outcome are the node's to
 * make; only the mark that stops outer retries is passed on.
 */
export function filterResponseHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const filtered: IncomingHttpHeaders = {};
  const named = listNamed(headers.connection);
  for (const name of Object.keys(headers)) {
    if (name.startsWith(OWN_PREFIX) && name !== CALL_HEADERS.retry) continue;
    if (!HOP_BY_HOP.has(name) && !named.has(name)) filtered[name] = headers[name];
  }
  return filtered;
}

/** True when an upstream sheds load, with or without proof that the request did not run. */
export function isShed(status: number): boolean {
  return status === 503 || status === 429;
}

/**
 * True when an upstream proves that it did not run the request. The proof names the request: an
 * upstream may pass on the refusal of a nested call, or the answer may have crossed with another.
 */
export function isNotRunProof(
  status: number,
  headers: IncomingHttpHeaders,
  requestId: RequestId,
): boolean {
  const isNamed = headers[CALL_HEADERS.request] === requestId;
  return isNamed && isShed(status) && headers[CALL_HEADERS.outcome] === 'not-run';
}

/** True when the response names another request than the one that was sent. */
export function isOtherAnswer(headers: IncomingHttpHeaders, requestId: RequestId): boolean {
  const answeredId = headers[CALL_HEADERS.request];
  return answeredId !== undefined && answeredId !== requestId;
}

/** True when an inner level already spent its retries. */
export function isRetryExhausted(headers: IncomingHttpHeaders): boolean {
  return headers[CALL_HEADERS.retry] === 'exhausted';
}
