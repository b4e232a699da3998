/** Exponential backoff with full jitter, so that many clients do not retry at the same moment. */
import type { CallSignal } from '../types/calls.js';

/** Bounds of a backoff, in milliseconds. */
export interface BackoffBounds {
  readonly baseMs: number;
  readonly maxMs: number;
}

/** Returns a delay drawn evenly from zero to the exponential bound of this attempt (from 0). */
export function computeDelayMs(
  bounds: BackoffBounds,
  attempt: number,
  random: () => number = Math.random,
): number {
  const bound = Math.min(bounds.maxMs, bounds.baseMs * 2 ** Math.min(attempt, 30));
  return random() * bound;
}

/** Waits; resolves early, without an error, when the signal is aborted. */
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
