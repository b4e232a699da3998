/**
 * Observes the resources that requests of this node share: responses of the store, which use the
 * link of the host, and delays of the event loop.
 */
import type { EventLog } from './eventLog.js';
import type { LoopMonitor } from './loopMonitor.js';
import type { MeshMetrics } from './meshMetrics.js';
import type { MeshStore, StoreCall } from './store.js';

/** Size from which a response of the store gets a log line, in bytes. */
const LARGE_RESPONSE_BYTES = 32 * 1024;

/** Transfer time from which a response of the store gets a log line. */
const SLOW_TRANSFER_MS = 200;

/** Number of checks of the event loop for each look at the connections to other nodes. */
const CHECKS_PER_LOOK = 5;

/** Number of checks of the event loop for each `node-load` line. */
const CHECKS_PER_LINE = 50;

/** Options of the monitor. */
export interface NodeMonitorOptions {
  readonly store: Pick<MeshStore, 'onCall'>;
  readonly loop: Pick<LoopMonitor, 'onCheck'>;
  readonly metrics: MeshMetrics;
  readonly log: EventLog;
  /** Returns the number of requests of callers without a response. */
  readonly countOpen: () => number;
  /** Returns the number of requests that run on the local instance. */
  readonly countRunning: () => number;
  /** Returns the bytes of calls that wait in the connections to other nodes. */
  readonly countUnsentBytes: () => number;
}

function recordStoreCall({ metrics, log }: NodeMonitorOptions, call: StoreCall): void {
  const { step, kind, bytes, firstByteMs, totalMs, failure } = call;
  const labels = `step="${step}",kind="${kind}"`;
  metrics.count('store_calls', labels);
  metrics.count('store_bytes', labels, bytes);
  if (failure !== undefined) metrics.count('store_failures', labels);
  const transferMs = firstByteMs === undefined ? 0 : totalMs - firstByteMs;
  metrics.recordLatency('store_transfer', transferMs);
  const isBroken = failure !== undefined && bytes > 0;
  if (bytes < LARGE_RESPONSE_BYTES && transferMs < SLOW_TRANSFER_MS && !isBroken) return;
  log.write('info', 'store-response', {
    step,
    peer: kind,
    bytes,
    transferMs: Math.round(transferMs),
    ms: Math.round(totalMs),
    reason: failure,
  });
}

/** Starts the monitor. */
export function startNodeMonitor(options: NodeMonitorOptions): void {
  const { store, loop, metrics, log, countOpen, countRunning, countUnsentBytes } = options;
  let storeCalls = 0;
  let storeBytes = 0;
  store.onCall((call) => {
    storeCalls += 1;
    storeBytes += call.bytes;
    recordStoreCall(options, call);
  });
  let checks = 0;
  let maxLagMs = 0;
  let maxUnsentBytes = 0;
  loop.onCheck((lagMs) => {
    metrics.recordLatency('event_loop_lag', lagMs);
    maxLagMs = Math.max(maxLagMs, lagMs);
    checks += 1;
    if (checks % CHECKS_PER_LOOK === 0) {
      maxUnsentBytes = Math.max(maxUnsentBytes, countUnsentBytes());
    }
    if (checks < CHECKS_PER_LINE) return;
    log.write('info', 'node-load', {
      open: countOpen(),
      running: countRunning(),
      maxLagMs: Math.round(maxLagMs),
      storeCalls,
      storeBytes,
      maxUnsentBytes,
    });
    checks = 0;
    maxLagMs = 0;
    maxUnsentBytes = 0;
    storeCalls = 0;
    storeBytes = 0;
  });
}
