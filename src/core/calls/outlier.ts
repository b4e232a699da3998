/** Ejects nodes that fail repeatedly, for exponentially growing times and in bounded number. */
import type { ServiceConfig } from '../../generated/types.js';

type OutlierConfig = ServiceConfig['outlier'];

/** Bounds the growth to 64 times `ejectMs`, so that a repaired node is tried again. */
const MAX_DOUBLINGS = 6;

/** Failures and ejections of one process of a node. */
export class OutlierState {
  private failures = 0;
  private ejections = 0;
  private ejectedForMs = 0;
  private untilMs = 0;

  /** End of the latest ejection. */
  get ejectedUntilMs(): number {
    return this.untilMs;
  }

  /** Records a failed call; at `consecutiveFailures` in a row the node is ejected. */
  recordFailure(config: OutlierConfig, nowMs: number): void {
    // Calls that were already under way when the node was ejected do not prolong the ejection.
    if (this.untilMs > nowMs) return;
    this.failures += 1;
    if (this.failures < config.consecutiveFailures) return;
    this.ejectedForMs = config.ejectMs * 2 ** Math.min(this.ejections, MAX_DOUBLINGS);
    this.untilMs = nowMs + this.ejectedForMs;
    this.ejections += 1;
    this.failures = 0;
  }

  /** Records a success; one long enough after an ejection resets the length of the next one. */
  recordSuccess(nowMs: number): void {
    this.failures = 0;
    if (this.ejections > 0 && nowMs - this.untilMs >= this.ejectedForMs) this.ejections = 0;
  }
}

/**
 * Returns the states that are ejected now: at most `maxEjectedPercent` of the given ones. Beyond
 * the bound those whose ejection ends first stay in use.
 */
export function listEjected(
  states: readonly OutlierState[],
  maxEjectedPercent: number,
  nowMs: number,
): ReadonlySet<OutlierState> {
  const ejected = states.filter((state) => state.ejectedUntilMs > nowMs);
  const bound = Math.floor((states.length * maxEjectedPercent) / 100);
  if (ejected.length > bound) {
    ejected.sort((a, b) => b.ejectedUntilMs - a.ejectedUntilMs);
    ejected.length = bound;
  }
  return new Set(ejected);
}
