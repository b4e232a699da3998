/** The parts of Node's sockets that the preload replaces; they are not in the public types. */
import type { Socket } from 'node:net';

/** Handle of a TCP socket. */
export interface TcpHandle {
  readStart(): number;
  readStop(): number;
}

/** Callback of a stream method. */
export type Done = (error?: Error | null) => void;

/** A socket with its internal methods (Node 20, `lib/net.js`). */
export interface InternalSocket extends Omit<Socket, 'connecting' | '_final' | '_destroy'> {
  connecting: boolean;
  _handle: TcpHandle | null;
  _writeGeneric(isVector: boolean, data: unknown, encoding: string, done: Done): void;
  _final(done: Done): void;
  _destroy(error: Error | null, done: Done): void;
}

/** Type of `Socket.prototype` with its internal methods. */
export type SocketPrototype = Pick<
  InternalSocket,
  '_writeGeneric' | '_final' | '_destroy' | 'connect'
>;
