/** Responds to requests that Node's HTTP parser rejects. */
import type { Duplex } from 'node:stream';
import { CALL_HEADERS } from '../../types/outcome.js';

/** Counts active exchanges per connection, so that no refusal is written into a response. */
export interface ActiveExchanges {
  add(socket: Duplex): void;
  remove(socket: Duplex): void;
  /** Refuses a malformed request, or closes the connection if an exchange is active on it. */
  refuseMalformed(error: NodeJS.ErrnoException, socket: Duplex): void;
}

function formatRefusal(code: string | undefined): string {
  const isTooLarge = code === 'HPE_HEADER_OVERFLOW';
  const status = isTooLarge ? '431 Request Header Fields Too Large' : '400 Bad Request';
  const lines = [
    `HTTP/1.1 ${status}`,
    'connection: close',
    'content-length: 0',
    `${CALL_HEADERS.outcome}: not-run`,
    `${CALL_HEADERS.reason}: bad-request`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

export function createActiveExchanges(): ActiveExchanges {
  const counts = new WeakMap<Duplex, number>();
  const changeCount = (socket: Duplex, by: number) => {
    counts.set(socket, (counts.get(socket) ?? 0) + by);
  };
  return {
    add: (socket) => changeCount(socket, 1),
    remove: (socket) => changeCount(socket, -1),
    refuseMalformed(error, socket) {
      if (error.code === 'ECONNRESET' || !socket.writable || (counts.get(socket) ?? 0) > 0) {
        socket.destroy();
        return;
      }
      socket.end(formatRefusal(error.code));
    },
  };
}
