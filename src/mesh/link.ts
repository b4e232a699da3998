/**
 * One HTTP/1.1 client connection that carries one request at a time. It reports whether a request
 * may have reached the other side, and discards responses that belong to another request.
 */
import { connect, type Socket } from 'node:net';
import { HTTPParser } from 'http-parser-js';
import type { PeerAddress } from '../types/interfaces.js';
import type { HttpRequest, HttpResponse } from './model.js';
import { getHeader } from './headers.js';
import { createResponseParser } from './responseParser.js';

/** Largest response body that is read, in bytes. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/** How an exchange ended. */
export type LinkResult =
  | { readonly kind: 'response'; readonly response: HttpResponse }
  /** `wasSent` is false when not one byte of the request was written. */
  | { readonly kind: 'broken'; readonly reason: string; readonly wasSent: boolean };

interface Pending {
  readonly isHead: boolean;
  readonly onInterim: (() => void) | undefined;
  readonly isOwn: (headers: readonly string[]) => boolean;
  readonly resolve: (result: LinkResult) => void;
}

/** Head of a response as the parser reports it. */
interface ResponseHead {
  readonly statusCode: number;
  readonly headers: readonly string[];
  readonly shouldKeepAlive: boolean;
}

interface Incoming {
  readonly status: number;
  readonly headers: readonly string[];
  readonly chunks: Buffer[];
  readonly isForeign: boolean;
  bytes: number;
}

/** Formats a request; the body always has a length. */
export function encodeRequest(request: HttpRequest): Buffer {
  let head = `${request.method} ${request.path} HTTP/1.1\r\n`;
  for (let index = 0; index + 1 < request.headers.length; index += 2) {
    head += `${request.headers[index]}: ${request.headers[index + 1]}\r\n`;
  }
  const hasBody = request.body.length > 0 || !/^(GET|HEAD|DELETE)$/.test(request.method);
  if (hasBody) head += `Content-Length: ${request.body.length}\r\n`;
  const headBytes = Buffer.from(`${head}\r\n`, 'latin1');
  return hasBody ? Buffer.concat([headBytes, request.body]) : headBytes;
}

/** The parser reports faults as values, and rethrows what its listeners throw. */
function runParser(step: () => number | void | Error): Error | undefined {
  try {
    const outcome = step();
    return outcome instanceof Error ? outcome : undefined;
  } catch (thrown) {
    return thrown instanceof Error ? thrown : new Error(String(thrown));
  }
}

/** A connection to one address. */
export class Link {
  /** Instant of the latest bytes of the other side, on the `performance.now` scale. */
  lastBytesAtMs = performance.now();

  /** End of the last exchange on the `performance.now` scale. */
  idleSinceMs = performance.now();

  /** Idle time after which the other side closes the connection, if it said so. */
  peerIdleMs: number | undefined;

  private readonly parser = createResponseParser();

  private pending: Pending | undefined;

  private incoming: Incoming | undefined;

  private isReusable = true;

  private isClosed = false;

  private readonly onIdleClose: (link: Link) => void;

  constructor(
    private readonly socket: Socket,
    onIdleClose: (link: Link) => void,
  ) {
    this.onIdleClose = onIdleClose;
    this.installParser();
    socket.on('data', (chunk: Buffer) => this.handleData(chunk));
    socket.on('end', () => this.handleEnd());
    socket.on('error', (error) => this.fail(error.message));
    socket.on('close', () => this.fail('connection closed'));
  }

  /** True when the link can carry another request. */
  canReuse(): boolean {
    return this.isReusable && !this.isClosed && this.socket.writableLength === 0;
  }

  /**
   * Sends a request and reads its response. `isOwn` tells it from responses to other requests;
   * `onInterim` is called for each interim response.
   */
  exchange(
    request: HttpRequest,
    isOwn: (headers: readonly string[]) => boolean,
    onInterim?: () => void,
  ): Promise<LinkResult> {
    if (this.isClosed || this.pending) {
      return Promise.resolve({ kind: 'broken', reason: 'connection closed', wasSent: false });
    }
    return new Promise((resolve) => {
      this.pending = { isHead: request.method === 'HEAD', onInterim, isOwn, resolve };
      this.socket.write(encodeRequest(request));
    });
  }

  /** Closes with a reset, so that bytes still on their way are dropped. */
  abort(reason: string): void {
    this.fail(reason);
  }

  private installParser(): void {
    const { parser } = this;
    parser[HTTPParser.kOnHeadersComplete] = ((info: ResponseHead) =>
      this.handleHead(info)) as never;
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      const { incoming } = this;
      if (!incoming) return;
      incoming.bytes += length;
      if (incoming.bytes > MAX_RESPONSE_BYTES) throw new Error('response too large');
      incoming.chunks.push(Buffer.from(chunk.subarray(offset, offset + length)));
    };
    parser[HTTPParser.kOnMessageComplete] = () => this.handleMessage();
  }

  /** Returns true when the parser must not expect a body. */
  private handleHead(info: ResponseHead): boolean {
    const { pending } = this;
    if (!pending) throw new Error('response without a request');
    const length = getHeader(info.headers, 'content-length');
    // The library waits for ever for a length that is no number.
    if (length !== undefined && !/^\d+$/.test(length)) throw new Error('invalid length');
    const isInterim = info.statusCode < 200;
    if (isInterim) pending.onInterim?.();
    const isForeign = !isInterim && !pending.isOwn(info.headers);
    this.incoming = {
      status: info.statusCode,
      headers: [...info.headers],
      chunks: [],
      isForeign: isInterim || isForeign,
      bytes: 0,
    };
    // Whatever follows a response to another request can no longer be trusted.
    if (isForeign || (!isInterim && !info.shouldKeepAlive)) this.isReusable = false;
    const seconds = /timeout=(\d+)/.exec(getHeader(info.headers, 'keep-alive') ?? '')?.[1];
    if (seconds !== undefined) this.peerIdleMs = Number(seconds) * 1000;
    return pending.isHead;
  }

  private handleMessage(): void {
    const { incoming, pending } = this;
    this.incoming = undefined;
    if (!incoming || !pending || incoming.isForeign) return;
    this.pending = undefined;
    this.idleSinceMs = performance.now();
    const { status, headers, chunks } = incoming;
    pending.resolve({
      kind: 'response',
      response: { status, headers, body: Buffer.concat(chunks) },
    });
  }

  private handleData(chunk: Buffer): void {
    if (this.isClosed) return;
    this.lastBytesAtMs = performance.now();
    if (!this.pending) {
      this.fail('bytes without a request');
      return;
    }
    const fault = runParser(() => this.parser.execute(chunk));
    if (fault) this.fail(`malformed response: ${fault.message}`);
  }

  private handleEnd(): void {
    // A reset that comes together with the last bytes is reported as an end, too. The peer's
    // address is known only while the connection is not reset, unless it was asked for before.
    const wasReset = this.socket.remoteAddress === undefined;
    if (wasReset) {
      this.fail('connection reset');
      return;
    }
    if (this.incoming && this.pending) {
      const fault = runParser(() => this.parser.finish());
      if (fault) this.fail('response cut short');
    }
    this.fail('connection closed');
  }

  private fail(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    const { pending } = this;
    this.pending = undefined;
    this.socket.resetAndDestroy();
    if (pending) pending.resolve({ kind: 'broken', reason, wasSent: true });
    else this.onIdleClose(this);
  }
}

/** Opens a connection; resolves to a text with the reason when that fails or takes too long. */
export function openSocket(address: PeerAddress, timeoutMs: number): Promise<Socket | string> {
  return new Promise((resolve) => {
    const socket = connect({ host: address.host, port: address.port, noDelay: true });
    const timer = setTimeout(() => {
      socket.destroy();
      resolve('timeout');
    }, timeoutMs);
    const handleError = (error: Error) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(error.message);
    };
    socket.once('error', handleError);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', handleError);
      resolve(socket);
    });
  });
}
