/** Call port of a node: an HTTP/1.1 server for callers and for other nodes. */
import { createServer } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { StepError } from '../../errors.js';
import type { Settings } from '../../generated/types.js';
import type { LocalDispatcher } from '../../types/calls.js';
import type { ConfigStore, MemberTable } from '../../types/interfaces.js';
import { brandText, type NodeId } from '../../types/ids.js';
import { waitMs } from '../../utils/backoff.js';
import { listen } from '../../utils/listen.js';
import type { Logger } from '../../utils/logger.js';
import { explainRoute, type RouteExplanation } from './explain.js';
import { createActiveExchanges } from './malformed.js';
import { createNodeStatsTable } from './nodeStats.js';
import type { CallObserver } from './observer.js';
import { createPeerPools, POOL_LIMITS, type PoolLimits } from './peerPools.js';
import { createRetryBudget } from './retryBudget.js';
import { serveCall, type ServeParts } from './serveCall.js';

/** Time limit for receiving a request; a shorter deadline of its route also applies. */
const REQUEST_TIMEOUT_MS = 60_000;
/** Longer than the idle timeout of the pools, so that a node does not close a reused connection. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1000;
/** Allows a dozen connections from each of 540 nodes, the design size, plus those of callers. */
const MAX_CONNECTIONS = 8192;
/**
 * Maximum time for which a stopping node keeps connections open and refuses the calls on them.
 * By then the other nodes have received its leaving state and closed their connections; a request
 * that is in transit while its connection is closed would end as unknown.
 */
const MAX_LINGER_MS = 3000;
/** Minimum of that time, for calls of nodes that are about to connect. */
const MIN_LINGER_MS = 250;
/** Time to refuse requests that were in transit when idle connections were closed. */
const CLOSE_GRACE_PERIOD_MS = 250;
const POLL_INTERVAL_MS = 25;

/** Options of a call port. */
export interface CallPortOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
  readonly settings: Pick<
    Settings['calls'],
    'maxHeaderBytes' | 'maxBodyBytes' | 'maxBufferedBytes' | 'headersTimeoutMs' | 'maxInFlight'
  >;
  readonly config: ConfigStore;
  readonly members: MemberTable;
  readonly dispatcher: LocalDispatcher;
  readonly observer: CallObserver;
  readonly logger: Logger;
  readonly pools?: PoolLimits;
  readonly random?: () => number;
  readonly lingerMs?: number;
}

/** A running call port. */
export interface CallPort {
  readonly port: number;
  /** Explains which node would get a call of the route; error kinds `not-found`, `unavailable`. */
  explainRoute(name: string): Result<RouteExplanation, StepError>;
  /**
   * Refuses new calls, waits up to `limitMs` for calls in flight, aborts the remaining ones and
   * closes the port. Resolves with the number of aborted calls.
   */
  stop(limitMs: number): Promise<{ readonly abortedCalls: number }>;
}

/** Starts a call port. Errors: kind `unavailable` when the address cannot be bound. */
export async function startCallPort(
  options: CallPortOptions,
): Promise<Result<CallPort, StepError>> {
  const { host, port, settings, members, dispatcher, logger } = options;
  const pools = createPeerPools(options.pools ?? POOL_LIMITS);
  const stats = createNodeStatsTable();
  let isLeaving = false;
  let inFlight = 0;
  let onIdle = () => {};
  const parts: ServeParts = {
    config: options.config,
    members,
    dispatcher,
    pools,
    stats,
    retryBudget: createRetryBudget(),
    observer: options.observer,
    random: options.random ?? Math.random,
    bodyBudget: {
      maxBodyBytes: settings.maxBodyBytes,
      maxBufferedBytes: settings.maxBufferedBytes,
      bufferedBytes: 0,
    },
    getLocalLoad: (service) => dispatcher.getLoad(service),
    isLeaving: () => isLeaving,
  };
  members.onChange(({ record, verdict }) => {
    const hasLeft = verdict === 'dead' || record.state === 'left';
    // Closes idle connections to a stopping node before that node closes them.
    if (hasLeft || record.state === 'leaving') pools.remove(brandText<NodeId>(record.nodeId));
    if (hasLeft) stats.remove(record.nodeId);
  });
  const server = createServer({
    maxHeaderSize: settings.maxHeaderBytes,
    headersTimeout: settings.headersTimeoutMs,
    requestTimeout: Math.max(REQUEST_TIMEOUT_MS, settings.headersTimeoutMs),
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  });
  // No limit: the parser would drop the excess headers silently; `parseHead` refuses the request.
  server.maxHeadersCount = 0;
  server.maxConnections = MAX_CONNECTIONS;
  const exchanges = createActiveExchanges();
  server.on('clientError', exchanges.refuseMalformed);
  server.on('request', (request, response) => {
    const { socket } = request;
    inFlight += 1;
    exchanges.add(socket);
    const release = () => {
      inFlight -= 1;
      exchanges.remove(socket);
      if (inFlight === 0) onIdle();
    };
    if (isLeaving) response.setHeader('connection', 'close');
    serveCall(request, response, parts, inFlight > settings.maxInFlight)
      .catch((thrown: unknown) => {
        const peer = request.socket.remoteAddress ?? '';
        logger.error('call-failed', { step: 'calls.serve', peer, reason: String(thrown) });
        response.destroy();
      })
      .finally(() => {
        if (response.closed) release();
        else response.once('close', release);
      });
  });
  const bound = await listen(server, { host, port, step: 'calls.listen', logger });
  if (bound.isErr()) return err(bound.error);
  const waitForIdle = async (limitMs: number) => {
    if (inFlight === 0) return;
    const idleOrTimeout = new AbortController();
    onIdle = () => idleOrTimeout.abort();
    await waitMs(limitMs, idleOrTimeout.signal);
  };
  const countConnections = () =>
    new Promise<number>((resolve) => {
      server.getConnections((error, count) => resolve(error ? 0 : count));
    });
  /** Waits up to `limitMs` until no connection is open. */
  const waitForConnections = async (limitMs: number) => {
    const endMs = performance.now() + limitMs;
    while (performance.now() < endMs && (await countConnections()) > 0) {
      await waitMs(POLL_INTERVAL_MS);
    }
  };
  return ok({
    port: bound.value,
    explainRoute: (name) => explainRoute(name, options.config, parts),
    async stop(limitMs) {
      isLeaving = true;
      const endMs = performance.now() + limitMs;
      const lingerMs = Math.min(options.lingerMs ?? MAX_LINGER_MS, limitMs);
      await waitMs(Math.min(lingerMs, MIN_LINGER_MS));
      await waitForConnections(Math.max(0, lingerMs - MIN_LINGER_MS));
      await waitForIdle(endMs - performance.now());
      // Closing the port makes the kernel reset connections that are waiting to be accepted.
      // Immediates run right after the poll phase, in which all of them are accepted.
      await new Promise(setImmediate);
      const closed = new Promise((resolve) => {
        server.close(resolve);
      });
      // Requests on the connections accepted last may still be in transit.
      do {
        await waitForIdle(endMs - performance.now());
        await waitForConnections(Math.min(CLOSE_GRACE_PERIOD_MS, endMs - performance.now()));
      } while (inFlight > 0 && performance.now() < endMs);
      const abortedCalls = inFlight;
      server.closeAllConnections();
      await Promise.all([closed, pools.close()]);
      return { abortedCalls };
    },
  });
}
