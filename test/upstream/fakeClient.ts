/** A fake upstream client. It sends nothing; tests complete its exchanges. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { InstanceEntry } from '../../src/core/upstream/instanceTable.js';
import type { UpstreamClient } from '../../src/core/upstream/upstreamClient.js';
import { CALL_HEADERS } from '../../src/types/outcome.js';

/** A dispatched request. */
export interface FakeExchange {
  readonly instanceId: string;
  readonly requestId: string;
  isOpen(): boolean;
  /** Answers with an empty body, or with the first part of a body that never ends. */
  answer(status?: number, headers?: IncomingHttpHeaders, isComplete?: boolean): void;
  /** Fails the exchange with a connection error. */
  fail(): void;
}

function startFakeExchange(
  entry: InstanceEntry,
  requestId: string,
  handler: Dispatcher.DispatchHandler,
): FakeExchange | undefined {
  let isOpen = true;
  let controller: Dispatcher.DispatchController;
  const fail = (error: Error) => {
    if (!isOpen) return;
    isOpen = false;
    handler.onResponseError?.(controller, error);
  };
  controller = { abort: fail, pause() {}, resume() {} } as unknown as typeof controller;
  handler.onRequestStart?.(controller, undefined);
  if (!isOpen) return undefined;
  return {
    instanceId: entry.instanceId,
    requestId,
    isOpen: () => isOpen,
    answer(status = 200, headers = {}, isComplete = true) {
      if (!isOpen) return;
      handler.onResponseStart?.(controller, status, headers, '');
      if (!isComplete) handler.onResponseData?.(controller, Buffer.from('part'));
      if (!isComplete) return;
      isOpen = false;
      handler.onResponseEnd?.(controller, {});
    },
    fail: () => fail(new Error('the connection broke')),
  };
}

/** Creates a client that reports each exchange as it starts. */
export function createFakeClient(onStart: (exchange: FakeExchange) => void = () => {}) {
  const exchanges: FakeExchange[] = [];
  const cancelled: string[] = [];
  const client: UpstreamClient = {
    getPool: (entry) =>
      ({
        dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) {
          const headers = options.headers as Record<string, string>;
          const requestId = String(headers[CALL_HEADERS.request]);
          const exchange = startFakeExchange(entry, requestId, handler);
          if (!exchange) return true;
          exchanges.push(exchange);
          onStart(exchange);
          return true;
        },
      }) as unknown as Dispatcher,
    async sendCancel(_entry, requestId) {
      cancelled.push(requestId);
      return true;
    },
    removeInstance: () => {},
    close: async () => {},
  };
  return {
    client,
    cancelled,
    listOpen: () => exchanges.filter((exchange) => exchange.isOpen()),
  };
}
