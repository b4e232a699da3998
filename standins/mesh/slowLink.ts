/** Loopback TCP proxy that limits the bandwidth from a port to one host, over all connections. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Interval at which the link carries bytes. */
const TICK_MS = 10;

/** Size up to which the proxy buffers a response, as the windows of a network do. */
const WINDOW_BYTES = 16 * 1024;

interface Transfer {
  readonly client: Socket;
  readonly server: Socket;
  pending: Buffer;
}

/** Link of one host with a limited rate of bytes towards the host. */
export class SlowLink {
  /** Bytes carried towards the host. */
  carriedBytes = 0;

  private readonly transfers = new Set<Transfer>();

  private timer: NodeJS.Timeout | undefined;

  private readonly server: Server = createServer((client) => this.accept(client));

  constructor(
    private readonly targetPort: number,
    private readonly bytesPerS: number,
  ) {}

  /** Binds the link to a free loopback port and returns the port. */
  async listen(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    this.timer = setInterval(() => this.forward(), TICK_MS);
    return (this.server.address() as AddressInfo).port;
  }

  async close(): Promise<void> {
    clearInterval(this.timer);
    for (const transfer of this.transfers) this.end(transfer);
    this.server.close();
    await once(this.server, 'close');
  }

  private accept(client: Socket): void {
    const server = connect({ port: this.targetPort, host: '127.0.0.1', noDelay: true });
    const transfer: Transfer = { client, server, pending: Buffer.alloc(0) };
    this.transfers.add(transfer);
    client.on('data', (bytes: Buffer) => server.write(bytes));
    server.on('data', (bytes: Buffer) => {
      transfer.pending = Buffer.concat([transfer.pending, bytes]);
      if (transfer.pending.length > WINDOW_BYTES) server.pause();
    });
    for (const socket of [client, server]) {
      socket.on('error', () => this.end(transfer));
      socket.on('close', () => this.end(transfer));
    }
  }

  /** Carries the bytes of one tick, in turn for each connection. */
  private forward(): void {
    let left = Math.ceil((this.bytesPerS * TICK_MS) / 1000);
    for (const transfer of this.transfers) {
      const bytes = transfer.pending.subarray(0, left);
      if (bytes.length === 0) continue;
      transfer.pending = transfer.pending.subarray(bytes.length);
      transfer.client.write(bytes);
      if (transfer.pending.length <= WINDOW_BYTES) transfer.server.resume();
      this.carriedBytes += bytes.length;
      left -= bytes.length;
      if (left === 0) return;
    }
  }

  private end(transfer: Transfer): void {
    if (!this.transfers.delete(transfer)) return;
    transfer.client.destroy();
    transfer.server.destroy();
  }
}
