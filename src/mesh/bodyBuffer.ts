/** Collects a body in one block, whatever the size of its parts. */

import { freeBlock } from './memory/freeBlock.js';
import { GrowingBlock } from './memory/growingBlock.js';

/** Size of a body up to which it is collected in the heap, in bytes. */
const MAX_SMALL_BYTES = 64 * 1024;

/** Size of the first block of a body that arrives in several parts, in bytes. */
const MIN_BLOCK_BYTES = 16 * 1024;

/** Largest body where the caller names no limit, in bytes. */
const DEFAULT_MAX_BYTES = 64 * 1024 * 1024;

/** Unit in which the memory of a large body is counted, in bytes. */
const COUNTED_BYTES = 16 * 1024;

const EMPTY_BODY = Buffer.alloc(0);

function isMostOfItsMemory(part: Buffer): boolean {
  return part.length * 2 > part.buffer.byteLength;
}

/** One body; a body that arrives in one part is not copied. */
export class BodyBuffer {
  /** Block of a small or a complete body. */
  private block: Buffer = EMPTY_BODY;

  /** True when this body has allocated its block. */
  private isOwnBlock = false;

  /** Block of a large body that is being read. */
  private large: GrowingBlock | undefined;

  /** Bytes of the body so far. */
  bytes = 0;

  /** `expectedBytes` is the length that the sender names, 0 if it names none. */
  constructor(
    private readonly expectedBytes = 0,
    private readonly maxBytes = DEFAULT_MAX_BYTES,
  ) {}

  /** Memory that the body takes: its block, and of a large one what was written. */
  get heldBytes(): number {
    if (!this.large) return this.block.length;
    return Math.ceil(this.bytes / COUNTED_BYTES) * COUNTED_BYTES;
  }

  /** Appends a part; returns true if it was copied, and false if the body keeps it. */
  append(part: Buffer): boolean {
    const from = this.bytes;
    this.bytes += part.length;
    // Most bodies arrive in one part.
    if (from === 0 && this.bytes >= this.expectedBytes && isMostOfItsMemory(part)) {
      this.block = part;
      return false;
    }
    if (this.bytes > Math.max(MAX_SMALL_BYTES, this.block.length)) {
      this.large ??= this.createLarge(from);
      this.large.write(part, from);
      return true;
    }
    if (this.bytes > this.block.length) this.growBlock(from);
    part.copy(this.block, from);
    return true;
  }

  /** Returns the body, which must be complete. */
  toBuffer(): Buffer {
    if (this.large) {
      this.block = this.large.moveToBuffer(this.bytes);
      this.large = undefined;
    }
    return this.block.subarray(0, this.bytes);
  }

  /** Frees the memory of a body that nothing uses. */
  discard(): void {
    this.large?.free();
    this.large = undefined;
    this.freeOwnBlock();
    this.bytes = 0;
  }

  private freeOwnBlock(): void {
    if (this.isOwnBlock) freeBlock(this.block);
    this.isOwnBlock = false;
    this.block = EMPTY_BODY;
  }

  private createLarge(usedBytes: number): GrowingBlock {
    const large = new GrowingBlock(this.maxBytes);
    large.write(this.block.subarray(0, usedBytes), 0);
    this.freeOwnBlock();
    return large;
  }

  private growBlock(usedBytes: number): void {
    const grown = Buffer.allocUnsafeSlow(this.computeBlockBytes(usedBytes === 0));
    this.block.copy(grown, 0, 0, usedBytes);
    this.freeOwnBlock();
    this.block = grown;
    this.isOwnBlock = true;
  }

  private computeBlockBytes(isFirst: boolean): number {
    const { bytes, expectedBytes } = this;
    if (expectedBytes >= bytes) return Math.min(expectedBytes, MAX_SMALL_BYTES);
    // A part that is copied since it keeps a larger buffer alive is often the whole body.
    if (isFirst) return bytes;
    return bytes <= MIN_BLOCK_BYTES ? MIN_BLOCK_BYTES : MAX_SMALL_BYTES;
  }
}
