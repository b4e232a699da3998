/** Sends requests to the instance beside the node and judges its responses. */
import type { PeerAddress } from '../types/interfaces.js';
import { getHeader, type HeaderNames } from './headers.js';
import type { Link } from './link.js';
import { LinkPool } from './linkPool.js';
import type { CallMetadata, HttpRequest, RunResult } from './model.js';
import type { Cancellation } from './signal.js';

/** The instance is on this host, so a connection that takes longer is not accepted. */
const CONNECT_TIMEOUT_MS = 400;

/**
 * A request that may not be repeated goes out on a connection used within this time only:
 * an instance may close an idle one just then, and the request would count as run.
 */
const FRESH_IDLE_MS = 1000;

/** Longest idle time for requests that may be repeated. */
const MAX_IDLE_MS = 6000;

/** Time after its deadline for which the instance's own response is awaited. */
const DEADLINE_SLACK_MS = 60;

/** Time after a spoilt response for which requests get connections of their own. */
const DISTRUST_MS = 5000;

const TIMEOUT = 'timeout';

/** Builds the result of a request that the instance did not run. */
export function buildRefusal(
  reason: Extract<RunResult, { kind: 'notRun' }>['reason'],
  hasArrived: boolean,
  retryAfterMs = 0,
): RunResult {
  return { kind: 'notRun', reason, retryAfterMs, hasArrived };
}

/** A client of one instance address. */
export class InstanceClient {
  private readonly pool: LinkPool;

  private distrustedUntilMs = -Infinity;

  constructor(
    address: PeerAddress,
    private readonly names: HeaderNames,
  ) {
    this.pool = new LinkPool(address);
  }

  /** Runs one request; the caller has given it a slot. */
  async run(
    request: HttpRequest,
    terms: CallMetadata,
    cancellation: Cancellation,
  ): Promise<RunResult> {
    const link = await this.obtainLink(terms.isIdempotent);
    if (typeof link === 'string') return buildRefusal('unreachable', false);
    const leftMs = terms.deadlineAtMs - performance.now();
    if (cancellation.isCancelled() || leftMs <= 0) {
      this.pool.release(link);
      return buildRefusal(leftMs <= 0 ? 'deadline' : 'cancelled', false);
    }
    const result = await this.exchange(link, request, terms, leftMs, cancellation);
    this.pool.release(link);
    return result;
  }

  close(): void {
    this.pool.close();
  }

  private async obtainLink(isRepeatable: boolean): Promise<Link | string> {
    const isDistrusted = performance.now() < this.distrustedUntilMs;
    if (isDistrusted) this.pool.close();
    const idle = this.pool.takeIdle(isRepeatable ? MAX_IDLE_MS : FRESH_IDLE_MS);
    return idle ?? this.pool.connect(CONNECT_TIMEOUT_MS);
  }

  private async exchange(
    link: Link,
    request: HttpRequest,
    terms: CallMetadata,
    leftMs: number,
    cancellation: Cancellation,
  ): Promise<RunResult> {
    const { names } = this;
    const timer = setTimeout(() => link.abort(TIMEOUT), leftMs + DEADLINE_SLACK_MS);
    // The link outlives the exchange: a later cancellation must not reach its next request.
    let isUnderWay = true;
    cancellation.onCancel(() => {
      // The caller of a request that may not be repeated does not end its run.
      if (isUnderWay && terms.isIdempotent) link.abort('cancelled');
    });
    const headers = [
      ...request.headers,
      names.deadline,
      String(Math.max(1, Math.floor(leftMs))),
      names.targetInstance,
      terms.instanceId,
    ];
    const ended = await link.exchange({ ...request, headers }, (own) =>
      this.isOwnResponse(own, terms.requestId),
    );
    clearTimeout(timer);
    isUnderWay = false;
    if (ended.kind === 'response') return this.judge(ended.response);
    if (!ended.wasSent) return buildRefusal('unreachable', false);
    if (!cancellation.isCancelled()) this.distrustedUntilMs = performance.now() + DISTRUST_MS;
    // Connections go silent together; the others would hang as this one did.
    if (ended.reason === TIMEOUT) this.pool.close();
    return { kind: 'unknown', reason: ended.reason };
  }

  private isOwnResponse(headers: readonly string[], requestId: string): boolean {
    const echoed = getHeader(headers, this.names.requestId);
    const isOwn = echoed === undefined || requestId === '' || echoed === requestId;
    if (!isOwn) this.distrustedUntilMs = performance.now() + DISTRUST_MS;
    return isOwn;
  }

  private judge(response: { status: number; headers: readonly string[]; body: Buffer }): RunResult {
    const { status, headers } = response;
    if (status === 421) return buildRefusal('mismatch', true);
    if (getHeader(headers, this.names.notExecuted) !== undefined) return buildRefusal('shed', true);
    const isSigned = getHeader(headers, this.names.signature) !== undefined;
    if (status < 300 && !isSigned) return { kind: 'unknown', reason: 'unsigned response' };
    return { kind: 'answered', response };
  }
}
