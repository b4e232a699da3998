/** Load of the soak: repeatable browsing calls and calls of the kind `once`. */
import { randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { waitMs } from '../src/utils/backoff.js';
import { createCaller, type CallResult } from '../standins/caller.js';
import type { Mesh, MeshHost } from '../standins/launcher.js';
import { chooseOne } from '../standins/random.js';
import { STERNWACHT_CALLS } from '../standins/sternwacht.js';
import type { SentCall, SoakChecker } from './checker.js';

/** State of the phase in which planned stops are the only faults. */
export interface PlannedStopPhase {
  /** Number of the round while the phase lasts, otherwise 0. */
  round: number;
  /** Identifier of the process that was stopped last. */
  lastStoppedId: string;
}

/** Handle of the running workers. */
export interface SoakCallers {
  /** Number of results by kind and reason. */
  readonly results: ReadonlyMap<string, number>;
  /** Sends no new calls and waits for the calls in flight. */
  stop(): Promise<void>;
}

const WORKER_COUNT = 12;
const THINK_TIME_MS = 30;
const MAX_SENDS = 3;
const MAX_ANSWER_LENGTH = 20_000;
const ONCE_CALL_SHARE = 0.5;
const ONCE_CALLS = [
  STERNWACHT_CALLS.booking,
  STERNWACHT_CALLS.deposit,
  STERNWACHT_CALLS.cancellation,
] as const;
const BROWSING_CALLS = [STERNWACHT_CALLS.calendar, STERNWACHT_CALLS.pads] as const;

type Template = (typeof ONCE_CALLS)[number] | (typeof BROWSING_CALLS)[number];

export function startCallers(
  mesh: Mesh,
  checker: SoakChecker,
  plannedStopPhase: Readonly<PlannedStopPhase>,
  random: () => number,
): SoakCallers {
  const caller = createCaller({ keepsDetail: true });
  const stopping = new AbortController();
  setMaxListeners(WORKER_COUNT, stopping.signal);
  const results = new Map<string, number>();
  const chooseHost = () => chooseOne(mesh.hosts, random) as MeshHost;

  const sendCall = async (
    template: Template,
    call: Omit<SentCall, 'entryNodeId' | 'isPlannedStopOnly'>,
  ): Promise<CallResult> => {
    const entryHost = chooseHost();
    const { round } = plannedStopPhase;
    const sent = { ...call, entryNodeId: entryHost.nodeId, isPlannedStopOnly: false };
    const servedBefore = checker.getHostVersion(entryHost.nodeId);
    checker.recordCall(sent);
    const length = Math.floor(random() * MAX_ANSWER_LENGTH);
    const { callId } = call;
    const request = { ...template, callId, length, entryUrl: entryHost.callUrl };
    const startMs = performance.now();
    const result = await caller.send(request);
    const durationMs = Math.round(performance.now() - startMs);
    const isPlannedStopOnly = round !== 0 && round === plannedStopPhase.round;
    checker.recordResult(
      {
        ...sent,
        isPlannedStopOnly,
        lastStoppedId: plannedStopPhase.lastStoppedId,
        durationMs,
      },
      result,
    );
    if (result.kind === 'answered' && result.version > 0) {
      checker.recordServedVersion(entryHost.nodeId, servedBefore, result.version);
    }
    const detail = result.kind === 'answered' ? String(result.status) : result.reason;
    const name = `${result.kind} ${detail}`;
    results.set(name, (results.get(name) ?? 0) + 1);
    return result;
  };

  /** Repeats an operation only while the previous attempt is known not to have run. */
  const runOnceOperation = async (template: Template): Promise<void> => {
    const operationId = randomUUID();
    for (let attempt = 0; attempt < MAX_SENDS; attempt += 1) {
      const callId = randomUUID();
      const { kind } = await sendCall(template, { callId, operationId, isOnce: true });
      if (kind !== 'notRun' && kind !== 'unsent') return;
      await waitMs(THINK_TIME_MS);
    }
  };

  const runBrowsing = async (template: Template): Promise<void> => {
    const callId = randomUUID();
    await sendCall(template, { callId, operationId: callId, isOnce: false });
  };

  const runWorker = async () => {
    while (!stopping.signal.aborted) {
      if (random() < ONCE_CALL_SHARE) {
        await runOnceOperation(chooseOne(ONCE_CALLS, random) as Template);
      } else {
        await runBrowsing(chooseOne(BROWSING_CALLS, random) as Template);
      }
      await waitMs(THINK_TIME_MS * random(), stopping.signal);
    }
  };
  const running = Promise.all(Array.from({ length: WORKER_COUNT }, runWorker));
  return {
    results,
    stop: async () => {
      stopping.abort();
      await running;
      await caller.close();
    },
  };
}
