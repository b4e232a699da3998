/** The operator port: status, nodes, explain, burn, metrics and health over HTTP. */
import { createHash, timingSafeEqual } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import { toStepError, type StepError } from '../errors.js';
import { listen } from '../utils/listen.js';
import type { Logger } from '../utils/logger.js';

const REQUEST_TIMEOUT_MS = 10_000;
const MAX_HEADER_BYTES = 8192;

/** An answer of the operator port. */
export interface OperatorAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Answers one path; receives the query. */
export type OperatorHandler = (query: URLSearchParams) => Promise<OperatorAnswer> | OperatorAnswer;

/** Parameters of the operator port. */
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

/** Builds a JSON answer. */
export function buildJsonAnswer(value: unknown, status = 200): OperatorAnswer {
  return { status, contentType: 'application/json', body: `${JSON.stringify(value)}\n` };
}

function hashText(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function hasToken(request: IncomingMessage, token: string): boolean {
  const given = request.headers.authorization ?? '';
  // Equal-length digests keep the comparison time independent of the given text.
  return timingSafeEqual(hashText(given), hashText(`Bearer ${token}`));
}

async function findAnswer(
  request: IncomingMessage,
  options: OperatorPortOptions,
): Promise<OperatorAnswer> {
  const url = new URL(request.url ?? '/', 'http://operator');
  if (options.token !== undefined && !hasToken(request, options.token)) {
    return buildJsonAnswer({ error: 'a bearer token is required' }, 401);
  }
  if (request.method !== 'GET') return buildJsonAnswer({ error: 'only GET is allowed' }, 405);
  const handler = Object.hasOwn(options.handlers, url.pathname)
    ? options.handlers[url.pathname]
    : undefined;
  if (handler === undefined) return buildJsonAnswer({ error: `no such path ${url.pathname}` }, 404);
  return handler(url.searchParams);
}

function sendAnswer(response: ServerResponse, answer: OperatorAnswer): void {
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
      findAnswer(request, options)
        .catch((thrown: unknown) => {
          const error = toStepError(thrown, 'operator.answer', request.socket.remoteAddress ?? '');
          const { step, peer, message } = error;
          logger.warn('operator-request-failed', { step, peer, reason: message });
          return buildJsonAnswer({ error: error.message, step: error.step }, 500);
        })
        .then((answer) => sendAnswer(response, answer))
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
