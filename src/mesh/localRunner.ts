/** Runs requests on the local instance: admission, queueing, exchange and load statistics. */
import type { InstanceId } from '../types/ids.js';
import type { PeerAddress } from '../types/interfaces.js';
import { AdmissionQueue, type AdmissionItem } from './admission.js';
import type { EventLog } from './eventLog.js';
import type { HeaderNames } from './headers.js';
import { buildRefusal, InstanceClient } from './instanceClient.js';
import type { InstanceNotice } from './instanceNotice.js';
import { LimitMonitor } from './limitMonitor.js';
import type { LoopMonitor } from './loopMonitor.js';
import { isSameInstance, type InstanceIdentity, type LocalInstance } from './localInstance.js';
import type {
  CallMetadata,
  Heartbeat,
  HttpRequest,
  InstanceLoad,
  RefusalReason,
  RunReport,
  RunResult,
} from './model.js';
import { getOriginProcess } from './peerMessages.js';
import { RequestLimit } from './requestLimit.js';
import type { ResponseMemory } from './responseMemory.js';
import type { RunCounter } from './rollouts/runCounter.js';
import { RunTimes } from './runTimes.js';
import type { Cancellation } from './signal.js';
import type { SuspensionDetector } from './suspensionDetector.js';

/** Interval at which queued requests are checked for expired deadlines, in milliseconds. */
const EXPIRY_CHECK_MS = 40;

/** Time after a failed connection during which new requests are refused, in milliseconds. */
const UNREACHABLE_PERIOD_MS = 250;

/** Retry time while the instance drains, starts or does not accept connections, in milliseconds. */
const UNAVAILABLE_RETRY_MS = 300;

/** Factor by which the high estimate of a run time is multiplied before the end of a stop. */
const RUN_RESERVE_FACTOR = 1.5;

interface QueuedRequest extends AdmissionItem {
  readonly start: () => void;
  readonly refuse: (reason: RefusalReason, retryAfterMs: number) => void;
}

export interface RunnerOptions {
  readonly loop: Pick<LoopMonitor, 'waitForArrivals'>;
  readonly instance: LocalInstance;
  readonly getAddress: () => PeerAddress;
  readonly names: HeaderNames;
  readonly log: EventLog;
  /** Called when a response of the instance says that it leaves. */
  readonly onLeaving: (instanceId: InstanceId) => void;
  /** Called when a different instance responds at the address. */
  readonly onMismatch: (instanceId: InstanceId) => void;
  /** Bounds the responses that are read at the same time; undefined for no bound. */
  readonly memory?: ResponseMemory;
  /** Returns the expected time until the announced bodies have arrived, in milliseconds. */
  readonly getPendingTransferMs?: () => number;
  /** Detects suspensions of this host; undefined where none are expected. */
  readonly detector?: Pick<SuspensionDetector, 'count'> | undefined;
  /** Counts the runs by which a version is judged; undefined where versions are not rolled out. */
  readonly runCounter?: RunCounter | undefined;
}

export class LocalRunner {
  private readonly limit = new RequestLimit();

  private readonly queue = new AdmissionQueue<QueuedRequest>(1, this.limit);

  private readonly times = new RunTimes();

  private readonly limitMonitor: LimitMonitor;

  private client: InstanceClient;

  private clientAddress: PeerAddress;

  private unreachableUntilMs = -Infinity;

  private isStopping = false;

  /** End of the runs of a planned stop; undefined while none is under way. */
  private stopAtMs: number | undefined;

  private isStartDeferred = false;

  /** Instance that the limit applies to. */
  private limitedInstance: InstanceIdentity | undefined;

  /** Suspensions of this host up to the arrival of each call of an account. */
  private readonly knownSuspensions = new WeakMap<CallMetadata, number>();

  private expiryTimer: NodeJS.Timeout | undefined;

  private limitTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: RunnerOptions) {
    this.limitMonitor = new LimitMonitor(options.log);
    this.limit.reset(performance.now());
    this.clientAddress = options.getAddress();
    this.client = this.createClient();
  }

  /**
   * Runs a request, waiting for a free slot if necessary; `onStart` is called when it gets one.
   * Never rejects.
   */
  async run(
    request: HttpRequest,
    metadata: CallMetadata,
    cancellation: Cancellation,
    onStart: () => void = () => {},
  ): Promise<RunReport> {
    const receivedAtMs = performance.now();
    let startedAtMs: number | undefined;
    const recordStart = () => {
      startedAtMs = performance.now();
      onStart();
    };
    const refusal = this.check(metadata) ?? this.checkFreeSlot(metadata);
    const result = refusal ?? (await this.admit(request, metadata, cancellation, recordStart));
    const endedAtMs = performance.now();
    const timing = {
      queueMs: (startedAtMs ?? endedAtMs) - receivedAtMs,
      runMs: startedAtMs === undefined ? 0 : endedAtMs - startedAtMs,
    };
    return { result, load: this.getLoad(), timing };
  }

  /** Returns the load of the instance, or undefined while it does not accept requests. */
  getLoad(): InstanceLoad | undefined {
    const state = this.options.instance.getState();
    if (state.kind !== 'ready') return undefined;
    const { slots } = state.heartbeat;
    const meanMs = this.times.getMeanMs();
    return {
      slots,
      inFlight: this.countInFlight(slots, meanMs),
      meanMs,
      failures: this.times.getFailureRate(),
      limit: this.limit.getState(this.queue.countQueued(), performance.now()),
    };
  }

  countRunning(): number {
    return this.queue.countRunning();
  }

  /** Returns the refusal that a request would get now, before its body arrives; else undefined. */
  checkRoom(metadata: CallMetadata): RunResult | undefined {
    const refusal = this.check(metadata) ?? this.checkFreeSlot(metadata);
    if (refusal) return refusal;
    const decision = this.queue.assess(this.buildItem(metadata), performance.now());
    if (decision.kind !== 'refused') return undefined;
    return buildRefusal(decision.reason, false, decision.retryAfterMs);
  }

  /** Returns the expected run time of a route, in milliseconds. */
  getMeanMs(route: string): number {
    return this.times.getMeanMs(route);
  }

  /** Refuses from now on the requests whose runs may not have ended at `stopAtMs`. */
  planStop(stopAtMs: number): void {
    this.stopAtMs = stopAtMs;
  }

  /** Refuses queued requests and all new ones. */
  stopAccepting(): void {
    this.isStopping = true;
    this.refuseQueued('leaving');
  }

  /** Applies a change of the instance: its number of slots, its state or its address. */
  handleInstanceChange(): void {
    const state = this.options.instance.getState();
    if (state.kind === 'ready') {
      this.checkReplacement(state.heartbeat);
      this.queue.setSlots(state.heartbeat.slots);
      this.unreachableUntilMs = -Infinity;
      this.startNext();
    } else {
      this.refuseQueued('leaving');
    }
    const address = this.options.getAddress();
    const { host, port } = this.clientAddress;
    if (address.host === host && address.port === port) return;
    this.client.close();
    this.clientAddress = address;
    this.client = this.createClient();
  }

  close(): void {
    clearTimeout(this.expiryTimer);
    clearTimeout(this.limitTimer);
    this.client.close();
  }

  /** Forgets the limit of an instance that was replaced or restarted. */
  private checkReplacement(heartbeat: Heartbeat): void {
    if (isSameInstance(heartbeat, this.limitedInstance)) return;
    this.limitedInstance = heartbeat;
    this.limit.reset(performance.now());
    this.options.runCounter?.reset(heartbeat.instanceId);
  }

  private createClient(): InstanceClient {
    const { names, memory } = this.options;
    const onNotice = (notice: InstanceNotice, id: InstanceId) => this.handleNotice(notice, id);
    return new InstanceClient(this.clientAddress, names, onNotice, memory);
  }

  private handleNotice({ limit, isLeaving }: InstanceNotice, instanceId: InstanceId): void {
    const nowMs = performance.now();
    this.limitMonitor.recordLimit(limit, nowMs);
    if (limit.kind !== 'invalid') {
      this.limit.setRate(limit.kind === 'named' ? limit.requestsPerS : undefined, nowMs);
    }
    if (isLeaving) this.options.onLeaving(instanceId);
  }

  private check(metadata: CallMetadata): RunResult | undefined {
    if (!this.isAuthorized(metadata)) return buildRefusal('unauthorized', false);
    return this.endsBeforeStop(metadata)
      ? this.checkInstance(metadata.instanceId)
      : buildRefusal('leaving', false, UNAVAILABLE_RETRY_MS);
  }

  /**
   * Returns false when the key of a call may have been removed for too long. The clock of the bound
   * stands still while this host is suspended, so no call that has arrived before is started.
   */
  private isAuthorized(metadata: CallMetadata): boolean {
    const { authorizedUntilMs } = metadata;
    if (authorizedUntilMs === undefined) return true;
    const suspensions = this.options.detector?.count() ?? 0;
    const known = this.knownSuspensions.get(metadata);
    if (known === undefined) this.knownSuspensions.set(metadata, suspensions);
    const wasSuspended = known !== undefined && known !== suspensions;
    return !wasSuspended && performance.now() <= authorizedUntilMs;
  }

  /** Returns the refusal of a request that is not to wait, while it would have to. */
  private checkFreeSlot(metadata: CallMetadata): RunResult | undefined {
    if (!metadata.needsFreeSlot || this.queue.canStart(performance.now())) return undefined;
    return buildRefusal('busy', false);
  }

  /** Returns true when a run that starts now ends before a planned stop, or at its deadline. */
  private endsBeforeStop({ route, deadlineAtMs }: CallMetadata): boolean {
    const { stopAtMs } = this;
    if (stopAtMs === undefined || deadlineAtMs <= stopAtMs) return true;
    const highMs = this.times.getHighMs(route);
    if (highMs === undefined) return false;
    return performance.now() + highMs * RUN_RESERVE_FACTOR <= stopAtMs;
  }

  private checkInstance(instanceId: InstanceId): RunResult | undefined {
    const state = this.options.instance.getState();
    if (this.isStopping) return buildRefusal('leaving', false, UNAVAILABLE_RETRY_MS);
    switch (state.kind) {
      case 'unknown':
      case 'unverified':
        return buildRefusal('no-instance', false, UNAVAILABLE_RETRY_MS);
      case 'leaving':
      case 'departed':
        return buildRefusal('leaving', false, UNAVAILABLE_RETRY_MS);
      case 'ready':
        if (state.heartbeat.instanceId !== instanceId) {
          return buildRefusal('mismatch', false, UNAVAILABLE_RETRY_MS);
        }
        if (performance.now() < this.unreachableUntilMs) {
          return buildRefusal('unreachable', false, UNAVAILABLE_RETRY_MS);
        }
        return undefined;
      default:
        throw new Error(`unknown state ${JSON.stringify(state satisfies never)}`);
    }
  }

  /** Returns the requests at the instance; bodies on their way count by the time they take. */
  private countInFlight(slots: number, meanMs: number): number {
    const pendingMs = this.options.getPendingTransferMs?.() ?? 0;
    const pending = Math.ceil((pendingMs * slots) / Math.max(1, meanMs));
    return this.queue.countRunning() + this.queue.countQueued() + pending;
  }

  private buildItem(metadata: CallMetadata): AdmissionItem {
    const { priority, route, objectiveAtMs, deadlineAtMs, account } = metadata;
    const expectedRunMs = this.times.getMeanMs(route);
    const runClass = this.times.getRunClass(route);
    return { priority, expectedRunMs, runClass, objectiveAtMs, deadlineAtMs, account };
  }

  private admit(
    request: HttpRequest,
    metadata: CallMetadata,
    cancellation: Cancellation,
    onStart: () => void,
  ): Promise<RunResult> {
    return new Promise((resolve) => {
      const item: QueuedRequest = {
        ...this.buildItem(metadata),
        start: () => {
          onStart();
          void this.start(request, metadata, cancellation).then(resolve);
        },
        refuse: (reason, retryAfterMs) => resolve(buildRefusal(reason, false, retryAfterMs)),
      };
      const offer = this.queue.admit(item, performance.now());
      switch (offer.kind) {
        case 'start':
          item.start();
          break;
        case 'refused':
          item.refuse(offer.reason, offer.retryAfterMs);
          break;
        case 'queued':
          if (offer.displaced) {
            const { item: displaced, reason, retryAfterMs } = offer.displaced;
            displaced.refuse(reason, retryAfterMs);
          }
          this.scheduleExpiry();
          this.scheduleLimitedStart();
          cancellation.onCancel(() => {
            if (this.queue.remove(item)) item.refuse('cancelled', 0);
          });
          break;
        default:
          throw new Error(`unknown offer ${JSON.stringify(offer satisfies never)}`);
      }
    });
  }

  /**
   * Runs a request that has a slot. Checks the instance again, because it may have changed while
   * the request was queued.
   */
  private async start(
    request: HttpRequest,
    metadata: CallMetadata,
    cancellation: Cancellation,
  ): Promise<RunResult> {
    const startedAtMs = performance.now();
    const refusal = this.check(metadata);
    if (!refusal) this.limitMonitor.recordStart(getOriginProcess(metadata), startedAtMs);
    const result = refusal ?? (await this.client.run(request, metadata, cancellation));
    this.queue.releaseSlot();
    if (!refusal) this.record(metadata, result, performance.now() - startedAtMs, cancellation);
    this.startNext();
    return result;
  }

  private record(
    metadata: CallMetadata,
    result: RunResult,
    runMs: number,
    cancellation: Cancellation,
  ): void {
    switch (result.kind) {
      case 'answered':
        this.recordRun(metadata, runMs, result.response.status >= 500);
        break;
      case 'unknown':
        if (!cancellation.isCancelled()) this.recordRun(metadata, runMs, true);
        break;
      case 'notRun':
        this.recordRefusal(metadata, result.reason);
        break;
      default:
        throw new Error(`unknown result ${JSON.stringify(result satisfies never)}`);
    }
  }

  private recordRun({ route, instanceId }: CallMetadata, runMs: number, hasFailed: boolean): void {
    this.times.record(route, runMs, hasFailed);
    this.options.runCounter?.record(instanceId, route, runMs, hasFailed);
  }

  private recordRefusal(metadata: CallMetadata, reason: RefusalReason): void {
    if (reason === 'shed') this.times.record(metadata.route, 0, true);
    if (reason === 'mismatch') this.options.onMismatch(metadata.instanceId);
    if (reason !== 'unreachable') return;
    this.unreachableUntilMs = performance.now() + UNREACHABLE_PERIOD_MS;
    this.options.log.write('warn', 'instance-unreachable', {
      step: 'instance.connect',
      peer: metadata.instanceId,
    });
    this.refuseQueued('unreachable');
  }

  /** Starts queued requests, whose callers may have left while the event loop was blocked. */
  private startNext(): void {
    if (this.isStartDeferred) return;
    const arrivals = this.options.loop.waitForArrivals();
    if (!arrivals) {
      this.startQueued();
      return;
    }
    this.isStartDeferred = true;
    void arrivals.then(() => {
      this.isStartDeferred = false;
      this.startQueued();
    });
  }

  private startQueued(): void {
    for (;;) {
      const item = this.queue.dequeue(performance.now());
      if (!item) break;
      item.start();
    }
    this.scheduleLimitedStart();
  }

  /** Starts queued requests once the limit of the instance allows it. */
  private scheduleLimitedStart(): void {
    clearTimeout(this.limitTimer);
    const limitWaitMs = this.queue.getLimitWaitMs(performance.now());
    if (limitWaitMs === undefined) return;
    this.limitTimer = setTimeout(() => {
      this.startNext();
    }, Math.ceil(limitWaitMs));
  }

  private refuseQueued(reason: RefusalReason): void {
    for (const item of this.queue.removeAll()) item.refuse(reason, UNAVAILABLE_RETRY_MS);
  }

  private scheduleExpiry(): void {
    if (this.expiryTimer) return;
    this.expiryTimer = setTimeout(() => {
      this.expiryTimer = undefined;
      for (const item of this.queue.removeExpired(performance.now())) item.refuse('deadline', 0);
      if (this.queue.countQueued() > 0) this.scheduleExpiry();
    }, EXPIRY_CHECK_MS);
  }
}
