/** Ejects nodes that fail repeatedly, for limited times and in bounded number. */
import type { ServiceConfig } from '../../generated/types.js';

type OutlierConfig = ServiceConfig['outlier'];

/**
 * Longest ejection unless `ejectMs` is longer. With a limit of 64 times `ejectMs` a healthy node
 * stayed away for 128 s by default. A trial costs one call, so every 10 s is cheap enough.
 */
const MAX_EJECTION_MS = 10_000;

/** What the result of a call can say about its node, decided when the call starts. */
export type CallStart =
  | { readonly kind: 'regular' }
  /** Decides whether the ejection that began as number `ejection` ends. */
  | { readonly kind: 'trial'; readonly ejection: number };

type Trial = Extract<CallStart, { kind: 'trial' }>;

const REGULAR: CallStart = { kind: 'regular' };

/** Failures and ejections of one process of a node. */
export class OutlierState {
  private failures = 0;
  /** Ejections and trials since the last reset; each doubles the time of the next one. */
  private doublings = 0;
  private ejectedForMs = 0;
  private untilMs = 0;
  /** Number of the latest ejection. */
  private ejection = 0;
  /** True from an ejection to its first successful trial. */
  private isOnTrial = false;
  private latestTrial: Trial | undefined;

  /** Time up to which the node is ejected. */
  get ejectedUntilMs(): number {
    return this.untilMs;
  }

  /** True when the next call is the trial that decides whether the ejection ends. */
  isTrialDue(nowMs: number): boolean {
    return this.isOnTrial && this.untilMs <= nowMs;
  }

  /**
   * Records the start of a call. A trial ejects the node for longer, until its success ends the
   * ejection: a node that hangs must not get further calls meanwhile.
   */
  recordStart(config: OutlierConfig, nowMs: number): CallStart {
    if (!this.isTrialDue(nowMs)) return REGULAR;
    this.eject(config, nowMs);
    this.latestTrial = { kind: 'trial', ejection: this.ejection };
    return this.latestTrial;
  }

  /** Records a failed call; at `consecutiveFailures` in a row the node is ejected. */
  recordFailure(config: OutlierConfig, start: CallStart, nowMs: number): void {
    // A failed trial leaves the ejection that its start has made, and calls that were already
    // under way when the node was ejected do not prolong it.
    if (this.isOnTrial || start.kind === 'trial') return;
    this.failures += 1;
    if (this.failures < config.consecutiveFailures) return;
    this.failures = 0;
    this.ejection += 1;
    this.isOnTrial = true;
    this.eject(config, nowMs);
  }

  /** Records a success: that of a trial ends the ejection, a later one resets the next time. */
  recordSuccess(start: CallStart, nowMs: number): void {
    this.failures = 0;
    if (start.kind === 'trial' && this.isTrialOpen(start)) {
      this.isOnTrial = false;
      this.untilMs = nowMs;
    }
    if (!this.isOnTrial && nowMs - this.untilMs >= this.ejectedForMs) this.doublings = 0;
  }

  /** Records that the node refused a call: that says nothing, so the next call is the trial. */
  recordRefusal(start: CallStart, nowMs: number): void {
    if (start !== this.latestTrial || !this.isOnTrial) return;
    this.doublings -= 1;
    this.untilMs = nowMs;
  }

  private isTrialOpen(trial: Trial): boolean {
    return this.isOnTrial && trial.ejection === this.ejection;
  }

  private eject({ ejectMs }: OutlierConfig, nowMs: number): void {
    const limitMs = Math.max(ejectMs, MAX_EJECTION_MS);
    this.ejectedForMs = Math.min(limitMs, ejectMs * 2 ** this.doublings);
    this.doublings += 1;
    this.untilMs = nowMs + this.ejectedForMs;
  }
}

/**
 * Returns the states that are ejected now: at most `maxEjectedPercent` of the given ones. Beyond
 * the bound those whose ejection ends first stay in use.
 */
export function listEjected(
  states: readonly OutlierState[],
  maxEjectedPercent: number,
  nowMs: number,
): ReadonlySet<OutlierState> {
  const ejected = states.filter((state) => state.ejectedUntilMs > nowMs);
  const bound = Math.floor((states.length * maxEjectedPercent) / 100);
  if (ejected.length > bound) {
    ejected.sort((a, b) => b.ejectedUntilMs - a.ejectedUntilMs);
    ejected.length = bound;
  }
  return new Set(ejected);
}
