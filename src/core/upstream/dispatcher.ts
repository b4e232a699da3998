/** Runs calls on the upstream instances of this host. */
import type { AttemptResult, Call, LocalDispatcher } from '../../types/calls.js';
import type { ConfigStore } from '../../types/interfaces.js';
import type { Logger } from '../../utils/logger.js';
import { buildNotRun, buildUnknown } from '../calls/refusal.js';
import { createAdmission } from './admission.js';
import { createCallCounters, type CallCounts } from './callCounters.js';
import { startCallRun, type CallRun } from './callRun.js';
import type { InstanceEntry, InstanceTable } from './instanceTable.js';
import { createAtMostOnceDispatch } from './atMostOnce.js';
import {
  deriveDeduplicationKey,
  type DeduplicationStore,
  type Reservation,
} from './deduplicationStore.js';
import { createUpstreamClient, type UpstreamClient } from './upstreamClient.js';

const DEFAULT_DRAIN_MS = 10_000;

/** Options of a dispatcher. */
export interface LocalDispatcherOptions {
  readonly table: InstanceTable;
  readonly store: Pick<ConfigStore, 'getRouting' | 'isReady'>;
  readonly deduplication: DeduplicationStore;
  readonly logger: Logger;
  /** Connections to the upstreams; a default client is created when absent. */
  readonly client?: UpstreamClient | undefined;
}

/** A dispatcher with counters for operators. */
export interface InstanceDispatcher extends LocalDispatcher {
  getCounts(): CallCounts;
  /** Closes all connections to upstreams. */
  close(): Promise<void>;
}

/** Creates the dispatcher of one node. */
export function createLocalDispatcher(options: LocalDispatcherOptions): InstanceDispatcher {
  const { table, store, deduplication, logger } = options;
  const admission = createAdmission({ table, store });
  const client = options.client ?? createUpstreamClient();
  const counters = createCallCounters();
  const runs = new Map<CallRun, InstanceEntry>();
  const drainTimers = new Map<string, NodeJS.Timeout>();
  let isDraining = false;
  let handleRunEnd = () => {};

  const getLoad = (call: Call) => admission.getLoad(call.route.service.name);
  const countAwaited = () => [...runs.keys()].filter((run) => run.isAwaited()).length;

  const checkServing = (call: Call): AttemptResult | undefined => {
    if (isDraining) return buildNotRun('leaving', 'the node is stopping', getLoad(call));
    if (store.isReady()) return undefined;
    return buildNotRun('not-ready', 'the node has no accepted version', getLoad(call));
  };

  const recordEnd = async (run: CallRun, entry: InstanceEntry, call: Call): Promise<void> => {
    const startedAtMs = performance.now();
    const { end, wasShed, hasAnswered } = await run.ended;
    const nowMs = performance.now();
    if (wasShed) entry.limit.recordShed(entry.usage.countInFlight(), startedAtMs, nowMs);
    if (hasAnswered && end.kind !== 'failed') entry.limit.recordSuccess(entry.announcedSlots);
    runs.delete(run);
    admission.releaseSlot(entry, call.requestId, hasAnswered ? nowMs - startedAtMs : undefined);
    handleRunEnd();
  };

  const sendCancel = async (entry: InstanceEntry, call: Call): Promise<void> => {
    counters.recordCancel();
    const isAccepted = await client.sendCancel(entry, call.requestId);
    if (!isAccepted) {
      const peer = entry.instanceId;
      logger.warn('cancel-failed', { step: 'upstream.cancel', peer, request: call.requestId });
    }
    handleRunEnd();
  };

  const admitAndRun = async (
    call: Call,
    reservation: Reservation | undefined,
  ): Promise<AttemptResult> => {
    const admitted = await admission.admit(call);
    if (admitted.kind === 'refused') {
      reservation?.settle({ kind: 'notRun' });
      return buildNotRun(admitted.reason, admitted.detail, getLoad(call));
    }
    // The node may have started to drain, or may no longer be ready, after the wait in the queue.
    // Nothing is awaited between this check and the dispatch.
    const { entry, connections } = admitted;
    const refusal = checkServing(call);
    if (refusal) {
      reservation?.settle({ kind: 'notRun' });
      admission.releaseSlot(entry, call.requestId, undefined);
      return refusal;
    }
    counters.recordDispatch();
    const callRun = startCallRun({
      call,
      dispatcher: client.getPool(entry, connections),
      reservation,
      getLoad: () => getLoad(call),
      cancel: () => {
        void sendCancel(entry, call);
      },
    });
    runs.set(callRun, entry);
    void recordEnd(callRun, entry, call);
    return callRun.result;
  };

  const dispatchAtMostOnce = createAtMostOnceDispatch({
    deduplication,
    counters,
    getLoad,
    checkServing,
    run: admitAndRun,
  });

  const dispatchCall = async (call: Call): Promise<AttemptResult> => {
    const key = deriveDeduplicationKey(call);
    if (key) return dispatchAtMostOnce(call, key);
    return checkServing(call) ?? admitAndRun(call, undefined);
  };

  const dispatch = async (call: Call): Promise<AttemptResult> => {
    let result: AttemptResult;
    try {
      result = await dispatchCall(call);
    } catch (thrown) {
      const reason = String(thrown);
      const { requestId } = call;
      logger.error('dispatch-failed', {
        step: 'upstream.dispatch',
        peer: 'self',
        request: requestId,
        reason,
      });
      result = buildUnknown('connection-lost', `internal error: ${reason}`);
    }
    counters.recordResult(result);
    return result;
  };

  const abortRuns = (entry: InstanceEntry) => {
    for (const [run, runEntry] of runs) {
      if (runEntry !== entry) continue;
      if (run.isAwaited()) {
        logger.warn('drain-limit-passed', { step: 'upstream.drain', peer: entry.instanceId });
      }
      // An expired instance may never end its exchanges. Close those that no caller waits for.
      run.abort('the instance is leaving', entry.state === 'expired' && !run.isAwaited());
    }
  };

  const hasRuns = (entry: InstanceEntry) =>
    [...runs.values()].some((runEntry) => runEntry === entry);

  /** Aborts runs every `drainMs` until none is left, since a draining instance may expire later. */
  const scheduleAbort = (entry: InstanceEntry, drainMs: number) => {
    const timer = setTimeout(() => {
      abortRuns(entry);
      if (hasRuns(entry)) scheduleAbort(entry, drainMs);
    }, drainMs);
    drainTimers.set(entry.instanceId, timer);
  };

  table.onChange((entry, change) => {
    if (change === 'removed') client.removeInstance(entry);
    const shouldDrain = entry.state === 'draining' || entry.state === 'expired';
    const drainTimer = drainTimers.get(entry.instanceId);
    if (shouldDrain && !drainTimer && change !== 'removed') {
      const config = store.getRouting()?.services.get(entry.service)?.config;
      scheduleAbort(entry, config?.drainMs ?? DEFAULT_DRAIN_MS);
    } else if (drainTimer && (!shouldDrain || change === 'removed')) {
      clearTimeout(drainTimer);
      drainTimers.delete(entry.instanceId);
    }
  });

  const waitUntilIdle = (limitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const timer = setTimeout(resolve, limitMs);
      handleRunEnd = () => {
        if (countAwaited() > 0) return;
        clearTimeout(timer);
        resolve();
      };
      handleRunEnd();
    });

  const drain = async (limitMs: number): Promise<{ readonly abortedCalls: number }> => {
    isDraining = true;
    admission.refuseQueued('leaving', 'the node is stopping');
    await waitUntilIdle(limitMs);
    const abortedCalls = countAwaited();
    for (const run of [...runs.keys()]) {
      if (run.isAwaited()) run.abort('the node is stopping', true);
    }
    return { abortedCalls };
  };

  return {
    dispatch,
    drain,
    getLoad: admission.getLoad,
    getCounts() {
      const inFlight = countAwaited();
      const queued = admission.countQueued();
      return counters.getCounts({ inFlight, queued, abandoned: runs.size - inFlight });
    },
    async close() {
      for (const timer of drainTimers.values()) clearTimeout(timer);
      await client.close();
    },
  };
}
