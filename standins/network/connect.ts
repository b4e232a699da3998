/** Delays connection attempts by one round trip and suspends them while their link is cut. */
import { buildError } from '../../src/errors.js';
import type { InternalSocket } from './internals.js';
import type { CutTable, LinkName } from './links.js';

/** Time-out of an attempt over a cut link, like that of unanswered SYN segments. */
const CONNECT_TIMEOUT_MS = 20_000;

/** Calls `connect` after a round trip without a cut; destroys the socket after the time-out. */
export function scheduleConnect(
  socket: InternalSocket,
  cuts: CutTable,
  link: LinkName,
  roundTripMs: number,
  connect: () => void,
): void {
  if (roundTripMs === 0 && !cuts.isCut(link)) {
    connect();
    return;
  }
  // As in `net`, so that earlier writes wait for the connection.
  Object.assign(socket, { connecting: true });
  let timer: NodeJS.Timeout;
  let timeout: NodeJS.Timeout;
  let unsubscribe = () => {};
  const cleanUp = () => {
    clearTimeout(timer);
    clearTimeout(timeout);
    unsubscribe();
  };
  const attempt = () => {
    if (cuts.isCut(link)) return;
    cleanUp();
    socket.removeListener('close', cleanUp);
    if (!socket.destroyed) connect();
  };
  const scheduleAttempt = () => {
    clearTimeout(timer);
    timer = setTimeout(attempt, roundTripMs);
  };
  unsubscribe = cuts.onChange(scheduleAttempt);
  timeout = setTimeout(() => {
    cleanUp();
    const error = buildError('timeout', 'connect', link, 'connect ETIMEDOUT: link is cut');
    socket.destroy(Object.assign(error, { code: 'ETIMEDOUT', syscall: 'connect' }));
  }, CONNECT_TIMEOUT_MS);
  socket.once('close', cleanUp);
  scheduleAttempt();
}
