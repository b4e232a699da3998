/** One HTTP exchange with an upstream, followed until it has really ended. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import { ExchangeBody } from '../calls/exchangeBody.js';

/** Small answers are read to this size without waiting for the reader. */
const READ_AHEAD_BYTES = 64 * 1024;

/** First result of an exchange. */
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
      readonly error: Error;
    };

/** A complete small body, or why there is none. */
export type BodyEnd =
  | { readonly kind: 'complete'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'failed'; readonly error: Error };

/** A running exchange. Its promises never reject. */
export interface Exchange {
  readonly head: Promise<ExchangeHead>;
  /** Resolves when nothing more can come from the upstream. */
  readonly ended: Promise<BodyEnd>;
  /** Gives up an exchange of which nothing was written yet; true when that is certain. */
  abortUnsent(reason: Error): boolean;
  /** Closes the connection under the exchange. */
  abort(reason: Error): void;
}

/** What an exchange needs. */
export interface ExchangeOptions {
  readonly dispatcher: Dispatcher;
  readonly request: Dispatcher.DispatchOptions;
  /** Bodies up to this size are kept for `ended`. */
  readonly keepBytes: number;
  /** Called when the reader destroys the body before its end. */
  readonly onBodyLeft: () => void;
}

interface BodySink {
  readonly body: Readable;
  add(chunk: Buffer): void;
  finish(): BodyEnd;
  abort(error: Error): void;
}

function createBodySink(
  controller: Dispatcher.DispatchController,
  keepBytes: number,
  onBodyLeft: () => void,
): BodySink {
  const kept: Buffer[] = [];
  let size = 0;
  let isOpen = true;
  const body = new ExchangeBody(controller, READ_AHEAD_BYTES, () => {
    if (!isOpen) return;
    // The rest is read and dropped: the slot stays taken until the upstream has finished.
    isOpen = false;
    controller.resume();
    onBodyLeft();
  });
  // A reader that has not attached its own listener yet must not end the process.
  body.on('error', () => {});
  return {
    body,
    add(chunk) {
      size += chunk.length;
      if (size <= keepBytes) kept.push(chunk);
      else kept.length = 0;
      if (isOpen && !body.push(chunk)) controller.pause();
    },
    finish() {
      if (isOpen) {
        isOpen = false;
        body.push(null);
      }
      return size <= keepBytes
        ? { kind: 'complete', body: Buffer.concat(kept) }
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
  const { dispatcher, request, keepBytes, onBodyLeft } = options;
  let controller: Dispatcher.DispatchController | undefined;
  let sink: BodySink | undefined;
  let unsentReason: Error | undefined;
  let hasEnded = false;
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
    resolveHead({ kind: 'failed', wasSent: controller !== undefined, error });
    sink?.abort(error);
    finish({ kind: 'failed', error });
  };

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      // Called before the first byte is written, and only then.
      if (unsentReason) {
        started.abort(unsentReason);
        return;
      }
      controller = started;
    },
    onResponseStart(started, status, headers) {
      if (status < 200) return;
      sink = createBodySink(started, keepBytes, onBodyLeft);
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
      unsentReason = reason;
      fail(reason);
      return true;
    },
    abort(reason) {
      controller?.abort(reason);
    },
  };
}
