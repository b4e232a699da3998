/** Runs calls on the upstream instances of this host. */
import type { AttemptResult, Call, LocalDispatcher } from '../../types/calls.js';
import type { ConfigStore } from '../../types/interfaces.js';
import type { Logger } from '../../utils/logger.js';
import { buildNotRun, buildUnknown } from '../calls/refusal.js';
import { createAdmission } from './admission.js';
import { createCallCounters, type CallCounts } from './callCounters.js';
import { startCallRun, type CallRun } from './callRun.js';
import type { InstanceEntry, InstanceTable } from './instanceTable.js';
import { createOnceCalls } from './onceCalls.js';
import { deriveMemoryKey, type RequestMemory, type Reservation } from './requestMemory.js';
import { createUpstreamClient, type UpstreamClient } from './upstreamClient.js';

const DEFAULT_DRAIN_MS = 10_000;

/** What a dispatcher needs. */
export interface LocalDispatcherOptions {
  readonly table: InstanceTable;
  readonly store: Pick<ConfigStore, 'getRouting' | 'isReady'>;
  readonly memory: RequestMemory;
  readonly logger: Logger;
  /** Connections to the upstreams; replaced in tests. */
  readonly client?: UpstreamClient | undefined;
}

/** The dispatcher with what operators see of it. */
export interface InstanceDispatcher extends LocalDispatcher {
  getCounts(): CallCounts;
  /** Closes all connections to upstreams. */
  close(): Promise<void>;
}

/** Creates the dispatcher of one node. */
export function createLocalDispatcher(options: LocalDispatcherOptions): InstanceDispatcher {
  const { table, store, memory, logger } = options;
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
    admission.finish(entry, call.requestId, hasAnswered ? nowMs - startedAtMs : undefined);
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

  const run = async (call: Call, reservation: Reservation | undefined): Promise<AttemptResult> => {
    const admitted = await admission.admit(call);
    if (admitted.kind === 'refused') {
      reservation?.settle({ kind: 'notRun' });
      return buildNotRun(admitted.reason, admitted.detail, getLoad(call));
    }
    // Nothing is awaited between this check and the hand-over: the wait in the queue may have
    // outlasted the readiness of this node.
    const { entry, connections } = admitted;
    const refusal = checkServing(call);
    if (refusal) {
      reservation?.settle({ kind: 'notRun' });
      admission.finish(entry, call.requestId, undefined);
      return refusal;
    }
    counters.recordDispatch();
    const started = startCallRun({
      call,
      dispatcher: client.getPool(entry, connections),
      reservation,
      getLoad: () => getLoad(call),
      cancel: () => {
        void sendCancel(entry, call);
      },
    });
    runs.set(started, entry);
    void recordEnd(started, entry, call);
    return started.result;
  };

  const runOnce = createOnceCalls({
    memory,
    counters,
    getLoad,
    checkServing,
    run,
  });

  const dispatchCall = async (call: Call): Promise<AttemptResult> => {
    const key = deriveMemoryKey(call);
    if (key) return runOnce(call, key);
    return checkServing(call) ?? run(call, undefined);
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
    for (const [cut, runEntry] of runs) {
      if (runEntry !== entry) continue;
      if (cut.isAwaited()) {
        logger.warn('drain-limit-passed', { step: 'upstream.drain', peer: entry.instanceId });
      }
      // An instance that is gone may never end its exchanges; nobody waits for these.
      cut.cut('the instance is leaving', entry.state === 'gone' && !cut.isAwaited());
    }
  };

  const hasRuns = (entry: InstanceEntry) =>
    [...runs.values()].some((runEntry) => runEntry === entry);

  /** Cuts after `drainMs` and again, since an instance may disappear after its first limit. */
  const scheduleAbort = (entry: InstanceEntry, drainMs: number) => {
    const timer = setTimeout(() => {
      abortRuns(entry);
      if (hasRuns(entry)) scheduleAbort(entry, drainMs);
    }, drainMs);
    drainTimers.set(entry.instanceId, timer);
  };

  table.onChange((entry, change) => {
    if (change === 'removed') client.removeInstance(entry);
    const isLeaving = entry.state === 'draining' || entry.state === 'gone';
    const known = drainTimers.get(entry.instanceId);
    if (isLeaving && !known && change !== 'removed') {
      const config = store.getRouting()?.services.get(entry.service)?.config;
      scheduleAbort(entry, config?.drainMs ?? DEFAULT_DRAIN_MS);
    } else if (known && (!isLeaving || change === 'removed')) {
      clearTimeout(known);
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
    for (const remaining of [...runs.keys()]) {
      if (remaining.isAwaited()) remaining.cut('the node is stopping', true);
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
