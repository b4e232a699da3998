/** Run times and failure rate of one instance, as exponentially weighted moving averages. */

/** Weight of the latest run in the mean of its route. */
const ROUTE_WEIGHT = 0.1;

/** Weight of the latest run in the mean and the failure rate over all routes. */
const OVERALL_WEIGHT = 0.05;

/** Maximum number of routes with a mean of their own, which bounds memory use. */
const MAX_ROUTES = 256;

/** Expected run time before the first run has completed. */
const INITIAL_MEAN_MS = 100;

/** Moving averages of one instance. */
export class RunTimes {
  private readonly byRoute = new Map<string, number>();

  private meanMs = INITIAL_MEAN_MS;

  private failureRate = 0;

  /** Returns the expected run time of a route, or of all routes if the route is unknown. */
  getMeanMs(route?: string): number {
    return (route === undefined ? undefined : this.byRoute.get(route)) ?? this.meanMs;
  }

  /** Returns the failure rate of recent runs, from 0 to 1. */
  getFailureRate(): number {
    return this.failureRate;
  }

  /** Records a completed run. */
  record(route: string, runMs: number, hasFailed: boolean): void {
    this.failureRate += ((hasFailed ? 1 : 0) - this.failureRate) * OVERALL_WEIGHT;
    // The duration of a failed run is no estimate for successful ones; it may have failed early.
    if (hasFailed) return;
    this.meanMs += (runMs - this.meanMs) * OVERALL_WEIGHT;
    const routeMeanMs = this.byRoute.get(route);
    if (routeMeanMs === undefined && this.byRoute.size >= MAX_ROUTES) this.byRoute.clear();
    this.byRoute.set(
      route,
      routeMeanMs === undefined ? runMs : routeMeanMs + (runMs - routeMeanMs) * ROUTE_WEIGHT,
    );
  }
}
