/** Exponential backoff with full jitter, so that many clients do not retry at the same moment. */
import type { CallSignal } from '../types/calls.js';

/** Base and maximum of an exponential backoff. */
export interface BackoffBounds {
  readonly baseMs: number;
  readonly maxMs: number;
}

/** Caps the exponent, so that the bound stays finite after many attempts. */
const MAX_EXPONENT = 30;

/** Returns a uniformly random delay from zero to the exponential bound of `attempt` (from 0). */
export function computeDelayMs(
  bounds: BackoffBounds,
  attempt: number,
  random: () => number = Math.random,
): number {
  const boundMs = Math.min(bounds.maxMs, bounds.baseMs * 2 ** Math.min(attempt, MAX_EXPONENT));
  return random() * boundMs;
}

/** Waits for `delayMs`; resolves early, without an error, when the signal is aborted. */
export function waitMs(delayMs: number, signal?: CallSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    let timer: NodeJS.Timeout;
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    timer = setTimeout(finish, delayMs);
    signal?.addEventListener('abort', finish, { once: true });
  });
}
