/** Fake connection pools: a function of the test answers each forwarded call. */
import type { Dispatcher, Pool } from 'undici';
import { formatLoad } from '../../src/core/calls/answer.js';
import type { PeerPools } from '../../src/core/calls/peerPools.js';
import { getFailureStatus } from '../../src/core/calls/refusal.js';
import type { AttemptResult } from '../../src/types/calls.js';
import type { MemberRecord } from '../../src/generated/types.js';
import { CALL_HEADERS } from '../../src/types/outcome.js';

/** Reply to a forwarded call; `lost` closes the connection after the request was sent. */
export type ForwardReply = AttemptResult | 'lost';

/** Answers a forwarded call; a promise that stays pending simulates a node that hangs. */
export type ForwardReplier = (
  record: MemberRecord,
  requestId: string,
  signal: AbortSignal,
) => Promise<ForwardReply>;

function formatHeaders(result: AttemptResult, requestId: string): Record<string, string> {
  const headers: Record<string, string> = { [CALL_HEADERS.request]: requestId };
  if (result.kind !== 'unknown' && result.load) {
    headers[CALL_HEADERS.load] = formatLoad(result.load);
  }
  if (result.kind === 'answered') return headers;
  headers[CALL_HEADERS.outcome] = result.kind === 'notRun' ? 'not-run' : 'unknown';
  headers[CALL_HEADERS.reason] = result.reason;
  if (result.retriesExhausted) headers[CALL_HEADERS.retry] = 'exhausted';
  return headers;
}

async function answerForward(
  handler: Dispatcher.DispatchHandler,
  record: MemberRecord,
  requestId: string,
  reply: ForwardReplier,
): Promise<void> {
  const abort = new AbortController();
  let isEnded = false;
  let controller: Dispatcher.DispatchController;
  const fail = (error: Error) => {
    if (isEnded) return;
    isEnded = true;
    handler.onResponseError?.(controller, error);
  };
  controller = {
    abort: (error: Error) => {
      abort.abort();
      fail(error);
    },
    pause: () => {},
    resume: () => {},
  } as unknown as Dispatcher.DispatchController;
  const pendingReply = reply(record, requestId, abort.signal);
  handler.onRequestStart?.(controller, undefined);
  const result = await pendingReply;
  if (isEnded) {
    if (typeof result === 'object' && result.kind === 'answered') result.body.destroy();
    return;
  }
  if (typeof result === 'string') {
    fail(new Error(result));
    return;
  }
  const status = result.kind === 'answered' ? result.status : getFailureStatus(result);
  handler.onResponseStart?.(controller, status, formatHeaders(result, requestId), '');
  if (result.kind === 'answered') {
    try {
      for await (const chunk of result.body) handler.onResponseData?.(controller, chunk as Buffer);
    } catch (thrown) {
      fail(thrown as Error);
    }
  }
  if (isEnded) return;
  isEnded = true;
  handler.onResponseEnd?.(controller, {});
}

/** Creates pools whose connections are always established. */
export function createFakePools(reply: ForwardReplier): PeerPools {
  const dispatchTo =
    (record: MemberRecord) =>
    (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) => {
      const headers = options.headers as Record<string, string>;
      void answerForward(handler, record, String(headers[CALL_HEADERS.request]), reply);
      return true;
    };
  return {
    getPool: (record) => ({ dispatch: dispatchTo(record) }) as unknown as Pool,
    remove: () => {},
    close: async () => {},
  };
}
