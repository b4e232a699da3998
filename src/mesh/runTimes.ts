/** Run times and failure rate of one instance, as exponentially weighted moving averages. */

import { computeRunClass, updateRunClass } from './runClasses.js';

/** Weight of the latest run in the mean of its route. */
const ROUTE_WEIGHT = 0.1;

/** Weight of the latest run in the mean and the failure rate over all routes. */
const OVERALL_WEIGHT = 0.05;

/** Maximum number of routes with a mean of their own, which bounds memory use. */
const MAX_ROUTES = 256;

/** Share by which the high estimate of a route falls towards each shorter run. */
const HIGH_DECAY = 0.01;

/** Expected run time before the first run has completed. */
const INITIAL_MEAN_MS = 100;

/** Run times of one route. */
interface RouteTimes {
  readonly meanMs: number;
  /** Time that few runs exceed. */
  readonly highMs: number;
  readonly runClass: number;
}

function advanceTimes(known: RouteTimes, runMs: number): RouteTimes {
  const meanMs = known.meanMs + (runMs - known.meanMs) * ROUTE_WEIGHT;
  return {
    meanMs,
    highMs: Math.max(runMs, known.highMs + (runMs - known.highMs) * HIGH_DECAY),
    runClass: updateRunClass(known.runClass, meanMs),
  };
}

function createTimes(runMs: number): RouteTimes {
  return { meanMs: runMs, highMs: runMs, runClass: computeRunClass(runMs) };
}

/** Moving averages of one instance. */
export class RunTimes {
  private readonly byRoute = new Map<string, RouteTimes>();

  private meanMs = INITIAL_MEAN_MS;

  private failureRate = 0;

  /** Returns the expected run time of a route, or of all routes if the route is unknown. */
  getMeanMs(route?: string): number {
    const times = route === undefined ? undefined : this.byRoute.get(route);
    return times?.meanMs ?? this.meanMs;
  }

  /** Returns the class of the run times of a route; undefined before its first run. */
  getRunClass(route: string): number | undefined {
    return this.byRoute.get(route)?.runClass;
  }

  /** Returns the time that few runs of a route exceed; undefined before its first run. */
  getHighMs(route: string): number | undefined {
    return this.byRoute.get(route)?.highMs;
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
    const known = this.byRoute.get(route);
    if (!known && this.byRoute.size >= MAX_ROUTES) this.byRoute.clear();
    this.byRoute.set(route, known ? advanceTimes(known, runMs) : createTimes(runMs));
  }
}
