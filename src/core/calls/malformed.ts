/** Answers requests that Node's HTTP parser refuses, before they reach the call path. */
import type { Duplex } from 'node:stream';
import { CALL_HEADERS } from '../../types/outcome.js';

/** Counts the exchanges on each connection, so that no refusal is written into a response. */
export interface ActiveExchanges {
  add(socket: Duplex): void;
  remove(socket: Duplex): void;
  /** Refuses a malformed request, or closes the connection if a response is under way. */
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

/** Creates a counter without connections. */
export function createActiveExchanges(): ActiveExchanges {
  const counts = new WeakMap<Duplex, number>();
  const addTo = (socket: Duplex, by: number) => {
    counts.set(socket, (counts.get(socket) ?? 0) + by);
  };
  return {
    add: (socket) => addTo(socket, 1),
    remove: (socket) => addTo(socket, -1),
    refuseMalformed(error, socket) {
      if (error.code === 'ECONNRESET' || !socket.writable || (counts.get(socket) ?? 0) > 0) {
        socket.destroy();
        return;
      }
      socket.end(formatRefusal(error.code));
    },
  };
}
