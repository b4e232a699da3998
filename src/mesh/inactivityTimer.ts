/** Timeout of a call by the time without data, so that a long response is not aborted. */
import type { HttpConnection } from './httpConnection.js';

/**
 * Aborts the exchange of a connection when no data arrives for `timeoutMs`, at first after the
 * `waitMs` for which the peer may hold its response back. Returns a function that stops the timer.
 */
export function startInactivityTimer(
  connection: HttpConnection,
  waitMs: number,
  timeoutMs: number,
): () => void {
  let timer: NodeJS.Timeout;
  const startedAtMs = performance.now();
  const check = () => {
    const lastActivityMs = Math.max(connection.lastReceivedAtMs, startedAtMs + waitMs);
    const remainingMs = lastActivityMs + timeoutMs - performance.now();
    if (remainingMs <= 0) connection.abort('timeout');
    else timer = setTimeout(check, remainingMs);
  };
  timer = setTimeout(check, waitMs + timeoutMs);
  return () => clearTimeout(timer);
}
