/** Forwards a call to the node on the host of an instance. */
import type { Dispatcher } from 'undici';
import type { MemberRecord } from '../../generated/types.js';
import type { AttemptResult, Call } from '../../types/calls.js';
import { CALL_HEADERS } from '../../types/outcome.js';
import { ForwardHandler, type CancelCause } from './forwardHandler.js';
import { buildNotRun } from './refusal.js';

/**
 * Time by which each hop shortens the deadline, so that the timeout response of the next node still
 * arrives in time. A round trip between data centres takes about 3 ms.
 */
const HOP_MARGIN_MS = 4;
/** Maximum share of the remaining time used as margin, for calls with short deadlines. */
const HOP_MARGIN_SHARE = 0.1;

/** Returns the time budget of the next hop, in whole milliseconds. */
export function computeHopBudgetMs(remainingMs: number): number {
  return Math.floor(remainingMs - Math.min(HOP_MARGIN_MS, remainingMs * HOP_MARGIN_SHARE));
}

function buildForwardHeaders(
  call: Call,
  member: MemberRecord,
  budgetMs: number,
): Record<string, string | string[] | undefined> {
  const headers: Record<string, string | string[] | undefined> = {};
  // Copies selectively, because `delete` would switch the object to slow dictionary mode in V8.
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
    return Promise.resolve(buildNotRun('cancelled', 'the caller disconnected'));
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
          headers: buildForwardHeaders(call, member, budgetMs),
        },
        handler,
      );
    } catch (thrown) {
      handler.onResponseError(undefined, thrown instanceof Error ? thrown : new Error('dispatch'));
    }
  });
}
