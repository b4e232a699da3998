/** Matches requests to routes and chooses the target service of a route by weight. */
import type { ServiceName } from '../types/ids.js';
import { evictMissing } from '../utils/evictMissing.js';
import type { MeshConfig, MeshRoute } from './model.js';
import { findLongestPrefix } from './routeIndex.js';

/** Returns the names of all routes of a configuration version. */
export function listRouteNames(config: MeshConfig): ReadonlySet<string> {
  const names = new Set<string>();
  for (const ofHost of config.routes.values()) {
    for (const { name } of ofHost) names.add(name);
  }
  return names;
}

/** Smooth weighted round robin: each service gets its share within every short run of requests. */
export class TargetChooser {
  private readonly credits = new Map<string, Map<ServiceName, number>>();

  /** Returns the target service of the next request of a route. */
  choose(route: MeshRoute): ServiceName | undefined {
    const { targets } = route;
    if (targets.length <= 1) return targets[0]?.service;
    const credits = this.getCredits(route);
    let total = 0;
    let best: ServiceName | undefined;
    let bestCredit = -Infinity;
    for (const { service, weight } of targets) {
      const credit = (credits.get(service) ?? 0) + weight;
      credits.set(service, credit);
      total += weight;
      if (weight > 0 && credit > bestCredit) {
        best = service;
        bestCredit = credit;
      }
    }
    if (best !== undefined) credits.set(best, bestCredit - total);
    return best;
  }

  /** Removes the credits of routes that no longer exist. */
  evictRoutes(routeNames: ReadonlySet<string>): void {
    evictMissing(this.credits, routeNames);
  }

  private getCredits(route: MeshRoute): Map<ServiceName, number> {
    let credits = this.credits.get(route.name);
    if (!credits) {
      // Random initial credits, so that nodes do not all choose the same service at the same time.
      credits = new Map(
        route.targets.map(({ service, weight }) => [service, Math.random() * weight]),
      );
      this.credits.set(route.name, credits);
    }
    return credits;
  }
}

/** Returns the route of the host with the longest path prefix that matches. */
export function matchRoute(
  config: MeshConfig,
  hostHeader: string | undefined,
  path: string,
): MeshRoute | undefined {
  const host = (hostHeader ?? '').replace(/:\d+$/, '').toLowerCase();
  const pathWithoutQuery = path.split('?', 1)[0]!;
  const ofHost = config.routes.get(host);
  return ofHost && findLongestPrefix(ofHost, pathWithoutQuery);
}
