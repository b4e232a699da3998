/** Results of attempts, and the limits that a caller sets. */
import type { AttemptResult, Call, LoadReport } from '../../types/calls.js';
import type { NodeId } from '../../types/ids.js';
import type { NotRunReason, UnknownReason } from '../../types/outcome.js';

/** Builds a result of kind `notRun`. */
export function buildNotRun(
  reason: NotRunReason,
  detail: string,
  load: LoadReport | undefined,
  hint?: NodeId,
): Extract<AttemptResult, { kind: 'notRun' }> {
  return { kind: 'notRun', reason, detail, load, hint, retriesExhausted: false };
}

/** Builds a result of kind `unknown`. */
export function buildUnknown(reason: UnknownReason, detail: string): AttemptResult {
  return { kind: 'unknown', reason, detail, retriesExhausted: false };
}

/** Waits for a caller's deadline or departure; the returned function stops the wait. */
export function onCallerLimit(
  call: Pick<Call, 'deadlineMs' | 'signal'>,
  listener: (reason: 'timeout' | 'cancelled') => void,
): () => void {
  const handleAbort = () => listener('cancelled');
  const timer = setTimeout(() => listener('timeout'), call.deadlineMs - performance.now());
  call.signal.addEventListener('abort', handleAbort, { once: true });
  if (call.signal.aborted) queueMicrotask(handleAbort);
  return () => {
    clearTimeout(timer);
    call.signal.removeEventListener('abort', handleAbort);
  };
}
