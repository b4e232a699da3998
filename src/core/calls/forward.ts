/** Forwards a call to the node beside an instance. */
import type { Dispatcher } from 'undici';
import type { MemberRecord } from '../../generated/types.js';
import type { AttemptResult, Call } from '../../types/calls.js';
import { CALL_HEADERS } from '../../types/outcome.js';
import { ForwardHandler, type CancelCause } from './forwardHandler.js';
import { buildNotRun } from './refusal.js';

/**
 * Time kept back at each hop so that the answer of an inner node that reached its deadline still
 * arrives. One round trip between data centres takes about 3 ms in today's meshes.
 */
const HOP_MARGIN_MS = 4;
/** Largest share of the remaining time that is kept back, for calls with short deadlines. */
const HOP_MARGIN_SHARE = 0.1;

/** Returns the time budget that the next hop gets, in whole milliseconds. */
export function computeHopBudgetMs(remainingMs: number): number {
  return Math.floor(remainingMs - Math.min(HOP_MARGIN_MS, remainingMs * HOP_MARGIN_SHARE));
}

function listForwardHeaders(
  call: Call,
  member: MemberRecord,
  budgetMs: number,
): Record<string, string | string[] | undefined> {
  const headers: Record<string, string | string[] | undefined> = {};
  // A copy without a `delete`, which would turn the object into a slow dictionary.
  for (const name of Object.keys(call.headers)) {
    if (name !== 'content-length') headers[name] = call.headers[name];
  }
  headers[CALL_HEADERS.target] = `${member.nodeId}/${member.incarnation}`;
  headers[CALL_HEADERS.request] = call.requestId;
  headers[CALL_HEADERS.route] = call.route.name;
  headers[CALL_HEADERS.deadlineMs] = String(budgetMs);
  headers[CALL_HEADERS.depth] = String(call.depth);
  return headers;
}

/** Forwards one call to a member and resolves when its outcome or response head is known. */
export function forwardCall(
  dispatcher: Dispatcher,
  call: Call,
  member: MemberRecord,
): Promise<AttemptResult> {
  const remainingMs = call.deadlineMs - performance.now();
  const budgetMs = computeHopBudgetMs(remainingMs);
  if (budgetMs <= 0) return Promise.resolve(buildNotRun('deadline', 'no time left to forward'));
  if (call.signal.aborted) {
    return Promise.resolve(buildNotRun('cancelled', 'the caller went away'));
  }
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout;
    let cancel: () => void;
    const handler = new ForwardHandler(call.requestId, member.nodeId, {
      onResult: resolve,
      onEnd: () => {
        clearTimeout(timer);
        call.signal.removeEventListener('abort', cancel);
      },
    });
    const cancelExchange = (cause: CancelCause) => handler.cancelExchange(cause);
    cancel = () => cancelExchange('cancelled');
    timer = setTimeout(cancelExchange, remainingMs, 'deadline');
    call.signal.addEventListener('abort', cancel, { once: true });
    try {
      dispatcher.dispatch(
        {
          path: call.path,
          method: call.method,
          body: call.body.length > 0 ? call.body : null,
          headers: listForwardHeaders(call, member, budgetMs),
        },
        handler,
      );
    } catch (thrown) {
      handler.onResponseError(undefined, thrown instanceof Error ? thrown : new Error('dispatch'));
    }
  });
}
