import { waitMs } from './backoff.js';

/**
 * Waits for the rest of an interval that began at `startedMs` of the wall clock. A clock that was
 * set back meanwhile prolongs the wait to one interval at most.
 */
export function waitRest(
  intervalMs: number,
  startedMs: number,
  signal: AbortSignal,
): Promise<void> {
  const passedMs = Math.max(0, Date.now() - startedMs);
  return waitMs(Math.max(0, intervalMs - passedMs), signal);
}
