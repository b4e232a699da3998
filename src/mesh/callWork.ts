/** The request of a caller, and how it ends. */
import type { HttpRequest, HttpResponse, MeshRoute } from './model.js';
import type { Cancellation } from './signal.js';

/** A request of a caller on its way. Instants are on the `performance.now` scale. */
export interface CallWork {
  readonly route: MeshRoute;
  readonly request: HttpRequest;
  readonly requestId: string;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  readonly objectiveAtMs: number;
  readonly cancellation: Cancellation;
}

/** How the request of a caller ends. */
export type CallEnd =
  | { readonly kind: 'answered'; readonly response: HttpResponse }
  /** No instance ran it, and none will. */
  | { readonly kind: 'notRun'; readonly reason: string; readonly retryAfterMs: number }
  /** It may have run; its response is lost. */
  | { readonly kind: 'unknown'; readonly reason: string };
