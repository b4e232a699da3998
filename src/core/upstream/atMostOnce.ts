/** At-most-once dispatch: the request identifier is reserved before the call is dispatched. */
import { Readable } from 'node:stream';
import type { AttemptResult, Call, LoadReport } from '../../types/calls.js';
import type { CallCounters } from './callCounters.js';
import { buildNotRun, buildUnknown } from '../calls/refusal.js';
import type {
  DeduplicationKey,
  DeduplicationStore,
  Reservation,
  StoredOutcome,
} from './deduplicationStore.js';
import { watchDeadlineOrAbort } from './watchDeadlineOrAbort.js';

/** Options of at-most-once dispatch. */
export interface AtMostOnceOptions {
  readonly deduplication: DeduplicationStore;
  readonly counters: CallCounters;
  readonly getLoad: (call: Call) => LoadReport | undefined;
  /** Returns a refusal when this node accepts no new calls. */
  readonly checkServing: (call: Call) => AttemptResult | undefined;
  /** Waits for a slot and dispatches the call. Always settles the reservation. */
  readonly run: (call: Call, reservation: Reservation) => Promise<AttemptResult>;
}

/** Creates a function that dispatches calls at most once. */
export function createAtMostOnceDispatch(options: AtMostOnceOptions) {
  const { deduplication, counters, getLoad, checkServing, run } = options;

  /** Converts the outcome of an earlier arrival; undefined when that call was not run. */
  const convertStored = (call: Call, outcome: StoredOutcome): AttemptResult | undefined => {
    switch (outcome.kind) {
      case 'answer': {
        counters.recordRepeated();
        const { status, headers } = outcome;
        const body = Readable.from([outcome.body], { objectMode: false });
        return { kind: 'answered', status, headers, body, load: getLoad(call) };
      }
      case 'handedOver':
        return buildUnknown('already-handed-over', outcome.detail);
      case 'notRun':
        return undefined;
      default:
        return outcome satisfies never;
    }
  };

  const waitForRunning = async (
    call: Call,
    reservation: Reservation,
  ): Promise<AttemptResult | undefined> => {
    const running = reservation;
    running.waiters += 1;
    let stopWaiting = () => {};
    const deadlineOrAbort = new Promise<AttemptResult>((resolve) => {
      stopWaiting = watchDeadlineOrAbort(call, (reason) => {
        resolve(buildUnknown(reason, 'the first arrival of this request is still running'));
      });
    });
    const settled = running.outcome.then((outcome) => convertStored(call, outcome));
    const result = await Promise.race([settled, deadlineOrAbort]);
    stopWaiting();
    running.waiters -= 1;
    running.onWaiterRemoved();
    return result;
  };

  const reserveAndRun = async (call: Call, key: DeduplicationKey): Promise<AttemptResult> => {
    const reservation = deduplication.add(key);
    if (reservation) return run(call, reservation);
    return buildNotRun('overloaded', 'the memory of dispatched requests is full', getLoad(call));
  };

  return async (call: Call, key: DeduplicationKey): Promise<AttemptResult> => {
    for (;;) {
      const lookup = deduplication.find(key);
      switch (lookup.kind) {
        case 'otherRequest':
          return buildNotRun(
            'bad-request',
            'the identifier was used for another request',
            getLoad(call),
          );
        case 'done':
          return convertStored(call, lookup.outcome) ?? buildUnknown('already-handed-over', '');
        case 'running': {
          const result = await waitForRunning(call, lookup.reservation);
          if (result) return result;
          break;
        }
        case 'new': {
          return checkServing(call) ?? reserveAndRun(call, key);
        }
        default:
          return lookup satisfies never;
      }
    }
  };
}
