/** Service-level burn: how fast each route spends its error budget, over several windows. */
import type { RouteConfig } from '../generated/types.js';

const BUCKET_MS = 60_000;
const BUCKETS = 360;

/** Windows of the report in minutes. */
export const BURN_WINDOWS_MIN = [5, 30, 60, 360] as const;

/** Calls of one window: all, failed, and slower than the latency objective. */
export interface BurnCounts {
  readonly total: number;
  readonly failed: number;
  readonly slow: number;
}

/** Alert state of one route. `page` and `ticket` follow the multi-window, multi-burn-rate rule. */
export type BurnAlert = 'none' | 'ticket' | 'page';

/** Burn rates of one objective by window in minutes; 1 spends the budget exactly in its period. */
export type BurnRates = Readonly<Record<number, number>>;

/**
 * Counts of one route in a ring of one-minute buckets.
 * A bucket that was last written in an earlier round counts as empty.
 */
export class BurnRing {
  private readonly minutes = new Float64Array(BUCKETS);

  private readonly counts = new Uint32Array(BUCKETS * 3);

  /** Adds one call at a wall-clock time in milliseconds. */
  record(atMs: number, isFailed: boolean, isSlow: boolean): void {
    const minute = Math.floor(atMs / BUCKET_MS);
    const bucket = minute % BUCKETS;
    if (this.minutes[bucket] !== minute) {
      this.minutes[bucket] = minute;
      this.counts.fill(0, bucket * 3, bucket * 3 + 3);
    }
    this.counts[bucket * 3]! += 1;
    if (isFailed) this.counts[bucket * 3 + 1]! += 1;
    if (isSlow) this.counts[bucket * 3 + 2]! += 1;
  }

  /** Sums the last `windowMin` minutes, the current one included. */
  sum(atMs: number, windowMin: number): BurnCounts {
    const last = Math.floor(atMs / BUCKET_MS);
    let total = 0;
    let failed = 0;
    let slow = 0;
    for (let minute = last - windowMin + 1; minute <= last; minute += 1) {
      const bucket = ((minute % BUCKETS) + BUCKETS) % BUCKETS;
      if (this.minutes[bucket] === minute) {
        total += this.counts[bucket * 3]!;
        failed += this.counts[bucket * 3 + 1]!;
        slow += this.counts[bucket * 3 + 2]!;
      }
    }
    return { total, failed, slow };
  }
}

function computeRate(bad: number, total: number, goodPercent: number): number {
  if (total === 0) return 0;
  return bad / total / (1 - goodPercent / 100);
}

/** Computes the burn rate of both objectives of a route for each window. */
export function computeBurnRates(
  objective: NonNullable<RouteConfig['objective']>,
  windows: Readonly<Record<number, BurnCounts>>,
): { availability: BurnRates; latency: BurnRates | undefined } {
  const availability: Record<number, number> = {};
  const latency: Record<number, number> = {};
  const { availabilityPercent, latencyMs, latencyPercent } = objective;
  const hasLatency = latencyMs !== undefined && latencyPercent !== undefined;
  for (const windowMin of BURN_WINDOWS_MIN) {
    const counts = windows[windowMin] ?? { total: 0, failed: 0, slow: 0 };
    availability[windowMin] = computeRate(counts.failed, counts.total, availabilityPercent);
    if (hasLatency) latency[windowMin] = computeRate(counts.slow, counts.total, latencyPercent);
  }
  return { availability, latency: hasLatency ? latency : undefined };
}

/**
 * The multi-window rules, the most urgent first. Both windows of a rule must reach the rate: the
 * long one shows that it matters, the short one that it still goes on.
 */
export const BURN_RULES = [
  { alert: 'page', rate: 14.4, windowsMin: [5, 60] as readonly number[] },
  { alert: 'ticket', rate: 6, windowsMin: [30, 360] as readonly number[] },
] as const;

/** Applies the multi-window rules to the rates of one objective. */
export function deriveAlert(rates: BurnRates): BurnAlert {
  const rule = BURN_RULES.find(({ rate, windowsMin }) =>
    windowsMin.every((windowMin) => (rates[windowMin] ?? 0) >= rate),
  );
  return rule?.alert ?? 'none';
}
