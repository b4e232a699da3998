/** Collects a body in few blocks, whatever the size of the parts in which it arrives. */

/** Size of the blocks that hold small parts after the first one, in bytes. */
const BLOCK_BYTES = 16 * 1024;

export class BodyBuffer {
  private readonly blocks: Buffer[] = [];

  /** Bytes of the latest block that are in use. */
  private usedBytes = 0;

  /** Bytes of the body so far. */
  bytes = 0;

  /** Appends a copy of a part. */
  append(part: Buffer): void {
    this.bytes += part.length;
    const last = this.blocks.at(-1);
    if (last && last.length - this.usedBytes >= part.length) {
      part.copy(last, this.usedBytes);
      this.usedBytes += part.length;
      return;
    }
    this.closeBlock();
    // Most bodies arrive in one part.
    const blockBytes = last ? Math.max(BLOCK_BYTES, part.length) : part.length;
    const block = Buffer.allocUnsafe(blockBytes);
    part.copy(block);
    this.blocks.push(block);
    this.usedBytes = part.length;
  }

  /** Returns the body. */
  toBuffer(): Buffer {
    this.closeBlock();
    return this.blocks.length === 1 ? this.blocks[0]! : Buffer.concat(this.blocks);
  }

  /** Cuts the unused end off the latest block. */
  private closeBlock(): void {
    const last = this.blocks.pop();
    if (last) this.blocks.push(last.subarray(0, this.usedBytes));
  }
}
