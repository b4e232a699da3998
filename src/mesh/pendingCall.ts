/** Types for the request of a caller and its outcome. */
import type { HttpRequest, HttpResponse, MeshRoute } from './model.js';
import type { Cancellation } from './signal.js';

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
}

/** Outcome of the request of a caller. */
export type CallOutcome =
  | { readonly kind: 'answered'; readonly response: HttpResponse }
  /** No instance ran the request or will run it later. */
  | { readonly kind: 'notRun'; readonly reason: string; readonly retryAfterMs: number }
  /** The request may have been run; no response was received. */
  | { readonly kind: 'unknown'; readonly reason: string };
