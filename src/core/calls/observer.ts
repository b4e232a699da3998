/** Where the call path reports what happened, for metrics and operators. */
import type { RouteName } from '../../types/ids.js';
import type { Outcome } from '../../types/outcome.js';

/** Why a call went to another data centre. */
export type SpillOverReason = 'none-usable' | 'all-full';

/** Receives one record for each finished call of a route, at its entry node. */
export interface CallObserver {
  /** Latency runs from the request head to the end of the response body, in milliseconds. */
  record(route: RouteName, outcome: Outcome, latencyMs: number): void;
  recordSpillOver(route: RouteName, reason: SpillOverReason): void;
  recordRetry(route: RouteName): void;
}

/** An observer that keeps nothing. */
export const SILENT_OBSERVER: CallObserver = {
  record: () => {},
  recordSpillOver: () => {},
  recordRetry: () => {},
};
