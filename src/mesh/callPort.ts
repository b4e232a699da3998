/** Serves the requests of the callers on this host and of the local instance. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { isAtDeadline, type CallRouter } from './callRouter.js';
import type { CallEnd, CallWork } from './callWork.js';
import type { EventLog } from './eventLog.js';
import { filterHeaders, getHeader, type HeaderNames } from './headers.js';
import type { MeshMetrics } from './meshMetrics.js';
import type { CallerLimits, HttpResponse, MeshConfig, MeshSettings } from './model.js';
import { NODE_HEADERS } from './peerMessages.js';
import { readBody } from './readBody.js';
import { RequestAges } from './requestAges.js';
import { Cancellation } from './signal.js';
import { matchRoute } from './targets.js';

/** Largest head that the HTTP library reads, in bytes; the configured limit is lower. */
const MAX_HEAD_BYTES = 128 * 1024;

/** Bounds of the retry time that callers are told, in milliseconds. */
const RETRY_BOUNDS_MS = { min: 50, max: 2000 };

/** Retry time while this process starts or ends, in milliseconds. */
const STARTING_RETRY_MS = 500;

/** What the port needs. */
export interface CallPortOptions {
  readonly getSettings: () => MeshSettings;
  readonly getConfig: () => MeshConfig | undefined;
  readonly router: CallRouter;
  readonly names: HeaderNames;
  readonly log: EventLog;
  readonly metrics: MeshMetrics;
}

/** The port with the parts that its stop needs. */
export interface CallPort {
  readonly server: Server;
  /** Requests without a response. */
  countOpen(): number;
  /** From now on each response closes its connection. */
  closeAfterResponses(): void;
  /** From now on new requests are refused. */
  refuseNew(): void;
  /** Gives up the requests without a response, which get one at once, and returns their number. */
  cancelOpen(): number;
  /** Applies the limits of a version, whose routes are `routes`. */
  applyConfig(limits: CallerLimits, routes: ReadonlySet<string>): void;
}

function countBytes(headers: readonly string[]): number {
  let bytes = 0;
  for (const text of headers) bytes += text.length + 2;
  return bytes;
}

function writeResponse(response: ServerResponse, answer: HttpResponse, isClosing: boolean): void {
  const headers = filterHeaders(answer.headers);
  if (isClosing) headers.push('Connection', 'close');
  const hasBody = answer.status !== 204 && answer.status !== 304;
  if (hasBody) headers.push('Content-Length', String(answer.body.length));
  response.writeHead(answer.status, headers);
  response.end(answer.body);
}

/** Answers with a status of this node's own. A retry time goes only with "not run". */
function refuse(
  response: ServerResponse,
  status: number,
  isClosing: boolean,
  requestId: string,
  names: HeaderNames,
  retryAfterMs?: number,
): void {
  const headers: string[] = ['Content-Length', '0'];
  if (requestId !== '') headers.push(names.requestId, requestId);
  if (retryAfterMs !== undefined) {
    const boundedMs = Math.min(RETRY_BOUNDS_MS.max, Math.max(RETRY_BOUNDS_MS.min, retryAfterMs));
    headers.push('Retry-After', (boundedMs / 1000).toFixed(3));
  }
  if (isClosing || status === 413 || status === 431) headers.push('Connection', 'close');
  response.writeHead(status, headers);
  response.end();
}

/** Creates the port; the caller binds its server. */
export function createCallPort(options: CallPortOptions): CallPort {
  const { router, names, log, metrics } = options;
  let open = 0;
  const ages = new RequestAges();
  const cancellations = new Set<Cancellation>();
  const openBySocket = new WeakMap<Socket, number>();
  const countOpenOn = (socket: Socket) => openBySocket.get(socket) ?? 0;
  let isClosing = false;
  let isRefusing = false;
  const removedFromRequests: ReadonlySet<string> = new Set([
    ...[names.deadline, names.targetInstance, names.callerService].map((name) =>
      name.toLowerCase(),
    ),
    ...NODE_HEADERS,
  ]);

  const writeEnd = (response: ServerResponse, work: CallWork, end: CallEnd) => {
    const passedMs = performance.now() - work.startedAtMs;
    const fields = {
      request: work.requestId,
      route: work.route.name,
      outcome: end.kind,
      reason: end.kind === 'answered' ? end.response.status : end.reason,
      ms: Math.round(passedMs),
      leftMs: Math.round(work.deadlineAtMs - performance.now()),
      config: options.getConfig()?.version,
      cancelled: work.cancellation.isCancelled() || undefined,
    };
    log.write('info', 'call-ended', fields);
    metrics.count('calls', `outcome="${end.kind}"`);
    if (response.destroyed) return;
    switch (end.kind) {
      case 'answered':
        metrics.recordLatency('call', passedMs);
        writeResponse(response, end.response, isClosing);
        break;
      case 'notRun':
        refuse(response, 503, isClosing, work.requestId, names, end.retryAfterMs);
        break;
      case 'unknown':
        refuse(response, isAtDeadline(work) ? 504 : 502, isClosing, work.requestId, names);
        break;
      default:
        throw new Error(`unknown end ${JSON.stringify(end satisfies never)}`);
    }
  };

  const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const startedAtMs = performance.now();
    const { rawHeaders } = message;
    const requestId = getHeader(rawHeaders, names.requestId) ?? '';
    const config = options.getConfig();
    const writeOwn = (status: number, retryAfterMs?: number) => {
      log.write('info', 'call-refused', { request: requestId, status, config: config?.version });
      metrics.count('refusals', `status="${status}"`);
      message.resume();
      refuse(response, status, isClosing, requestId, names, retryAfterMs);
    };
    if (!config || isRefusing) {
      writeOwn(503, STARTING_RETRY_MS);
      return;
    }
    if (countBytes(rawHeaders) > config.limits.maxHeaderBytes) {
      writeOwn(431);
      return;
    }
    const path = message.url ?? '/';
    const route = matchRoute(config, message.headers.host, path);
    if (!route) {
      writeOwn(404);
      return;
    }
    const body = await readBody(message, config.limits.maxBodyBytes);
    if (typeof body === 'string') {
      if (body === 'too-large') writeOwn(413);
      return;
    }
    const cancellation = new Cancellation();
    response.once('close', () => {
      if (!response.writableFinished) cancellation.cancel();
    });
    const headers = filterHeaders(rawHeaders, removedFromRequests);
    headers.push(names.callerService, options.getSettings().service);
    const given = Number(getHeader(rawHeaders, names.deadline));
    const isStated = Number.isFinite(given) && given > 0;
    const leftMs = isStated ? given : route.timeoutMs;
    const ageMs = isStated ? ages.record(route.name, given) : 0;
    const work: CallWork = {
      route,
      request: { method: message.method ?? 'GET', path, headers, body },
      requestId,
      startedAtMs,
      deadlineAtMs: startedAtMs + Math.min(leftMs, route.timeoutMs),
      objectiveAtMs: startedAtMs + route.objectiveMs - ageMs,
      cancellation,
    };
    cancellations.add(cancellation);
    const end = await router.run(work);
    cancellations.delete(cancellation);
    writeEnd(response, work, end);
  };

  const server = createServer(
    { keepAlive: true, noDelay: true, maxHeaderSize: MAX_HEAD_BYTES },
    (message, response) => {
      const { socket } = message;
      open += 1;
      openBySocket.set(socket, countOpenOn(socket) + 1);
      response.once('close', () => {
        open -= 1;
        openBySocket.set(socket, countOpenOn(socket) - 1);
      });
      void serve(message, response);
    },
  );
  server.requestTimeout = 0;
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    log.write('warn', 'malformed-request', { step: 'call.read', reason: error.code });
    // Behind requests without a response it would be taken for the response to one of them.
    if (socket.writable && countOpenOn(socket) === 0) {
      const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Too Large' : '400 Bad Request';
      socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    } else {
      socket.destroy();
    }
  });

  return {
    server,
    countOpen: () => open,
    closeAfterResponses() {
      isClosing = true;
    },
    refuseNew() {
      isRefusing = true;
    },
    cancelOpen() {
      for (const cancellation of cancellations) cancellation.cancel();
      return cancellations.size;
    },
    applyConfig(limits, routes) {
      ages.evictRoutes(routes);
      server.keepAliveTimeout = limits.idleTimeoutMs;
      server.headersTimeout = limits.headerTimeoutMs;
    },
  };
}
