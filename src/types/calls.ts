/** Interfaces of the call path: the entry side chooses, the instance side runs the call. */
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

/** One call, read completely from the caller before any instance sees it. */
export interface Call {
  readonly requestId: RequestId;
  readonly route: CompiledRoute;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** End-to-end headers; hop-by-hop headers are removed. */
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** Deadline on the `performance.now` scale, in milliseconds. */
  readonly deadlineMs: number;
  /** Number of calls above this one in the chain. */
  readonly depth: number;
  /** Aborted when the caller goes away. */
  readonly signal: CallSignal;
}

/** Load of the instances of one service on one node. */
export interface LoadReport {
  readonly busy: number;
  readonly slots: number;
  readonly queued: number;
}

/** Result of one attempt. The body of an answer must be read or destroyed. */
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
      /** True when an inner level already spent its retries. */
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
  /** Refuses new work from now on; resolves when nothing is in flight or the limit has passed. */
  drain(limitMs: number): Promise<{ readonly cut: number }>;
}

/** One local upstream process as the node beside it knows it. */
export interface LocalInstance {
  readonly instanceId: InstanceId;
  readonly service: ServiceName;
  readonly host: string;
  readonly port: number;
  readonly slots: number;
}
