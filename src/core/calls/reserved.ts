/** Serves the paths that the system keeps for itself: `POST /.lycheelane/token`. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { ok, type Result } from 'neverthrow';
import type { ConfigStore } from '../../types/interfaces.js';
import { writeFailure } from './answer.js';
import { createToken } from './callKey.js';
import { chooseNode, type EntryParts } from './entry.js';
import { refuse, type Refusal } from './refusal.js';
import { parseHost } from './requestHead.js';

/** Prefix of the reserved paths; no route matches below it. */
export const RESERVED_PREFIX = '/.lycheelane/';
const TOKEN_PATH = `${RESERVED_PREFIX}token`;

/** Parts that serve a reserved path. */
export interface ReservedParts extends EntryParts {
  readonly config: ConfigStore;
}

function buildToken(request: IncomingMessage, parts: ReservedParts): Result<string, Refusal> {
  const url = new URL(request.url ?? '/', 'http://localhost');
  if (url.pathname !== TOKEN_PATH) return refuse('no-route', 'unknown reserved path');
  if (request.method !== 'POST') return refuse('bad-request', 'a token is requested by POST', 405);
  if (parts.isLeaving()) return refuse('leaving', 'this node is stopping');
  const path = url.searchParams.get('path');
  const method = url.searchParams.get('method') ?? 'POST';
  if (!path?.startsWith('/')) return refuse('bad-request', 'parameter path is missing');
  const routing = parts.config.isReady() ? parts.config.getRouting() : undefined;
  if (!routing) return refuse('not-ready', 'no accepted configuration is installed');
  const [pathname = ''] = path.split('?', 1);
  const route = routing.matchRoute(parseHost(request.headers.host), pathname, method);
  if (!route) return refuse('no-route', `no route in version ${routing.version}`);
  const choice = chooseNode(route, parts);
  if (!choice) return refuse('no-instance', `no usable instance of ${route.service.name}`);
  const { record } = choice.candidate.view;
  return ok(createToken(record.nodeId, record.incarnation));
}

/** Answers a request below the reserved prefix. */
export function serveReserved(
  request: IncomingMessage,
  response: ServerResponse,
  parts: ReservedParts,
): void {
  request.resume();
  const token = buildToken(request, parts);
  if (token.isErr()) {
    writeFailure(response, token.error.result, undefined, token.error.status);
    return;
  }
  response.writeHead(200, {
    'content-type': 'text/plain; charset=utf-8',
    'content-length': Buffer.byteLength(token.value),
    'cache-control': 'no-store',
  });
  response.end(token.value);
}
