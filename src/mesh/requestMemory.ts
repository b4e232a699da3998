/**
 * Bounds the bytes of the request bodies that this process holds, however many requests it serves.
 * It performs no I/O.
 *
 * It is designed for callers that upload large bodies at the same time, each within its own limit.
 * The largest body that is still being read is given up first, so that the others are read on.
 */

/** Share of the memory of the process that these bodies may use. */
const MEMORY_SHARE = 0.25;

const BYTES_PER_MB = 1024 * 1024;

/** Returns the limit for a process with this memory, in bytes. */
export function computeRequestLimitBytes(memoryMb: number): number {
  return memoryMb * BYTES_PER_MB * MEMORY_SHARE;
}

/** A body from its first byte until its request has ended. */
export interface HeldRequestBody {
  /** Registers a listener that is called when the body has to be given up. */
  onGiveUp(listener: () => void): void;
  /** Records that `bytes` more have been read. */
  grow(bytes: number): void;
  /** Records that the body is complete: it is not given up any more. */
  complete(): void;
  /** Records that the body is no longer held. */
  release(): void;
}

interface Holding {
  bytes: number;
  giveUp: () => void;
}

export class RequestMemory {
  /** Bodies that are being read. */
  private readonly reading = new Set<Holding>();

  private usedBytes = 0;

  constructor(private readonly limitBytes: number) {}

  /** Starts to hold a body of no bytes yet. */
  open(): HeldRequestBody {
    const holding: Holding = { bytes: 0, giveUp: () => {} };
    this.reading.add(holding);
    return {
      onGiveUp(listener) {
        holding.giveUp = listener;
      },
      grow: (bytes) => this.grow(holding, bytes),
      complete: () => {
        this.reading.delete(holding);
      },
      release: () => this.release(holding),
    };
  }

  private grow(growing: Holding, bytes: number): void {
    const holding = growing;
    if (!this.reading.has(holding)) return;
    holding.bytes += bytes;
    this.usedBytes += bytes;
    while (this.usedBytes > this.limitBytes) {
      const largest = this.findLargest();
      // A body that is held alone is within the limits of the configuration.
      if (!largest || largest.bytes === this.usedBytes) return;
      this.release(largest);
      largest.giveUp();
    }
  }

  private release(released: Holding): void {
    const holding = released;
    this.reading.delete(holding);
    this.usedBytes -= holding.bytes;
    holding.bytes = 0;
  }

  private findLargest(): Holding | undefined {
    let largest: Holding | undefined;
    for (const holding of this.reading) {
      if (!largest || holding.bytes > largest.bytes) largest = holding;
    }
    return largest;
  }
}
