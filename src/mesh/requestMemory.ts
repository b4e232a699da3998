/**
 * Bounds the bytes of the request bodies that this process holds, however many requests it serves.
 * It performs no I/O.
 *
 * It is designed for callers that upload large bodies at the same time, each within its own limit.
 * The largest body that is still being read is evicted first, so that the others are read on.
 */
import type { MemoryAccount } from './memory/memoryAccount.js';

/** A body from its first byte until its request has ended. */
export interface HeldRequestBody {
  /** Registers a listener that is called when the body is evicted. */
  onEvict(listener: () => void): void;
  /** Records that `bytes` more are held. */
  grow(bytes: number): void;
  /** Records that the body is complete: it is no longer evicted. */
  complete(): void;
  /** Records that the body is no longer held. */
  release(): void;
}

/** Request bodies of callers and of other nodes in the memory account. */
export class RequestMemory {
  constructor(private readonly account: MemoryAccount) {}

  /** Starts to hold a body of no bytes yet. */
  open(): HeldRequestBody {
    let evictListener = () => {};
    const holding = this.account.open('request', () => evictListener());
    return {
      onEvict(listener) {
        evictListener = listener;
      },
      grow: (bytes) => holding.set(holding.bytes + bytes),
      complete: () => holding.pin(),
      release: () => holding.release(),
    };
  }
}
