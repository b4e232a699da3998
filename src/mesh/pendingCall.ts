/** Types for the request of a caller and its outcome. */
import type { InstanceId } from '../types/ids.js';
import type { Identity } from './accounts/authorization.js';
import type { HttpRequest, HttpResponse, MeshRoute, RunTiming } from './model.js';
import type { SendTrace } from './peerCalls.js';
import type { Cancellation } from './signal.js';

/** What the log line of a call says about its attempts. */
export interface CallTrace {
  /** Number of attempts. */
  sends: number;
  /** Time for which its connection may have waited to be accepted, in milliseconds. */
  readonly acceptWaitMs: number;
  /** Instance of the latest attempt. */
  instance: InstanceId | undefined;
  /** Age of the load report on which the latest instance was selected; undefined without one. */
  loadAgeMs: number | undefined;
  /** Way of the latest attempt to another node, as this node observed it. */
  sendTrace: SendTrace | undefined;
  /** Times of the latest attempt at the node of its instance. */
  timing: RunTiming | undefined;
}

/**
 * A request of a caller that is in progress. Fields that end in `AtMs` are on the
 * `performance.now` scale.
 */
export interface PendingCall {
  readonly route: MeshRoute;
  readonly request: HttpRequest;
  readonly requestId: string;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  readonly objectiveAtMs: number;
  readonly cancellation: Cancellation;
  /** Undefined for a request without a key. */
  readonly identity?: Identity | undefined;
  readonly trace: CallTrace;
}

/** Outcome of the request of a caller. */
export type CallOutcome =
  | { readonly kind: 'answered'; readonly response: HttpResponse }
  /** No instance ran the request or will run it later. */
  | { readonly kind: 'notRun'; readonly reason: string; readonly retryAfterMs: number }
  /** The request may have been run; no response was received. */
  | { readonly kind: 'unknown'; readonly reason: string };
