/**
 * Bounds the bytes of all responses that are being read, from the local instance, other nodes and
 * the store, however many requests there are. It performs no I/O.
 *
 * It is designed for a faulty instance that sends bodies without end. The largest body is evicted
 * first, so that the responses to other requests are read on.
 */
import type { Holding } from './memory/holding.js';
import type { MemoryAccount } from './memory/memoryAccount.js';

/** A body that is being read. */
export interface HeldBody {
  /** Ends its exchange, which releases it. */
  readonly abort: () => void;
}

/** Response bodies of one source in the memory account. */
export class ResponseMemory {
  private readonly bodies = new Map<HeldBody, Holding>();

  /** With `canEvict` false the bodies count and others make room for them. */
  constructor(
    private readonly account: MemoryAccount,
    private readonly canEvict = true,
  ) {}

  /** Records that a body has grown by `bytes`; over the limit the largest are evicted. */
  grow(body: HeldBody, bytes: number): void {
    const holding = this.bodies.get(body) ?? this.add(body);
    if (bytes > 0) holding.set(holding.bytes + bytes);
  }

  /** Records that a body is no longer being read. */
  release(body: HeldBody): void {
    const holding = this.bodies.get(body);
    if (!holding) return;
    this.bodies.delete(body);
    holding.release();
  }

  private add(body: HeldBody): Holding {
    const holding = this.account.open('response', () => {
      this.bodies.delete(body);
      body.abort();
    });
    if (!this.canEvict) holding.pin();
    this.bodies.set(body, holding);
    return holding;
  }
}
