/** Outcome of a call, as stated to the caller. */

/** Proven reasons for which a request was not handed to any upstream. */
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

/** Reasons for which it is not known whether a request ran. */
export type UnknownReason =
  | 'connection-lost'
  | 'timeout'
  | 'truncated'
  | 'mismatched-answer'
  | 'already-handed-over'
  | 'cancelled';

/** What the system can truthfully say about one request. */
export type Outcome =
  | { readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'notRun'; readonly reason: NotRunReason; readonly detail: string }
  | { readonly kind: 'unknown'; readonly reason: UnknownReason; readonly detail: string };

/** Headers on the call port. All names are lower case, as Node's `http` reports them. */
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
