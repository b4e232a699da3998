/**
 * Interfaces of the call path: the entry node selects an instance, and the node on the host of that
 * instance runs the call.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import type { InstanceId, RequestId, ServiceName } from './ids.js';
import type { NotRunReason, UnknownReason } from './outcome.js';
import type { CompiledRoute } from './routing.js';

/** The part of an `AbortSignal` that a call uses. */
export interface CallSignal {
  readonly aborted: boolean;
  addEventListener(type: 'abort', listener: () => void, options?: { readonly once: true }): void;
  removeEventListener(type: 'abort', listener: () => void): void;
}

/** One call. Its body is read completely before the call is sent to an instance. */
export interface Call {
  readonly requestId: RequestId;
  readonly route: CompiledRoute;
  readonly method: string;
  /** Path including the query string. */
  readonly path: string;
  /** End-to-end headers; hop-by-hop headers are removed. */
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** Deadline on the `performance.now` scale, in milliseconds. */
  readonly deadlineMs: number;
  /** Number of ancestors of this call in a chain of nested calls. */
  readonly depth: number;
  /** Aborted when the caller disconnects. */
  readonly signal: CallSignal;
}

/** Current load of the instances of one service on one node. */
export interface LoadReport {
  readonly busy: number;
  readonly slots: number;
  readonly queued: number;
}

/** Result of one attempt. The body of an `answered` result must be read or destroyed. */
export type AttemptResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Readable;
      readonly load: LoadReport | undefined;
    }
  | {
      readonly kind: 'notRun';
      readonly reason: NotRunReason;
      readonly detail: string;
      readonly load: LoadReport | undefined;
      /** True when a node further down the call chain has used up its retries. */
      readonly retriesExhausted: boolean;
    }
  | {
      readonly kind: 'unknown';
      readonly reason: UnknownReason;
      readonly detail: string;
      readonly retriesExhausted: boolean;
    };

/** Runs calls on the upstream instances of this host. */
export interface LocalDispatcher {
  /** Admits, queues and runs a call; never throws. */
  dispatch(call: Call): Promise<AttemptResult>;
  getLoad(service: ServiceName): LoadReport | undefined;
  /**
   * Refuses new and queued calls, waits up to `limitMs` for calls in flight, then aborts the rest.
   * Resolves with the number of aborted calls.
   */
  drain(limitMs: number): Promise<{ readonly abortedCalls: number }>;
}

/** One upstream process on this host, as registered with the local node. */
export interface LocalInstance {
  readonly instanceId: InstanceId;
  readonly service: ServiceName;
  readonly host: string;
  readonly port: number;
  readonly slots: number;
}
