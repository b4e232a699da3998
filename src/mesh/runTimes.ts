/** Run times and failures of one instance, as exponential means. */

/** Weight of the newest run in the mean of its route. */
const ROUTE_WEIGHT = 0.1;

/** Weight of the newest run in the means over all routes. */
const TOTAL_WEIGHT = 0.05;

/** Largest number of routes that are told apart. */
const MAX_ROUTES = 256;

/** Expected run time before any run has ended, in milliseconds. */
const FIRST_MEAN_MS = 100;

/** Means of one instance. */
export class RunTimes {
  private readonly byRoute = new Map<string, number>();

  private meanMs = FIRST_MEAN_MS;

  private failures = 0;

  /** Returns the expected run time of a route. */
  getMeanMs(route?: string): number {
    return (route === undefined ? undefined : this.byRoute.get(route)) ?? this.meanMs;
  }

  /** Returns the share of recent runs that failed. */
  getFailures(): number {
    return this.failures;
  }

  /** Records the end of a run. */
  record(route: string, runMs: number, hasFailed: boolean): void {
    this.failures += ((hasFailed ? 1 : 0) - this.failures) * TOTAL_WEIGHT;
    // A run that failed at once says nothing about the time that a good one takes.
    if (hasFailed) return;
    this.meanMs += (runMs - this.meanMs) * TOTAL_WEIGHT;
    const known = this.byRoute.get(route);
    if (known === undefined && this.byRoute.size >= MAX_ROUTES) this.byRoute.clear();
    this.byRoute.set(route, known === undefined ? runMs : known + (runMs - known) * ROUTE_WEIGHT);
  }
}
