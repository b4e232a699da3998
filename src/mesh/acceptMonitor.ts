/**
 * Measures how long connections may have waited to be accepted. The event loop accepts one
 * connection of a server in each turn (libuv 1.45 and later), so that many new connections wait for
 * many turns, although none of the turns is long and no other delay shows. Meanwhile their requests
 * and ends lie unread.
 */
import type { Server, Socket } from 'node:net';

/** Turns of the loop without a connection after which none is waiting. */
const IDLE_TURNS = 2;

/** Waits of the connections of one server. */
export class AcceptMonitor {
  /** Time since which each turn has accepted a connection; undefined while none is waiting. */
  private busySinceMs: number | undefined;

  private idleTurns = 0;

  private readonly waits = new WeakMap<Socket, number>();

  /** Observes the connections of a server. */
  observe(server: Server): void {
    server.on('connection', (socket: Socket) => this.recordAccept(socket, performance.now()));
  }

  /**
   * Returns the longest time that a connection may have waited, in milliseconds, for its first
   * request, and 0 for the later ones.
   */
  takeWaitMs(socket: Socket): number {
    const waitMs = this.waits.get(socket) ?? 0;
    this.waits.delete(socket);
    return waitMs;
  }

  private recordAccept(socket: Socket, nowMs: number): void {
    this.idleTurns = 0;
    if (this.busySinceMs === undefined) {
      this.busySinceMs = nowMs;
      setImmediate(() => this.checkTurn());
      return;
    }
    this.waits.set(socket, nowMs - this.busySinceMs);
  }

  private checkTurn(): void {
    this.idleTurns += 1;
    if (this.idleTurns > IDLE_TURNS) {
      this.busySinceMs = undefined;
      return;
    }
    setImmediate(() => this.checkTurn());
  }
}
