/** Loopback TCP proxy for fault injection: delays, half-open connections and resets. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Fault that the proxy injects into its connections. */
export type ProxyFault =
  | { readonly kind: 'none' }
  /** Bytes are delayed in both directions. */
  | { readonly kind: 'delay'; readonly delayMs: number }
  /** Open connections become half-open and carry no more bytes; new connections work. */
  | { readonly kind: 'silence' }
  /** Bytes to the client are buffered until the fault ends. */
  | { readonly kind: 'one-way' }
  /** New and open connections are reset. */
  | { readonly kind: 'reset' };

interface ProxiedConnection {
  readonly client: Socket;
  readonly server: Socket;
  isHalfOpen: boolean;
  pendingChunks: Buffer[];
}

/** Proxy to a port on this host. */
export class FaultProxy {
  private fault: ProxyFault = { kind: 'none' };

  private readonly connections = new Set<ProxiedConnection>();

  private readonly server: Server = createServer((client) => this.accept(client));

  constructor(private readonly targetPort: number) {}

  /** Binds the proxy to a free loopback port and returns the port. */
  async listen(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  setFault(fault: ProxyFault): void {
    this.fault = fault;
    for (const connection of this.connections) {
      if (fault.kind === 'silence') connection.isHalfOpen = true;
      if (fault.kind === 'reset') this.reset(connection);
      if (fault.kind === 'one-way') continue;
      for (const bytes of connection.pendingChunks) {
        if (!connection.isHalfOpen) connection.client.write(bytes);
      }
      connection.pendingChunks = [];
    }
  }

  async close(): Promise<void> {
    for (const connection of this.connections) this.reset(connection);
    this.server.close();
    await once(this.server, 'close');
  }

  private accept(client: Socket): void {
    if (this.fault.kind === 'reset') {
      client.resetAndDestroy();
      return;
    }
    const server = connect({ port: this.targetPort, host: '127.0.0.1', noDelay: true });
    const connection: ProxiedConnection = { client, server, isHalfOpen: false, pendingChunks: [] };
    this.connections.add(connection);
    client.on('data', (bytes: Buffer) => this.forward(connection, server, bytes));
    server.on('data', (bytes: Buffer) => {
      if (this.fault.kind === 'one-way') connection.pendingChunks.push(bytes);
      else this.forward(connection, client, bytes);
    });
    for (const socket of [client, server]) {
      socket.on('error', () => this.reset(connection));
      socket.on('close', () => this.reset(connection));
    }
  }

  private forward(connection: ProxiedConnection, target: Socket, bytes: Buffer): void {
    const write = () => {
      if (!connection.isHalfOpen && !target.destroyed) target.write(bytes);
    };
    if (this.fault.kind === 'delay') setTimeout(write, this.fault.delayMs);
    else write();
  }

  private reset(connection: ProxiedConnection): void {
    if (!this.connections.delete(connection)) return;
    for (const socket of [connection.client, connection.server]) {
      // `resetAndDestroy` on a connecting socket would wait until the connection is established.
      // On one that is being ended it fails and leaves the handle open, which keeps the process.
      if (socket.connecting || socket.writableEnded) socket.destroy();
      else socket.resetAndDestroy();
    }
  }
}
