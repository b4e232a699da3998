/** Concurrency limit of one instance: additive increase, multiplicative decrease on shedding. */

const DECREASE_FACTOR = 0.7;

/** A limit between 1 and the slots of the instance. */
export interface ConcurrencyLimit {
  /** Returns the limit in whole slots. */
  getLimit(slots: number): number;
  /** Raises the limit by about one slot for each `limit` successes. */
  recordSuccess(slots: number): void;
  /**
   * Lowers the limit from `inFlight`. Sheds of exchanges that started before the last decrease
   * are ignored: they say nothing about the lowered limit.
   */
  recordShed(inFlight: number, startedAtMs: number, nowMs: number): void;
}

/** Creates a limit that starts at the slots of the instance. */
export function createConcurrencyLimit(): ConcurrencyLimit {
  let value = Infinity;
  let decreasedAtMs = -Infinity;
  return {
    getLimit: (slots) => Math.max(1, Math.floor(Math.min(value, slots))),
    recordSuccess(slots) {
      if (value < slots) value += 1 / value;
    },
    recordShed(inFlight, startedAtMs, nowMs) {
      if (startedAtMs < decreasedAtMs) return;
      value = Math.max(1, Math.min(value, inFlight) * DECREASE_FACTOR);
      decreasedAtMs = nowMs;
    },
  };
}
