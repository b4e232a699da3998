/**
 * The planned stop of a node. Callers need a few seconds to go elsewhere; the instance beside the
 * node serves other hosts meanwhile, since they may have no other one.
 */
import { waitMs } from '../utils/backoff.js';
import type { CallPort } from './callPort.js';
import type { EventLog } from './eventLog.js';
import type { LocalRunner } from './localRunner.js';

/** Time after the start of a stop for which new requests of callers are taken. */
const TAKE_GRACE_MS = 2900;

/** Share of the stop limit after which the process ends, whatever is still under way. */
const STOP_SHARE = 0.88;

/** Time before the end that is kept for the runs of the instance to end. */
const RUN_RESERVE_MS = 1500;

/** Time for the responses to requests that are given up at the end. */
const FLUSH_MS = 150;

/** How often a stopping node looks for requests under way, in milliseconds. */
const STOP_CHECK_MS = 50;

/** The parts that a stop lets run out. */
export interface StopParts {
  readonly callPort: Pick<
    CallPort,
    'countOpen' | 'closeAfterResponses' | 'refuseNew' | 'cancelOpen'
  >;
  readonly runner: Pick<LocalRunner, 'countRunning' | 'stopAccepting'>;
  readonly log: EventLog;
  /** Tells the other nodes that this one leaves. */
  readonly announce: () => void;
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  readonly stopLimitMs: number;
}

async function waitWhile(isBusy: () => boolean, endAtMs: number): Promise<void> {
  while (isBusy() && performance.now() < endAtMs) await waitMs(STOP_CHECK_MS);
}

/** Resolves when nothing is under way, or shortly before the limit. */
export async function stopNode(parts: StopParts): Promise<void> {
  const { callPort, runner, log, announce } = parts;
  const limitMs = parts.stopLimitMs * STOP_SHARE;
  const endAtMs = performance.now() + limitMs;
  log.write('info', 'stopping', { limitMs, open: callPort.countOpen() });
  callPort.closeAfterResponses();
  await waitMs(Math.min(TAKE_GRACE_MS, limitMs / 2));
  // The port stays open: callers that have nowhere else to go are told when to come back.
  callPort.refuseNew();
  await waitWhile(() => callPort.countOpen() > 0, endAtMs - RUN_RESERVE_MS);
  announce();
  runner.stopAccepting();
  const isBusy = () => callPort.countOpen() + runner.countRunning() > 0;
  await waitWhile(isBusy, endAtMs - FLUSH_MS);
  const cancelled = callPort.cancelOpen();
  await waitWhile(() => callPort.countOpen() > 0, endAtMs);
  const open = callPort.countOpen();
  log.write('info', 'stopped', { cancelled, open, running: runner.countRunning() });
}
