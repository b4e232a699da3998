/** An HTTP exchange with an upstream, tracked until the upstream has finished. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import { ExchangeBody } from '../calls/exchangeBody.js';
import { MAX_STATUS } from '../calls/refusal.js';

/** Number of response bytes that are buffered before the body applies backpressure. */
const BODY_BUFFER_BYTES = 64 * 1024;

/** The response head, or why there is none. */
export type ExchangeHead =
  | {
      readonly kind: 'response';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Readable;
    }
  | {
      readonly kind: 'failed';
      /** True when bytes of the request may have been written. */
      readonly wasSent: boolean;
      readonly reason: 'connection-lost' | 'mismatched-answer';
      readonly error: Error;
    };

/** A complete body up to `maxStoredBytes`, or why there is none. */
export type BodyEnd =
  | { readonly kind: 'complete'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'failed'; readonly error: Error };

/** An exchange in flight. Its promises never reject. */
export interface Exchange {
  readonly head: Promise<ExchangeHead>;
  /** Resolves when no more data can arrive from the upstream. */
  readonly ended: Promise<BodyEnd>;
  /** Aborts the exchange unless it may have been written; returns whether it was aborted. */
  abortUnsent(reason: Error): boolean;
  /** Closes the connection of the exchange. */
  abort(reason: Error): void;
}

/** Options of an exchange. */
export interface ExchangeOptions {
  readonly dispatcher: Dispatcher;
  readonly request: Dispatcher.DispatchOptions;
  /** Size limit of the body that `ended` resolves with. */
  readonly maxStoredBytes: number;
  /**
   * Returns whether a response belongs to this request. A mismatch closes the connection, since
   * later responses on it would not match their requests either.
   */
  readonly isMatchingResponse: (headers: IncomingHttpHeaders) => boolean;
  /** Called when the reader destroys the body before its end. */
  readonly onBodyDestroyed: () => void;
}

interface BodySink {
  readonly body: Readable;
  add(chunk: Buffer): void;
  finish(): BodyEnd;
  abort(error: Error): void;
}

function createBodySink(
  controller: Dispatcher.DispatchController,
  maxStoredBytes: number,
  onBodyDestroyed: () => void,
): BodySink {
  const stored: Buffer[] = [];
  let size = 0;
  let isOpen = true;
  const body = new ExchangeBody(controller, BODY_BUFFER_BYTES, () => {
    if (!isOpen) return;
    // The rest is read and discarded: the slot stays occupied until the upstream has finished.
    isOpen = false;
    controller.resume();
    onBodyDestroyed();
  });
  // Without this listener, an error before the reader attaches its own would end the process.
  body.on('error', () => {});
  return {
    body,
    add(chunk) {
      size += chunk.length;
      if (size <= maxStoredBytes) stored.push(chunk);
      else stored.length = 0;
      if (isOpen && !body.push(chunk)) controller.pause();
    },
    finish() {
      if (isOpen) {
        isOpen = false;
        body.push(null);
      }
      return size <= maxStoredBytes
        ? { kind: 'complete', body: Buffer.concat(stored) }
        : { kind: 'too-large' };
    },
    abort(error) {
      if (!isOpen) return;
      isOpen = false;
      body.destroy(error);
    },
  };
}

/** Starts an exchange. The dispatcher sends the request at most once. */
export function startExchange(options: ExchangeOptions): Exchange {
  const { dispatcher, request, maxStoredBytes, isMatchingResponse, onBodyDestroyed } = options;
  let controller: Dispatcher.DispatchController | undefined;
  let sink: BodySink | undefined;
  let abortReason: Error | undefined;
  let hasEnded = false;
  let failure: 'connection-lost' | 'mismatched-answer' = 'connection-lost';
  let resolveHead: (head: ExchangeHead) => void;
  let resolveEnded: (end: BodyEnd) => void;
  const head = new Promise<ExchangeHead>((resolve) => {
    resolveHead = resolve;
  });
  const ended = new Promise<BodyEnd>((resolve) => {
    resolveEnded = resolve;
  });

  const finish = (end: BodyEnd) => {
    hasEnded = true;
    resolveEnded(end);
  };
  const fail = (error: Error) => {
    if (hasEnded) return;
    resolveHead({ kind: 'failed', wasSent: controller !== undefined, reason: failure, error });
    sink?.abort(error);
    finish({ kind: 'failed', error });
  };

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      // undici calls this immediately before it writes the first byte, and at no other time.
      if (abortReason) {
        started.abort(abortReason);
        return;
      }
      controller = started;
    },
    onResponseStart(started, status, headers) {
      // Informational responses (1xx) precede the final one.
      if (status < 200) return;
      if (status > MAX_STATUS) {
        started.abort(new Error(`the upstream answered with the status ${status}`));
        return;
      }
      if (!isMatchingResponse(headers)) {
        failure = 'mismatched-answer';
        started.abort(new Error('the upstream answered another request'));
        return;
      }
      sink = createBodySink(started, maxStoredBytes, onBodyDestroyed);
      resolveHead({ kind: 'response', status, headers, body: sink.body });
    },
    onResponseData(started, chunk) {
      sink?.add(chunk);
    },
    onResponseEnd() {
      finish(sink ? sink.finish() : { kind: 'failed', error: new Error('no response') });
    },
    onResponseError(started, error) {
      fail(error);
    },
  };

  try {
    dispatcher.dispatch(request, handler);
  } catch (thrown) {
    fail(thrown instanceof Error ? thrown : new Error(String(thrown)));
  }
  return {
    head,
    ended,
    abortUnsent(reason) {
      if (controller !== undefined || hasEnded) return false;
      abortReason = reason;
      fail(reason);
      return true;
    },
    abort(reason) {
      controller?.abort(reason);
    },
  };
}
