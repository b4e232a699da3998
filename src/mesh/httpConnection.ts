/**
 * HTTP/1.1 client connection for one request at a time. It reports whether a request may have
 * reached the peer, and discards responses that belong to other requests.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http';
import { connect, type Socket } from 'node:net';
import { HTTPParser } from 'http-parser-js';
import type { PeerAddress } from '../types/interfaces.js';
import { BodyBuffer } from './bodyBuffer.js';
import type { HttpRequest, HttpResponse } from './model.js';
import { getHeader } from './headers.js';
import {
  createResponseParser,
  explainInvalidFraming,
  isBetweenResponses,
  isBodiless,
} from './responseParser.js';
import type { HeldBody, ResponseMemory } from './responseMemory.js';

/** Largest response body that is read, in bytes. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/**
 * Largest number of bytes in one exchange that are not part of a body, for a body of no bytes:
 * headers, interim responses, chunk sizes and trailers, which a faulty peer may send without end.
 * Each byte of a body allows for one more, up to the second bound.
 */
const FRAMING_BYTES = { base: 32 * 1024, max: 1024 * 1024 };

/** Result of an exchange. */
export type ExchangeResult =
  | { readonly kind: 'response'; readonly response: HttpResponse }
  /** The body is larger than the limit of the exchange; the connection was closed. */
  | { readonly kind: 'too-large' }
  /** `wasSent` is false when no byte of the request was written. */
  | { readonly kind: 'broken'; readonly reason: string; readonly wasSent: boolean };

/** Options of an exchange. */
export interface ExchangeOptions {
  /** Called for each interim response. */
  readonly onInterim?: (() => void) | undefined;
  /** Size from which the body is not read, in bytes. */
  readonly maxBytes?: number | undefined;
  /** True when the body is sent only once the server asks for it. */
  readonly isAnnounced?: boolean | undefined;
  /**
   * Called immediately before the last part of the request is written: with an announced body, when
   * the server asks for it. Until then the server cannot have received the whole request.
   */
  readonly onSend?: (() => void) | undefined;
  /** Bounds the bodies that are read at the same time; undefined for no bound. */
  readonly memory?: ResponseMemory | undefined;
}

interface PendingExchange extends ExchangeOptions {
  readonly isHead: boolean;
  readonly isMatching: (headers: readonly string[]) => boolean;
  readonly resolve: (result: ExchangeResult) => void;
  /** Announced body that the server has not asked for yet. */
  unsentBody: Buffer | undefined;
}

/** Head of a response as the parser reports it. */
interface ResponseHead {
  readonly statusCode: number;
  readonly headers: readonly string[];
  readonly shouldKeepAlive: boolean;
}

interface IncomingResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: BodyBuffer;
  /** What the memory for responses holds of it; undefined without one. */
  readonly held: HeldBody | undefined;
  /** True for interim responses and responses to other requests. */
  readonly isDiscarded: boolean;
}

/** Request header by which a client sends the body only once the server asks for it. */
const EXPECT_HEADERS = ['Expect', '100-continue'];

const CONTINUE_STATUS = 100;

/** Size up to which a body is copied behind the head of its request. */
const MAX_JOINED_BODY_BYTES = 16 * 1024;

/** Encodes the head of a request; a body is always sent with `Content-Length`. */
function encodeHead(request: HttpRequest): Buffer {
  let head = `${request.method} ${request.path} HTTP/1.1\r\n`;
  for (let index = 0; index + 1 < request.headers.length; index += 2) {
    head += `${request.headers[index]}: ${request.headers[index + 1]}\r\n`;
  }
  const hasBody = request.body.length > 0 || !/^(GET|HEAD|DELETE)$/.test(request.method);
  if (hasBody) head += `Content-Length: ${request.body.length}\r\n`;
  return Buffer.from(`${head}\r\n`, 'latin1');
}

/** Encodes a request; a body is always sent with `Content-Length`. */
export function encodeRequest(request: HttpRequest): Buffer {
  const head = encodeHead(request);
  return request.body.length > 0 ? Buffer.concat([head, request.body]) : head;
}

/** Encodes the head of a request whose body follows when the server asks for it. */
function encodeAnnouncement(request: HttpRequest): Buffer {
  return encodeHead({ ...request, headers: [...request.headers, ...EXPECT_HEADERS] });
}

/** Throws if a header cannot be forwarded; the parser accepts control characters in values. */
function validateHeaders(headers: readonly string[]): void {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    validateHeaderName(headers[index]!);
    validateHeaderValue(headers[index]!, headers[index + 1]!);
  }
}

/** Runs a parser step. The parser returns its own errors and rethrows those of its callbacks. */
function runParser(step: () => number | void | Error): Error | undefined {
  try {
    const outcome = step();
    return outcome instanceof Error ? outcome : undefined;
  } catch (thrown) {
    return thrown instanceof Error ? thrown : new Error(String(thrown));
  }
}

/**
 * Returns true when a connection that is reported as ended was reset: a reset that is received
 * together with the last bytes is reported as an end. After a reset the remote address is
 * undefined, unless it was read earlier.
 */
export function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

export class HttpConnection {
  /** Time at which bytes were last received, on the `performance.now` scale. */
  lastReceivedAtMs = performance.now();

  /** Bytes received since the start of the latest exchange. */
  receivedBytes = 0;

  /** Bytes of bodies since the start of the latest exchange. */
  private bodyBytes = 0;

  /** Time of the first bytes since the start of the latest exchange, if any. */
  firstReceivedAtMs: number | undefined;

  /** Number of requests that were sent. */
  sentRequests = 0;

  /** Time at which the last exchange ended, on the `performance.now` scale. */
  idleSinceMs = performance.now();

  /** Idle timeout from the peer's `Keep-Alive` header, if it sent one. */
  peerIdleTimeoutMs: number | undefined;

  private readonly parser = createResponseParser();

  private pending: PendingExchange | undefined;

  private incoming: IncomingResponse | undefined;

  private isReusable = true;

  private isClosed = false;

  private readonly onIdleClose: (connection: HttpConnection) => void;

  constructor(
    private readonly socket: Socket,
    onIdleClose: (connection: HttpConnection) => void,
  ) {
    this.onIdleClose = onIdleClose;
    this.installParser();
    socket.on('data', (chunk: Buffer) => this.handleData(chunk));
    socket.on('end', () => this.handleEnd());
    socket.on('error', (error) => this.fail(error.message));
    socket.on('close', () => this.fail('connection closed'));
  }

  /** Returns true when the connection can carry another request. */
  canReuse(): boolean {
    return this.isReusable && !this.isClosed && this.socket.writableLength === 0;
  }

  /** Returns the bytes that the operating system has not taken yet. */
  countUnsentBytes(): number {
    return this.socket.writableLength;
  }

  /**
   * Sends a request and reads its response. `isMatching` distinguishes its response from those to
   * other requests.
   */
  exchange(
    request: HttpRequest,
    isMatching: (headers: readonly string[]) => boolean,
    options: ExchangeOptions = {},
  ): Promise<ExchangeResult> {
    if (this.isClosed || this.pending) {
      return Promise.resolve({ kind: 'broken', reason: 'connection closed', wasSent: false });
    }
    this.receivedBytes = 0;
    this.bodyBytes = 0;
    this.firstReceivedAtMs = undefined;
    this.sentRequests += 1;
    return new Promise((resolve) => {
      const isAnnounced = options.isAnnounced && request.body.length > 0;
      const unsentBody = isAnnounced ? request.body : undefined;
      const isHead = request.method === 'HEAD';
      this.pending = { ...options, isHead, isMatching, resolve, unsentBody };
      if (unsentBody) {
        this.socket.write(encodeAnnouncement(request));
        return;
      }
      options.onSend?.();
      this.writeRequest(request);
    });
  }

  /** Closes the connection with a reset, so that bytes in transit are discarded. */
  abort(reason: string): void {
    this.fail(reason);
  }

  /**
   * Closes the connection in order, by which the peer knows that nothing is awaited any more. The
   * end of a connection is sent again when its packet is lost, a reset is not. Bytes that have not
   * left this process would delay it, so that the connection is then closed with a reset.
   */
  end(reason: string): void {
    this.fail(reason, this.countUnsentBytes() === 0);
  }

  /** Writes a request; a large body is not copied behind its head. */
  private writeRequest(request: HttpRequest): void {
    if (request.body.length <= MAX_JOINED_BODY_BYTES) {
      this.socket.write(encodeRequest(request));
      return;
    }
    this.socket.cork();
    this.socket.write(encodeHead(request));
    this.socket.write(request.body);
    this.socket.uncork();
  }

  private installParser(): void {
    const { parser } = this;
    parser[HTTPParser.kOnHeadersComplete] = ((info: ResponseHead) =>
      this.handleHead(info)) as never;
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      const { incoming, pending } = this;
      if (!incoming) return;
      const { body, held } = incoming;
      this.bodyBytes += length;
      const bytes = body.bytes + length;
      if (bytes > MAX_RESPONSE_BYTES) throw new Error('response too large');
      if (bytes > (pending?.maxBytes ?? Infinity)) {
        this.endTooLarge();
        return;
      }
      const { heldBytes } = body;
      body.append(chunk.subarray(offset, offset + length));
      if (held) pending?.memory?.grow(held, body.heldBytes - heldBytes);
    };
    parser[HTTPParser.kOnMessageComplete] = () => this.handleMessage();
  }

  /** Returns true when the parser must not expect a body. */
  private handleHead(info: ResponseHead): boolean {
    const { pending } = this;
    if (!pending) throw new Error('response without a request');
    validateHeaders(info.headers);
    const fault = explainInvalidFraming(info.headers);
    if (fault !== undefined) throw new Error(fault);
    const length = getHeader(info.headers, 'content-length');
    const isInterim = info.statusCode < 200;
    if (isInterim) this.handleInterim(info.statusCode, pending);
    // The server still expects the body, in whose place it would read the next request.
    else if (pending.unsentBody) this.isReusable = false;
    const isMismatched = !isInterim && !pending.isMatching(info.headers);
    if (length !== undefined && Number(length) > (pending.maxBytes ?? Infinity)) {
      this.endTooLarge();
      return true;
    }
    const body = new BodyBuffer(
      Math.min(Number(length ?? 0), MAX_RESPONSE_BYTES),
      MAX_RESPONSE_BYTES,
    );
    this.incoming = {
      status: info.statusCode,
      headers: [...info.headers],
      body,
      held: pending.memory && this.buildHeldBody(),
      isDiscarded: isInterim || isMismatched,
    };
    // After a response to another request, further bytes cannot be assigned to a request reliably.
    if (isMismatched || (!isInterim && !info.shouldKeepAlive)) this.isReusable = false;
    const seconds = /timeout=(\d+)/.exec(getHeader(info.headers, 'keep-alive') ?? '')?.[1];
    if (seconds !== undefined) this.peerIdleTimeoutMs = Number(seconds) * 1000;
    return pending.isHead || isBodiless(info.statusCode);
  }

  private buildHeldBody(): HeldBody {
    return { abort: () => this.endTooLarge() };
  }

  private handleInterim(status: number, pending: PendingExchange): void {
    const exchange = pending;
    pending.onInterim?.();
    if (status !== CONTINUE_STATUS || !exchange.unsentBody) return;
    pending.onSend?.();
    this.socket.write(exchange.unsentBody);
    exchange.unsentBody = undefined;
  }

  private handleMessage(): void {
    const { incoming, pending } = this;
    this.releaseIncoming();
    if (!incoming || !pending || incoming.isDiscarded) return;
    this.pending = undefined;
    this.idleSinceMs = performance.now();
    const { status, headers, body } = incoming;
    pending.resolve({
      kind: 'response',
      response: { status, headers, body: body.toBuffer() },
    });
  }

  private handleData(chunk: Buffer): void {
    if (this.isClosed) return;
    this.lastReceivedAtMs = performance.now();
    this.firstReceivedAtMs ??= this.lastReceivedAtMs;
    this.receivedBytes += chunk.length;
    if (!this.pending) {
      this.fail('bytes without a request');
      return;
    }
    const fault = runParser(() => this.parser.execute(chunk));
    if (fault) this.fail(`malformed response: ${fault.message}`);
    else if (!this.pending && !isBetweenResponses(this.parser)) this.fail('bytes after a response');
    else if (this.hasTooMuchFraming()) this.fail('too many bytes outside the body');
  }

  private hasTooMuchFraming(): boolean {
    const { base, max } = FRAMING_BYTES;
    const limitBytes = Math.min(max, base + this.bodyBytes);
    return this.receivedBytes - this.bodyBytes > limitBytes;
  }

  private discardIncoming(): void {
    const body = this.incoming?.body;
    this.releaseIncoming();
    body?.discard();
  }

  private releaseIncoming(): void {
    const held = this.incoming?.held;
    if (held) this.pending?.memory?.release(held);
    this.incoming = undefined;
  }

  private handleEnd(): void {
    if (wasReset(this.socket)) {
      this.fail('connection reset');
      return;
    }
    if (this.incoming && this.pending) {
      const fault = runParser(() => this.parser.finish());
      if (fault) this.fail('response cut short');
    }
    this.fail('connection closed');
  }

  /** Closes the connection during a response that is larger than the limit of its exchange. */
  private endTooLarge(): void {
    const { pending } = this;
    this.discardIncoming();
    this.pending = undefined;
    pending?.resolve({ kind: 'too-large' });
    this.fail('response above the limit');
  }

  private fail(reason: string, isInOrder = false): void {
    if (this.isClosed) return;
    this.isClosed = true;
    const { pending } = this;
    this.discardIncoming();
    this.pending = undefined;
    if (isInOrder) this.socket.destroy();
    else this.socket.resetAndDestroy();
    if (pending) pending.resolve({ kind: 'broken', reason, wasSent: true });
    else this.onIdleClose(this);
  }
}

/** Starts to connect; returns the reason when the address cannot be connected to at all. */
function startConnect({ host, port }: PeerAddress): Socket | string {
  try {
    return connect({ host, port, noDelay: true });
  } catch (thrown) {
    return thrown instanceof Error ? thrown.message : String(thrown);
  }
}

/** Opens a socket; resolves to the reason when that fails or times out. Never rejects. */
export function openSocket(address: PeerAddress, timeoutMs: number): Promise<Socket | string> {
  return new Promise((resolve) => {
    const socket = startConnect(address);
    if (typeof socket === 'string') {
      resolve(socket);
      return;
    }
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
