/**
 * Limits how often requests are sent to a second instance. The limit of the whole mesh is kept
 * without agreement: each node uses its own requests and its share of the constant part. It
 * answers failing instances, whose repeats would otherwise multiply the load of the others.
 */

/** Limit over all nodes. */
export interface RepeatLimit {
  readonly ratio: number;
  readonly windowMs: number;
  readonly extra: number;
}

/** Share of the limit that is used; calls made by repeated runs count as repeats, too. */
const USED_SHARE = 0.4;

interface ServiceCounts {
  windowStartMs: number;
  requests: number;
  previousRequests: number;
  repeats: number;
  previousRepeats: number;
}

/** Counts requests and repeats by service. */
export class RepeatBudget {
  private readonly counts = new Map<string, ServiceCounts>();

  constructor(private readonly limit: RepeatLimit) {}

  /** Records a request for a service. */
  recordRequest(service: string, nowMs: number): void {
    this.getCounts(service, nowMs).requests += 1;
  }

  /** Takes one repeat from the budget; false when it is used up. */
  takeRepeat(service: string, nodeCount: number, nowMs: number): boolean {
    const counts = this.getCounts(service, nowMs);
    const requests = Math.max(counts.requests, counts.previousRequests);
    const share = this.limit.extra / Math.max(1, nodeCount);
    const allowed = USED_SHARE * (this.limit.ratio * requests + share);
    // A sliding window overlaps two counted ones at most.
    if (counts.repeats + counts.previousRepeats >= Math.max(1, allowed)) return false;
    counts.repeats += 1;
    return true;
  }

  private getCounts(service: string, nowMs: number): ServiceCounts {
    let counts = this.counts.get(service);
    if (!counts) {
      counts = {
        windowStartMs: nowMs,
        requests: 0,
        previousRequests: 0,
        repeats: 0,
        previousRepeats: 0,
      };
      this.counts.set(service, counts);
    }
    const passedMs = nowMs - counts.windowStartMs;
    if (passedMs >= this.limit.windowMs) {
      const isNext = passedMs < 2 * this.limit.windowMs;
      counts.previousRequests = isNext ? counts.requests : 0;
      counts.previousRepeats = isNext ? counts.repeats : 0;
      counts.requests = 0;
      counts.repeats = 0;
      counts.windowStartMs = nowMs;
    }
    return counts;
  }
}
