/** Outlier ejection: excludes failing nodes for a limited time and up to a limited share. */
import type { ServiceConfig } from '../../generated/types.js';

type OutlierConfig = ServiceConfig['outlier'];

/**
 * Maximum ejection time unless `ejectMs` is longer. With a limit of 64 times `ejectMs`, a node that
 * had recovered stayed ejected for 128 s by default. A trial costs only one call every 10 s.
 */
const MAX_EJECTION_MS = 10_000;
/** Factor by which each ejection or trial lengthens the next ejection. */
const EJECTION_BACKOFF_FACTOR = 2;

/** How the result of an attempt affects the ejection of its node; set when the attempt starts. */
export type AttemptMode =
  | { readonly kind: 'regular' }
  /** As in a half-open circuit breaker: its success ends ejection number `ejection`. */
  | { readonly kind: 'trial'; readonly ejection: number };

type TrialMode = Extract<AttemptMode, { kind: 'trial' }>;

const REGULAR: AttemptMode = { kind: 'regular' };

/** Consecutive failures and ejections of one process of a node. */
export class OutlierState {
  private failures = 0;
  /** Ejections and trials since the last reset; each doubles the next ejection time. */
  private doublings = 0;
  private ejectionMs = 0;
  private ejectionEndMs = 0;
  /** Number of the latest ejection. */
  private ejectionNumber = 0;
  /** True from an ejection until a trial succeeds. */
  private isTrialRequired = false;
  private latestTrial: TrialMode | undefined;

  /** Time at which the current or latest ejection ends. */
  get ejectedUntilMs(): number {
    return this.ejectionEndMs;
  }

  /** True when the next attempt is the trial that decides whether the node is used again. */
  isTrialDue(nowMs: number): boolean {
    return this.isTrialRequired && this.ejectionEndMs <= nowMs;
  }

  /**
   * Records the start of an attempt. A trial extends the ejection until the trial succeeds, so that
   * a node that hangs gets no further calls in the meantime.
   */
  recordStart(config: OutlierConfig, nowMs: number): AttemptMode {
    if (!this.isTrialDue(nowMs)) return REGULAR;
    this.eject(config, nowMs);
    this.latestTrial = { kind: 'trial', ejection: this.ejectionNumber };
    return this.latestTrial;
  }

  /** Records a failed attempt; `consecutiveFailures` in a row eject the node. */
  recordFailure(config: OutlierConfig, mode: AttemptMode, nowMs: number): void {
    // The start of a trial has already extended the ejection, and calls that were in flight when
    // the node was ejected must not extend it.
    if (this.isTrialRequired || mode.kind === 'trial') return;
    this.failures += 1;
    if (this.failures < config.consecutiveFailures) return;
    this.failures = 0;
    this.ejectionNumber += 1;
    this.isTrialRequired = true;
    this.eject(config, nowMs);
  }

  /**
   * Records a success. The success of a trial ends the ejection; a success at least one ejection
   * time later resets the doubling.
   */
  recordSuccess(mode: AttemptMode, nowMs: number): void {
    this.failures = 0;
    if (mode.kind === 'trial' && this.isCurrentTrial(mode)) {
      this.isTrialRequired = false;
      this.ejectionEndMs = nowMs;
    }
    if (!this.isTrialRequired && nowMs - this.ejectionEndMs >= this.ejectionMs) this.doublings = 0;
  }

  /** Records that the node refused an attempt. A refused trial is inconclusive and is repeated. */
  recordRefusal(mode: AttemptMode, nowMs: number): void {
    if (mode !== this.latestTrial || !this.isTrialRequired) return;
    this.doublings -= 1;
    this.ejectionEndMs = nowMs;
  }

  private isCurrentTrial(trial: TrialMode): boolean {
    return this.isTrialRequired && trial.ejection === this.ejectionNumber;
  }

  private eject({ ejectMs }: OutlierConfig, nowMs: number): void {
    const limitMs = Math.max(ejectMs, MAX_EJECTION_MS);
    this.ejectionMs = Math.min(limitMs, ejectMs * EJECTION_BACKOFF_FACTOR ** this.doublings);
    this.doublings += 1;
    this.ejectionEndMs = nowMs + this.ejectionMs;
  }
}

/**
 * Returns the states of the ejected nodes, at most `maxEjectedPercent` of the given ones. If more
 * are ejected, those whose ejection ends first stay in use.
 */
export function listEjected(
  states: readonly OutlierState[],
  maxEjectedPercent: number,
  nowMs: number,
): ReadonlySet<OutlierState> {
  const ejected = states.filter((state) => state.ejectedUntilMs > nowMs);
  const maxEjected = Math.floor((states.length * maxEjectedPercent) / 100);
  if (ejected.length > maxEjected) {
    ejected.sort((a, b) => b.ejectedUntilMs - a.ejectedUntilMs);
    ejected.length = maxEjected;
  }
  return new Set(ejected);
}
