/** Notification when a call's deadline passes or its caller aborts. */
import type { Call } from '../../types/calls.js';

/**
 * Calls the listener when the deadline passes or the caller aborts. The returned function removes
 * the timer and the abort listener.
 */
export function watchDeadlineOrAbort(
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
