/** Combines the results of the attempts of one request into the outcome for its caller. */
import type { InstanceId } from '../types/ids.js';
import type { CallOutcome } from './pendingCall.js';
import type { MeshRoute, RunResult } from './model.js';
import { isCapacityRefusal, isRoomRefusal } from './refusalReason.js';

/** Retry time when no instance reported one, in milliseconds. */
const DEFAULT_RETRY_MS = 300;

type Refusal = Extract<RunResult, { kind: 'notRun' }>;

/** Tracks the attempts of one request. */
export class AttemptProgress {
  private readonly attemptedInstances = new Set<InstanceId>();

  /** Number of attempts that reached an instance. */
  private arrivals = 0;

  /** Outcome of an attempt that ran or may have run, used when no retry gives a better one. */
  private executedOutcome: CallOutcome | undefined;

  private wasRefusedForRoom = false;

  private refusal: Extract<CallOutcome, { kind: 'notRun' }> = {
    kind: 'notRun',
    reason: 'no-instance',
    retryAfterMs: DEFAULT_RETRY_MS,
  };

  constructor(private readonly route: MeshRoute) {}

  countArrivals(): number {
    return this.arrivals;
  }

  recordAttempt(instanceId: InstanceId): void {
    this.attemptedInstances.add(instanceId);
  }

  wasAttempted(instanceId: InstanceId): boolean {
    return this.attemptedInstances.has(instanceId);
  }

  /** Applies the result of an attempt; returns the outcome of the request once it is final. */
  apply(result: RunResult): CallOutcome | undefined {
    this.wasRefusedForRoom = result.kind === 'notRun' && isRoomRefusal(result.reason);
    switch (result.kind) {
      case 'answered':
        this.arrivals += 1;
        this.executedOutcome = result;
        return result.response.status >= 500 && this.canRetry() ? undefined : result;
      case 'unknown':
        this.arrivals += 1;
        this.executedOutcome ??= result;
        return this.canRetry() ? undefined : this.executedOutcome;
      case 'notRun':
        if (result.hasArrived) this.arrivals += 1;
        this.applyRefusal(result);
        return undefined;
      default:
        throw new Error(`unknown result ${JSON.stringify(result satisfies never)}`);
    }
  }

  /** Returns true when the latest attempt was refused for lack of room. */
  isRefusedForRoom(): boolean {
    return this.wasRefusedForRoom;
  }

  /** Records that instances were skipped because they recently refused requests as overloaded. */
  recordOverload(): void {
    this.applyRefusal({ reason: 'overloaded', retryAfterMs: DEFAULT_RETRY_MS });
  }

  /** Records that the call may not be sent any more, since its key is not known to be valid. */
  recordUnauthorized(): void {
    this.refusal = { kind: 'notRun', reason: 'unauthorized', retryAfterMs: DEFAULT_RETRY_MS };
  }

  /**
   * Returns the outcome when no further attempt is made. It is `notRun` only when no attempt can
   * have run.
   */
  getOutcome(): CallOutcome {
    return this.executedOutcome ?? this.refusal;
  }

  private applyRefusal({ reason, retryAfterMs }: Pick<Refusal, 'reason' | 'retryAfterMs'>): void {
    const { refusal } = this;
    // Keeps the earliest retry time of overloaded instances; other refusals carry no load estimate.
    if (isCapacityRefusal(refusal.reason) && retryAfterMs >= refusal.retryAfterMs) return;
    this.refusal = { kind: 'notRun', reason, retryAfterMs };
  }

  /** Returns true when the route allows a further attempt after one that may have run. */
  canRetryAfterRun(): boolean {
    return this.route.isIdempotent && this.arrivals + 1 < this.route.maxAttempts;
  }

  private canRetry(): boolean {
    return this.route.isIdempotent && this.arrivals < this.route.maxAttempts;
  }
}
