import { waitMs } from './backoff.js';

/**
 * Waits for the remainder of an interval that started at `startedAtMs` of the wall clock. If the
 * clock is set back in the meantime, the wait is at most one full interval.
 */
export function waitRemaining(
  intervalMs: number,
  startedAtMs: number,
  signal: AbortSignal,
): Promise<void> {
  const elapsedMs = Math.max(0, Date.now() - startedAtMs);
  return waitMs(Math.max(0, intervalMs - elapsedMs), signal);
}
