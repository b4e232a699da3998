/**
 * Reads a connection of an HTTP server in slices, when the scheduler allows it. Without it the
 * server processes up to 2 MiB of a connection at once, and all connections in one turn of the
 * event loop, which takes seconds for chunks of one byte.
 */
import type { Socket } from 'node:net';
import { freeConsumedBlock } from '../memory/freeBlock.js';
import type { ReadScheduler, ReadSource } from './readScheduler.js';
import { RecentWork } from './recentWork.js';

/** Bounds of the size of a slice, and its size on a new connection, in bytes. */
const SLICE_BYTES = { min: 4 * 1024, first: 16 * 1024, max: 64 * 1024 };

/** Largest number of bytes that the runtime receives from a connection at once. */
const RECEIVED_BYTES = 64 * 1024;

/** Work per byte above which the next slice is smaller, in milliseconds. */
const DENSE_MS = 1 / (16 * 1024);

/** Socket of an HTTP server with a member that the types of the runtime don't have. */
interface ServerSocket extends Socket {
  /** True while responses wait for the client to read; the server must not get bytes then. */
  readonly _paused?: boolean;
}

export class ConnectionReader implements ReadSource {
  readonly work = new RecentWork();

  private sliceBytes = SLICE_BYTES.first;

  private bufferedBytes = 0;

  /** Bytes that are left of the block that is being read; 0 before its first byte. */
  private blockBytes = 0;

  private readonly socket: ServerSocket;

  /** `onBuffered` is called with the number of received bytes that wait to be read. */
  constructor(
    socket: Socket,
    private readonly scheduler: ReadScheduler,
    private readonly onBuffered: (bytes: number) => void,
  ) {
    this.socket = socket;
  }

  /** Takes over the reading, which the server leaves to whoever listens for `readable`. */
  start(): void {
    const { socket, scheduler } = this;
    socket.on('readable', () => this.handleReadable());
    // The server resumes a connection whose client has read its responses.
    socket.on('resume', () => {
      if (socket.readableLength > 0) this.handleReadable();
    });
    socket.once('close', () => scheduler.remove(this));
  }

  readSlice(): boolean {
    const { socket } = this;
    if (socket.destroyed || this.isPaused()) return false;
    const startedAtMs = performance.now();
    const slice = socket.read(this.computeSliceBytes()) as Buffer | null;
    if (slice) this.finishSlice(slice, performance.now() - startedAtMs);
    if (socket.readableLength > 0) return true;
    this.recordBuffered(0);
    this.readEnd();
    return false;
  }

  private handleReadable(): void {
    const { socket, scheduler } = this;
    if (socket.readableLength === 0) {
      this.readEnd();
      return;
    }
    if (!this.isPaused()) scheduler.schedule(this);
    // While bytes wait, the runtime receives more of them, of which it does not tell.
    if (socket.readableLength > 0) this.recordBuffered(RECEIVED_BYTES);
  }

  /** Emits the end of the connection, if it has arrived. */
  private readEnd(): void {
    this.socket.read();
  }

  /**
   * A slice of two blocks would be a copy, after which neither of them could be freed. The first
   * byte of a block tells how long it is.
   */
  private computeSliceBytes(): number {
    const { readableLength } = this.socket;
    if (readableLength <= SLICE_BYTES.min) return readableLength;
    return this.blockBytes === 0 ? 1 : Math.min(this.sliceBytes, this.blockBytes, readableLength);
  }

  private finishSlice(slice: Buffer, workMs: number): void {
    const { min, max } = SLICE_BYTES;
    if (slice.length >= min) {
      const factor = workMs > slice.length * DENSE_MS ? 0.5 : 2;
      this.sliceBytes = Math.min(max, Math.max(min, this.sliceBytes * factor));
    }
    const isEmpty = this.socket.readableLength === 0;
    this.blockBytes = isEmpty ? 0 : slice.buffer.byteLength - slice.byteOffset - slice.length;
    freeConsumedBlock(slice);
  }

  private isPaused(): boolean {
    return this.socket._paused === true;
  }

  private recordBuffered(bytes: number): void {
    if (bytes === this.bufferedBytes) return;
    this.bufferedBytes = bytes;
    this.onBuffered(bytes);
  }
}
