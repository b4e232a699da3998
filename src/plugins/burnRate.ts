/** Burn rates: how fast each route consumes its error budget, over several windows. */
import type { RouteConfig } from '../generated/types.js';

const BUCKET_MS = 60_000;
/** Six hours, the longest window of the report. */
const BUCKET_COUNT = 360;
/** Layout of a bucket: total, failed and slow calls. */
const COUNTS_PER_BUCKET = 3;
const FAILED_OFFSET = 1;
const SLOW_OFFSET = 2;
const PERCENT = 100;

/** Windows of the report, in minutes. */
export const BURN_WINDOWS_MIN = [5, 30, 60, 360] as const;

/** Number of calls in one window: all, failed, and slower than the latency objective. */
export interface BurnCounts {
  readonly total: number;
  readonly failed: number;
  readonly slow: number;
}

/** Alert state of one objective, by the multi-window, multi-burn-rate rules. */
export type BurnAlert = 'none' | 'ticket' | 'page';

/** Burn rates by window in minutes; at 1 the budget lasts for exactly its period. */
export type BurnRates = Readonly<Record<number, number>>;

/**
 * Call counts of one route in a ring buffer of one-minute buckets.
 * A bucket that was last written for an earlier minute counts as empty.
 */
export class BurnRing {
  private readonly minutes = new Float64Array(BUCKET_COUNT);

  private readonly counts = new Uint32Array(BUCKET_COUNT * COUNTS_PER_BUCKET);

  /** Adds one call at the wall-clock time `atMs`. */
  record(atMs: number, isFailed: boolean, isSlow: boolean): void {
    const minute = Math.floor(atMs / BUCKET_MS);
    const bucket = minute % BUCKET_COUNT;
    const start = bucket * COUNTS_PER_BUCKET;
    if (this.minutes[bucket] !== minute) {
      this.minutes[bucket] = minute;
      this.counts.fill(0, start, start + COUNTS_PER_BUCKET);
    }
    this.counts[start]! += 1;
    if (isFailed) this.counts[start + FAILED_OFFSET]! += 1;
    if (isSlow) this.counts[start + SLOW_OFFSET]! += 1;
  }

  /** Sums the counts of the last `windowMin` minutes, including the current one. */
  sum(atMs: number, windowMin: number): BurnCounts {
    const currentMinute = Math.floor(atMs / BUCKET_MS);
    let total = 0;
    let failed = 0;
    let slow = 0;
    for (let minute = currentMinute - windowMin + 1; minute <= currentMinute; minute += 1) {
      const bucket = ((minute % BUCKET_COUNT) + BUCKET_COUNT) % BUCKET_COUNT;
      if (this.minutes[bucket] === minute) {
        const start = bucket * COUNTS_PER_BUCKET;
        total += this.counts[start]!;
        failed += this.counts[start + FAILED_OFFSET]!;
        slow += this.counts[start + SLOW_OFFSET]!;
      }
    }
    return { total, failed, slow };
  }
}

function computeRate(badCalls: number, total: number, objectivePercent: number): number {
  if (total === 0) return 0;
  return badCalls / total / (1 - objectivePercent / PERCENT);
}

/** Computes the burn rates of the availability and latency objectives of a route. */
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
 * The multi-window alert rules, most urgent first. Both windows of a rule must reach its rate: the
 * long window shows that the consumption is significant, the short one that it is ongoing.
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
