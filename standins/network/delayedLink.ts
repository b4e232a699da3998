/* eslint-disable no-underscore-dangle -- these are names of methods of Node.js. */
/** One connection between two areas: delays writes and stalls both directions during a cut. */
import { buildError } from '../../src/errors.js';
import type { StreamCallback, InternalSocket, SocketPrototype, TcpHandle } from './internals.js';
import type { CutTable, LinkName } from './links.js';

/** Queue size above which writes block, like a full send buffer of the kernel. */
const MAX_QUEUED_BYTES = 1024 * 1024;

/** Time after which a stalled connection fails, like the retransmission time-out of TCP. */
const RETRANSMISSION_TIMEOUT_MS = 120_000;

/** Mean delay of timers, which have a resolution of 1 ms; they are set earlier by this time. */
const TIMER_LATENESS_MS = 0.5;

/** Writes of one message are due within fractions of a millisecond; one timer sends them all. */
const SEND_COALESCING_MS = 0.8;

interface QueuedWrite {
  readonly dueMs: number;
  readonly bytes: number;
  send(): void;
}

function countBytes(data: unknown): number {
  if (typeof data === 'string' || data instanceof Uint8Array) return data.length;
  if (!Array.isArray(data)) return 0;
  return data.reduce<number>((sum, item: unknown) => {
    const part = item instanceof Uint8Array || typeof item === 'string' ? item : null;
    return sum + (part ?? (item as { chunk?: string } | null)?.chunk ?? '').length;
  }, 0);
}

/** Delays the writes of one socket and stalls it during a cut. */
export class DelayedLink {
  readonly #queue: QueuedWrite[] = [];

  #queuedBytes = 0;

  #timer: NodeJS.Timeout | undefined;

  #stallTimer: NodeJS.Timeout | undefined;

  /** Set while the socket waits for its queue to drain before it closes. */
  #finishClose: (() => void) | undefined;

  #isReadRequested = false;

  /** Original methods of the handle. */
  #originalHandle: TcpHandle | undefined;

  readonly #unsubscribe: () => void;

  constructor(
    readonly socket: InternalSocket,
    readonly original: SocketPrototype,
    readonly cuts: CutTable,
    readonly link: LinkName,
    readonly oneWayMs: number,
    isReading: boolean,
  ) {
    this.#isReadRequested = isReading;
    if (socket._handle !== null) this.#attach(socket._handle);
    this.#unsubscribe = cuts.onChange(() => this.#applyCuts());
    this.#applyCuts();
  }

  /** Queues a write; its callback is called at once unless the queue is full. */
  write(isVector: boolean, data: unknown, encoding: string, done: StreamCallback): void {
    const bytes = countBytes(data);
    const mustWait = this.#queuedBytes + bytes > MAX_QUEUED_BYTES;
    const handleResult: StreamCallback = (error) => {
      if (mustWait) done(error);
      else if (error) this.socket.destroy(error);
    };
    this.#enqueue(bytes, () => {
      this.original._writeGeneric.call(this.socket, isVector, data, encoding, handleResult);
    });
    if (!mustWait) done();
  }

  /** Queues the end of the sending direction. */
  finish(done: StreamCallback): void {
    this.#enqueue(0, () => this.original._final.call(this.socket, () => {}));
    done();
  }

  /** Closes after the queued writes; closes at once and discards them when the link is cut. */
  destroy(error: Error | null, done: StreamCallback): void {
    this.#finishClose = () => {
      this.#unsubscribe();
      clearTimeout(this.#stallTimer);
      clearTimeout(this.#timer);
      this.#finishClose = undefined;
      this.#queue.length = 0;
      this.original._destroy.call(this.socket, error, done);
    };
    if (this.#queue.length === 0 || this.#isCut()) this.#finishClose();
    else if (this.socket._handle !== null) this.#originalHandle?.readStop();
  }

  /** Sends all queued writes when the process exits: a real network would still deliver them. */
  flush(): void {
    if (this.#isCut()) return;
    for (const queued of this.#queue.splice(0)) queued.send();
  }

  #isCut(): boolean {
    return this.cuts.isCut(this.link);
  }

  #attach(handle: TcpHandle): void {
    const originalHandle = {
      readStart: handle.readStart.bind(handle),
      readStop: handle.readStop.bind(handle),
    };
    this.#originalHandle = originalHandle;
    Object.assign(handle, {
      readStart: () => {
        this.#isReadRequested = true;
        return this.#isCut() ? 0 : originalHandle.readStart();
      },
      readStop: () => {
        this.#isReadRequested = false;
        return originalHandle.readStop();
      },
    });
  }

  #applyCuts(): void {
    if (this.socket._handle === null) return;
    if (this.#finishClose !== undefined && this.#isCut()) {
      this.#finishClose();
      return;
    }
    clearTimeout(this.#stallTimer);
    if (!this.#isCut()) {
      if (this.#isReadRequested) this.#originalHandle?.readStart();
      this.#sendDue();
      return;
    }
    this.#originalHandle?.readStop();
    this.#stallTimer = setTimeout(() => {
      const peer = this.socket.remoteAddress ?? 'unknown';
      this.socket.destroy(buildError('timeout', 'network', peer, 'ETIMEDOUT: link is cut'));
    }, RETRANSMISSION_TIMEOUT_MS).unref();
  }

  #enqueue(bytes: number, send: () => void): void {
    this.#queue.push({ dueMs: performance.now() + this.oneWayMs, bytes, send });
    this.#queuedBytes += bytes;
    this.#schedule();
  }

  #schedule(): void {
    const [next] = this.#queue;
    if (next === undefined || this.#timer !== undefined || this.#isCut()) return;
    const delayMs = next.dueMs - performance.now();
    this.#timer = setTimeout(() => this.#sendDue(), Math.max(0, delayMs - TIMER_LATENESS_MS));
  }

  #sendDue(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isCut()) return;
    const nowMs = performance.now() + SEND_COALESCING_MS;
    while (this.#queue[0] !== undefined && this.#queue[0].dueMs <= nowMs) {
      const queued = this.#queue.shift();
      this.#queuedBytes -= queued?.bytes ?? 0;
      queued?.send();
    }
    this.#schedule();
    if (this.#queue.length === 0) this.#finishClose?.();
  }
}
