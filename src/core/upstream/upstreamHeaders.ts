/** Conversion of headers between this node and an upstream. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Call } from '../../types/calls.js';
import type { RequestId } from '../../types/ids.js';
import { CALL_HEADERS } from '../../types/outcome.js';

/** Hop-by-hop headers (RFC 9110, section 7.6.1) and those that the HTTP client sets itself. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
const INTERNAL_PREFIX = 'lycheelane-';

/** Lists the headers that a `connection` header names; called once for each message. */
function listConnectionOptions(connection: string | undefined): ReadonlySet<string> {
  // `keep-alive`, the usual value, is already in the list of hop-by-hop headers.
  if (connection === undefined || connection === 'keep-alive') return HOP_BY_HOP;
  return new Set(connection.split(',').map((option) => option.trim().toLowerCase()));
}

/** Builds the request headers for the upstream: those of the caller and those of the call. */
export function buildRequestHeaders(call: Call, nowMs: number): IncomingHttpHeaders {
  const headers: IncomingHttpHeaders = {};
  const named = listConnectionOptions(call.headers.connection);
  for (const name of Object.keys(call.headers)) {
    const isInternal = name.startsWith(INTERNAL_PREFIX);
    // Node answers `expect` itself, and the client computes the length of the body.
    if (isInternal || name === 'expect' || name === 'content-length') continue;
    if (!HOP_BY_HOP.has(name) && !named.has(name)) headers[name] = call.headers[name];
  }
  headers[CALL_HEADERS.request] = call.requestId;
  headers[CALL_HEADERS.deadlineMs] = String(Math.max(1, Math.floor(call.deadlineMs - nowMs)));
  // The upstream copies this to its nested calls, which are one level deeper.
  headers[CALL_HEADERS.depth] = String(call.depth + 1);
  return headers;
}

/**
 * Filters the response headers of an upstream. Headers about the outcome are set by the
 * node; only the one that prevents retries by outer callers is forwarded.
 */
export function filterResponseHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const filtered: IncomingHttpHeaders = {};
  const named = listConnectionOptions(headers.connection);
  for (const name of Object.keys(headers)) {
    if (name.startsWith(INTERNAL_PREFIX) && name !== CALL_HEADERS.retry) continue;
    if (!HOP_BY_HOP.has(name) && !named.has(name)) filtered[name] = headers[name];
  }
  return filtered;
}

/** True for the statuses of load shedding, with or without proof that the request did not run. */
export function isShed(status: number): boolean {
  return status === 503 || status === 429;
}

/**
 * True when an upstream proves that it did not run the request. The proof must name the
 * request, since an upstream may forward the refusal of a nested call, or the response may belong
 * to another request on the connection.
 */
export function isNotRunProof(
  status: number,
  headers: IncomingHttpHeaders,
  requestId: RequestId,
): boolean {
  const isNamed = headers[CALL_HEADERS.request] === requestId;
  return isNamed && isShed(status) && headers[CALL_HEADERS.outcome] === 'not-run';
}

/** True when the response names a request other than the one that was sent. */
export function isMismatchedResponse(headers: IncomingHttpHeaders, requestId: RequestId): boolean {
  const answeredId = headers[CALL_HEADERS.request];
  return answeredId !== undefined && answeredId !== requestId;
}

/** True when a nested call has used up its retries. */
export function isRetryExhausted(headers: IncomingHttpHeaders): boolean {
  return headers[CALL_HEADERS.retry] === 'exhausted';
}
