/** Loopback TCP proxy that limits the bandwidth of one direction, over all connections. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** Interval at which the link carries bytes. */
const TICK_MS = 10;

/** Size up to which the proxy buffers a response, as the windows of a network do. */
const WINDOW_BYTES = 16 * 1024;

/** Limited direction: of what the port sends to its clients, or of what they send to it. */
export type LinkDirection = 'from-port' | 'to-port';

/** Bytes that one connection sends before it is the turn of the next. */
const PACKET_BYTES = 1500;

interface Transfer {
  readonly sender: Socket;
  readonly receiver: Socket;
  pending: Buffer;
}

/** Link with a limited rate of bytes in one direction. */
export class SlowLink {
  /** Bytes carried in the limited direction. */
  carriedBytes = 0;

  private readonly transfers = new Set<Transfer>();

  private timer: NodeJS.Timeout | undefined;

  private readonly server: Server = createServer((client) => this.accept(client));

  constructor(
    private readonly targetPort: number,
    private readonly bytesPerS: number,
    private readonly direction: LinkDirection = 'from-port',
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
    const [sender, receiver] = this.direction === 'to-port' ? [client, server] : [server, client];
    const transfer: Transfer = { sender, receiver, pending: Buffer.alloc(0) };
    this.transfers.add(transfer);
    receiver.on('data', (bytes: Buffer) => sender.write(bytes));
    sender.on('data', (bytes: Buffer) => {
      transfer.pending = Buffer.concat([transfer.pending, bytes]);
      if (transfer.pending.length > WINDOW_BYTES) sender.pause();
    });
    for (const socket of [client, server]) {
      socket.on('error', () => this.end(transfer));
      socket.on('close', () => this.end(transfer));
    }
  }

  /** Carries the bytes of one tick: a packet of each connection in turn, over all ticks. */
  private forward(): void {
    let left = Math.ceil((this.bytesPerS * TICK_MS) / 1000);
    while (left > 0) {
      const transfer = this.findPending();
      if (!transfer) return;
      left -= this.carry(transfer, left);
      this.transfers.delete(transfer);
      this.transfers.add(transfer);
    }
  }

  /** Returns the connection with bytes to carry whose last packet is the longest ago. */
  private findPending(): Transfer | undefined {
    for (const transfer of this.transfers) if (transfer.pending.length > 0) return transfer;
    return undefined;
  }

  /** Carries a packet of one connection, of at most `maxBytes`, and returns its size. */
  private carry(carrying: Transfer, maxBytes: number): number {
    const transfer = carrying;
    const bytes = transfer.pending.subarray(0, Math.min(PACKET_BYTES, maxBytes));
    transfer.pending = transfer.pending.subarray(bytes.length);
    transfer.receiver.write(bytes);
    if (transfer.pending.length <= WINDOW_BYTES) transfer.sender.resume();
    this.carriedBytes += bytes.length;
    return bytes.length;
  }

  private end(transfer: Transfer): void {
    if (!this.transfers.delete(transfer)) return;
    transfer.sender.destroy();
    transfer.receiver.destroy();
  }
}
