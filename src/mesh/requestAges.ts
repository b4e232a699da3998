/**
 * Estimates how long ago a caller first sent a request, to detect client retries. It performs no
 * I/O and reads no clock.
 *
 * It is designed for callers that retry after a rejection. Their latency objective counts from the
 * first attempt, so retries that are treated as new requests delay those that can still meet their
 * objective.
 */
import { evictMissing } from '../utils/evictMissing.js';

/** Minimum share of the requests of a route that carry an initial timeout. */
const MIN_SHARE = 0.05;

/** Share of the requests of a route from which a timeout is initial regardless of the others. */
const CERTAIN_SHARE = 0.25;

/**
 * Minimum ratio between two initial timeouts. A frequent timeout just below an initial one can be
 * the remaining time of callers that were sent the same retry delay; one that is shorter by this
 * factor belongs to other callers.
 */
const MIN_TIMEOUT_RATIO = 2.5;

/** Minimum number of requests that carry an initial timeout. */
const MIN_COUNT = 5;

/** Number of counted requests of a route at which all counts are halved. */
const MAX_COUNTED = 500;

/** Number of requests of one route by timeout, in milliseconds. */
interface TimeoutCounts {
  readonly counts: Map<number, number>;
  total: number;
}

/** Halves all counts, so that the estimate follows changes in the timeouts of callers. */
function halveCounts(timeouts: TimeoutCounts): void {
  const halved = timeouts;
  halved.total = 0;
  for (const [ms, count] of timeouts.counts) {
    const kept = Math.floor(count / 2);
    if (kept === 0) timeouts.counts.delete(ms);
    else timeouts.counts.set(ms, kept);
    halved.total += kept;
  }
}

/** Returns the initial timeouts, longest first. */
function listInitialTimeouts({ counts, total }: TimeoutCounts): number[] {
  const initial: number[] = [];
  const minCount = Math.max(MIN_COUNT, total * MIN_SHARE);
  const frequent: [ms: number, count: number][] = [];
  for (const entry of counts) if (entry[1] >= minCount) frequent.push(entry);
  for (const [ms, count] of frequent.sort(([a], [b]) => b - a)) {
    const longer = initial.at(-1);
    const isDistinct = longer === undefined || ms * MIN_TIMEOUT_RATIO < longer;
    if (isDistinct || count >= total * CERTAIN_SHARE) initial.push(ms);
  }
  return initial;
}

/**
 * Callers of one kind send the same timeout with each first attempt, and the remaining time, which
 * varies, with each retry.
 */
export class RequestAges {
  private readonly byRoute = new Map<string, TimeoutCounts>();

  /** Records the timeout of a request and returns its estimated age, both in milliseconds. */
  record(route: string, timeoutMs: number): number {
    const timeouts = this.getTimeouts(route);
    timeouts.counts.set(timeoutMs, (timeouts.counts.get(timeoutMs) ?? 0) + 1);
    timeouts.total += 1;
    const initialMs = listInitialTimeouts(timeouts)
      .reverse()
      .find((ms) => ms >= timeoutMs);
    if (timeouts.total >= MAX_COUNTED) halveCounts(timeouts);
    return initialMs === undefined ? 0 : initialMs - timeoutMs;
  }

  /** Removes the counts of routes that no longer exist. */
  evictRoutes(routeNames: ReadonlySet<string>): void {
    evictMissing(this.byRoute, routeNames);
  }

  private getTimeouts(route: string): TimeoutCounts {
    let timeouts = this.byRoute.get(route);
    if (!timeouts) {
      timeouts = { counts: new Map(), total: 0 };
      this.byRoute.set(route, timeouts);
    }
    return timeouts;
  }
}
