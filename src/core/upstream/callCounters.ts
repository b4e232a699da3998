/** Counters of the calls to local instances, for operators. */
import type { AttemptResult } from '../../types/calls.js';
import type { NotRunReason, UnknownReason } from '../../types/outcome.js';

/** Counts since the process started; `inFlight` and `queued` are current. */
export interface CallCounts {
  readonly inFlight: number;
  readonly queued: number;
  /** Exchanges in flight that no caller waits for. */
  readonly abandoned: number;
  readonly dispatched: number;
  readonly answered: number;
  /** Answers to duplicates, from the stored answer of the first arrival. */
  readonly repeated: number;
  readonly cancelsSent: number;
  readonly refused: Readonly<Partial<Record<NotRunReason, number>>>;
  readonly unknown: Readonly<Partial<Record<UnknownReason, number>>>;
}

/** Counts calls by result. */
export interface CallCounters {
  recordResult(result: AttemptResult): void;
  recordDispatch(): void;
  recordRepeated(): void;
  recordCancel(): void;
  getCounts(current: Pick<CallCounts, 'inFlight' | 'queued' | 'abandoned'>): CallCounts;
}

/** Creates counters at zero. */
export function createCallCounters(): CallCounters {
  let dispatched = 0;
  let answered = 0;
  let repeated = 0;
  let cancelsSent = 0;
  const refused: Partial<Record<NotRunReason, number>> = {};
  const unknown: Partial<Record<UnknownReason, number>> = {};
  return {
    recordResult(result) {
      switch (result.kind) {
        case 'answered':
          answered += 1;
          break;
        case 'notRun':
          refused[result.reason] = (refused[result.reason] ?? 0) + 1;
          break;
        case 'unknown':
          unknown[result.reason] = (unknown[result.reason] ?? 0) + 1;
          break;
        default:
          result satisfies never;
      }
    },
    recordDispatch() {
      dispatched += 1;
    },
    recordRepeated() {
      repeated += 1;
    },
    recordCancel() {
      cancelsSent += 1;
    },
    getCounts: (current) => ({
      ...current,
      dispatched,
      answered,
      repeated,
      cancelsSent,
      refused: { ...refused },
      unknown: { ...unknown },
    }),
  };
}
