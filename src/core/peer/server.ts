/** Server of the peer protocol. */
import { createServer, type Socket } from 'node:net';
import type { Result } from 'neverthrow';
import { toStepError, type StepError } from '../../errors.js';
import type { ControlCounters } from '../../types/interfaces.js';
import { listen } from '../../utils/listen.js';
import type { Logger } from '../../utils/logger.js';
import { formatHostPort } from '../../utils/address.js';
import { createDispatcher, type PeerMethods, type SenderCheck } from './dispatcher.js';
import { runServerConnection } from './serverConnection.js';
import { SERVER_IDLE_MS, MAX_CONNECTIONS } from './limits.js';

/** Options of a peer server. */
export interface PeerServerOptions {
  readonly host: string;
  /** Port to listen on; 0 selects a free port. */
  readonly port: number;
  readonly methods?: PeerMethods;
  readonly logger: Logger;
  readonly counters: ControlCounters;
  /** Time without traffic after which a connection is closed; default 120 s. */
  readonly idleMs?: number;
}

/** A listening peer port. */
export interface PeerServer {
  readonly port: number;
  addMethods(methods: PeerMethods): void;
  setSenderCheck(check: SenderCheck): void;
  close(): Promise<void>;
}

/** Listens on the peer port. Errors: kind `unavailable` when the address cannot be bound. */
export async function startPeerServer(
  options: PeerServerOptions,
): Promise<Result<PeerServer, StepError>> {
  const { host, logger, counters } = options;
  const dispatcher = createDispatcher(options.methods);
  const sockets = new Set<Socket>();
  const server = createServer({ noDelay: true, keepAlive: true }, (socket) => {
    const peer = formatHostPort(socket.remoteAddress ?? 'unknown', socket.remotePort ?? 0);
    sockets.add(socket);
    socket.setTimeout(options.idleMs ?? SERVER_IDLE_MS, () => socket.destroy());
    const run = runServerConnection({ socket, peer, dispatcher, counters, logger });
    void run
      .catch((thrown: unknown) => {
        const { step, kind, message } = toStepError(thrown, 'peer.read', peer);
        logger.warn('peer-connection-closed', { step, peer, kind, reason: message });
      })
      .finally(() => {
        sockets.delete(socket);
        socket.destroy();
      });
  });
  server.maxConnections = MAX_CONNECTIONS;
  const bound = await listen(server, { host, port: options.port, step: 'peer.listen', logger });
  return bound.map((port) => ({
    port,
    addMethods: dispatcher.addMethods,
    setSenderCheck: dispatcher.setSenderCheck,
    close: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  }));
}
