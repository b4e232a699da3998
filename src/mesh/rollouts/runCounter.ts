/** Cumulative counts of the runs of the local instance by route, in bounded memory. */
import { brandText, type InstanceId, type RouteName } from '../../types/ids.js';
import type { RouteRuns } from '../coordination/model.js';
import { BUCKET_COUNT, computeBucket } from './runBuckets.js';

/** Maximum number of routes that are counted apart from each other. */
export const MAX_COUNTED_ROUTES = 64;

/** Name under which the runs of further routes are counted. */
const OTHER_ROUTES = brandText<RouteName>('*');

interface Counts {
  runs: number;
  failures: number;
  readonly times: number[];
}

function omitTrailingZeros(times: readonly number[]): readonly number[] {
  let { length } = times;
  while (length > 0 && times[length - 1] === 0) length -= 1;
  return times.slice(0, length);
}

/** Counts the runs of one instance at a time. */
export class RunCounter {
  private instanceId: InstanceId | undefined;

  private readonly byRoute = new Map<RouteName, Counts>();

  /** Starts to count the runs of another instance, or of one that has restarted. */
  reset(instanceId: InstanceId): void {
    this.instanceId = instanceId;
    this.byRoute.clear();
  }

  /** Records a run; one of an earlier instance is ignored. */
  record(instanceId: InstanceId, route: RouteName, runMs: number, hasFailed: boolean): void {
    if (instanceId !== this.instanceId) return;
    const counts = this.getCounts(route);
    counts.runs += 1;
    if (hasFailed) counts.failures += 1;
    counts.times[computeBucket(runMs)]! += 1;
  }

  /** Returns the counts of an instance since its start. */
  listRuns(instanceId: InstanceId): readonly RouteRuns[] {
    if (instanceId !== this.instanceId) return [];
    return [...this.byRoute].map(([route, { runs, failures, times }]) => ({
      route,
      runs,
      failures,
      times: omitTrailingZeros(times),
    }));
  }

  private getCounts(route: RouteName): Counts {
    const known = this.byRoute.get(route);
    if (known) return known;
    if (this.byRoute.size >= MAX_COUNTED_ROUTES && route !== OTHER_ROUTES) {
      return this.getCounts(OTHER_ROUTES);
    }
    const created = { runs: 0, failures: 0, times: new Array<number>(BUCKET_COUNT).fill(0) };
    this.byRoute.set(route, created);
    return created;
  }
}
