/**
 * Estimates how long ago a caller sent a request for the first time. It has no network and no
 * clock. It answers the load of callers that come back after a refusal: their latency objective
 * counts from their first try, so that taken for new ones they hold up those that can still be in
 * time.
 */
import { evictMissing } from '../utils/evictMissing.js';

/** Share of the requests of a route from which a waiting time may be a usual one. */
const USUAL_SHARE = 0.05;

/** Share from which it is a usual one in any case. */
const SURE_SHARE = 0.25;

/**
 * Below a usual time, what is left to callers that came back as they were told may be frequent,
 * too; a time that is shorter by this factor belongs to other callers.
 */
const DISTINCT_FACTOR = 2.5;

/** Least number of requests with the same waiting time before it counts as a usual one. */
const MIN_USUAL = 5;

/** Number of remembered requests of a route after which all counts are halved. */
const MAX_COUNTED = 500;

/** Waiting times of one route and how often callers have stated them. */
interface StatedTimes {
  readonly counts: Map<number, number>;
  total: number;
}

function forgetHalf(times: StatedTimes): void {
  const halved = times;
  halved.total = 0;
  for (const [ms, count] of times.counts) {
    const kept = Math.floor(count / 2);
    if (kept === 0) times.counts.delete(ms);
    else times.counts.set(ms, kept);
    halved.total += kept;
  }
}

/** Returns the usual times, the longest first. */
function listUsual({ counts, total }: StatedTimes): number[] {
  const usual: number[] = [];
  const frequent = [...counts].filter(
    ([, count]) => count >= Math.max(MIN_USUAL, total * USUAL_SHARE),
  );
  for (const [ms, count] of frequent.sort(([one], [other]) => other - one)) {
    const longer = usual.at(-1);
    const isDistinct = longer === undefined || ms * DISTINCT_FACTOR < longer;
    if (isDistinct || count >= total * SURE_SHARE) usual.push(ms);
  }
  return usual;
}

/**
 * Callers of one kind state the same waiting time at their first try, and what is left of it, an
 * odd figure, when they come back.
 */
export class RequestAges {
  private readonly byRoute = new Map<string, StatedTimes>();

  /** Records the waiting time of a request and returns its age, both in milliseconds. */
  record(route: string, statedMs: number): number {
    const times = this.getTimes(route);
    times.counts.set(statedMs, (times.counts.get(statedMs) ?? 0) + 1);
    times.total += 1;
    const usualMs = listUsual(times)
      .reverse()
      .find((ms) => ms >= statedMs);
    if (times.total >= MAX_COUNTED) forgetHalf(times);
    return usualMs === undefined ? 0 : usualMs - statedMs;
  }

  /** Drops what is known of routes that are gone. */
  evictRoutes(known: ReadonlySet<string>): void {
    evictMissing(this.byRoute, known);
  }

  private getTimes(route: string): StatedTimes {
    let times = this.byRoute.get(route);
    if (!times) {
      times = { counts: new Map(), total: 0 };
      this.byRoute.set(route, times);
    }
    return times;
  }
}
