/** A caller's deadline and departure. */
import type { Call } from '../../types/calls.js';

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
