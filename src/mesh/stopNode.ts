/**
 * Graceful shutdown of a node. Callers need a few seconds to switch to another node. Meanwhile the
 * local instance still serves other hosts, which may have no other instance.
 */
import { waitMs } from '../utils/backoff.js';
import type { CallPort } from './callPort.js';
import type { EventLog } from './eventLog.js';
import type { LocalRunner } from './localRunner.js';

/** Time after the start of the shutdown for which new requests of callers are accepted. */
const ACCEPT_PERIOD_MS = 2900;

/** Share of the stop limit after which the process exits even if requests are still open. */
const STOP_DEADLINE_SHARE = 0.88;

/** Time before the end after which the instance gets no new requests, however short. */
const RUN_RESERVE_MS = 1500;

/** Time before the end that is reserved for the responses to cancelled requests. */
const FLUSH_MS = 150;

/** Interval between checks for open requests. */
const POLL_INTERVAL_MS = 50;

/** Options of a graceful shutdown. */
export interface StopNodeOptions {
  readonly callPort: Pick<
    CallPort,
    'countOpen' | 'closeAfterResponses' | 'refuseNew' | 'cancelOpen'
  >;
  readonly runner: Pick<LocalRunner, 'countRunning' | 'planStop' | 'stopAccepting'>;
  readonly log: EventLog;
  /** Publishes to the other nodes that this node is leaving. */
  readonly publishLeaving: () => void;
  /** Time between SIGTERM and SIGKILL. */
  readonly stopLimitMs: number;
}

async function waitWhile(isBusy: () => boolean, endAtMs: number): Promise<void> {
  while (isBusy() && performance.now() < endAtMs) await waitMs(POLL_INTERVAL_MS);
}

/** Resolves when no request is open or running, or shortly before the stop limit. */
export async function stopNode(options: StopNodeOptions): Promise<void> {
  const { callPort, runner, log, publishLeaving } = options;
  const limitMs = options.stopLimitMs * STOP_DEADLINE_SHARE;
  const endAtMs = performance.now() + limitMs;
  log.write('info', 'stopping', { limitMs, open: callPort.countOpen() });
  runner.planStop(endAtMs - FLUSH_MS);
  callPort.closeAfterResponses();
  await waitMs(Math.min(ACCEPT_PERIOD_MS, limitMs / 2));
  // The port stays open, so that callers without another node get a refusal with a retry time.
  callPort.refuseNew();
  await waitWhile(() => callPort.countOpen() > 0, endAtMs - RUN_RESERVE_MS);
  publishLeaving();
  runner.stopAccepting();
  const isBusy = () => callPort.countOpen() + runner.countRunning() > 0;
  await waitWhile(isBusy, endAtMs - FLUSH_MS);
  const cancelled = callPort.cancelOpen();
  await waitWhile(() => callPort.countOpen() > 0, endAtMs);
  const open = callPort.countOpen();
  log.write('info', 'stopped', { cancelled, open, running: runner.countRunning() });
}
