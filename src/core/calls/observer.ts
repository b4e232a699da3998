/** Interface through which the call path reports results for metrics. */
import type { RouteName } from '../../types/ids.js';
import type { Outcome } from '../../types/outcome.js';

/** Why a call spilled over to another data centre. */
export type SpillOverReason = 'none-usable' | 'all-full';

/** Receives the completed calls, spill-overs and retries of an entry node. */
export interface CallObserver {
  /** `latencyMs` is measured from the request head to the end of the response body. */
  record(route: RouteName, outcome: Outcome, latencyMs: number): void;
  recordSpillOver(route: RouteName, reason: SpillOverReason): void;
  recordRetry(route: RouteName): void;
}

/** An observer that does nothing. */
export const NOOP_OBSERVER: CallObserver = {
  record: () => {},
  recordSpillOver: () => {},
  recordRetry: () => {},
};
