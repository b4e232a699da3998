/** Opens connections to peers. */
import { connect, type Socket } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { PeerAddress } from '../../types/interfaces.js';
import { formatHostPort } from '../../utils/address.js';
import { CONNECT_TIMEOUT_MS } from './limits.js';

/** Returns the text form of an address, as used in logs and errors. */
export function formatAddress(address: PeerAddress): string {
  return formatHostPort(address.host, address.port);
}

/** Opens a connection to a peer port. Errors: kind `unavailable` or `timeout`. */
export function connectPeer(
  address: PeerAddress,
  signal: AbortSignal,
): Promise<Result<Socket, StepError>> {
  const peer = formatAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ ...address, noDelay: true, keepAlive: true });
    const onAbort = () => socket.destroy();
    const finish = (result: Result<Socket, StepError>) => {
      socket.removeAllListeners();
      socket.setTimeout(0);
      signal.removeEventListener('abort', onAbort);
      if (result.isErr()) {
        socket.on('error', () => {});
        socket.destroy();
      }
      resolve(result);
    };
    const fail = (kind: 'unavailable' | 'timeout', reason: string) =>
      finish(err(buildError(kind, 'peer.connect', peer, reason)));
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => fail('timeout', 'connection not opened in time'));
    socket.once('error', (error) => fail('unavailable', error.message));
    socket.once('close', () => fail('unavailable', 'closed while connecting'));
    socket.once('connect', () => finish(ok(socket)));
    signal.addEventListener('abort', onAbort, { once: true });
  });
}
