/** What the attempts of one request have come to, and what its caller is told in the end. */
import type { InstanceId } from '../types/ids.js';
import type { CallEnd } from './callWork.js';
import type { MeshRoute, RunResult } from './model.js';

/** Retry time when nothing is known about the load, in milliseconds. */
const DEFAULT_RETRY_MS = 300;

type Refusal = Extract<RunResult, { kind: 'notRun' }>;

/** Follows the attempts of one request. */
export class AttemptProgress {
  private readonly tried = new Set<InstanceId>();

  /** Sends that reached an instance. */
  private arrivals = 0;

  /** Runs whose result the caller did not get. */
  private lost: CallEnd | undefined;

  private refusal: Extract<CallEnd, { kind: 'notRun' }> = {
    kind: 'notRun',
    reason: 'no-instance',
    retryAfterMs: DEFAULT_RETRY_MS,
  };

  constructor(private readonly route: MeshRoute) {}

  countArrivals(): number {
    return this.arrivals;
  }

  recordTry(instanceId: InstanceId): void {
    this.tried.add(instanceId);
  }

  wasTried(instanceId: InstanceId): boolean {
    return this.tried.has(instanceId);
  }

  /** Applies the result of an attempt; returns the end of the request when it is decided. */
  apply(result: RunResult): CallEnd | undefined {
    switch (result.kind) {
      case 'answered':
        this.arrivals += 1;
        this.lost = result;
        return result.response.status >= 500 && this.canRepeat() ? undefined : result;
      case 'unknown':
        this.arrivals += 1;
        this.lost ??= result;
        return this.canRepeat() ? undefined : this.lost;
      case 'notRun':
        if (result.hasArrived) this.arrivals += 1;
        this.applyRefusal(result);
        return undefined;
      default:
        throw new Error(`unknown result ${JSON.stringify(result satisfies never)}`);
    }
  }

  /** No instance was asked since they refused others a moment ago. */
  recordFull(): void {
    this.applyRefusal({ reason: 'overloaded', retryAfterMs: DEFAULT_RETRY_MS });
  }

  /** Returns the end when no further attempt is made: "not run" only when none may have run. */
  getEnd(): CallEnd {
    return this.lost ?? this.refusal;
  }

  private applyRefusal({ reason, retryAfterMs }: Pick<Refusal, 'reason' | 'retryAfterMs'>): void {
    const { refusal } = this;
    // The soonest time of those that are full: the others said nothing about their load.
    if (refusal.reason === 'overloaded' && retryAfterMs >= refusal.retryAfterMs) return;
    this.refusal = { kind: 'notRun', reason, retryAfterMs };
  }

  private canRepeat(): boolean {
    return this.route.isIdempotent && this.arrivals < this.route.maxAttempts;
  }
}
