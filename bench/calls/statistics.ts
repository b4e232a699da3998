/** Latency histograms, open-loop arrival times and the comparison of two histograms. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Percentiles of a latency distribution in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly maxMs: number;
}

/** Difference and ratio at one percentile. */
export interface Comparison {
  readonly addedMs: number;
  readonly ratio: number;
}

const HIGHEST_US = 120_000_000;

/** Latency histogram with a resolution of one microsecond and three significant digits. */
export class LatencyHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_US,
    numberOfSignificantValueDigits: 3,
  });

  /** Records the time from the planned send to the end of the answer, so late sends count. */
  record(plannedMs: number, endMs: number): void {
    const micros = Math.round((endMs - plannedMs) * 1000);
    this.#histogram.recordValue(Math.min(HIGHEST_US, Math.max(1, micros)));
  }

  getSummary(): LatencySummary {
    const at = (percentile: number) => this.#histogram.getValueAtPercentile(percentile) / 1000;
    return {
      count: this.#histogram.totalCount,
      p50Ms: at(50),
      p99Ms: at(99),
      p999Ms: at(99.9),
      maxMs: this.#histogram.totalCount === 0 ? 0 : this.#histogram.maxValue / 1000,
    };
  }
}

/** Compares one value of the mesh with that of direct calls. */
export function compareValues(directMs: number, meshMs: number): Comparison {
  return { addedMs: meshMs - directMs, ratio: directMs === 0 ? 0 : meshMs / directMs };
}

/** Returns the planned send times of a Poisson process in milliseconds from its start. */
export function buildArrivals(
  ratePerSecond: number,
  seconds: number,
  random: () => number,
): Float64Array {
  const times: number[] = [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - random()) * 1000) / ratePerSecond;
    if (atMs >= seconds * 1000) return Float64Array.from(times);
    times.push(atMs);
  }
}

/** Returns the median; 0 for an empty list. */
export function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? 0;
  return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? 0) + upper) / 2;
}
