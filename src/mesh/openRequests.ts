/**
 * The requests of callers that have no response yet, by connection. A response that waits behind
 * another one on its connection has no events of its own until its turn comes, so the end of the
 * connection is what tells that the callers of all its requests have left.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Cancellation } from './signal.js';

/** Cancels the requests of a connection that has ended. */
function cancelAll(cancellations: ReadonlySet<Cancellation>): void {
  for (const cancellation of [...cancellations]) cancellation.cancel();
}

export class OpenRequests {
  private readonly bySocket = new Map<Socket, Set<Cancellation>>();

  private open = 0;

  /** Adds a request; the result is cancelled when its connection ends before the response does. */
  add(socket: Socket, response: ServerResponse): Cancellation {
    const cancellation = new Cancellation();
    const cancellations = this.bySocket.get(socket) ?? this.addSocket(socket);
    cancellations.add(cancellation);
    this.open += 1;
    response.once('close', () => {
      if (!cancellations.delete(cancellation)) return;
      this.open -= 1;
      if (!response.writableFinished) cancellation.cancel();
    });
    return cancellation;
  }

  /** Returns the number of requests without a response. */
  count(): number {
    return this.open;
  }

  countOn(socket: Socket): number {
    return this.bySocket.get(socket)?.size ?? 0;
  }

  /** Cancels all requests and returns their number. */
  cancelAll(): number {
    const { open } = this;
    for (const cancellations of this.bySocket.values()) cancelAll(cancellations);
    return open;
  }

  private addSocket(socket: Socket): Set<Cancellation> {
    const cancellations = new Set<Cancellation>();
    this.bySocket.set(socket, cancellations);
    socket.once('close', () => {
      this.bySocket.delete(socket);
      this.open -= cancellations.size;
      cancelAll(cancellations);
      cancellations.clear();
    });
    return cancellations;
  }
}
