/** Collects a body in one block that grows in few steps, whatever the size of its parts. */

import { freeBlock } from './memory/freeBlock.js';

/** Size of the first block of a body that arrives in several parts, in bytes. */
const MIN_BLOCK_BYTES = 16 * 1024;

/** Factor by which a block grows up to `MAX_SMALL_BYTES`. */
const GROWTH = 8;

/**
 * Size beyond which a block gets the room of the largest body, or of the length that was named. The
 * operating system provides the pages of such a block as they are written and takes all of them
 * back when it is freed, while blocks of 1 to 32 MiB may stay in the heap of the allocator.
 */
const MAX_SMALL_BYTES = 1024 * 1024;

/** Largest body where the caller names no limit, in bytes. */
const DEFAULT_MAX_BYTES = 64 * 1024 * 1024;

/** Unit in which used memory of a large block is counted, in bytes. */
const COUNTED_BYTES = 16 * 1024;

const EMPTY_BODY = Buffer.alloc(0);

function isMostOfItsMemory(part: Buffer): boolean {
  return part.length * 2 > part.buffer.byteLength;
}

/** One body; a body that arrives in one part is not copied. */
export class BodyBuffer {
  private block: Buffer = EMPTY_BODY;

  /** True when this body has allocated its block. */
  private isOwnBlock = false;

  /** Bytes of the body so far. */
  bytes = 0;

  /** `expectedBytes` is the length that the sender names, 0 if it names none. */
  constructor(
    private readonly expectedBytes = 0,
    private readonly maxBytes = DEFAULT_MAX_BYTES,
  ) {}

  /** Memory that the body takes: the block, as far as it was written, in whole units. */
  get heldBytes(): number {
    const writtenBytes = Math.ceil(this.bytes / COUNTED_BYTES) * COUNTED_BYTES;
    return Math.min(this.block.length, writtenBytes);
  }

  /** Appends a part; returns true if it was copied, and false if the body keeps it. */
  append(part: Buffer): boolean {
    const bytes = this.bytes + part.length;
    const isFirst = this.bytes === 0;
    this.bytes = bytes;
    // Most bodies arrive in one part.
    if (isFirst && bytes >= this.expectedBytes && isMostOfItsMemory(part)) {
      this.block = part;
      return false;
    }
    const from = bytes - part.length;
    if (bytes > this.block.length) this.growBlock(bytes, from);
    part.copy(this.block, from);
    return true;
  }

  /** Returns the body. */
  toBuffer(): Buffer {
    return this.block.subarray(0, this.bytes);
  }

  /** Frees the memory of a body that nothing uses. */
  discard(): void {
    this.freeOwnBlock();
    this.block = EMPTY_BODY;
    this.bytes = 0;
  }

  private freeOwnBlock(): void {
    if (this.isOwnBlock) freeBlock(this.block);
    this.isOwnBlock = false;
  }

  private growBlock(neededBytes: number, usedBytes: number): void {
    const grown = Buffer.allocUnsafeSlow(this.computeBlockBytes(neededBytes, usedBytes));
    this.block.copy(grown, 0, 0, usedBytes);
    this.freeOwnBlock();
    this.block = grown;
    this.isOwnBlock = true;
  }

  private computeBlockBytes(neededBytes: number, usedBytes: number): number {
    const { expectedBytes, maxBytes } = this;
    const isFirst = usedBytes === 0;
    // A part that is copied since it keeps a larger buffer alive is often the whole body.
    if (isFirst && expectedBytes === 0) return neededBytes;
    const limitBytes = expectedBytes >= neededBytes ? expectedBytes : maxBytes;
    if (neededBytes > MAX_SMALL_BYTES) return Math.max(neededBytes, limitBytes);
    const stepBytes = isFirst ? MAX_SMALL_BYTES : this.block.length * GROWTH;
    const blockBytes = Math.min(MAX_SMALL_BYTES, Math.max(MIN_BLOCK_BYTES, stepBytes));
    return Math.max(neededBytes, Math.min(blockBytes, limitBytes));
  }
}
