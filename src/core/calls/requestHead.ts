/** Parses the parts of a request head that the call path uses, and enforces their limits. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { ok, type Result } from 'neverthrow';
import type { CompiledRoute, RoutingState } from '../../types/routing.js';
import { brandText, type RouteName } from '../../types/ids.js';
import { CALL_HEADERS } from '../../types/outcome.js';
import { refuse, type Refusal } from './refusal.js';

/** Maximum deadline that a caller may request. */
const MAX_DEADLINE_MS = 3_600_000;
/** Twice the maximum depth of the design size; a deeper chain is treated as a routing loop. */
const MAX_DEPTH = 30;
const NUMBER_PATTERN = /^\d{1,10}$/;
const REQUEST_ID_PATTERN = /^[\w-]{8,64}$/;

const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);
const CONTROL_HEADERS: ReadonlySet<string> = new Set([
  CALL_HEADERS.outcome,
  CALL_HEADERS.reason,
  CALL_HEADERS.request,
  CALL_HEADERS.route,
  CALL_HEADERS.service,
  CALL_HEADERS.deadlineMs,
  CALL_HEADERS.target,
  CALL_HEADERS.load,
  CALL_HEADERS.depth,
  CALL_HEADERS.version,
]);

/** The process to which a forwarded call is addressed. */
export interface CallTarget {
  readonly nodeId: string;
  readonly incarnation: string;
}

/** Returns the path of a request target, without its query. */
export function parsePath(url: string): Result<string, Refusal> {
  if (!url.startsWith('/')) return refuse('bad-request', 'the request target is not a path');
  const query = url.indexOf('?');
  return ok(query < 0 ? url : url.slice(0, query));
}

/** Returns the host of a Host header in lower case, without its port. */
export function parseHost(header: string | undefined): string {
  if (header === undefined) return '';
  const end = header.startsWith('[') ? header.indexOf(']') + 1 : header.indexOf(':');
  return (end <= 0 ? header : header.slice(0, end)).toLowerCase();
}

/** Returns the time budget of a call: that of its header, limited by the timeout of the route. */
export function parseBudgetMs(
  headers: IncomingHttpHeaders,
  timeoutMs: number,
): Result<number, Refusal> {
  const text = headers[CALL_HEADERS.deadlineMs];
  if (text === undefined) return ok(timeoutMs);
  if (typeof text !== 'string' || !NUMBER_PATTERN.test(text) || Number(text) > MAX_DEADLINE_MS) {
    return refuse('bad-request', `${CALL_HEADERS.deadlineMs} is not a number of milliseconds`);
  }
  return ok(Math.min(Number(text), timeoutMs));
}

/** Returns the number of ancestors in the chain of nested calls; 0 without the header. */
export function parseDepth(headers: IncomingHttpHeaders): Result<number, Refusal> {
  const text = headers[CALL_HEADERS.depth];
  if (text === undefined) return ok(0);
  if (typeof text !== 'string' || !NUMBER_PATTERN.test(text)) {
    return refuse('bad-request', `${CALL_HEADERS.depth} is not a number`);
  }
  const depth = Number(text);
  if (depth > MAX_DEPTH) {
    return refuse('bad-request', `the call chain is deeper than ${MAX_DEPTH}`);
  }
  return ok(depth);
}

/** Returns the target process of a forwarded call, or undefined if the call is not forwarded. */
export function parseTarget(headers: IncomingHttpHeaders): Result<CallTarget | undefined, Refusal> {
  const text = headers[CALL_HEADERS.target];
  if (text === undefined) return ok(undefined);
  const slash = typeof text === 'string' ? text.lastIndexOf('/') : -1;
  if (typeof text !== 'string' || slash <= 0) {
    return refuse('bad-request', `${CALL_HEADERS.target} is not <nodeId>/<incarnation>`);
  }
  return ok({ nodeId: text.slice(0, slash), incarnation: text.slice(slash + 1) });
}

/** Returns the request id sent by a forwarding node, or undefined if it is invalid. */
export function getRequestId(headers: IncomingHttpHeaders): string | undefined {
  const text = headers[CALL_HEADERS.request];
  return typeof text === 'string' && REQUEST_ID_PATTERN.test(text) ? text : undefined;
}

/**
 * Finds the route of a call. A forwarded call names its route, so that two nodes with temporarily
 * different configuration versions do not apply different routes to one call.
 */
export function findRoute(
  request: IncomingMessage,
  path: string,
  routing: RoutingState,
  isForwarded: boolean,
): Result<CompiledRoute, Refusal> {
  const name = isForwarded ? request.headers[CALL_HEADERS.route] : undefined;
  const route =
    typeof name === 'string'
      ? routing.routes.get(brandText<RouteName>(name))
      : routing.matchRoute(parseHost(request.headers.host), path, request.method ?? 'GET');
  if (!route) return refuse('no-route', `no route in version ${routing.version}`);
  return ok(route);
}

/** Copies the end-to-end headers of a message, without the control headers of the mesh. */
export function copyEndToEndHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const { connection } = headers;
  const connectionOptions =
    connection === undefined || connection === 'keep-alive' || connection === 'close'
      ? undefined
      : new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
  const endToEnd: IncomingHttpHeaders = {};
  for (const name of Object.keys(headers)) {
    if (HOP_BY_HOP_HEADERS.has(name) || CONTROL_HEADERS.has(name) || connectionOptions?.has(name)) {
      continue;
    }
    endToEnd[name] = headers[name];
  }
  return endToEnd;
}
