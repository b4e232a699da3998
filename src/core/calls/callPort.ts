/** The call port of a node: an HTTP/1.1 server for callers and for other nodes. */
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

/** Longest time for a whole request; a shorter deadline of its route applies as well. */
const REQUEST_TIMEOUT_MS = 60_000;
/** Longer than the idle timeout of the pools, so that a node never closes under a new request. */
const KEEP_ALIVE_MS = 75_000;
const TIMEOUT_CHECK_MS = 1000;
/** Room for a dozen connections from each of the 540 nodes of the design size, and for callers. */
const MAX_CONNECTIONS = 8192;
/**
 * Longest time for which a stopping node still refuses calls over open connections. By then all
 * nodes have heard of its stop and have closed theirs; a request that crosses the closing of its
 * connection would end as unknown.
 */
const LINGER_MS = 3000;
/** Shortest such time, for calls of nodes that are about to connect. */
const MIN_LINGER_MS = 250;
/** Time for requests that crossed the closing of idle connections to be refused. */
const CLOSE_GRACE_MS = 250;
const POLL_MS = 25;

/** What a call port needs. */
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
   * Refuses new work, lets calls in flight finish, and closes. After `limitMs` the remaining calls
   * are cut; their number is the result.
   */
  stop(limitMs: number): Promise<{ readonly cut: number }>;
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
    budget: createRetryBudget(),
    observer: options.observer,
    random: options.random ?? Math.random,
    bodies: {
      maxBodyBytes: settings.maxBodyBytes,
      maxBufferedBytes: settings.maxBufferedBytes,
      bufferedBytes: 0,
    },
    getLocalLoad: (service) => dispatcher.getLoad(service),
    isLeaving: () => isLeaving,
  };
  members.onChange(({ record, verdict }) => {
    const isGone = verdict === 'dead' || record.state === 'left';
    // Idle connections to a stopping node are closed before it closes them.
    if (isGone || record.state === 'leaving') pools.remove(brandText<NodeId>(record.nodeId));
    if (isGone) stats.remove(record.nodeId);
  });
  const server = createServer({
    maxHeaderSize: settings.maxHeaderBytes,
    headersTimeout: settings.headersTimeoutMs,
    requestTimeout: Math.max(REQUEST_TIMEOUT_MS, settings.headersTimeoutMs),
    connectionsCheckingInterval: TIMEOUT_CHECK_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
  });
  // The parser drops headers beyond its limit; `serveCall` refuses such a request.
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
    const limit = new AbortController();
    onIdle = () => limit.abort();
    await waitMs(limitMs, limit.signal);
  };
  const countConnections = () =>
    new Promise<number>((resolve) => {
      server.getConnections((error, count) => resolve(error ? 0 : count));
    });
  /** Waits until no connection is open, at most `limitMs`. */
  const waitForConnections = async (limitMs: number) => {
    const endMs = performance.now() + limitMs;
    while (performance.now() < endMs && (await countConnections()) > 0) await waitMs(POLL_MS);
  };
  return ok({
    port: bound.value,
    explainRoute: (name) => explainRoute(name, options.config, parts),
    async stop(limitMs) {
      isLeaving = true;
      const endMs = performance.now() + limitMs;
      const lingerMs = Math.min(options.lingerMs ?? LINGER_MS, limitMs);
      await waitMs(Math.min(lingerMs, MIN_LINGER_MS));
      await waitForConnections(Math.max(0, lingerMs - MIN_LINGER_MS));
      await waitForIdle(endMs - performance.now());
      // The system resets connections that wait to be accepted when the port closes. Immediates
      // run right after the poll phase, in which all of them were accepted.
      await new Promise(setImmediate);
      const closed = new Promise((resolve) => {
        server.close(resolve);
      });
      // The request of a connection that was accepted last may still be on its way.
      do {
        await waitForIdle(endMs - performance.now());
        await waitForConnections(Math.min(CLOSE_GRACE_MS, endMs - performance.now()));
      } while (inFlight > 0 && performance.now() < endMs);
      const cut = inFlight;
      server.closeAllConnections();
      await Promise.all([closed, pools.close()]);
      return { cut };
    },
  });
}
