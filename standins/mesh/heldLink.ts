/** Loopback TCP proxy that holds bytes and the ends of connections, and keeps their order. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** How the link carries bytes. */
export type LinkState =
  | { readonly kind: 'open' }
  /** Everything arrives later by `delayMs`. */
  | { readonly kind: 'delayed'; readonly delayMs: number }
  /** Nothing arrives until the state changes; then everything arrives at once. */
  | { readonly kind: 'held' };

const POLL_INTERVAL_MS = 10;

/** Options of a link. */
export interface HeldLinkOptions {
  /**
   * True when resets do not arrive, as when their packet is lost. All other packets of a connection
   * are sent again until they arrive, those that end it in order included.
   */
  readonly losesResets?: boolean;
}

interface LinkedSockets {
  readonly client: Socket;
  readonly server: Socket;
}

/** Link to a port on this host. */
export class HeldLink {
  private state: LinkState = { kind: 'open' };

  private held: (() => void)[] = [];

  private delayed = 0;

  private readonly pairs = new Set<LinkedSockets>();

  private readonly server: Server = createServer((client) => this.accept(client));

  constructor(
    private readonly targetPort: number,
    private readonly options: HeldLinkOptions = {},
  ) {}

  /** Binds the link to a free loopback port and returns the port. */
  async listen(): Promise<number> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return (this.server.address() as AddressInfo).port;
  }

  setState(state: LinkState): void {
    this.state = state;
    if (state.kind === 'held') return;
    const steps = this.held;
    this.held = [];
    for (const step of steps) this.carry(step);
  }

  /** Resolves when everything that was sent so far has arrived. */
  async waitUntilEmpty(): Promise<void> {
    while (this.delayed > 0 || this.held.length > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_INTERVAL_MS);
      });
    }
  }

  async close(): Promise<void> {
    for (const { client, server } of this.pairs) {
      client.destroy();
      server.destroy();
    }
    this.server.close();
    await once(this.server, 'close');
  }

  private accept(client: Socket): void {
    const server = connect({ port: this.targetPort, host: '127.0.0.1', noDelay: true });
    const pair = { client, server };
    this.pairs.add(pair);
    this.forward(client, server);
    this.forward(server, client);
    client.once('close', () => this.pairs.delete(pair));
  }

  private forward(source: Socket, target: Socket): void {
    source.on('data', (bytes: Buffer) => {
      this.carry(() => {
        if (!target.destroyed) target.write(bytes);
      });
    });
    source.on('error', () => {});
    let hasEnded = false;
    source.once('end', () => {
      hasEnded = true;
      this.carry(() => target.end());
    });
    source.once('close', () => {
      if (hasEnded || this.options.losesResets === true) return;
      this.carry(() => target.resetAndDestroy());
    });
  }

  private carry(step: () => void): void {
    const { state } = this;
    switch (state.kind) {
      case 'open':
        step();
        break;
      case 'delayed':
        this.delayed += 1;
        setTimeout(() => {
          this.delayed -= 1;
          step();
        }, state.delayMs);
        break;
      case 'held':
        this.held.push(step);
        break;
      default:
        throw new Error(`unknown state ${JSON.stringify(state satisfies never)}`);
    }
  }
}
