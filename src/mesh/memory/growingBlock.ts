/**
 * Memory that grows in place and is given back at once. Blocks of the C library do neither: those
 * of up to 32 MiB come from its heap once one of that size was freed, which keeps what was written
 * to any of them, so that bodies of 16 MiB took a process to twice what it counted.
 */
import { freeMemory } from './freeBlock.js';

/** Unit in which a block grows, and in which its content is moved, in bytes. */
const UNIT_BYTES = 256 * 1024;

/** Size of a body up to which it gets a block of the heap once it is complete, in bytes. */
const MAX_HEAP_BYTES = 1024 * 1024;

/** Smallest block of a larger body: the C library maps blocks of more than 32 MiB one by one. */
const MIN_MAPPED_BYTES = 33 * 1024 * 1024;

/** A block that can be resized; the types of the runtime don't have these members yet. */
interface ResizableMemory extends ArrayBuffer {
  resize(bytes: number): void;
}

function reserveMemory(maxByteLength: number): ResizableMemory {
  const Memory = ArrayBuffer as unknown as new (
    bytes: number,
    options: { readonly maxByteLength: number },
  ) => ResizableMemory;
  return new Memory(0, { maxByteLength });
}

function createBlock(bytes: number): Buffer {
  if (bytes <= MAX_HEAP_BYTES) return Buffer.allocUnsafeSlow(bytes);
  return Buffer.allocUnsafeSlow(Math.max(MIN_MAPPED_BYTES, bytes)).subarray(0, bytes);
}

export class GrowingBlock {
  private readonly memory: ResizableMemory;

  private readonly view: Uint8Array;

  constructor(private readonly maxBytes: number) {
    this.memory = reserveMemory(maxBytes);
    // A view without a length follows the size of its memory.
    this.view = new Uint8Array(this.memory);
  }

  /** Writes a part at an offset; all bytes in front of it have been written. */
  write(part: Uint8Array, offset: number): void {
    const neededBytes = offset + part.length;
    if (neededBytes > this.memory.byteLength) {
      const grownBytes = Math.ceil(neededBytes / UNIT_BYTES) * UNIT_BYTES;
      this.memory.resize(Math.min(this.maxBytes, grownBytes));
    }
    this.view.set(part, offset);
  }

  /** Moves the first bytes to a buffer from the end on, so that they are never held twice. */
  moveToBuffer(bytes: number): Buffer {
    const moved = createBlock(bytes);
    let end = bytes;
    while (end > 0) {
      const start = Math.floor((end - 1) / UNIT_BYTES) * UNIT_BYTES;
      moved.set(this.view.subarray(start, end), start);
      this.memory.resize(start);
      end = start;
    }
    this.free();
    return moved;
  }

  free(): void {
    freeMemory(this.memory);
  }
}
