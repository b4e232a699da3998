/**
 * Timeout for the responses of one peer. It rises once a response has not arrived in time, so that
 * a slow peer is awaited instead of being asked again.
 */

/** Bounds of the timeout; the upper one bounds the time to detect that a silent peer is back. */
const TIMEOUT_BOUNDS_MS = { min: 1000, max: 1700 };

/** Longest delay of a response of a peer that is not slow. */
const MAX_DELAY_MS = 500;

export class ResponseTimeout {
  private timeoutMs = TIMEOUT_BOUNDS_MS.min;

  /** Returns the time for which the next response is awaited, in milliseconds. */
  getMs(): number {
    return this.timeoutMs;
  }

  /** Records that a response has not arrived in time. */
  recordTimeout(): void {
    this.timeoutMs = TIMEOUT_BOUNDS_MS.max;
  }

  /** Records a response and the time that it was awaited, in milliseconds. */
  recordResponse(delayMs: number): void {
    if (delayMs <= MAX_DELAY_MS) this.timeoutMs = TIMEOUT_BOUNDS_MS.min;
  }
}
