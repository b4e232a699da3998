/** Concurrency limit of one instance: additive increase, multiplicative decrease on shedding. */

const DECREASE_FACTOR = 0.7;

/** A limit between 1 and the number of slots of the instance. */
export interface ConcurrencyLimit {
  /** Returns the limit, rounded down to whole slots. */
  getLimit(slots: number): number;
  /** Raises the limit by 1 / limit, so by about one slot after `limit` successes. */
  recordSuccess(slots: number): void;
  /**
   * Lowers the limit after the instance shed a call while `inFlight` calls were in flight.
   * Exchanges that started before the last decrease are ignored, since they ran under the
   * earlier, higher limit.
   */
  recordShed(inFlight: number, startedAtMs: number, nowMs: number): void;
}

/** Creates a limit that initially equals the slots of the instance. */
export function createConcurrencyLimit(): ConcurrencyLimit {
  let limit = Infinity;
  let decreasedAtMs = -Infinity;
  return {
    getLimit: (slots) => Math.max(1, Math.floor(Math.min(limit, slots))),
    recordSuccess(slots) {
      if (limit < slots) limit += 1 / limit;
    },
    recordShed(inFlight, startedAtMs, nowMs) {
      if (startedAtMs < decreasedAtMs) return;
      limit = Math.max(1, Math.min(limit, inFlight) * DECREASE_FACTOR);
      decreasedAtMs = nowMs;
    },
  };
}
