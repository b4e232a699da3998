/** Serves the requests of callers on this host and of the local instance. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { isAmount, MAX_DURATION_MS } from '../utils/boundedValues.js';
import type { LogFields } from '../utils/formatEvent.js';
import type { AcceptMonitor } from './acceptMonitor.js';
import type { Identity } from './accounts/authorization.js';
import type { CallEntry, EntryRefusalReason } from './accounts/callEntry.js';
import { isAtDeadline, type CallRouter } from './callRouter.js';
import type { CallOutcome, CallTrace, PendingCall } from './pendingCall.js';
import type { EventLog } from './eventLog.js';
import { filterHeaders, getHeader, type HeaderNames } from './headers.js';
import type { LoopMonitor } from './loopMonitor.js';
import type { MeshMetrics } from './meshMetrics.js';
import { formatLabels } from './metricSamples.js';
import type { CallerLimits, HttpResponse, MeshConfig, MeshRoute, MeshSettings } from './model.js';
import { OpenRequests } from './openRequests.js';
import { NODE_HEADERS } from './peerMessages.js';
import { discardBody, readBody } from './readBody.js';
import { RequestAges } from './requestAges.js';
import type { HeldRequestBody, RequestMemory } from './requestMemory.js';
import type { Cancellation } from './signal.js';
import { MAX_HEAD_BYTES, type ClientConnections } from './memory/clientConnections.js';
import { matchRoute } from './targets.js';

/** Interval at which heads and new connections are checked for their timeout, in milliseconds. */
const HEAD_CHECK_MS = 500;

/** Bounds of the `Retry-After` header, in milliseconds. */
const RETRY_AFTER_BOUNDS_MS = { min: 50, max: 2000 };

/** Retry time while this process starts or stops, in milliseconds. */
const NOT_SERVING_RETRY_MS = 500;

/** Part of a refused body that is dropped where no configuration limits bodies, in bytes. */
const MAX_DROPPED_BYTES = 64 * 1024 * 1024;

/** Retry time of a request whose body was evicted for others, in milliseconds. */
const NO_MEMORY_RETRY_MS = 1000;

export interface CallPortOptions {
  readonly getSettings: () => MeshSettings;
  readonly getConfig: () => MeshConfig | undefined;
  readonly router: CallRouter;
  readonly entry: CallEntry;
  readonly loop: Pick<LoopMonitor, 'waitForArrivals'>;
  readonly accepts: AcceptMonitor;
  readonly memory: RequestMemory;
  readonly clients: ClientConnections;
  readonly names: HeaderNames;
  readonly log: EventLog;
  readonly metrics: MeshMetrics;
}

/** The port, with the operations for its configuration and graceful shutdown. */
export interface CallPort {
  readonly server: Server;
  /** Returns the number of requests without a response. */
  countOpen(): number;
  /** Closes each connection after its next response. */
  closeAfterResponses(): void;
  /** Refuses all new requests. */
  refuseNew(): void;
  /** Cancels the requests without a response, which get one at once, and returns their number. */
  cancelOpen(): number;
  /** Applies the limits of a configuration version; `routes` are the names of its routes. */
  applyConfig(limits: CallerLimits, routes: ReadonlySet<string>): void;
}

function countBytes(headers: readonly string[]): number {
  let bytes = 0;
  for (const text of headers) bytes += text.length + 2;
  return bytes;
}

function writeResponse(
  response: ServerResponse,
  source: HttpResponse,
  isLast: boolean,
  clients: ClientConnections,
): void {
  const headers = filterHeaders(source.headers);
  if (isLast) headers.push('Connection', 'close');
  const hasBody = source.status !== 204 && source.status !== 304;
  if (hasBody) headers.push('Content-Length', String(source.body.length));
  response.writeHead(source.status, headers);
  clients.send(response, source.body);
}

/** Returns the route as it applies to an account, whose priority takes precedence. */
function applyPriority(route: MeshRoute, priority: number | undefined): MeshRoute {
  return priority === undefined || priority === route.priority ? route : { ...route, priority };
}

/** Responds with a status of this node; `retryAfterMs` is set only if no instance ran the call. */
function refuse(
  response: ServerResponse,
  status: number,
  isLast: boolean,
  requestId: string,
  names: HeaderNames,
  retryAfterMs?: number,
): void {
  const headers: string[] = ['Content-Length', '0'];
  if (requestId !== '') headers.push(names.requestId, requestId);
  if (retryAfterMs !== undefined) {
    const boundedMs = Math.min(
      RETRY_AFTER_BOUNDS_MS.max,
      Math.max(RETRY_AFTER_BOUNDS_MS.min, retryAfterMs),
    );
    headers.push('Retry-After', (boundedMs / 1000).toFixed(3));
  }
  if (isLast || status === 413 || status === 431) headers.push('Connection', 'close');
  response.writeHead(status, headers);
  response.end();
}

/** Returns the fields of the log line of a call that ends after `elapsedMs`. */
function buildCallFields(
  call: PendingCall,
  outcome: CallOutcome,
  elapsedMs: number,
  configVersion: MeshConfig['version'] | undefined,
): LogFields {
  const { sends, acceptWaitMs, instance, loadAgeMs, sendTrace, timing } = call.trace;
  return {
    request: call.requestId,
    route: call.route.name,
    account: call.identity?.account.name,
    outcome: outcome.kind,
    reason: outcome.kind === 'answered' ? outcome.response.status : outcome.reason,
    ms: Math.round(elapsedMs),
    acceptMs: Math.round(acceptWaitMs) || undefined,
    leftMs: Math.round(call.deadlineAtMs - performance.now()),
    config: configVersion,
    cancelled: call.cancellation.isCancelled() || undefined,
    sends,
    instance,
    loadAgeMs: loadAgeMs === undefined ? undefined : Math.round(loadAgeMs),
    connectMs: sendTrace?.connectMs === undefined ? undefined : Math.round(sendTrace.connectMs),
    unsentBytes: sendTrace?.unsentBytes || undefined,
    queueMs: timing && Math.round(timing.queueMs),
    runMs: timing && Math.round(timing.runMs),
    transitMs: timing?.transitMs,
  };
}

/** Returns the trace of a call before its first attempt. */
function createTrace(acceptWaitMs: number): CallTrace {
  return {
    sends: 0,
    acceptWaitMs,
    instance: undefined,
    loadAgeMs: undefined,
    sendTrace: undefined,
    timing: undefined,
  };
}

/** Creates the port; the caller binds its server. */
export function createCallPort(options: CallPortOptions): CallPort {
  const { router, names, log, metrics } = options;
  const ages = new RequestAges();
  const openRequests = new OpenRequests();
  let isClosing = false;
  let isRefusing = false;
  const strippedRequestHeaders: ReadonlySet<string> = new Set([
    ...[names.deadline, names.targetInstance, names.callerService, names.accountName].map((name) =>
      name.toLowerCase(),
    ),
    ...NODE_HEADERS,
  ]);
  /** Without accounts, a header of this name is one of the application. */
  const strippedWithAccounts: ReadonlySet<string> = new Set([
    ...strippedRequestHeaders,
    names.accountKey.toLowerCase(),
  ]);

  /** True when the connection closes after a response; not before the requests behind it. */
  const isLastResponse = ({ req }: ServerResponse) =>
    isClosing && openRequests.countOn(req.socket) <= 1;

  const writeOutcome = (response: ServerResponse, call: PendingCall, outcome: CallOutcome) => {
    const elapsedMs = performance.now() - call.startedAtMs;
    const fields = buildCallFields(call, outcome, elapsedMs, options.getConfig()?.version);
    log.write('info', 'call-ended', fields);
    metrics.count('calls', `outcome="${outcome.kind}"`);
    if (response.destroyed || response.req.socket.destroyed) return;
    const isLast = isLastResponse(response);
    switch (outcome.kind) {
      case 'answered':
        metrics.recordLatency('call', elapsedMs);
        writeResponse(response, outcome.response, isLast, options.clients);
        break;
      case 'notRun':
        refuse(response, 503, isLast, call.requestId, names, outcome.retryAfterMs);
        break;
      case 'unknown':
        refuse(response, isAtDeadline(call) ? 504 : 502, isLast, call.requestId, names);
        break;
      default:
        throw new Error(`unknown outcome ${JSON.stringify(outcome satisfies never)}`);
    }
  };

  /** Returns the headers of a request as they go to an instance. */
  const buildHeaders = (
    rawHeaders: readonly string[],
    { accounts = [] }: MeshConfig,
    identity: Identity | undefined,
  ): string[] => {
    const stripped = accounts.length > 0 ? strippedWithAccounts : strippedRequestHeaders;
    const headers = filterHeaders(rawHeaders, stripped);
    headers.push(names.callerService, options.getSettings().service);
    if (identity) headers.push(names.accountName, identity.account.name);
    return headers;
  };

  const serve = async (
    message: IncomingMessage,
    response: ServerResponse,
    cancellation: Cancellation,
    held: HeldRequestBody,
  ): Promise<void> => {
    const startedAtMs = performance.now();
    const acceptWaitMs = options.accepts.takeWaitMs(message.socket);
    const { rawHeaders } = message;
    const requestId = getHeader(rawHeaders, names.requestId) ?? '';
    const config = options.getConfig();
    const writeRefusal = (status: number, retryAfterMs?: number, reason?: EntryRefusalReason) => {
      const fields = { request: requestId, status, reason, config: config?.version };
      log.write('info', 'call-refused', fields);
      const labels = { status: String(status), ...(reason && { reason }) };
      metrics.count('refusals', formatLabels(labels));
      discardBody(message, config?.limits.maxBodyBytes ?? MAX_DROPPED_BYTES);
      refuse(response, status, isLastResponse(response), requestId, names, retryAfterMs);
    };
    if (!config || isRefusing) {
      writeRefusal(503, NOT_SERVING_RETRY_MS);
      return;
    }
    if (countBytes(rawHeaders) > config.limits.maxHeaderBytes) {
      writeRefusal(431);
      return;
    }
    const path = message.url ?? '/';
    const matched = matchRoute(config, message.headers.host, path);
    if (!matched) {
      writeRefusal(404);
      return;
    }
    const key = getHeader(rawHeaders, names.accountKey);
    const decision = options.entry.admit(config, matched, key, requestId);
    if (decision.kind === 'refused') {
      writeRefusal(decision.status, decision.retryAfterMs, decision.reason);
      return;
    }
    const { identity } = decision;
    const route = applyPriority(matched, identity?.account.priority);
    const body = await readBody(message, config.limits.maxBodyBytes, held);
    if (typeof body === 'string') {
      if (body === 'too-large') writeRefusal(413);
      if (body === 'no-memory') writeRefusal(503, NO_MEMORY_RETRY_MS);
      return;
    }
    const refusal = await options.entry.takeToken(identity, cancellation);
    if (refusal) {
      writeRefusal(refusal.status, refusal.retryAfterMs, refusal.reason);
      return;
    }
    const headers = buildHeaders(rawHeaders, config, identity);
    const receivedDeadlineMs = Number(getHeader(rawHeaders, names.deadline));
    const hasDeadline = isAmount(receivedDeadlineMs, MAX_DURATION_MS) && receivedDeadlineMs > 0;
    const remainingMs = hasDeadline ? receivedDeadlineMs : route.timeoutMs;
    const ageMs = hasDeadline ? ages.record(route.name, receivedDeadlineMs) : 0;
    const call: PendingCall = {
      route,
      request: { method: message.method ?? 'GET', path, headers, body },
      requestId,
      startedAtMs,
      deadlineAtMs: startedAtMs + Math.min(remainingMs, route.timeoutMs),
      objectiveAtMs: startedAtMs + route.objectiveMs - ageMs,
      cancellation,
      identity,
      trace: createTrace(acceptWaitMs),
    };
    await options.loop.waitForArrivals(acceptWaitMs);
    const outcome = await router.run(call);
    if (outcome.kind === 'notRun') options.entry.returnToken(identity);
    writeOutcome(response, call, outcome);
  };

  const server = createServer(
    {
      keepAlive: true,
      noDelay: true,
      maxHeaderSize: MAX_HEAD_BYTES,
      connectionsCheckingInterval: HEAD_CHECK_MS,
    },
    (message, response) => {
      if (!options.clients.admit(message, response)) return;
      const held = options.memory.open();
      const served = serve(message, response, openRequests.add(message.socket, response), held);
      void served.finally(() => held.release());
    },
  );
  options.accepts.observe(server);
  options.clients.observe(server);
  server.requestTimeout = 0;
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    log.write('warn', 'malformed-request', { step: 'call.read', reason: error.code });
    // With requests still open, the caller would assign this response to one of them.
    if (socket.writable && openRequests.countOn(socket) === 0) {
      const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Too Large' : '400 Bad Request';
      socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    } else {
      socket.destroy();
    }
  });

  return {
    server,
    countOpen: () => openRequests.count(),
    closeAfterResponses() {
      isClosing = true;
    },
    refuseNew() {
      isRefusing = true;
    },
    cancelOpen: () => openRequests.cancelAll(),
    applyConfig(limits, routes) {
      ages.evictRoutes(routes);
      server.keepAliveTimeout = limits.idleTimeoutMs;
      server.headersTimeout = limits.headerTimeoutMs;
    },
  };
}
