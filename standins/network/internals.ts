/** Internal socket methods of Node.js that the preload replaces; the public types omit them. */
import type { Socket } from 'node:net';

/** Handle of a TCP socket. */
export interface TcpHandle {
  readStart(): number;
  readStop(): number;
}

export type StreamCallback = (error?: Error | null) => void;

/** A socket with its internal methods (Node.js 20, `lib/net.js`). */
export interface InternalSocket extends Omit<Socket, 'connecting' | '_final' | '_destroy'> {
  connecting: boolean;
  _handle: TcpHandle | null;
  _writeGeneric(isVector: boolean, data: unknown, encoding: string, done: StreamCallback): void;
  _final(done: StreamCallback): void;
  _destroy(error: Error | null, done: StreamCallback): void;
}

/** Type of `Socket.prototype` with its internal methods. */
export type SocketPrototype = Pick<
  InternalSocket,
  '_writeGeneric' | '_final' | '_destroy' | 'connect'
>;
