/** The planned stop of a node: first nobody sends more, then what is under way ends. */
import { waitMs } from '../utils/backoff.js';
import type { CallPort } from './callPort.js';
import type { EventLog } from './eventLog.js';
import type { LocalRunner } from './localRunner.js';

/** Time after the start of a stop for which other nodes may still send requests. */
const PEER_GRACE_MS = 2500;

/** Time after the start of a stop for which new requests are taken. */
const TAKE_GRACE_MS = 3200;

/** Share of the stop limit after which the process ends, whatever is still under way. */
const STOP_SHARE = 0.88;

/** How often a stopping node looks for requests under way, in milliseconds. */
const STOP_CHECK_MS = 50;

/** The parts that a stop lets run out. */
export interface StopParts {
  readonly callPort: CallPort;
  readonly runner: LocalRunner;
  readonly log: EventLog;
  /** Tells the other nodes that this one leaves. */
  readonly announce: () => void;
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  readonly stopLimitMs: number;
}

/** Resolves when nothing is under way, or shortly before the limit. */
export async function stopNode(parts: StopParts): Promise<void> {
  const { callPort, runner, log, announce } = parts;
  const startedAtMs = performance.now();
  const limitMs = parts.stopLimitMs * STOP_SHARE;
  log.write('info', 'stopping', { limitMs, open: callPort.countOpen() });
  callPort.closeAfterResponses();
  announce();
  await waitMs(PEER_GRACE_MS);
  runner.stopTaking();
  await waitMs(TAKE_GRACE_MS - PEER_GRACE_MS);
  // The port stays open: callers that have nowhere else to go are told when to come back.
  callPort.refuseNew();
  const isBusy = () => callPort.countOpen() + runner.countRunning() > 0;
  while (isBusy() && performance.now() - startedAtMs < limitMs) await waitMs(STOP_CHECK_MS);
  log.write('info', 'stopped', { open: callPort.countOpen(), running: runner.countRunning() });
}
