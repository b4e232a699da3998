/** Takes the request of a caller to an instance, to another one if need be, and to its end. */
import type { InstanceId, ServiceName } from '../types/ids.js';
import type { Directory, PeerCandidate } from './directory.js';
import type { EventLog } from './eventLog.js';
import type { LocalRunner } from './localRunner.js';
import type { MeshMetrics } from './meshMetrics.js';
import type {
  CallTerms,
  HttpRequest,
  HttpResponse,
  MeshRoute,
  MeshSettings,
  RunReport,
  RunResult,
} from './model.js';
import { chooseInstance } from './placing.js';
import type { RepeatBudget } from './repeats.js';
import type { Cancellation } from './signal.js';
import type { TargetChooser } from './targets.js';

/** Largest number of instances that are asked; most refusals cost one round trip. */
const MAX_ASKED = 4;

/** Time before the end of a request in which no further instance is asked, in milliseconds. */
const LAST_SEND_MS = 15;

/** Retry time when nothing is known about the load, in milliseconds. */
const DEFAULT_RETRY_MS = 300;

/** Time after the deadline for which a node that does not respond is awaited, in milliseconds. */
const DEADLINE_SLACK_MS = 170;

/** A request of a caller on its way. Instants are on the `performance.now` scale. */
export interface CallWork {
  readonly route: MeshRoute;
  readonly request: HttpRequest;
  readonly requestId: string;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  readonly objectiveAtMs: number;
  readonly cancellation: Cancellation;
}

/** How the request of a caller ends. */
export type CallEnd =
  | { readonly kind: 'answered'; readonly response: HttpResponse }
  /** No instance ran it, and none will. */
  | { readonly kind: 'notRun'; readonly reason: string; readonly retryAfterMs: number }
  /** It may have run; its response is lost. */
  | { readonly kind: 'unknown'; readonly reason: string };

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

/** What the attempts of one request have come to. */
interface Progress {
  readonly service: ServiceName;
  readonly tried: Set<InstanceId>;
  /** Sends that reached an instance. */
  arrivals: number;
  refusal: Extract<CallEnd, { kind: 'notRun' }>;
  lost: CallEnd | undefined;
}

/** True when the time of a request is over but for what a send would need. */
export function isAtDeadline(work: CallWork): boolean {
  return performance.now() >= work.deadlineAtMs - LAST_SEND_MS;
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
    const progress: Progress = {
      service,
      tried: new Set(),
      arrivals: 0,
      refusal: { kind: 'notRun', reason: 'no-instance', retryAfterMs: DEFAULT_RETRY_MS },
      lost: undefined,
    };
    for (let asked = 0; asked < MAX_ASKED; asked += 1) {
      if (work.cancellation.isCancelled() || isAtDeadline(work)) break;
      const chosen = this.choose(work, progress, asked === 0);
      if (!chosen) break;
      if (progress.arrivals > 0 && !this.takeRepeat(work, service)) break;
      progress.tried.add(chosen.peer.record.instanceId);
      const { result } = await this.send(chosen, work, service);
      const end = this.apply(result, chosen, work, progress);
      if (end) return end;
      this.logFailure(result, chosen, work);
    }
    return progress.lost ?? progress.refusal;
  }

  private choose(
    work: CallWork,
    { service, tried }: Progress,
    isFirst: boolean,
  ): PeerCandidate | undefined {
    const { directory, getSettings } = this.options;
    const { dataCentre, distance } = getSettings();
    const { objectiveMs, rank, isRepeatable } = work.route;
    return chooseInstance(
      directory.listCandidates(service, dataCentre, performance.now()),
      { objectiveMs, rank, canExplore: isRepeatable && isFirst },
      distance,
      ({ peer }) => tried.has(peer.record.instanceId),
    );
  }

  private takeRepeat({ route }: CallWork, service: ServiceName): boolean {
    const { repeats, directory, metrics } = this.options;
    const isTaken = repeats.takeRepeat(service, directory.countNodes(), performance.now());
    metrics.count('repeats', `route="${route.name}",taken="${isTaken}"`);
    return isTaken;
  }

  private async send(
    { peer }: PeerCandidate,
    work: CallWork,
    service: ServiceName,
  ): Promise<RunReport> {
    const { directory, runner, processId } = this.options;
    this.sends += 1;
    const terms: CallTerms = {
      callId: `${processId}.${this.sends}`,
      requestId: work.requestId,
      route: work.route.name,
      service,
      instanceId: peer.record.instanceId,
      isRepeatable: work.route.isRepeatable,
      rank: work.route.rank,
      deadlineAtMs: work.deadlineAtMs,
      objectiveAtMs: work.objectiveAtMs,
    };
    const { request, cancellation } = work;
    peer.outstanding += 1;
    try {
      if (directory.isOwn(peer)) {
        const report = await runner.run(request, terms, cancellation);
        peer.recordLoad(report.load, performance.now());
        return report;
      }
      const report = await peer.calls.send(request, terms, peer.record.incarnation, cancellation);
      if (report.hasResponded) peer.recordLoad(report.load, performance.now());
      else if (!cancellation.isCancelled()) peer.recordSilence(performance.now());
      return report;
    } finally {
      peer.outstanding -= 1;
    }
  }

  /** Applies the result of a send; returns the end of the request when it is decided. */
  private apply(
    result: RunResult,
    chosen: PeerCandidate,
    { route }: CallWork,
    progress: Progress,
  ): CallEnd | undefined {
    switch (result.kind) {
      case 'answered':
        progress.arrivals += 1;
        progress.lost = result;
        return mayRepeat(result.response.status >= 500, route, progress) ? undefined : result;
      case 'unknown':
        progress.arrivals += 1;
        progress.lost ??= result;
        return mayRepeat(true, route, progress) ? undefined : progress.lost;
      case 'notRun':
        if (result.hasArrived) progress.arrivals += 1;
        this.applyRefusal(result, chosen, progress);
        return undefined;
      default:
        throw new Error(`unknown result ${JSON.stringify(result satisfies never)}`);
    }
  }

  private applyRefusal(
    { reason, retryAfterMs }: Extract<RunResult, { kind: 'notRun' }>,
    { peer }: PeerCandidate,
    progress: Progress,
  ): void {
    const { refusal } = progress;
    const isFull = reason === 'overloaded';
    if (!isFull && reason !== 'deadline' && reason !== 'cancelled') {
      peer.recordAbsence(performance.now());
    }
    const isSooner = refusal.reason !== 'overloaded' || retryAfterMs < refusal.retryAfterMs;
    if (isSooner) progress.refusal = { kind: 'notRun', reason, retryAfterMs };
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

/** True when a request that may have run can go to another instance. */
function mayRepeat(hasFailed: boolean, route: MeshRoute, { arrivals }: Progress): boolean {
  return hasFailed && route.isRepeatable && arrivals < route.maxAttempts;
}
