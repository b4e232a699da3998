/**
 * Retry budget: limits how often requests are sent to a second instance, because retries to failing
 * instances would otherwise multiply the load of the others. The limit applies to the whole mesh
 * without coordination: each node counts only its own requests and uses its share of the constant
 * part.
 */

/** Limit over all nodes: per window, `ratio` times the requests plus `extra` retries. */
export interface RetryLimit {
  readonly ratio: number;
  readonly windowMs: number;
  readonly extra: number;
}

/** Share of the limit that is used; calls made by retried requests count as retries, too. */
const USED_LIMIT_SHARE = 0.4;

interface ServiceCounts {
  windowStartMs: number;
  requests: number;
  previousRequests: number;
  retries: number;
  previousRetries: number;
}

/** Counts requests and retries by service. */
export class RetryBudget {
  private readonly counts = new Map<string, ServiceCounts>();

  constructor(private readonly limit: RetryLimit) {}

  /** Records a request for a service. */
  recordRequest(service: string, nowMs: number): void {
    this.getCounts(service, nowMs).requests += 1;
  }

  /** Returns true when the budget of a service has a retry left. */
  hasRetry(service: string, nodeCount: number, nowMs: number): boolean {
    const counts = this.getCounts(service, nowMs);
    const requests = Math.max(counts.requests, counts.previousRequests);
    const extraPerNode = this.limit.extra / Math.max(1, nodeCount);
    const allowed = USED_LIMIT_SHARE * (this.limit.ratio * requests + extraPerNode);
    // Any sliding window overlaps at most two counted windows.
    return counts.retries + counts.previousRetries < Math.max(1, allowed);
  }

  /** Consumes one retry from the budget of a service. Returns false when none is available. */
  tryAcquire(service: string, nodeCount: number, nowMs: number): boolean {
    if (!this.hasRetry(service, nodeCount, nowMs)) return false;
    this.getCounts(service, nowMs).retries += 1;
    return true;
  }

  private getCounts(service: string, nowMs: number): ServiceCounts {
    let counts = this.counts.get(service);
    if (!counts) {
      counts = {
        windowStartMs: nowMs,
        requests: 0,
        previousRequests: 0,
        retries: 0,
        previousRetries: 0,
      };
      this.counts.set(service, counts);
    }
    const elapsedMs = nowMs - counts.windowStartMs;
    if (elapsedMs >= this.limit.windowMs) {
      const isConsecutive = elapsedMs < 2 * this.limit.windowMs;
      counts.previousRequests = isConsecutive ? counts.requests : 0;
      counts.previousRetries = isConsecutive ? counts.retries : 0;
      counts.requests = 0;
      counts.retries = 0;
      counts.windowStartMs = nowMs;
    }
    return counts;
  }
}
