/**
 * Reports to the coordinator: regularly while it is enabled, and sooner when tokens are needed. At
 * most one report is in flight, besides one that asks a preferred node whether it responds.
 */
import { toStepError, type StepError } from '../../errors.js';
import type { NodeId } from '../../types/ids.js';
import type { EventLog } from '../eventLog.js';
import type { MeshMetrics } from '../meshMetrics.js';
import type { QuotaClient, TokenReport } from '../quotas/client.js';
import {
  rankCoordinators,
  STEADY_MS,
  type CoordinatorCandidate,
  type CoordinatorChoice,
} from './coordinatorChoice.js';
import type { CoordinatorAnswer, CoordinatorReport, DirectiveListener } from './model.js';

/** Interval of the regular reports. */
const REPORT_INTERVAL_MS = 400;

/**
 * Shortest interval between two reports for each node of the mesh. It bounds the reports to the
 * coordinator to 4,000 a second.
 */
const SPACING_PER_NODE_MS = 0.25;

/** Time for which the order of the nodes is used. */
const ORDER_MS = 400;

/** A node that can be reported to. */
export interface ReportTarget extends CoordinatorCandidate {
  readonly calls: {
    sendReport(
      report: CoordinatorReport,
      onInvalid: (error: StepError) => void,
    ): Promise<CoordinatorAnswer | undefined>;
  };
}

export interface ReportLoopOptions {
  readonly ownId: NodeId;
  /** Identifier of this process. */
  readonly process: string;
  /** Returns true when the configuration and the settings need a coordinator. */
  readonly isEnabled: () => boolean;
  /** Returns true once the list of the nodes has been received from the store. */
  readonly isReady: () => boolean;
  /** Returns the nodes that are ready and respond, including this one once it is listed. */
  readonly listTargets: () => readonly ReportTarget[];
  readonly choice: CoordinatorChoice;
  readonly client: Pick<
    QuotaClient,
    'collectTokens' | 'listHolds' | 'applyGrants' | 'isWaiting' | 'onNeed'
  >;
  /** Answers a report of this node in this process. */
  readonly answerOwn: (report: CoordinatorReport, nowMs: number) => CoordinatorAnswer;
  readonly directives?: DirectiveListener | undefined;
  readonly log: EventLog;
  readonly metrics: Pick<MeshMetrics, 'count'>;
  readonly now?: () => number;
}

const NO_TOKENS = { needs: [], returns: [] };

/** Sends the reports of this node; at most one report with needs is open at a time. */
export class ReportLoop {
  private timer: NodeJS.Timeout | undefined;

  private dueAtMs = Infinity;

  private isInFlight = false;

  private isClosed = false;

  private isProbing = false;

  private sentAtMs = -Infinity;

  private order: readonly NodeId[] = [];

  private targets = new Map<NodeId, ReportTarget>();

  private orderedAtMs = -Infinity;

  private readonly now: () => number;

  constructor(private readonly options: ReportLoopOptions) {
    this.now = options.now ?? (() => performance.now());
    options.client.onNeed(() => this.requestReport());
  }

  /** Starts the reports if they are enabled, and stops them otherwise. */
  update(): void {
    if (!this.options.isEnabled()) this.stopTimer();
    else if (!this.timer && !this.isInFlight) this.schedule(0);
  }

  close(): void {
    this.isClosed = true;
    this.stopTimer();
  }

  /** Sends the next report as soon as the interval between reports allows. */
  private requestReport(): void {
    if (!this.isInFlight) this.schedule(this.computeSpacingMs());
  }

  /** Returns the time until the next report. */
  private computePauseMs(): number {
    const { client, choice, isReady } = this.options;
    if (client.isWaiting() && isReady()) return this.computeSpacingMs();
    // The first report from which the coordinator counts this node is sent at once.
    const uncountedMs = choice.getUncountedMs(this.now());
    return uncountedMs > 0 ? Math.min(REPORT_INTERVAL_MS, uncountedMs) : REPORT_INTERVAL_MS;
  }

  private computeSpacingMs(): number {
    const spacingMs = Math.min(REPORT_INTERVAL_MS, this.order.length * SPACING_PER_NODE_MS);
    return Math.max(0, this.sentAtMs + spacingMs - this.now());
  }

  private schedule(delayMs: number): void {
    if (this.isClosed || !this.options.isEnabled()) return;
    const dueAtMs = this.now() + delayMs;
    if (this.timer && this.dueAtMs <= dueAtMs) return;
    this.stopTimer();
    this.dueAtMs = dueAtMs;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      void this.runRound();
    }, delayMs).unref();
  }

  private stopTimer(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private async runRound(): Promise<void> {
    this.isInFlight = true;
    this.sentAtMs = this.now();
    try {
      if (this.options.isReady()) await this.reportInTurn();
    } catch (thrown) {
      this.logCrash(thrown);
    } finally {
      this.isInFlight = false;
      this.schedule(this.computePauseMs());
    }
  }

  /** Reports to the coordinator, or else to the next nodes until one answers. */
  private async reportInTurn(): Promise<void> {
    this.updateOrder();
    const { choice } = this.options;
    for (const nodeId of choice.listAttempts(this.order, this.now())) {
      if (this.isClosed || (await this.attemptReport(nodeId))) break;
    }
    this.probePreferred();
  }

  /** Returns true when the node has answered. */
  private async attemptReport(nodeId: NodeId): Promise<boolean> {
    const { choice, client, directives } = this.options;
    if (choice.getCurrent() !== nodeId && !(await this.contact(nodeId))) return false;
    if (choice.getCurrent() !== nodeId) return true;
    const sentAtMs = this.now();
    const tokens = client.collectTokens(nodeId);
    const steadyMs = choice.getSteadyMs(nodeId, sentAtMs);
    const mayBridge = steadyMs < STEADY_MS && choice.takeBridge(nodeId);
    const runs = directives?.collectRuns();
    const answer = await this.send(nodeId, { steadyMs, mayBridge, runs, ...tokens });
    if (!answer) return false;
    client.applyGrants(tokens.needs, answer.grants, nodeId, sentAtMs);
    directives?.applyDirectives(answer.rollouts, this.now());
    return true;
  }

  /** Asks a node whether it answers, and makes it the coordinator if so. */
  private async contact(nodeId: NodeId): Promise<boolean> {
    const { choice, client, log, metrics } = this.options;
    const holds = client.listHolds(nodeId);
    const answer = await this.send(nodeId, {
      ...NO_TOKENS,
      holds,
      steadyMs: 0,
      mayBridge: false,
    });
    if (!answer) return false;
    const previous = choice.getCurrent();
    if (previous === nodeId) return true;
    choice.setCurrent(nodeId, this.now());
    metrics.count('coordinator_changed');
    log.write('info', 'coordinator-changed', { peer: nodeId, previous });
    return true;
  }

  /** Asks a preferred node, if there is one, without waiting for its answer. */
  private probePreferred(): void {
    const { choice } = this.options;
    if (this.isProbing || this.isClosed) return;
    const preferred = choice.chooseProbe(this.order, this.now());
    if (preferred === undefined) return;
    this.isProbing = true;
    void this.contact(preferred)
      .catch((thrown: unknown) => this.logCrash(thrown))
      .finally(() => {
        this.isProbing = false;
      });
  }

  private async send(
    nodeId: NodeId,
    content: TokenReport & Pick<CoordinatorReport, 'steadyMs' | 'mayBridge' | 'runs'>,
  ): Promise<CoordinatorAnswer | undefined> {
    const { ownId, process, choice, answerOwn, log } = this.options;
    const report: CoordinatorReport = { node: ownId, process, ...content };
    if (nodeId === ownId) return answerOwn(report, this.now());
    const onInvalid = ({ step, peer, message }: StepError) => {
      log.write('warn', 'coordinator-answer-invalid', { step, peer, reason: message });
    };
    const answer = await this.targets.get(nodeId)?.calls.sendReport(report, onInvalid);
    if (answer) choice.recordAnswer(nodeId, this.now());
    else choice.recordFailure(nodeId, this.now());
    return answer;
  }

  private logCrash(thrown: unknown): void {
    const { step, peer, message } = toStepError(thrown, 'coordinator.report', 'self');
    this.options.log.write('error', 'report-crashed', { step, peer, reason: message });
  }

  private updateOrder(): void {
    const nowMs = this.now();
    if (nowMs - this.orderedAtMs < ORDER_MS) return;
    this.orderedAtMs = nowMs;
    const targets = this.options.listTargets();
    this.targets = new Map(targets.map((target) => [target.nodeId, target]));
    this.order = rankCoordinators(targets);
    this.options.choice.evictMissing(this.order);
  }
}
