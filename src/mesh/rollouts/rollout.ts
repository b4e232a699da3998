/**
 * State machine of one rollout at the coordinator. It performs no I/O and reads no clock; times are
 * on the `performance.now` scale.
 */
import type { InstanceRuns, RolloutDirective } from '../coordination/model.js';
import type { RolloutPolicy } from '../model.js';
import { isFinalState, type RolloutOrder, type StoredState } from './model.js';
import { RunComparison, type ComparedCounts } from './runComparison.js';

/** Time before the end from which all requests go to a good version. */
const PROMOTE_BEFORE_MS = 900;

/** Time before the end at which the decision is written. */
const COMPLETE_BEFORE_MS = 500;

/**
 * Time before the end at which a version without enough runs is rolled back. Of two coordinators,
 * the one that has got the reports of the version's instances decides first.
 */
const FEW_RUNS_BEFORE_MS = 200;

/**
 * Time after the end at which that is decided without a report of an instance of the version. The
 * coordinator may be cut off from the nodes, and its clock or the writes of the other one may be
 * off by more than the times before the end differ.
 */
const UNREPORTED_AFTER_MS = 1000;

/** Time for which all requests go to a version before it is completed; nodes report each 400 ms. */
const MIN_PROMOTION_MS = 400;

/** Runs from which a version without a decision is considered good. */
export const MIN_PROVING_RUNS = 30;

/**
 * Time from which a coordinator decides on a lack of evidence. Instances report their runs after
 * they were told of the rollout, with the second report.
 */
const SETTLE_MS = 1000;

/** Part of the allowed share that is used; the choice at each sender is random. */
const USED_SHARE = 0.6;

/**
 * Part of the allowed requests beyond the share that is used as well, evenly over the duration:
 * services with little traffic get too few runs for a decision otherwise.
 */
const USED_SLACK = 0.5;

/** Highest share, whatever the slack allows; the rate of requests is known only roughly. */
const MAX_USED_SHARE = 0.25;

/** Bounds on the requests that reach an unproven version. */
type ExposurePolicy = Pick<RolloutPolicy, 'maxShare' | 'slack'>;

/** A change of the state, for the log. */
export interface RolloutStep {
  readonly state: 'running' | 'promoting' | 'completed' | 'rolled_back';
  readonly decidedBy: string;
}

/** One order for a version, from the time at which this coordinator saw it. */
export class Rollout {
  private state: RolloutStep['state'] = 'running';

  /** State in the store; undefined before `running` was written. */
  private storedState: StoredState | undefined;

  private promotedAtMs: number | undefined;

  /** True once the decision to complete was taken; it takes effect when it is stored. */
  private isProven = false;

  private readonly comparison: RunComparison;

  constructor(
    readonly order: RolloutOrder,
    readonly deadlineAtMs: number,
    readonly seenAtMs: number,
    private readonly onStep: (step: RolloutStep) => void,
  ) {
    this.comparison = new RunComparison(order.targetVersion);
  }

  /** Returns true when nothing is left to decide. */
  isFinal(): boolean {
    return isFinalState(this.state);
  }

  /** Applies the state that the store holds for this order; a final one is never changed again. */
  recordStored(state: StoredState | undefined): void {
    const known = this.storedState;
    this.storedState = state;
    if (isFinalState(state)) {
      this.change(state, this.isProven ? 'no finding' : 'store');
    } else if (state === 'running' && known === undefined && this.state === 'running') {
      this.onStep({ state, decidedBy: 'order' });
    }
  }

  /** Returns the state to write; undefined when the store holds it. */
  getUnwritten(): StoredState | undefined {
    const wanted = this.getWantedState();
    return wanted === this.storedState ? undefined : wanted;
  }

  getState(): RolloutStep['state'] {
    return this.state;
  }

  getCounts(): ComparedCounts {
    return this.comparison.getCounts();
  }

  recordRuns(runs: InstanceRuns, nowMs: number): void {
    if (!this.isFinal()) this.comparison.recordRuns(runs, nowMs);
  }

  /** Takes the decisions that are due. `hasContact` is true while the store responds. */
  advance(nowMs: number, hasContact: boolean): void {
    if (this.isFinal() || this.isProven) return;
    // Little time is left to find that a version is bad under the load of its promotion.
    const finding = this.comparison.assess(nowMs, this.state === 'promoting' ? 0 : undefined);
    if (finding) {
      this.change('rolled_back', finding.decidedBy);
      return;
    }
    if (!hasContact || this.storedState !== 'running') {
      if (this.state === 'promoting') this.change('running', 'store lost');
      return;
    }
    if (nowMs < this.seenAtMs + SETTLE_MS) return;
    if (this.state === 'promoting') this.advancePromotion(nowMs);
    else this.advanceRunning(nowMs);
  }

  /** Returns what the nodes are told. */
  getDirective(policy: ExposurePolicy, hasContact: boolean, nowMs: number): RolloutDirective {
    const { service, targetVersion } = this.order;
    const isOpen = !this.isFinal();
    const canSend = hasContact && this.storedState === 'running';
    // A promotion that cannot be stored may differ from what another coordinator has stored.
    const state = isOpen && !canSend ? 'running' : this.state;
    const share = state === 'running' && canSend ? this.computeShare(policy, nowMs) : 0;
    return { service, targetVersion, state, share };
  }

  private computeShare({ maxShare, slack }: ExposurePolicy, nowMs: number): number {
    const usedShare = maxShare * USED_SHARE;
    const perS = this.comparison.getReferencePerS(nowMs);
    if (perS === undefined || maxShare === 0) return usedShare;
    const expectedRequests = (perS * this.order.durationMs) / 1000;
    const slackShare = (slack * USED_SLACK) / Math.max(1, expectedRequests);
    return Math.min(usedShare + slackShare, Math.max(usedShare, MAX_USED_SHARE));
  }

  private advanceRunning(nowMs: number): void {
    const runs = this.comparison.countTargetRuns();
    if (nowMs >= this.deadlineAtMs - PROMOTE_BEFORE_MS && runs >= MIN_PROVING_RUNS) {
      this.promotedAtMs = nowMs;
      this.change('promoting', `${runs} runs`);
    } else if (nowMs >= this.deadlineAtMs + this.getFewRunsDelayMs()) {
      this.change('rolled_back', `only ${runs} runs`);
    }
  }

  /** Returns the time after the end at which a version without enough runs is rolled back. */
  private getFewRunsDelayMs(): number {
    return this.comparison.hasTargetReports() ? -FEW_RUNS_BEFORE_MS : UNREPORTED_AFTER_MS;
  }

  private advancePromotion(nowMs: number): void {
    const promotedUntilMs = (this.promotedAtMs ?? nowMs) + MIN_PROMOTION_MS;
    if (nowMs < Math.max(this.deadlineAtMs - COMPLETE_BEFORE_MS, promotedUntilMs)) return;
    this.isProven = true;
  }

  private getWantedState(): StoredState {
    if (isFinalState(this.state)) return this.state;
    return this.isProven ? 'completed' : 'running';
  }

  private change(state: RolloutStep['state'], decidedBy: string): void {
    if (this.state === state) return;
    this.state = state;
    this.onStep({ state, decidedBy });
  }
}
