/** Runs calls that must run at most once: each is reserved before anything is dispatched. */
import { Readable } from 'node:stream';
import type { AttemptResult, Call, LoadReport } from '../../types/calls.js';
import type { CallCounters } from './callCounters.js';
import { buildNotRun, buildUnknown } from '../calls/refusal.js';
import { onCallerLimit } from './callerLimit.js';
import type { MemoryKey, RequestMemory, Reservation, StoredOutcome } from './requestMemory.js';

/** What the handling of such calls needs. */
export interface OnceCallsOptions {
  readonly memory: RequestMemory;
  readonly counters: CallCounters;
  readonly getLoad: (call: Call) => LoadReport | undefined;
  /** Tells why this node takes no new work, if so. */
  readonly checkServing: (call: Call) => AttemptResult | undefined;
  /**
   * Waits for a slot and hands the call over. The reservation is settled in every case.
   */
  readonly run: (call: Call, reservation: Reservation) => Promise<AttemptResult>;
}

/** Creates the function that dispatches such a call. */
export function createOnceCalls(options: OnceCallsOptions) {
  const { memory, counters, getLoad, checkServing, run } = options;

  /** Converts the outcome of an earlier arrival; undefined when that one was not run. */
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

  const waitForFirst = async (
    call: Call,
    reservation: Reservation,
  ): Promise<AttemptResult | undefined> => {
    const first = reservation;
    first.waiters += 1;
    let stopWaiting = () => {};
    const limit = new Promise<AttemptResult>((resolve) => {
      stopWaiting = onCallerLimit(call, (reason) => {
        resolve(buildUnknown(reason, 'the first arrival of this request is still running'));
      });
    });
    const settled = first.outcome.then((outcome) => convertStored(call, outcome));
    const result = await Promise.race([settled, limit]);
    stopWaiting();
    first.waiters -= 1;
    first.onWaiterLeft();
    return result;
  };

  const runFirst = async (call: Call, key: MemoryKey): Promise<AttemptResult> => {
    const reservation = memory.add(key);
    if (reservation) return run(call, reservation);
    return buildNotRun('overloaded', 'the memory of dispatched requests is full', getLoad(call));
  };

  return async (call: Call, key: MemoryKey): Promise<AttemptResult> => {
    for (;;) {
      const known = memory.find(key);
      switch (known.kind) {
        case 'otherRequest':
          return buildNotRun(
            'bad-request',
            'the identifier was used for another request',
            getLoad(call),
          );
        case 'done':
          return convertStored(call, known.outcome) ?? buildUnknown('already-handed-over', '');
        case 'running': {
          const result = await waitForFirst(call, known.reservation);
          if (result) return result;
          break;
        }
        case 'new': {
          return checkServing(call) ?? runFirst(call, key);
        }
        default:
          return known satisfies never;
      }
    }
  };
}
