/** Pool of idle connections to one address; the most recently used connection is reused first. */
import type { PeerAddress } from '../types/interfaces.js';
import { HttpConnection, openSocket } from './httpConnection.js';

/** Fraction of the peer's keep-alive timeout after which a connection is not reused. */
const IDLE_TIMEOUT_RATIO = 0.6;

export class ConnectionPool {
  private idle: HttpConnection[] = [];

  constructor(private readonly address: PeerAddress) {}

  /** Returns a connection that has been idle for at most `maxIdleMs`, and closes older ones. */
  takeIdle(maxIdleMs: number): HttpConnection | undefined {
    const nowMs = performance.now();
    for (let connection = this.idle.pop(); connection; connection = this.idle.pop()) {
      const limitMs = Math.min(
        maxIdleMs,
        (connection.peerIdleTimeoutMs ?? maxIdleMs) * IDLE_TIMEOUT_RATIO,
      );
      if (connection.canReuse() && nowMs - connection.idleSinceMs <= limitMs) return connection;
      connection.abort('idle');
    }
    return undefined;
  }

  /** Opens a connection; resolves to the reason when that fails. */
  async connect(timeoutMs: number): Promise<HttpConnection | string> {
    const socket = await openSocket(this.address, timeoutMs);
    if (typeof socket === 'string') return socket;
    return new HttpConnection(socket, (closed) => this.remove(closed));
  }

  /** Returns a connection to the pool, or closes it when it cannot be reused. */
  release(connection: HttpConnection): void {
    if (connection.canReuse()) this.idle.push(connection);
    else connection.abort('not reusable');
  }

  /** Closes all idle connections. */
  close(): void {
    for (const connection of [...this.idle]) connection.abort('pool closed');
    this.idle = [];
  }

  private remove(connection: HttpConnection): void {
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
  }
}
