/** Reads the parts of a request head that the call path needs, with limits on each. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { ok, type Result } from 'neverthrow';
import type { CompiledRoute, RoutingState } from '../../types/routing.js';
import { brandText, type RouteName } from '../../types/ids.js';
import { CALL_HEADERS } from '../../types/outcome.js';
import { refuse, type Refusal } from './refusal.js';

/** Longest deadline a caller may state. */
const MAX_DEADLINE_MS = 3_600_000;
/** Twice the deepest chain of the design size; a deeper chain is taken for a routing loop. */
const MAX_DEPTH = 30;
const NUMBER = /^\d{1,10}$/;
const REQUEST_ID = /^[\w-]{8,64}$/;

const HOP_BY_HOP = new Set([
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
const CONTROL: ReadonlySet<string> = new Set([
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

/** The process that a forwarded call is meant for. */
export interface CallTarget {
  readonly nodeId: string;
  readonly incarnation: string;
}

/** Splits a request target into the path used for matching and its query parameters. */
export function parsePath(url: string): Result<string, Refusal> {
  if (!url.startsWith('/')) return refuse('bad-request', 'the request target is not a path');
  const query = url.indexOf('?');
  return ok(query < 0 ? url : url.slice(0, query));
}

/** Returns the host of a Host header without its port. */
export function parseHost(header: string | undefined): string {
  if (header === undefined) return '';
  const end = header.startsWith('[') ? header.indexOf(']') + 1 : header.indexOf(':');
  return (end <= 0 ? header : header.slice(0, end)).toLowerCase();
}

/** Returns the time budget of a call: the stated one, at most the route's. */
export function parseBudgetMs(
  headers: IncomingHttpHeaders,
  timeoutMs: number,
): Result<number, Refusal> {
  const text = headers[CALL_HEADERS.deadlineMs];
  if (text === undefined) return ok(timeoutMs);
  if (typeof text !== 'string' || !NUMBER.test(text) || Number(text) > MAX_DEADLINE_MS) {
    return refuse('bad-request', `${CALL_HEADERS.deadlineMs} is not a number of milliseconds`);
  }
  return ok(Math.min(Number(text), timeoutMs));
}

/** Returns the number of calls above this one; 0 without the header. */
export function parseDepth(headers: IncomingHttpHeaders): Result<number, Refusal> {
  const text = headers[CALL_HEADERS.depth];
  if (text === undefined) return ok(0);
  if (typeof text !== 'string' || !NUMBER.test(text)) {
    return refuse('bad-request', `${CALL_HEADERS.depth} is not a number`);
  }
  const depth = Number(text);
  if (depth > MAX_DEPTH) {
    return refuse('bad-request', `the call chain is deeper than ${MAX_DEPTH}`);
  }
  return ok(depth);
}

/** Returns the process named by a forwarded call, or undefined on a call from outside. */
export function parseTarget(headers: IncomingHttpHeaders): Result<CallTarget | undefined, Refusal> {
  const text = headers[CALL_HEADERS.target];
  if (text === undefined) return ok(undefined);
  const slash = typeof text === 'string' ? text.lastIndexOf('/') : -1;
  if (typeof text !== 'string' || slash <= 0) {
    return refuse('bad-request', `${CALL_HEADERS.target} is not <nodeId>/<incarnation>`);
  }
  return ok({ nodeId: text.slice(0, slash), incarnation: text.slice(slash + 1) });
}

/** Returns the request id that a forwarding node sent, if it has the expected form. */
export function getRequestId(headers: IncomingHttpHeaders): string | undefined {
  const text = headers[CALL_HEADERS.request];
  return typeof text === 'string' && REQUEST_ID.test(text) ? text : undefined;
}

/**
 * Finds the route of a call. A forwarded call names it, so that two nodes whose versions differ
 * for a moment do not run one call under two routes.
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

/** Copies the end-to-end headers of a message, without the control headers of the system. */
export function listEndToEndHeaders(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const { connection } = headers;
  const named =
    connection === undefined || connection === 'keep-alive' || connection === 'close'
      ? undefined
      : new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
  const kept: IncomingHttpHeaders = {};
  for (const name of Object.keys(headers)) {
    if (HOP_BY_HOP.has(name) || CONTROL.has(name) || named?.has(name)) continue;
    kept[name] = headers[name];
  }
  return kept;
}
