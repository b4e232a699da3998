/** A loopback proxy in front of one port. It delays, silences, cuts and resets connections. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** What the proxy does to connections. */
export type ProxyFault =
  | { readonly kind: 'none' }
  /** Bytes come late, in both directions. */
  | { readonly kind: 'delay'; readonly delayMs: number }
  /** Open connections go silent for good; new ones work. */
  | { readonly kind: 'silence' }
  /** Bytes to the client are held back while the fault lasts. */
  | { readonly kind: 'one-way' }
  /** New connections are reset, open ones as well. */
  | { readonly kind: 'reset' };

interface Pair {
  readonly client: Socket;
  readonly server: Socket;
  isSilent: boolean;
  held: Buffer[];
}

/** A proxy to a port on this host. */
export class FaultProxy {
  private fault: ProxyFault = { kind: 'none' };

  private readonly pairs = new Set<Pair>();

  private readonly server: Server = createServer((client) => this.accept(client));

  constructor(private readonly targetPort: number) {}

  /** Binds the proxy to a loopback port and returns it. */
  async listen(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  setFault(fault: ProxyFault): void {
    this.fault = fault;
    for (const pair of this.pairs) {
      if (fault.kind === 'silence') pair.isSilent = true;
      if (fault.kind === 'reset') this.reset(pair);
      if (fault.kind === 'one-way') continue;
      for (const bytes of pair.held) if (!pair.isSilent) pair.client.write(bytes);
      pair.held = [];
    }
  }

  async close(): Promise<void> {
    for (const pair of this.pairs) this.reset(pair);
    this.server.close();
    await once(this.server, 'close');
  }

  private accept(client: Socket): void {
    if (this.fault.kind === 'reset') {
      client.resetAndDestroy();
      return;
    }
    const server = connect({ port: this.targetPort, host: '127.0.0.1', noDelay: true });
    const pair: Pair = { client, server, isSilent: false, held: [] };
    this.pairs.add(pair);
    client.on('data', (bytes: Buffer) => this.pass(pair, server, bytes));
    server.on('data', (bytes: Buffer) => {
      if (this.fault.kind === 'one-way') pair.held.push(bytes);
      else this.pass(pair, client, bytes);
    });
    for (const socket of [client, server]) {
      socket.on('error', () => this.reset(pair));
      socket.on('close', () => this.reset(pair));
    }
  }

  private pass(pair: Pair, target: Socket, bytes: Buffer): void {
    const write = () => {
      if (!pair.isSilent && !target.destroyed) target.write(bytes);
    };
    if (this.fault.kind === 'delay') setTimeout(write, this.fault.delayMs);
    else write();
  }

  private reset(pair: Pair): void {
    if (!this.pairs.delete(pair)) return;
    for (const socket of [pair.client, pair.server]) {
      // A socket that is still connecting would wait for its connection to reset it.
      if (socket.connecting) socket.destroy();
      else socket.resetAndDestroy();
    }
  }
}
