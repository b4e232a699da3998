/** Outcome of a call, as reported to the caller. */

/** Reasons that guarantee that a request was not run by any upstream. */
export type NotRunReason =
  | 'no-route'
  | 'no-instance'
  | 'bad-request'
  | 'not-ready'
  | 'overloaded'
  | 'deadline'
  | 'leaving'
  | 'connect-failed'
  | 'wrong-node'
  | 'cancelled';

/** Reasons why it is unknown whether a request was run. */
export type UnknownReason =
  | 'connection-lost'
  | 'timeout'
  | 'truncated'
  | 'mismatched-answer'
  | 'already-handed-over'
  | 'cancelled';

/** Outcome of one request. `notRun` is used only when no upstream can have run it. */
export type Outcome =
  | { readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'notRun'; readonly reason: NotRunReason; readonly detail: string }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason; readonly detail: string };

/** Header names on the call port, in lower case as in `IncomingMessage.headers`. */
export const CALL_HEADERS = {
  outcome: 'lycheelane-outcome',
  reason: 'lycheelane-reason',
  request: 'lycheelane-request',
  route: 'lycheelane-route',
  service: 'lycheelane-service',
  deadlineMs: 'lycheelane-deadline-ms',
  target: 'lycheelane-target',
  load: 'lycheelane-load',
  retry: 'lycheelane-retry',
  depth: 'lycheelane-depth',
  version: 'lycheelane-version',
} as const;
