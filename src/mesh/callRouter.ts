/** Takes the request of a caller to an instance, to another one if need be, and to its end. */
import type { ServiceName } from '../types/ids.js';
import { AttemptProgress } from './attemptProgress.js';
import type { CallEnd, CallWork } from './callWork.js';
import type { Directory, PeerCandidate } from './directory.js';
import type { EventLog } from './eventLog.js';
import type { LocalRunner } from './localRunner.js';
import type { MeshMetrics } from './meshMetrics.js';
import type { CallMetadata, MeshSettings, RefusalReason, RunReport, RunResult } from './model.js';
import { chooseInstance } from './placing.js';
import type { RepeatBudget } from './repeats.js';
import type { TargetChooser } from './targets.js';

/** Largest number of instances that are asked; most refusals cost one round trip. */
const MAX_ASKED = 4;

/** Time before the end of a request in which no further instance is asked, in milliseconds. */
const LAST_SEND_MS = 15;

/** Time after the deadline for which a node that does not respond is awaited, in milliseconds. */
const DEADLINE_SLACK_MS = 170;

/** What the router needs. */
export interface CallRouterOptions {
  readonly getSettings: () => MeshSettings;
  readonly directory: Directory;
  readonly runner: LocalRunner;
  readonly repeats: RepeatBudget;
  readonly targets: TargetChooser;
  readonly log: EventLog;
  readonly metrics: MeshMetrics;
  readonly processId: string;
}

/** True when the time of a request is over but for what a send would need. */
export function isAtDeadline(work: CallWork): boolean {
  return performance.now() >= work.deadlineAtMs - LAST_SEND_MS;
}

/** True for refusals that say that the instance is not there for now. */
function isAbsence(reason: RefusalReason): boolean {
  return reason !== 'overloaded' && reason !== 'deadline' && reason !== 'cancelled';
}

/** Runs the requests of callers. */
export class CallRouter {
  private sends = 0;

  constructor(private readonly options: CallRouterOptions) {}

  /** Runs a request. Never throws, and ends soon after the deadline. */
  run(work: CallWork): Promise<CallEnd> {
    return new Promise((resolve) => {
      // The nodes keep to the same deadline; this timer serves when one of them does not respond.
      const timer = setTimeout(
        () => resolve({ kind: 'unknown', reason: 'timeout' }),
        work.deadlineAtMs - performance.now() + DEADLINE_SLACK_MS,
      );
      const finish = (end: CallEnd) => {
        clearTimeout(timer);
        resolve(end);
      };
      this.attempt(work).then(finish, (thrown: unknown) => {
        this.options.log.write('error', 'call-crashed', {
          step: 'call.run',
          request: work.requestId,
          reason: thrown instanceof Error ? thrown.stack : String(thrown),
        });
        finish({ kind: 'unknown', reason: 'internal error' });
      });
    });
  }

  private async attempt(work: CallWork): Promise<CallEnd> {
    const { targets, repeats } = this.options;
    const service = targets.choose(work.route);
    if (service === undefined) return { kind: 'notRun', reason: 'no-target', retryAfterMs: 0 };
    repeats.recordRequest(service, work.startedAtMs);
    const progress = new AttemptProgress(work.route);
    for (let asked = 0; asked < MAX_ASKED; asked += 1) {
      if (work.cancellation.isCancelled() || isAtDeadline(work)) break;
      const chosen = this.choose(work, service, progress, asked === 0);
      if (!chosen) break;
      if (progress.countArrivals() > 0 && !this.takeRepeat(work, service)) break;
      progress.recordTry(chosen.peer.record.instanceId);
      const { result } = await this.send(chosen, work);
      if (result.kind === 'notRun') this.recordRefusal(result, chosen, work);
      const end = progress.apply(result);
      if (end) return end;
      this.logFailure(result, chosen, work);
    }
    return progress.getEnd();
  }

  private choose(
    work: CallWork,
    service: ServiceName,
    progress: AttemptProgress,
    isFirst: boolean,
  ): PeerCandidate | undefined {
    const { directory, getSettings } = this.options;
    const { dataCentre, spillOverPolicy } = getSettings();
    const { objectiveMs, priority, isIdempotent } = work.route;
    const candidates = directory.listCandidates(service, dataCentre, priority, performance.now());
    const chosen = chooseInstance(
      candidates,
      { objectiveMs, rank: priority, canExplore: isIdempotent && isFirst },
      spillOverPolicy,
      ({ peer }) => progress.wasTried(peer.record.instanceId),
    );
    if (!chosen && candidates.some(({ isFull }) => isFull)) progress.recordFull();
    return chosen;
  }

  private takeRepeat({ route }: CallWork, service: ServiceName): boolean {
    const { repeats, directory, metrics } = this.options;
    const isTaken = repeats.takeRepeat(service, directory.countNodes(), performance.now());
    metrics.count('repeats', `route="${route.name}",taken="${isTaken}"`);
    return isTaken;
  }

  private async send({ peer }: PeerCandidate, work: CallWork): Promise<RunReport> {
    const { directory, runner, processId } = this.options;
    this.sends += 1;
    const terms: CallMetadata = {
      attemptId: `${processId}.${this.sends}`,
      requestId: work.requestId,
      route: work.route.name,
      instanceId: peer.record.instanceId,
      isIdempotent: work.route.isIdempotent,
      priority: work.route.priority,
      deadlineAtMs: work.deadlineAtMs,
      objectiveAtMs: work.objectiveAtMs,
    };
    const { request, cancellation } = work;
    peer.recordSend();
    try {
      if (directory.isOwn(peer)) {
        const report = await runner.run(request, terms, cancellation);
        peer.recordLoad(report.load, performance.now());
        return report;
      }
      const report = await peer.calls.send(
        request,
        terms,
        peer.record.incarnation,
        cancellation,
        () => peer.recordSilence(performance.now()),
      );
      if (report.hasResponded) peer.recordLoad(report.load, performance.now());
      else if (!cancellation.isCancelled()) peer.recordSilence(performance.now());
      return report;
    } finally {
      peer.recordEnd();
    }
  }

  private recordRefusal(
    { reason, retryAfterMs }: Extract<RunResult, { kind: 'notRun' }>,
    { peer }: PeerCandidate,
    { route }: CallWork,
  ): void {
    const nowMs = performance.now();
    if (isAbsence(reason)) peer.recordAbsence(nowMs);
    if (reason === 'overloaded') peer.recordFull(route.priority, retryAfterMs, nowMs);
    this.options.metrics.count('attempts_refused', `reason="${reason}"`);
  }

  private logFailure(result: RunResult, { peer }: PeerCandidate, work: CallWork): void {
    const { nodeId, instanceId } = peer.record;
    this.options.log.write('info', 'attempt-failed', {
      step: 'call.send',
      peer: nodeId,
      request: work.requestId,
      instance: instanceId,
      outcome: result.kind,
      reason: result.kind === 'answered' ? result.response.status : result.reason,
      leftMs: Math.round(work.deadlineAtMs - performance.now()),
    });
  }
}
