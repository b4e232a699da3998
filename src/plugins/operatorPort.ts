/** HTTP port for operators: status, nodes, route explanation, burn rates, metrics and health. */
import { createHash, timingSafeEqual } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import { toStepError, type StepError } from '../errors.js';
import { listen } from '../utils/listen.js';
import type { Logger } from '../utils/logger.js';

const REQUEST_TIMEOUT_MS = 10_000;
const MAX_HEADER_BYTES = 8192;

/** A response of the operator port. */
export interface OperatorResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Handles the requests of one path; receives the query parameters. */
export type OperatorHandler = (
  query: URLSearchParams,
) => Promise<OperatorResponse> | OperatorResponse;

/** Options of the operator port. */
export interface OperatorPortOptions {
  readonly host: string;
  readonly port: number;
  /** Bearer token; undefined allows every request. */
  readonly token: string | undefined;
  /** Handlers by path. */
  readonly handlers: Readonly<Record<string, OperatorHandler>>;
  readonly logger: Logger;
}

/** A listening operator port. */
export interface OperatorPort {
  readonly port: number;
  stop(): Promise<void>;
}

export function buildJsonResponse(value: unknown, status = 200): OperatorResponse {
  return { status, contentType: 'application/json', body: `${JSON.stringify(value)}\n` };
}

function hashText(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function hasToken(request: IncomingMessage, token: string): boolean {
  const authorization = request.headers.authorization ?? '';
  // Comparing digests of equal length keeps the comparison time independent of the header.
  return timingSafeEqual(hashText(authorization), hashText(`Bearer ${token}`));
}

async function handleRequest(
  request: IncomingMessage,
  options: OperatorPortOptions,
): Promise<OperatorResponse> {
  const url = new URL(request.url ?? '/', 'http://operator');
  if (options.token !== undefined && !hasToken(request, options.token)) {
    return buildJsonResponse({ error: 'a bearer token is required' }, 401);
  }
  if (request.method !== 'GET') return buildJsonResponse({ error: 'only GET is allowed' }, 405);
  const handler = Object.hasOwn(options.handlers, url.pathname)
    ? options.handlers[url.pathname]
    : undefined;
  if (handler === undefined) {
    return buildJsonResponse({ error: `no such path ${url.pathname}` }, 404);
  }
  return handler(url.searchParams);
}

function sendResponse(response: ServerResponse, answer: OperatorResponse): void {
  response.writeHead(answer.status, {
    'content-type': answer.contentType,
    'content-length': Buffer.byteLength(answer.body),
  });
  response.end(answer.body);
}

/** Starts the operator port. Errors: kind `unavailable` when the address cannot be bound. */
export async function startOperatorPort(
  options: OperatorPortOptions,
): Promise<Result<OperatorPort, StepError>> {
  const { host, port, logger } = options;
  const server = createServer(
    { requestTimeout: REQUEST_TIMEOUT_MS, maxHeaderSize: MAX_HEADER_BYTES },
    (request, response) => {
      handleRequest(request, options)
        .catch((thrown: unknown) => {
          const error = toStepError(thrown, 'operator.answer', request.socket.remoteAddress ?? '');
          const { step, peer, message } = error;
          logger.warn('operator-request-failed', { step, peer, reason: message });
          return buildJsonResponse({ error: error.message, step: error.step }, 500);
        })
        .then((answer) => sendResponse(response, answer))
        .catch(() => response.destroy());
    },
  );
  const bound = await listen(server, { host, port, step: 'operator.listen', logger });
  return bound.map((boundPort) => ({
    port: boundPort,
    stop: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  }));
}
