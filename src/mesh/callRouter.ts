/** Sends the request of a caller to an instance and retries it on others where that is allowed. */
import type { ServiceName } from '../types/ids.js';
import type { AccountGate } from './accounts/accountGate.js';
import type { Identity } from './accounts/authorization.js';
import { AttemptProgress } from './attemptProgress.js';
import type { CallOutcome, PendingCall } from './pendingCall.js';
import type { Directory, PeerCandidate } from './directory.js';
import type { EventLog } from './eventLog.js';
import type { HeaderNames } from './headers.js';
import { readInstanceNotice } from './instanceNotice.js';
import type { LocalRunner } from './localRunner.js';
import type { MeshMetrics } from './meshMetrics.js';
import type {
  AccountShare,
  CallMetadata,
  HttpResponse,
  MeshSettings,
  RunReport,
  RunResult,
} from './model.js';
import { BusyShares } from './busyShares.js';
import { ImmediateOffers } from './immediateOffers.js';
import { chooseInstance } from './instanceSelection.js';
import type { OverloadThrottle } from './overloadThrottle.js';
import type { PeerNode } from './peerNode.js';
import { isCapacityRefusal, isInstanceUnavailable } from './refusalReason.js';
import type { RetryBudget } from './retryBudget.js';
import type { RolloutGate } from './rollouts/rolloutGate.js';
import type { TargetChooser } from './targets.js';

/** Maximum attempts per call, refused ones included; most refusals cost one round trip. */
const MAX_SENDS = 4;

/** Minimum remaining time for sending another attempt, in milliseconds. */
const MIN_SEND_TIME_MS = 15;

/** Time after the deadline of a call for which responses of nodes are accepted, in milliseconds. */
const DEADLINE_GRACE_MS = 170;

/** Retry time of a call that an unexpected error has ended before its first attempt. */
const CRASH_RETRY_MS = 300;

export interface CallRouterOptions {
  readonly getSettings: () => MeshSettings;
  readonly names: HeaderNames;
  readonly directory: Directory;
  readonly runner: LocalRunner;
  readonly gate: Pick<AccountGate, 'reauthorize'>;
  readonly retryBudget: RetryBudget;
  readonly overloadThrottle: OverloadThrottle;
  readonly targets: TargetChooser;
  readonly log: EventLog;
  readonly metrics: MeshMetrics;
  readonly processId: string;
  /** Keeps calls away from unproven versions; undefined where versions are not rolled out. */
  readonly rolloutGate?: RolloutGate | undefined;
}

/** Whether a call may be sent, and until when it may start; undefined without a bound. */
type Permission =
  | { readonly kind: 'permitted'; readonly untilMs: number | undefined }
  | { readonly kind: 'refused' };

/** The instance that gets a call next. */
interface Choice {
  readonly candidate: PeerCandidate;
  /** True when the call must not wait there. */
  readonly isImmediate: boolean;
}

/** Weight of an account without a rate in the sharing of an instance. */
const DEFAULT_WEIGHT = 1;

/** An account has room in proportion to its rate, so that large ones keep their usual part. */
function buildShare({ account }: Identity): AccountShare {
  return { name: account.name, weight: account.ratePerS || DEFAULT_WEIGHT };
}

/** Returns true when the remaining time of a call is too short for another attempt. */
export function isAtDeadline(call: PendingCall): boolean {
  return performance.now() >= call.deadlineAtMs - MIN_SEND_TIME_MS;
}

export class CallRouter {
  private attemptCount = 0;

  private readonly busyShares = new BusyShares();

  constructor(private readonly options: CallRouterOptions) {}

  /** Runs a call. Never rejects, and resolves at the latest shortly after the deadline. */
  run(call: PendingCall): Promise<CallOutcome> {
    return new Promise((resolve) => {
      // Nodes enforce the same deadline; this timer covers nodes that do not respond.
      const timer = setTimeout(
        () => resolve({ kind: 'unknown', reason: 'timeout' }),
        call.deadlineAtMs - performance.now() + DEADLINE_GRACE_MS,
      );
      const finish = (outcome: CallOutcome) => {
        clearTimeout(timer);
        resolve(outcome);
      };
      this.runAttempts(call).then(finish, (thrown: unknown) => {
        this.options.log.write('error', 'call-crashed', {
          step: 'call.run',
          request: call.requestId,
          reason: thrown instanceof Error ? thrown.stack : String(thrown),
        });
        const reason = 'internal error';
        const wasSent = call.trace.sends > 0;
        finish(
          wasSent
            ? { kind: 'unknown', reason }
            : { kind: 'notRun', reason, retryAfterMs: CRASH_RETRY_MS },
        );
      });
    });
  }

  private async runAttempts(call: PendingCall): Promise<CallOutcome> {
    const { targets, retryBudget, overloadThrottle } = this.options;
    const { trace } = call;
    const service = targets.choose(call.route);
    if (service === undefined) return { kind: 'notRun', reason: 'no-target', retryAfterMs: 0 };
    retryBudget.recordRequest(service, call.startedAtMs);
    const progress = new AttemptProgress(call.route);
    const offers = new ImmediateOffers();
    const route = call.route.name;
    for (let sendIndex = 0; sendIndex < MAX_SENDS + offers.countRefused(); sendIndex += 1) {
      if (call.cancellation.isCancelled() || isAtDeadline(call)) break;
      if (progress.isRefusedForRoom() && !this.canOfferAgain(call, service)) break;
      const chosen = this.choose(call, service, progress, offers);
      if (!chosen) break;
      const permission = this.reauthorize(call);
      if (permission.kind === 'refused') {
        progress.recordUnauthorized();
        break;
      }
      if (progress.countArrivals() > 0 && !this.takeRetry(call, service)) break;
      const { instanceId } = chosen.candidate.peer.record;
      const isLastSend = sendIndex === MAX_SENDS + offers.countRefused() - 1;
      const canRetry = () => !isLastSend && this.canRetry(call, service, progress);
      const { result, timing } = await this.send(chosen, call, permission.untilMs, canRetry);
      trace.timing = timing;
      const isBusy = result.kind === 'notRun' && result.reason === 'busy';
      if (isBusy) {
        offers.recordBusy(instanceId);
        this.options.metrics.count('attempts_refused', 'reason="busy"');
        continue;
      }
      offers.end();
      if (chosen.isImmediate) this.busyShares.record(service, false);
      progress.recordAttempt(instanceId);
      overloadThrottle.record(service, route, result);
      if (result.kind === 'notRun') this.recordRefusal(result, chosen.candidate, call);
      if (result.kind === 'answered') this.recordNotice(result.response, chosen.candidate, call);
      const outcome = progress.apply(result);
      if (outcome) return outcome;
      this.logFailure(result, chosen.candidate, call);
    }
    return progress.getOutcome();
  }

  /** Decides anew whether a call may be sent: since it entered, its key may have been removed. */
  private reauthorize({ identity, requestId }: PendingCall): Permission {
    if (!identity) return { kind: 'permitted', untilMs: undefined };
    const authorization = this.options.gate.reauthorize(identity, requestId);
    return authorization.kind === 'account'
      ? { kind: 'permitted', untilMs: authorization.untilMs }
      : { kind: 'refused' };
  }

  private choose(
    call: PendingCall,
    service: ServiceName,
    progress: AttemptProgress,
    offers: ImmediateOffers,
  ): Choice | undefined {
    const candidates = this.listCandidates(call, service);
    const isFirst = call.trace.sends === 0;
    const isFirstOffer = offers.countRefused() === 0;
    const canOffer = !isFirstOffer || this.busyShares.canOffer(service);
    if (canOffer && offers.isNext(candidates) && this.canOfferAgain(call, service)) {
      const unasked = offers.listUnasked(candidates);
      const candidate = this.findInstance(unasked, call, progress, isFirst);
      if (candidate) return { candidate, isImmediate: true };
    }
    if (offers.hasRefusedAll()) this.busyShares.record(service, true);
    offers.end();
    const isUsable = ({ peer, isFull, isUnreachable }: PeerCandidate) =>
      !isFull && !isUnreachable && !progress.wasAttempted(peer.record.instanceId);
    const listed = offers.listForWaiting(candidates, isUsable);
    const candidate = this.findInstance(listed, call, progress, isFirst);
    if (candidate) return { candidate, isImmediate: false };
    // A call that an unproven version refuses would have run on the old one.
    const hasArrived = progress.countArrivals() > 0;
    if (!hasArrived && this.options.rolloutGate?.releaseTarget(call, service)) {
      return this.choose(call, service, progress, offers);
    }
    if (candidates.some(({ isFull }) => isFull)) progress.recordOverload();
    return undefined;
  }

  private canOfferAgain({ route }: PendingCall, service: ServiceName): boolean {
    return this.options.overloadThrottle.canOfferAgain(service, route.name);
  }

  private listCandidates(call: PendingCall, service: ServiceName): PeerCandidate[] {
    const { directory, getSettings, rolloutGate } = this.options;
    const { dataCentre } = getSettings();
    const nowMs = performance.now();
    const listed = directory.listCandidates(service, dataCentre, call.route, nowMs);
    return rolloutGate?.filterCandidates(call, service, listed, nowMs) ?? listed;
  }

  /** Returns the instance to send a call to next; undefined when none is left. */
  private findInstance(
    candidates: readonly PeerCandidate[],
    { route }: PendingCall,
    progress: AttemptProgress,
    isFirst: boolean,
  ): PeerCandidate | undefined {
    const { objectiveMs, priority, isIdempotent } = route;
    return chooseInstance(
      candidates,
      { objectiveMs, priority, canExplore: isIdempotent && isFirst },
      this.options.getSettings().spillOverPolicy,
      ({ peer }) => progress.wasAttempted(peer.record.instanceId),
    );
  }

  /** Returns true when another instance may get the call although the present one may run it. */
  private canRetry(call: PendingCall, service: ServiceName, progress: AttemptProgress): boolean {
    const { retryBudget, directory } = this.options;
    if (!progress.canRetryAfterRun() || isAtDeadline(call)) return false;
    if (!retryBudget.hasRetry(service, directory.countNodes(), performance.now())) return false;
    const candidates = this.listCandidates(call, service);
    return this.findInstance(candidates, call, progress, false) !== undefined;
  }

  private takeRetry({ route }: PendingCall, service: ServiceName): boolean {
    const { retryBudget, directory, metrics } = this.options;
    const isAllowed = retryBudget.tryAcquire(service, directory.countNodes(), performance.now());
    metrics.count('repeats', `route="${route.name}",taken="${isAllowed}"`);
    return isAllowed;
  }

  private async send(
    { candidate: { peer }, isImmediate }: Choice,
    call: PendingCall,
    authorizedUntilMs: number | undefined,
    canRetry: () => boolean,
  ): Promise<RunReport> {
    const { directory, runner, processId } = this.options;
    this.attemptCount += 1;
    const metadata: CallMetadata = {
      attemptId: `${processId}.${this.attemptCount}`,
      requestId: call.requestId,
      route: call.route.name,
      instanceId: peer.record.instanceId,
      isIdempotent: call.route.isIdempotent,
      priority: call.route.priority,
      deadlineAtMs: call.deadlineAtMs,
      objectiveAtMs: call.objectiveAtMs,
      ...(call.identity && { account: buildShare(call.identity), authorizedUntilMs }),
      ...(isImmediate && { needsFreeSlot: true }),
    };
    const { request, cancellation, trace } = call;
    trace.sends += 1;
    trace.instance = peer.record.instanceId;
    trace.sendTrace = undefined;
    trace.loadAgeMs = peer.getLoadAgeMs(performance.now());
    peer.recordSend();
    try {
      if (directory.isOwn(peer)) {
        const report = await runner.run(request, metadata, cancellation);
        this.recordLoad(peer, report);
        return report;
      }
      const report = await peer.calls.send(
        request,
        metadata,
        peer.record.incarnation,
        cancellation,
        () => peer.recordNoResponse(performance.now()),
        canRetry,
      );
      trace.sendTrace = report.sendTrace;
      if (report.hasResponded) this.recordLoad(peer, report);
      else if (!cancellation.isCancelled()) peer.recordNoResponse(performance.now());
      return report;
    } finally {
      peer.recordEnd();
    }
  }

  private recordLoad(peer: PeerNode, { load }: RunReport): void {
    const knownLimitPerS = peer.getLimitPerS();
    peer.recordLoad(load, performance.now());
    const limitPerS = peer.getLimitPerS();
    if ((limitPerS === undefined) === (knownLimitPerS === undefined)) return;
    const { nodeId, instanceId } = peer.record;
    this.options.log.write('info', 'peer-limit', {
      peer: nodeId,
      instance: instanceId,
      limitPerS: limitPerS ?? 'none',
    });
  }

  private recordRefusal(
    { reason, retryAfterMs }: Extract<RunResult, { kind: 'notRun' }>,
    { peer }: PeerCandidate,
    { route }: PendingCall,
  ): void {
    const nowMs = performance.now();
    if (isInstanceUnavailable(reason)) peer.recordUnavailable(nowMs);
    // The load that such a host reports says nothing about the way to it.
    if (reason === 'delayed') peer.recordNoResponse(nowMs);
    if (isCapacityRefusal(reason)) peer.recordOverload(route, retryAfterMs, nowMs);
    this.options.metrics.count('attempts_refused', `reason="${reason}"`);
  }

  private recordNotice(
    { headers }: HttpResponse,
    { peer }: PeerCandidate,
    call: PendingCall,
  ): void {
    const { names, log } = this.options;
    if (!readInstanceNotice(headers, names).isLeaving || !peer.isReady()) return;
    const { nodeId, instanceId } = peer.record;
    peer.recordLeaving(call.trace.instance ?? instanceId);
    log.write('info', 'peer-leaving', {
      peer: nodeId,
      instance: instanceId,
      request: call.requestId,
    });
  }

  private logFailure(result: RunResult, { peer }: PeerCandidate, call: PendingCall): void {
    const { nodeId, instanceId } = peer.record;
    this.options.log.write('info', 'attempt-failed', {
      step: 'call.send',
      peer: nodeId,
      request: call.requestId,
      instance: instanceId,
      outcome: result.kind,
      reason: result.kind === 'answered' ? result.response.status : result.reason,
      leftMs: Math.round(call.deadlineAtMs - performance.now()),
    });
  }
}
