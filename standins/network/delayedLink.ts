/* eslint-disable no-underscore-dangle -- the names are those of Node's own methods. */
/** One connection between two areas: delays what is sent and freezes both directions at a cut. */
import { buildError } from '../../src/errors.js';
import type { Done, InternalSocket, SocketPrototype, TcpHandle } from './internals.js';
import type { CutTable, LinkName } from './links.js';

/** Data above which a sender waits, as it does when the send buffer of a kernel is full. */
const MAX_QUEUED_BYTES = 1024 * 1024;

/** Time after which a frozen connection fails, like a retransmission limit. */
const FROZEN_LIMIT_MS = 120_000;

/** Timers of whole milliseconds fire half of one late on average, so they are set earlier by it. */
const TIMER_SLACK_MS = 0.5;

/** Writes of one message differ by fractions of a millisecond and go out with one timer. */
const SEND_SLACK_MS = 0.8;

interface Queued {
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

/** Delays and freezes one socket. */
export class DelayedLink {
  readonly #queue: Queued[] = [];

  #queuedBytes = 0;

  #timer: NodeJS.Timeout | undefined;

  #frozenTimer: NodeJS.Timeout | undefined;

  /** Set while the socket waits for its queue before it closes. */
  #finishClose: (() => void) | undefined;

  #isReadWanted = false;

  /** Methods of the handle before they were replaced. */
  #reading: TcpHandle | undefined;

  readonly #ignoreCuts: () => void;

  constructor(
    readonly socket: InternalSocket,
    readonly original: SocketPrototype,
    readonly cuts: CutTable,
    readonly link: LinkName,
    readonly oneWayMs: number,
    isReading: boolean,
  ) {
    this.#isReadWanted = isReading;
    if (socket._handle !== null) this.#attach(socket._handle);
    this.#ignoreCuts = cuts.onChange(() => this.#applyCuts());
    this.#applyCuts();
  }

  /** Takes over a write; the sender goes on at once unless too much is queued. */
  write(isVector: boolean, data: unknown, encoding: string, done: Done): void {
    const bytes = countBytes(data);
    const mustWait = this.#queuedBytes + bytes > MAX_QUEUED_BYTES;
    const handleResult: Done = (error) => {
      if (mustWait) done(error);
      else if (error) this.socket.destroy(error);
    };
    this.#add(bytes, () => {
      this.original._writeGeneric.call(this.socket, isVector, data, encoding, handleResult);
    });
    if (!mustWait) done();
  }

  /** Takes over the end of the sending direction. */
  finish(done: Done): void {
    this.#add(0, () => this.original._final.call(this.socket, () => {}));
    done();
  }

  /** Closes after what is on its way; at once, without it, when the link is cut. */
  destroy(error: Error | null, done: Done): void {
    this.#finishClose = () => {
      this.#ignoreCuts();
      clearTimeout(this.#frozenTimer);
      clearTimeout(this.#timer);
      this.#finishClose = undefined;
      this.#queue.length = 0;
      this.original._destroy.call(this.socket, error, done);
    };
    if (this.#queue.length === 0 || this.#isCut()) this.#finishClose();
    else if (this.socket._handle !== null) this.#reading?.readStop();
  }

  /** Sends all that is queued, for the exit of the process: the network would still deliver it. */
  flush(): void {
    if (this.#isCut()) return;
    for (const queued of this.#queue.splice(0)) queued.send();
  }

  #isCut(): boolean {
    return this.cuts.isCut(this.link);
  }

  #attach(handle: TcpHandle): void {
    const reading = {
      readStart: handle.readStart.bind(handle),
      readStop: handle.readStop.bind(handle),
    };
    this.#reading = reading;
    Object.assign(handle, {
      readStart: () => {
        this.#isReadWanted = true;
        return this.#isCut() ? 0 : reading.readStart();
      },
      readStop: () => {
        this.#isReadWanted = false;
        return reading.readStop();
      },
    });
  }

  #applyCuts(): void {
    if (this.socket._handle === null) return;
    if (this.#finishClose !== undefined && this.#isCut()) {
      this.#finishClose();
      return;
    }
    clearTimeout(this.#frozenTimer);
    if (!this.#isCut()) {
      if (this.#isReadWanted) this.#reading?.readStart();
      this.#sendDue();
      return;
    }
    this.#reading?.readStop();
    this.#frozenTimer = setTimeout(() => {
      const peer = this.socket.remoteAddress ?? 'unknown';
      this.socket.destroy(buildError('timeout', 'network', peer, 'ETIMEDOUT: link is cut'));
    }, FROZEN_LIMIT_MS).unref();
  }

  #add(bytes: number, send: () => void): void {
    this.#queue.push({ dueMs: performance.now() + this.oneWayMs, bytes, send });
    this.#queuedBytes += bytes;
    this.#schedule();
  }

  #schedule(): void {
    const [next] = this.#queue;
    if (next === undefined || this.#timer !== undefined || this.#isCut()) return;
    const delayMs = next.dueMs - performance.now();
    this.#timer = setTimeout(() => this.#sendDue(), Math.max(0, delayMs - TIMER_SLACK_MS));
  }

  #sendDue(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isCut()) return;
    const nowMs = performance.now() + SEND_SLACK_MS;
    while (this.#queue[0] !== undefined && this.#queue[0].dueMs <= nowMs) {
      const queued = this.#queue.shift();
      this.#queuedBytes -= queued?.bytes ?? 0;
      queued?.send();
    }
    this.#schedule();
    if (this.#queue.length === 0) this.#finishClose?.();
  }
}
