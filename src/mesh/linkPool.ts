/** Idle connections to one address, the most recently used first. */
import type { PeerAddress } from '../types/interfaces.js';
import { Link, openSocket } from './link.js';

/** Share of the other side's idle timeout after which a connection is not used again. */
const IDLE_SHARE = 0.6;

/** Connections to one address. */
export class LinkPool {
  private idle: Link[] = [];

  constructor(private readonly address: PeerAddress) {}

  /** Returns an idle link that was used within `maxIdleMs`, closing older ones. */
  takeIdle(maxIdleMs: number): Link | undefined {
    const nowMs = performance.now();
    for (let link = this.idle.pop(); link; link = this.idle.pop()) {
      const limitMs = Math.min(maxIdleMs, (link.peerIdleMs ?? maxIdleMs) * IDLE_SHARE);
      if (link.canReuse() && nowMs - link.idleSinceMs <= limitMs) return link;
      link.abort('idle');
    }
    return undefined;
  }

  /** Opens a link; resolves to the reason when that fails. */
  async connect(timeoutMs: number): Promise<Link | string> {
    const socket = await openSocket(this.address, timeoutMs);
    if (typeof socket === 'string') return socket;
    return new Link(socket, (closed) => this.remove(closed));
  }

  /** Keeps a link for later, or closes it when it cannot carry another request. */
  release(link: Link): void {
    if (link.canReuse()) this.idle.push(link);
    else link.abort('not reusable');
  }

  /** Closes all idle links. */
  close(): void {
    for (const link of [...this.idle]) link.abort('pool closed');
    this.idle = [];
  }

  private remove(link: Link): void {
    const index = this.idle.indexOf(link);
    if (index >= 0) this.idle.splice(index, 1);
  }
}
