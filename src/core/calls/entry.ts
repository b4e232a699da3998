/** Runs a call on its entry node: chooses nodes, makes the attempts and decides on retries. */
import type { AttemptResult, Call } from '../../types/calls.js';
import type { NotRunReason, UnknownReason } from '../../types/outcome.js';
import type { CompiledRoute } from '../../types/routing.js';
import { runAttempt, type AttemptParts } from './attempt.js';
import { listCandidates, type CandidateSources } from './candidates.js';
import { chooseCandidate, type Choice, type RandomSource } from './choose.js';
import type { CallObserver } from './observer.js';
import { buildNotRun, isStaleChoice, type FailedResult, type UnknownResult } from './refusal.js';
import type { RetryBudget } from './retryBudget.js';

/** Attempts refused by nodes that no longer accept calls, not counted towards `maxAttempts`. */
const MAX_STALE_ATTEMPTS = 8;

/** Whether an attempt on another node may succeed after a `notRun` result. */
const RETRY_AFTER_NOT_RUN: Readonly<Record<NotRunReason, boolean>> = {
  'no-route': true,
  'no-instance': true,
  'not-ready': true,
  overloaded: true,
  leaving: true,
  'connect-failed': true,
  'wrong-node': true,
  'bad-request': false,
  deadline: false,
  cancelled: false,
};
/** Whether a repeatable call is retried after an `unknown` result. */
const RETRY_AFTER_UNKNOWN: Readonly<Record<UnknownReason, boolean>> = {
  'connection-lost': true,
  truncated: true,
  'mismatched-answer': true,
  // A node reports a timeout at the deadline of the call, less the margin of each hop.
  timeout: false,
  'already-handed-over': false,
  cancelled: false,
};

/** Dependencies of an entry node. */
export interface EntryParts extends AttemptParts, CandidateSources {
  readonly retryBudget: RetryBudget;
  readonly observer: CallObserver;
  readonly random: RandomSource;
}

/** Chooses a node for a call of the route among those that had no attempt yet. */
export function chooseNode(
  route: CompiledRoute,
  parts: EntryParts,
  tried?: ReadonlySet<string>,
): Choice | undefined {
  const candidates = listCandidates(route, parts, tried, performance.now());
  return chooseCandidate(candidates, parts.random);
}

/** True if a further attempt on another node is safe and can still succeed. */
function canRetry(call: Call, result: FailedResult): boolean {
  if (result.retriesExhausted || call.signal.aborted) return false;
  if (call.deadlineMs <= performance.now()) return false;
  if (result.kind === 'notRun') return RETRY_AFTER_NOT_RUN[result.reason];
  return call.route.config.repeatability === 'repeatable' && RETRY_AFTER_UNKNOWN[result.reason];
}

async function runAttempts(call: Call, parts: EntryParts): Promise<AttemptResult> {
  const { route } = call;
  let tried: Set<string> | undefined;
  let lastFailure: FailedResult | undefined;
  let unknownResult: UnknownResult | undefined;
  let attempts = 0;
  let staleAttempts = 0;
  parts.retryBudget.recordFirstAttempt(route.name, route.config.retry.budgetPercent);
  for (;;) {
    const choice = chooseNode(route, parts, tried);
    if (!choice) break;
    // An attempt that failed because of an outdated record put no load on any upstream, so the next
    // one does not count as a retry.
    const isRetry = lastFailure !== undefined && !isStaleChoice(lastFailure);
    if (isRetry && !parts.retryBudget.tryConsume(route.name, route.config.retry.budgetPercent)) {
      break;
    }
    if (isRetry) parts.observer.recordRetry(route.name);
    if (choice.spillOver) parts.observer.recordSpillOver(route.name, choice.spillOver);
    const { record } = choice.candidate.view;
    const result = await runAttempt(call, record, parts);
    if (result.kind === 'answered') return result;
    lastFailure = result;
    // Once an attempt may have run, the call is unknown unless a later attempt is answered.
    if (result.kind === 'unknown') unknownResult = result;
    tried = (tried ?? new Set()).add(record.nodeId);
    if (isStaleChoice(result) && staleAttempts < MAX_STALE_ATTEMPTS) staleAttempts += 1;
    else attempts += 1;
    if (attempts >= route.config.retry.maxAttempts) break;
    if (!canRetry(call, result)) break;
  }
  return (
    unknownResult ??
    lastFailure ??
    buildNotRun('no-instance', `no usable instance of ${route.service.name}`)
  );
}

/** Runs a call to its final result. A failure is marked so that callers do not retry it again. */
export async function runCall(call: Call, parts: EntryParts): Promise<AttemptResult> {
  const result = await runAttempts(call, parts);
  return result.kind === 'answered' ? result : { ...result, retriesExhausted: true };
}
