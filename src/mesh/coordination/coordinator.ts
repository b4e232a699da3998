/** Answers the reports of nodes to this node as coordinator. */
import type { EventLog } from '../eventLog.js';
import type { MeshMetrics } from '../meshMetrics.js';
import type { LedgerTotals } from '../quotas/ledger.js';
import type { CoordinatorAnswer, CoordinatorReport, RolloutSource, TokenSource } from './model.js';

/** Time without reports after which this node is no coordinator any more. */
const ACTIVE_MS = 1500;

/** Shortest interval between two log lines with the totals of the tokens. */
const LOG_INTERVAL_MS = 1000;

export interface CoordinatorOptions {
  readonly tokens: TokenSource & { takeTotals(): LedgerTotals };
  /** Undefined where versions are not rolled out. */
  readonly rollouts?: RolloutSource | undefined;
  readonly log: EventLog;
  readonly metrics: Pick<MeshMetrics, 'count'>;
}

/** Any node answers reports; it is active as coordinator while reports arrive. */
export class Coordinator {
  private inactivityTimer: NodeJS.Timeout | undefined;

  private loggedAtMs = -Infinity;

  constructor(private readonly options: CoordinatorOptions) {}

  /** Answers a report that was sent `ageMs` ago; undefined if its age is not known. */
  answer(report: CoordinatorReport, nowMs: number, ageMs?: number): CoordinatorAnswer {
    const { tokens, rollouts } = this.options;
    this.recordActivity();
    rollouts?.recordReport(report, nowMs);
    const grants = tokens.answerNeeds(report, nowMs, ageMs);
    this.logTotals(nowMs);
    return { grants, rollouts: rollouts?.listDirectives(nowMs) ?? [] };
  }

  close(): void {
    clearTimeout(this.inactivityTimer);
    this.inactivityTimer = undefined;
  }

  private recordActivity(): void {
    const { rollouts } = this.options;
    if (!rollouts) return;
    if (this.inactivityTimer) {
      this.inactivityTimer.refresh();
      return;
    }
    this.inactivityTimer = setTimeout(() => {
      this.inactivityTimer = undefined;
      rollouts.setActive(false);
    }, ACTIVE_MS).unref();
    rollouts.setActive(true);
  }

  private logTotals(nowMs: number): void {
    if (nowMs - this.loggedAtMs < LOG_INTERVAL_MS) return;
    const { granted, unmet } = this.options.tokens.takeTotals();
    if (granted + unmet === 0) return;
    this.loggedAtMs = nowMs;
    this.options.metrics.count('quota_lease', '', granted);
    this.options.log.write('info', 'quota-lease', { granted, unmet });
  }
}
