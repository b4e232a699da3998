/** Sends requests to the local instance and classifies its responses. */
import type { InstanceId } from '../types/ids.js';
import type { PeerAddress } from '../types/interfaces.js';
import { getHeader, isConnectionOption, type HeaderNames } from './headers.js';
import type { HttpConnection } from './httpConnection.js';
import { ConnectionPool } from './connectionPool.js';
import { readInstanceNotice, type InstanceNotice } from './instanceNotice.js';
import type { CallMetadata, HttpRequest, HttpResponse, RunResult } from './model.js';
import type { ResponseMemory } from './responseMemory.js';
import { classifyOwner, type ResponseOwner } from './responseOwner.js';
import type { Cancellation } from './signal.js';

/** The instance is on this host, so a connection that takes longer is not being accepted. */
export const CONNECT_TIMEOUT_MS = 400;

/**
 * Maximum idle time of a connection for a non-idempotent request. It is short because an instance
 * may close an idle connection while a request is sent on it, and the request then counts as
 * possibly run.
 */
const MAX_IDLE_NON_IDEMPOTENT_MS = 1000;

/** Maximum idle time of a connection for an idempotent request. */
const MAX_IDLE_IDEMPOTENT_MS = 6000;

/** Time after the deadline of a request for which the response of the instance is accepted. */
const DEADLINE_GRACE_MS = 60;

/** Time after a failed, foreign or unidentified response without reuse of connections. */
const REUSE_PAUSE_MS = 5000;

/** Largest response body of an instance. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Statuses that tell a caller that its request was not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429, 503]);

const TIMEOUT = 'timeout';

/** Builds the result of a request that the instance did not run. */
export function buildRefusal(
  reason: Extract<RunResult, { kind: 'notRun' }>['reason'],
  hasArrived: boolean,
  retryAfterMs = 0,
): RunResult {
  return { kind: 'notRun', reason, retryAfterMs, hasArrived };
}

/** Client for one instance address. */
export class InstanceClient {
  private readonly pool: ConnectionPool;

  private reusePausedUntilMs = -Infinity;

  constructor(
    address: PeerAddress,
    private readonly names: HeaderNames,
    /** Called with what each response says about the instance that sent it. */
    private readonly onNotice: (notice: InstanceNotice, instanceId: InstanceId) => void,
    /** Bounds the responses that are read at the same time; undefined for no bound. */
    private readonly memory?: ResponseMemory,
  ) {
    this.pool = new ConnectionPool(address);
  }

  /** Runs one request, for which the caller has reserved a slot. */
  async run(
    request: HttpRequest,
    metadata: CallMetadata,
    cancellation: Cancellation,
  ): Promise<RunResult> {
    const connectMs = Math.ceil(metadata.deadlineAtMs - performance.now());
    const connection = await this.acquireConnection(metadata, connectMs);
    if (typeof connection === 'string') {
      // A connection that had less time than usual says nothing about the instance.
      const isLate = connection === TIMEOUT && connectMs < CONNECT_TIMEOUT_MS;
      return buildRefusal(isLate ? 'deadline' : 'unreachable', false);
    }
    const remainingMs = metadata.deadlineAtMs - performance.now();
    if (cancellation.isCancelled() || remainingMs <= 0) {
      this.pool.release(connection);
      return buildRefusal(remainingMs <= 0 ? 'deadline' : 'cancelled', false);
    }
    const result = await this.exchange(connection, request, metadata, remainingMs, cancellation);
    this.pool.release(connection);
    return result;
  }

  close(): void {
    this.pool.close();
  }

  /** Returns a connection, or why none opened before the deadline, which is in `remainingMs`. */
  private async acquireConnection(
    { isIdempotent, requestId }: CallMetadata,
    remainingMs: number,
  ): Promise<HttpConnection | string> {
    const connectMs = Math.min(CONNECT_TIMEOUT_MS, Math.max(1, remainingMs));
    const isReusePaused = performance.now() < this.reusePausedUntilMs;
    if (isReusePaused) this.pool.close();
    // A response to a request without an identifier cannot be told from an earlier response.
    if (requestId === '') return this.pool.connect(connectMs);
    const idle = this.pool.takeIdle(
      isIdempotent ? MAX_IDLE_IDEMPOTENT_MS : MAX_IDLE_NON_IDEMPOTENT_MS,
    );
    return idle ?? this.pool.connect(connectMs);
  }

  private async exchange(
    connection: HttpConnection,
    request: HttpRequest,
    metadata: CallMetadata,
    remainingMs: number,
    cancellation: Cancellation,
  ): Promise<RunResult> {
    const { names } = this;
    const timer = setTimeout(() => connection.abort(TIMEOUT), remainingMs + DEADLINE_GRACE_MS);
    // The connection is reused after the exchange; a late cancellation must not abort its next one.
    let isInProgress = true;
    cancellation.onCancel(() => {
      // A non-idempotent request runs to completion even when its caller cancels it.
      if (isInProgress && metadata.isIdempotent) connection.abort('cancelled');
    });
    const headers = [
      ...request.headers,
      names.deadline,
      String(Math.max(1, Math.floor(remainingMs))),
      names.targetInstance,
      metadata.instanceId,
    ];
    let isFirstOnConnection = connection.sentRequests === 0;
    let owner = 'other' as ResponseOwner;
    const isMatching = (responseHeaders: readonly string[]) => {
      owner = this.identifyResponse(responseHeaders, metadata.requestId, isFirstOnConnection);
      isFirstOnConnection = false;
      return owner !== 'other';
    };
    const result = await connection.exchange({ ...request, headers }, isMatching, {
      maxBytes: MAX_BODY_BYTES,
      memory: this.memory,
    });
    clearTimeout(timer);
    isInProgress = false;
    if (result.kind === 'response') {
      if (owner === 'own') return this.classifyResponse(result.response, metadata);
      connection.abort('unidentified response');
      return { kind: 'unknown', reason: `unidentified response, ${result.response.status}` };
    }
    if (result.kind === 'broken' && !result.wasSent) return buildRefusal('unreachable', false);
    if (!cancellation.isCancelled()) this.reusePausedUntilMs = performance.now() + REUSE_PAUSE_MS;
    // Connections usually become half-open together, so the idle ones would time out as well.
    const reason = result.kind === 'broken' ? result.reason : result.kind;
    if (reason === TIMEOUT) this.pool.close();
    return { kind: 'unknown', reason };
  }

  private identifyResponse(
    headers: readonly string[],
    requestId: string,
    isFirstOnConnection: boolean,
  ): ResponseOwner {
    const echoedId = getHeader(headers, this.names.requestId);
    const owner = classifyOwner(echoedId, requestId, isFirstOnConnection);
    // On a new connection, the next response of an instance that omits identifiers is proven.
    if (echoedId === undefined || owner === 'other') {
      this.reusePausedUntilMs = performance.now() + REUSE_PAUSE_MS;
    }
    return owner;
  }

  private classifyResponse(response: HttpResponse, { instanceId }: CallMetadata): RunResult {
    const { status, headers } = response;
    if (status === 421) return buildRefusal('mismatch', true);
    this.onNotice(readInstanceNotice(headers, this.names), instanceId);
    if (getHeader(headers, this.names.notExecuted) !== undefined) return buildRefusal('shed', true);
    // The instance may have run the request, so its status must not reach the caller.
    if (NOT_RUN_STATUSES.has(status)) {
      return { kind: 'unknown', reason: `${status} without a statement that it was not run` };
    }
    const { signature } = this.names;
    const isSigned =
      getHeader(headers, signature) !== undefined && !isConnectionOption(headers, signature);
    if (status < 300 && !isSigned) return { kind: 'unknown', reason: 'unsigned response' };
    return { kind: 'answered', response };
  }
}
