/** Delays connection attempts by a round trip and holds them back while their link is cut. */
import { buildError } from '../../src/errors.js';
import type { InternalSocket } from './internals.js';
import type { CutTable, LinkName } from './links.js';

/** Time after which an attempt over a cut link fails, as unanswered SYN segments do. */
const CONNECT_LIMIT_MS = 20_000;

/** Runs `connect` when the link allows it; fails the socket when it stays cut. */
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
  // As in `net`, so that writes before the connection wait for it.
  Object.assign(socket, { connecting: true });
  let timer: NodeJS.Timeout;
  let limit: NodeJS.Timeout;
  let ignoreCuts = () => {};
  const stop = () => {
    clearTimeout(timer);
    clearTimeout(limit);
    ignoreCuts();
  };
  const attempt = () => {
    if (cuts.isCut(link)) return;
    stop();
    socket.removeListener('close', stop);
    if (!socket.destroyed) connect();
  };
  const retry = () => {
    clearTimeout(timer);
    timer = setTimeout(attempt, roundTripMs);
  };
  ignoreCuts = cuts.onChange(retry);
  limit = setTimeout(() => {
    stop();
    const error = buildError('timeout', 'connect', link, 'connect ETIMEDOUT: link is cut');
    socket.destroy(Object.assign(error, { code: 'ETIMEDOUT', syscall: 'connect' }));
  }, CONNECT_LIMIT_MS);
  socket.once('close', stop);
  retry();
}
