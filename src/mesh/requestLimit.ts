/**
 * Limit on the requests that start on one instance in a time: a token bucket with the rate that the
 * instance names. All requests for an instance pass through the node of its host, so this is the
 * one place where the requests of all nodes are counted. It performs no I/O and takes the current
 * time as an argument.
 */

/** Time whose requests may start at once, as a share of the rate. */
const BURST_MS = 1000;

/** Lowest rate in requests per second; some requests have to start, to learn that a limit ended. */
const MIN_RATE_PER_S = 0.25;

/** Rate and burst until the first response, which tells whether the instance has a limit. */
const UNKNOWN_RATE_PER_S = 20;
const UNKNOWN_BURST = 4;

/** Tolerance for sums of fractions of a request. */
const EPSILON = 1e-6;

/** A rate that is in force. */
interface Rate {
  readonly requestsPerS: number;
  /** Maximum number of requests that start at once. */
  readonly burst: number;
}

const UNKNOWN_RATE: Rate = { requestsPerS: UNKNOWN_RATE_PER_S, burst: UNKNOWN_BURST };

/** State of the limit of an instance, as its node reports it to other nodes. */
export interface LimitState {
  readonly requestsPerS: number;
  /** Requests that may start now; negative while requests are queued for their turn. */
  readonly availableStarts: number;
}

function createRate(requestsPerS: number): Rate {
  const boundedPerS = Math.max(MIN_RATE_PER_S, requestsPerS);
  return { requestsPerS: boundedPerS, burst: Math.max(1, (boundedPerS * BURST_MS) / 1000) };
}

/** Returns the state of a limit after a time in which a share of its rate was left to this node. */
export function projectLimitState(state: LimitState, elapsedMs: number, share: number): LimitState {
  const { requestsPerS, availableStarts } = state;
  const gained = (requestsPerS * share * elapsedMs) / 1000;
  const { burst } = createRate(requestsPerS);
  const projected = Math.min(burst, availableStarts + gained);
  return { requestsPerS, availableStarts: Math.max(availableStarts, projected) };
}

/** Returns the expected wait of a request behind `ahead` others that the state does not include. */
export function estimateLimitWaitMs(state: LimitState, ahead: number): number {
  const missing = ahead + 1 - state.availableStarts;
  return Math.max(0, (missing * 1000) / state.requestsPerS);
}

/** Limit of the local instance. */
export class RequestLimit {
  /** Undefined while the instance names no limit. */
  private rate: Rate | undefined;

  private tokens = 0;

  private updatedAtMs = 0;

  /** Applies the limit of a response, in requests per second; undefined if it names none. */
  setRate(requestsPerS: number | undefined, nowMs: number): void {
    this.refill(nowMs);
    // Requests that started without a limit are not followed by a burst.
    if (!this.rate) this.tokens = 0;
    this.rate = requestsPerS === undefined ? undefined : createRate(requestsPerS);
  }

  /** Starts anew with an instance whose limit is not known yet. */
  reset(nowMs: number): void {
    this.rate = UNKNOWN_RATE;
    this.tokens = UNKNOWN_BURST;
    this.updatedAtMs = nowMs;
  }

  canStart(nowMs: number): boolean {
    return this.estimateWaitMs(0, nowMs) === 0;
  }

  recordStart(nowMs: number): void {
    this.refill(nowMs);
    if (this.rate) this.tokens -= 1;
  }

  /** Returns the time until a request may start that has `ahead` others before it. */
  estimateWaitMs(ahead: number, nowMs: number): number {
    this.refill(nowMs);
    if (!this.rate) return 0;
    const missing = ahead + 1 - this.tokens;
    return missing <= EPSILON ? 0 : (missing * 1000) / this.rate.requestsPerS;
  }

  /** Returns the state with `queued` requests waiting; undefined without a limit. */
  getState(queued: number, nowMs: number): LimitState | undefined {
    this.refill(nowMs);
    if (!this.rate || this.rate === UNKNOWN_RATE) return undefined;
    return { requestsPerS: this.rate.requestsPerS, availableStarts: this.tokens - queued };
  }

  private refill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    this.updatedAtMs = nowMs;
    if (!this.rate) return;
    const { requestsPerS, burst } = this.rate;
    this.tokens = Math.min(burst, this.tokens + (requestsPerS * elapsedMs) / 1000);
  }
}
