/** A dispatched call: its exchange with the upstream, its deadline and its cancellation. */
import type { Dispatcher } from 'undici';
import type { AttemptResult, Call, LoadReport } from '../../types/calls.js';
import { buildNotRun, buildUnknown } from '../calls/refusal.js';
import {
  MAX_STORED_ANSWER_BYTES,
  type Reservation,
  type StoredOutcome,
} from './deduplicationStore.js';
import { startExchange, type BodyEnd, type Exchange, type ExchangeHead } from './exchange.js';
import {
  buildRequestHeaders,
  filterResponseHeaders,
  isNotRunProof,
  isMismatchedResponse,
  isRetryExhausted,
  isShed,
} from './upstreamHeaders.js';
import { watchDeadlineOrAbort } from './watchDeadlineOrAbort.js';

/** Options of a run. */
export interface CallRunOptions {
  readonly call: Call;
  readonly dispatcher: Dispatcher;
  /** Present for calls that run at most once. */
  readonly reservation: Reservation | undefined;
  readonly getLoad: () => LoadReport | undefined;
  /** Sends the cancellation to the upstream. */
  readonly cancel: () => void;
}

/** How the exchange of a run ended. */
export interface RunEnd {
  readonly end: BodyEnd;
  /** True when the upstream shed the call. */
  readonly wasShed: boolean;
  /** True when the upstream answered and did not shed the call. */
  readonly hasAnswered: boolean;
}

/** A dispatched call. */
export interface CallRun {
  readonly result: Promise<AttemptResult>;
  /** Resolves when the slot may be freed. */
  readonly ended: Promise<RunEnd>;
  /** True while a caller waits for the response or reads it. */
  isAwaited(): boolean;
  /**
   * Ends the run for its callers and cancels it at the upstream. Also closes the connection if
   * `shouldClose` is set.
   */
  abort(detail: string, shouldClose: boolean): void;
}

function convertHead(
  head: ExchangeHead,
  call: Call,
  getLoad: () => LoadReport | undefined,
): AttemptResult {
  if (head.kind === 'failed') {
    const detail = head.error.message;
    if (head.wasSent) return buildUnknown(head.reason, detail);
    return buildNotRun('connect-failed', detail, getLoad());
  }
  const { status, headers, body } = head;
  if (isNotRunProof(status, headers, call.requestId)) {
    body.resume();
    const refusal = buildNotRun('overloaded', 'the upstream shed the call', getLoad());
    return { ...refusal, retriesExhausted: isRetryExhausted(headers) };
  }
  return {
    kind: 'answered',
    status,
    headers: filterResponseHeaders(headers),
    body,
    load: getLoad(),
  };
}

function convertStored(head: ExchangeHead, end: BodyEnd, call: Call): StoredOutcome {
  if (head.kind === 'failed') {
    return head.wasSent ? { kind: 'handedOver', detail: head.error.message } : { kind: 'notRun' };
  }
  const { status, headers } = head;
  if (isNotRunProof(status, headers, call.requestId)) return { kind: 'notRun' };
  if (end.kind !== 'complete') {
    return { kind: 'handedOver', detail: `the answer was not kept: ${end.kind}` };
  }
  return { kind: 'answer', status, headers: filterResponseHeaders(headers), body: end.body };
}

/** Sends a call to its upstream. */
export function startCallRun(options: CallRunOptions): CallRun {
  const { call, reservation, getLoad, cancel } = options;
  let isCallerWaiting = true;
  let hasEnded = false;
  let head: ExchangeHead | undefined;
  let exchange: Exchange;
  let resolveResult: (result: AttemptResult) => void;
  const result = new Promise<AttemptResult>((resolve) => {
    resolveResult = resolve;
  });

  const isAwaited = () => !hasEnded && (isCallerWaiting || (reservation?.waiters ?? 0) > 0);
  const cancelIfAbandoned = () => {
    if (!hasEnded && !isAwaited()) cancel();
  };
  const detachCaller = () => {
    if (!isCallerWaiting) return;
    isCallerWaiting = false;
    cancelIfAbandoned();
  };
  const finishForCaller = (reason: 'timeout' | 'cancelled', detail: string) => {
    if (head?.kind === 'response') {
      // Destroying an unread body also detaches the caller (onBodyDestroyed).
      if (isCallerWaiting) head.body.destroy(new Error(detail));
      return;
    }
    if (exchange.abortUnsent(new Error(detail))) {
      const notRun = reason === 'timeout' ? 'deadline' : 'cancelled';
      resolveResult(buildNotRun(notRun, `${detail}; no connection was made`, getLoad()));
      isCallerWaiting = false;
      return;
    }
    resolveResult(buildUnknown(reason, detail));
    detachCaller();
  };

  exchange = startExchange({
    dispatcher: options.dispatcher,
    request: {
      method: call.method,
      path: call.path,
      headers: buildRequestHeaders(call, performance.now()),
      body: call.body.length > 0 ? call.body : null,
    },
    maxStoredBytes: reservation ? MAX_STORED_ANSWER_BYTES : 0,
    isMatchingResponse: (headers) => !isMismatchedResponse(headers, call.requestId),
    onBodyDestroyed: detachCaller,
  });
  const stopWaiting = watchDeadlineOrAbort(call, (reason) => {
    finishForCaller(reason, reason === 'timeout' ? 'the deadline passed' : 'the caller has gone');
  });
  if (reservation) reservation.onWaiterRemoved = cancelIfAbandoned;

  const trackExchange = async (): Promise<RunEnd> => {
    head = await exchange.head;
    resolveResult(convertHead(head, call, getLoad));
    // The upstream answered another request and may still be running this one.
    if (head.kind === 'failed' && head.reason === 'mismatched-answer') cancel();
    // The caller got its result before the response arrived, so discard the body.
    if (!isCallerWaiting && head.kind === 'response') head.body.resume();
    const end = await exchange.ended;
    hasEnded = true;
    stopWaiting();
    reservation?.settle(convertStored(head, end, call));
    const wasShed = head.kind === 'response' && isShed(head.status);
    return { end, wasShed, hasAnswered: head.kind === 'response' && !wasShed };
  };

  return {
    result,
    ended: trackExchange(),
    isAwaited,
    abort(detail, shouldClose) {
      if (hasEnded) return;
      finishForCaller('cancelled', detail);
      if (shouldClose) exchange.abort(new Error(detail));
    },
  };
}
