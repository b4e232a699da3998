/** Sums of counts of runs, which may have a weight below 1. */
import type { RouteRuns } from '../coordination/model.js';
import { BUCKET_COUNT } from './runBuckets.js';

/** Runs, failures and histogram of run times, without the route that they belong to. */
export type RunCounts = Omit<RouteRuns, 'route'>;

/** Counts of runs over some period. */
export class RunTotals {
  runs = 0;

  failures = 0;

  readonly times = new Array<number>(BUCKET_COUNT).fill(0);

  add({ runs, failures, times }: RunCounts, factor = 1): void {
    this.runs += runs * factor;
    this.failures += failures * factor;
    for (let index = 0; index < BUCKET_COUNT; index += 1) {
      this.times[index]! += (times[index] ?? 0) * factor;
    }
  }

  /** Multiplies all counts by a factor. */
  scale(factor: number): void {
    this.runs *= factor;
    this.failures *= factor;
    for (let index = 0; index < BUCKET_COUNT; index += 1) this.times[index]! *= factor;
  }
}
