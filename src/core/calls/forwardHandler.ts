/** Tracks one forwarded request and determines whether it can have run. */
import type { IncomingHttpHeaders } from 'node:http';
import { getDefaultHighWaterMark, type Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import type { AttemptResult } from '../../types/calls.js';
import { CALL_HEADERS } from '../../types/outcome.js';
import { parseFailure, parseLoad } from './answer.js';
import { ExchangeBody } from './exchangeBody.js';
import { buildNotRun, buildUnknown, MAX_STATUS, type FailedResult } from './refusal.js';

type Controller = Dispatcher.DispatchController;

/** Why a forwarded request is cancelled. */
export type CancelCause = 'deadline' | 'cancelled';

/** Callbacks of a forwarded request, each called once: at its result and at its end. */
export interface ForwardEvents {
  onResult(result: AttemptResult): void;
  onEnd(): void;
}

/**
 * Handler of one undici request. Before undici assigns the request to a connection, no byte of it
 * has been sent, so a failure up to then proves `notRun`; any later failure is `unknown`.
 */
export class ForwardHandler implements Dispatcher.DispatchHandler {
  private controller: Controller | undefined;
  private body: Readable | undefined;
  private failure: FailedResult | undefined;
  private isSettled = false;
  private isEnded = false;

  constructor(
    private readonly requestId: string,
    private readonly peer: string,
    private readonly events: ForwardEvents,
  ) {}

  /** Cancels the request: closes its connection, or prevents it from being sent. */
  cancelExchange(cause: CancelCause): void {
    if (this.isEnded) return;
    const result = this.controller
      ? buildUnknown(cause === 'deadline' ? 'timeout' : 'cancelled', `${this.peer}: ${cause}`)
      : buildNotRun(cause, `${this.peer}: ${cause} before the request was sent`);
    this.settle(this.failure ?? result);
    const error = new Error(cause);
    this.body?.destroy(error);
    this.controller?.abort(error);
    this.end();
  }

  onRequestStart(controller: Controller): void {
    // A second start would send the request twice, and a start after `cancelExchange` would send a
    // cancelled request.
    if (this.isSettled || this.controller) {
      controller.abort(new Error('the request must not be sent again'));
      return;
    }
    this.controller = controller;
  }

  onResponseStart(controller: Controller, status: number, headers: IncomingHttpHeaders): void {
    if (status < 200 || this.isSettled) return;
    if (status > MAX_STATUS) {
      controller.abort(new Error(`the response has the status ${status}`));
      return;
    }
    const failure = parseFailure(headers, this.requestId, this.peer);
    if (failure) {
      this.failure = failure;
      if (failure.kind === 'unknown' && failure.reason === 'mismatched-answer') {
        controller.abort(new Error('the response names another request'));
      }
      return;
    }
    const body = new ExchangeBody(controller, getDefaultHighWaterMark(false), (error) => {
      if (this.isEnded) return;
      controller.abort(error ?? new Error('the response body was discarded'));
    });
    // The body may fail before its reader adds a listener; the reader then sees it destroyed.
    body.on('error', () => {});
    this.body = body;
    const load = parseLoad(headers[CALL_HEADERS.load]);
    this.settle({ kind: 'answered', status, headers, body, load });
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    // The body of a refusal only repeats its headers and is ignored.
    if (this.body && !this.body.push(chunk)) controller.pause();
  }

  onResponseEnd(): void {
    this.isEnded = true;
    if (this.failure) this.settle(this.failure);
    this.body?.push(null);
    this.events.onEnd();
  }

  onResponseError(_controller: Controller | undefined, error: Error): void {
    if (this.isEnded) return;
    if (this.failure) this.settle(this.failure);
    else if (this.controller) {
      this.settle(buildUnknown('connection-lost', `${this.peer}: ${error.message}`));
    } else {
      this.settle(buildNotRun('connect-failed', `${this.peer}: ${error.message}`));
    }
    this.end();
    this.body?.destroy(error);
  }

  private settle(result: AttemptResult): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.events.onResult(result);
  }

  private end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.events.onEnd();
  }
}
