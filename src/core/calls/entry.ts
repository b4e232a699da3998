/** The entry side of a call: chooses a node, makes the attempts and decides on retries. */
import type { AttemptResult, Call } from '../../types/calls.js';
import type { NotRunReason, UnknownReason } from '../../types/outcome.js';
import type { CompiledRoute } from '../../types/routing.js';
import { runAttempt, type AttemptParts } from './attempt.js';
import { listCandidates, type CandidateSources } from './candidates.js';
import { chooseCandidate, type Choice, type RandomSource } from './choose.js';
import type { CallObserver } from './observer.js';
import { buildNotRun, isStaleChoice, type FailedResult, type UnknownResult } from './refusal.js';
import type { RetryBudget } from './retryBudget.js';

/** Attempts on nodes that had stopped taking work, on top of the route's own. */
const MAX_CORRECTIONS = 8;

/** Whether another node may do better after a proven `notRun`. */
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
/** Whether a repeatable call is worth repeating after `unknown`. */
const RETRY_AFTER_UNKNOWN: Readonly<Record<UnknownReason, boolean>> = {
  'connection-lost': true,
  truncated: true,
  'mismatched-answer': true,
  // The node answers so when the deadline has passed, up to the margin kept back at each hop.
  timeout: false,
  'already-handed-over': false,
  cancelled: false,
};

/** Parts of the entry side. */
export interface EntryParts extends AttemptParts, CandidateSources {
  readonly budget: RetryBudget;
  readonly observer: CallObserver;
  readonly random: RandomSource;
}

/** Chooses a node for a call of the route, other than those that had an attempt. */
export function chooseNode(
  route: CompiledRoute,
  parts: EntryParts,
  tried?: ReadonlySet<string>,
): Choice | undefined {
  const candidates = listCandidates(route, parts, tried, performance.now());
  return chooseCandidate(candidates, parts.random);
}

/** True if a further attempt on another node is safe and can still be of use. */
function canRetry(call: Call, result: FailedResult): boolean {
  if (result.retriesExhausted || call.signal.aborted) return false;
  if (call.deadlineMs <= performance.now()) return false;
  if (result.kind === 'notRun') return RETRY_AFTER_NOT_RUN[result.reason];
  return call.route.config.repeatability === 'repeatable' && RETRY_AFTER_UNKNOWN[result.reason];
}

async function runAttempts(call: Call, parts: EntryParts): Promise<AttemptResult> {
  const { route } = call;
  let tried: Set<string> | undefined;
  let last: FailedResult | undefined;
  let doubt: UnknownResult | undefined;
  let attempts = 0;
  let corrections = 0;
  parts.budget.recordFirst(route.name, route.config.retry.budgetPercent);
  for (;;) {
    const choice = chooseNode(route, parts, tried);
    if (!choice) break;
    // A choice that was out of date put no load on any upstream, so its repetition is no retry.
    const isRetry = last !== undefined && !isStaleChoice(last);
    if (isRetry && !parts.budget.claim(route.name, route.config.retry.budgetPercent)) break;
    if (isRetry) parts.observer.recordRetry(route.name);
    if (choice.spillOver) parts.observer.recordSpillOver(route.name, choice.spillOver);
    const { record } = choice.candidate.view;
    const result = await runAttempt(call, record, parts);
    if (result.kind === 'answered') return result;
    last = result;
    // One attempt that may have run makes the whole call uncertain, whatever follows.
    if (result.kind === 'unknown') doubt = result;
    tried = (tried ?? new Set()).add(record.nodeId);
    if (isStaleChoice(result) && corrections < MAX_CORRECTIONS) corrections += 1;
    else attempts += 1;
    if (attempts >= route.config.retry.maxAttempts) break;
    if (!canRetry(call, result)) break;
  }
  return doubt ?? last ?? buildNotRun('no-instance', `no usable instance of ${route.service.name}`);
}

/** Runs a call to its final result; every failure states that the retries here are spent. */
export async function runCall(call: Call, parts: EntryParts): Promise<AttemptResult> {
  const result = await runAttempts(call, parts);
  return result.kind === 'answered' ? result : { ...result, retriesExhausted: true };
}
