/** Calls of the soak run: browsing, and `once` calls. */
import { randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { waitMs } from '../src/utils/backoff.js';
import { createCaller, type CallResult } from '../standins/caller.js';
import type { Mesh, MeshHost } from '../standins/launcher.js';
import { chooseOne } from '../standins/random.js';
import { STERNWACHT_CALLS } from '../standins/sternwacht.js';
import type { SentCall, SoakChecker } from './checker.js';

/** Tells whether planned stops are the only faults now. */
export interface CalmState {
  /** Number of the calm round; 0 outside of one. */
  round: number;
  /** Process that was stopped last. */
  stopped: string;
}

/** Running callers. */
export interface SoakCallers {
  /** Results by kind and reason. */
  readonly results: ReadonlyMap<string, number>;
  /** Stops new calls and waits for those in flight. */
  stop(): Promise<void>;
}

const WORKERS = 12;
const THINK_MS = 30;
const MAX_SENDS = 3;
const ONCE_CALLS = [
  STERNWACHT_CALLS.booking,
  STERNWACHT_CALLS.deposit,
  STERNWACHT_CALLS.cancellation,
] as const;
const BROWSING_CALLS = [STERNWACHT_CALLS.calendar, STERNWACHT_CALLS.pads] as const;

type Template = (typeof ONCE_CALLS)[number] | (typeof BROWSING_CALLS)[number];

/** Starts the workers. */
export function startCallers(
  mesh: Mesh,
  checker: SoakChecker,
  calm: Readonly<CalmState>,
  random: () => number,
): SoakCallers {
  const caller = createCaller({ keepsDetail: true });
  const stopping = new AbortController();
  setMaxListeners(WORKERS, stopping.signal);
  const results = new Map<string, number>();
  const chooseHost = () => chooseOne(mesh.hosts, random) as MeshHost;

  const sendOne = async (
    template: Template,
    call: Omit<SentCall, 'entryId' | 'isCalm'>,
  ): Promise<CallResult> => {
    const entry = chooseHost();
    const { round } = calm;
    const sent = { ...call, entryId: entry.nodeId, isCalm: false };
    const servedBefore = checker.getHostVersion(entry.nodeId);
    checker.recordCall(sent);
    const length = Math.floor(random() * 20_000);
    const { callId } = call;
    const plan = { ...template, callId, length, entryUrl: entry.callUrl };
    const startMs = performance.now();
    const result = await caller.send(plan);
    const tookMs = Math.round(performance.now() - startMs);
    const isCalm = round !== 0 && round === calm.round;
    checker.recordResult({ ...sent, isCalm, stopped: calm.stopped, tookMs }, result);
    if (result.kind === 'answered' && result.version > 0) {
      checker.recordServedVersion(entry.nodeId, servedBefore, result.version);
    }
    const detail = result.kind === 'answered' ? String(result.status) : result.reason;
    const name = `${result.kind} ${detail}`;
    results.set(name, (results.get(name) ?? 0) + 1);
    return result;
  };

  /** Sends an operation again while it is proven not to have run. */
  const runOnce = async (template: Template): Promise<void> => {
    const operationId = randomUUID();
    for (let sends = 0; sends < MAX_SENDS; sends += 1) {
      const callId = randomUUID();
      const { kind } = await sendOne(template, { callId, operationId, isOnce: true });
      if (kind !== 'notRun' && kind !== 'unsent') return;
      await waitMs(THINK_MS);
    }
  };

  const runBrowsing = async (template: Template): Promise<void> => {
    const callId = randomUUID();
    await sendOne(template, { callId, operationId: callId, isOnce: false });
  };

  const work = async () => {
    while (!stopping.signal.aborted) {
      if (random() < 0.5) await runOnce(chooseOne(ONCE_CALLS, random) as Template);
      else await runBrowsing(chooseOne(BROWSING_CALLS, random) as Template);
      await waitMs(THINK_MS * random(), stopping.signal);
    }
  };
  const running = Promise.all(Array.from({ length: WORKERS }, work));
  return {
    results,
    stop: async () => {
      stopping.abort();
      await running;
      await caller.close();
    },
  };
}
