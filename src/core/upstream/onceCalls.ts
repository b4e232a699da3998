/** Runs calls that must run at most once: each key is reserved before anything is dispatched. */
import { Readable } from 'node:stream';
import type { AttemptResult, Call, LoadReport } from '../../types/calls.js';
import type { NodeId } from '../../types/ids.js';
import type { CallCounters } from './callCounters.js';
import { buildNotRun, buildUnknown } from '../calls/refusal.js';
import { onCallerLimit } from './callerLimit.js';
import type { KeyPartitions } from './keyPartitions.js';
import type { KeyVerdict } from './keyVerdict.js';
import type { MemoryKey, RequestMemory, Reservation, StoredOutcome } from './requestMemory.js';

/** Entries of tokens from further ahead would stay in the memory beyond its retention. */
const MAX_TOKEN_AHEAD_MS = 120_000;

/** What the handling of such calls needs. */
export interface OnceCallsOptions {
  readonly nodeId: NodeId;
  readonly incarnation: string;
  readonly memory: RequestMemory;
  readonly partitions: Pick<KeyPartitions, 'checkKey' | 'takeKey'>;
  readonly counters: CallCounters;
  readonly getLoad: (call: Call) => LoadReport | undefined;
  /** Tells why this node takes no new work, if so. */
  readonly checkServing: (call: Call) => AttemptResult | undefined;
  /**
   * Waits for a slot and hands the call over. `checkHandOver` is asked right before; an
   * answer of it refuses the call. The reservation is settled in every case.
   */
  readonly run: (
    call: Call,
    reservation: Reservation,
    checkHandOver: () => AttemptResult | undefined,
  ) => Promise<AttemptResult>;
}

/** Creates the function that dispatches a call with its key. */
export function createOnceCalls(options: OnceCallsOptions) {
  const { memory, partitions, counters, getLoad, checkServing, run } = options;

  const convertVerdict = (call: Call, verdict: KeyVerdict): AttemptResult | undefined => {
    switch (verdict.kind) {
      case 'allowed':
        return undefined;
      case 'notRun':
        return buildNotRun(verdict.reason, verdict.detail, getLoad(call), verdict.hint);
      case 'unknown':
        return buildUnknown('process-replaced', verdict.detail);
      default:
        return verdict satisfies never;
    }
  };

  const checkToken = (call: Call, timeMs: number | undefined): AttemptResult | undefined => {
    const { key } = call;
    if (key.kind !== 'token') return undefined;
    if (key.nodeId !== options.nodeId || key.incarnation !== options.incarnation) {
      return buildUnknown('process-replaced', `the token names ${key.nodeId}/${key.incarnation}`);
    }
    if (timeMs !== undefined && timeMs > Date.now() + MAX_TOKEN_AHEAD_MS) {
      return buildNotRun('bad-request', 'the token is from the future', getLoad(call));
    }
    return undefined;
  };

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
        resolve(buildUnknown(reason, 'the first request with this key is still running'));
      });
    });
    const settled = first.outcome.then((outcome) => convertStored(call, outcome));
    const result = await Promise.race([settled, limit]);
    stopWaiting();
    first.waiters -= 1;
    first.onWaiterLeft();
    return result;
  };

  const takeKey = (call: Call): AttemptResult | undefined => {
    if (call.key.kind !== 'uuid') return undefined;
    return convertVerdict(call, partitions.takeKey(call.route.service.name, call.key));
  };

  /** Marks a refusal of a key that this process owns and has not run. */
  const recordChecked = (call: Call, result: AttemptResult): AttemptResult => {
    if (result.kind !== 'notRun' || takeKey(call)) return result;
    return { ...result, isKeyChecked: true };
  };

  const runFirst = async (call: Call, key: MemoryKey): Promise<AttemptResult> => {
    const reservation = memory.add(key);
    if (reservation) {
      return recordChecked(call, await run(call, reservation, () => takeKey(call)));
    }
    const detail = 'the memory of dispatched keys is full';
    return recordChecked(call, buildNotRun('overloaded', detail, getLoad(call)));
  };

  return async (call: Call, key: MemoryKey): Promise<AttemptResult> => {
    const refusedToken = checkToken(call, key.timeMs);
    if (refusedToken) return refusedToken;
    let isOwnerChecked = call.key.kind !== 'uuid';
    for (;;) {
      const known = memory.find(key);
      switch (known.kind) {
        case 'otherRequest':
          return buildNotRun('bad-request', 'the key was used for another request', getLoad(call));
        case 'expired':
          return buildUnknown('already-handed-over', 'the key is older than the retention');
        case 'done':
          return convertStored(call, known.outcome) ?? buildUnknown('already-handed-over', '');
        case 'running': {
          const result = await waitForFirst(call, known.reservation);
          if (result) return result;
          break;
        }
        case 'new': {
          const refusal = checkServing(call);
          if (refusal) return isOwnerChecked ? recordChecked(call, refusal) : refusal;
          if (isOwnerChecked || call.key.kind !== 'uuid') return runFirst(call, key);
          // The check may read the platform; afterwards the memory is asked again.
          const verdict = await partitions.checkKey(call.route.service.name, call.key);
          const refused = convertVerdict(call, verdict);
          if (refused) return refused;
          isOwnerChecked = true;
          break;
        }
        default:
          return known satisfies never;
      }
    }
  };
}
