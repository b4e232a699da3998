/** Results of attempts without a response, and refusals of calls that reach no instance. */
import { err, type Result } from 'neverthrow';
import type { AttemptResult, LoadReport } from '../../types/calls.js';
import type { NotRunReason, UnknownReason } from '../../types/outcome.js';

/** An attempt that no upstream can have run. */
export type NotRunResult = Extract<AttemptResult, { kind: 'notRun' }>;
/** An attempt that an upstream may have run. */
export type UnknownResult = Extract<AttemptResult, { kind: 'unknown' }>;
/** An attempt that received a response. */
export type AnsweredResult = Extract<AttemptResult, { kind: 'answered' }>;
/** An attempt without a response. */
export type FailedResult = NotRunResult | UnknownResult;

/** A refusal and its HTTP status. */
export interface Refusal {
  readonly status: number;
  readonly result: NotRunResult;
}

/** Builds a `notRun` result after which the caller may retry. */
export function buildNotRun(reason: NotRunReason, detail: string, load?: LoadReport): NotRunResult {
  return { kind: 'notRun', reason, detail, load, retriesExhausted: false };
}

/** Builds an `unknown` result after which the caller may retry. */
export function buildUnknown(reason: UnknownReason, detail: string): UnknownResult {
  return { kind: 'unknown', reason, detail, retriesExhausted: false };
}

/** True if the node no longer accepts calls, so the record by which it was chosen was outdated. */
export function isStaleChoice(result: AttemptResult): boolean {
  return (
    result.kind === 'notRun' && (result.reason === 'leaving' || result.reason === 'no-instance')
  );
}

/** Highest HTTP status (RFC 9110, section 15); undici passes on any of three digits from 100. */
export const MAX_STATUS = 599;

/** HTTP statuses of the `notRun` reasons (design section 10). */
export const NOT_RUN_STATUS: Readonly<Record<NotRunReason, number>> = {
  'no-route': 404,
  'no-instance': 503,
  'bad-request': 400,
  'not-ready': 503,
  overloaded: 429,
  deadline: 504,
  leaving: 503,
  'connect-failed': 503,
  'wrong-node': 503,
  cancelled: 503,
};

/** HTTP statuses of the `unknown` reasons (design section 10). */
export const UNKNOWN_STATUS: Readonly<Record<UnknownReason, number>> = {
  'connection-lost': 502,
  timeout: 504,
  truncated: 502,
  'mismatched-answer': 502,
  'already-handed-over': 502,
  cancelled: 502,
};

/** Returns the HTTP status of a result without a response. */
export function getFailureStatus(result: FailedResult): number {
  if (result.kind === 'notRun') return NOT_RUN_STATUS[result.reason];
  return UNKNOWN_STATUS[result.reason];
}

/** Builds a refusal; `status` overrides the status of the reason, for example with 413 or 431. */
function buildRefusal(reason: NotRunReason, detail: string, status?: number): Refusal {
  return { status: status ?? NOT_RUN_STATUS[reason], result: buildNotRun(reason, detail) };
}

/** Returns a refusal as the error side of a Result. */
export function refuse<Value = never>(
  reason: NotRunReason,
  detail: string,
  status?: number,
): Result<Value, Refusal> {
  return err(buildRefusal(reason, detail, status));
}
