/** Chooses the service of a route by weight, and the route of a request. */
import type { ServiceName } from '../types/ids.js';
import { evictMissing } from '../utils/evictMissing.js';
import type { MeshConfig, MeshRoute } from './model.js';

/** Returns the names of all routes of a version. */
export function listRouteNames(config: MeshConfig): ReadonlySet<string> {
  return new Set([...config.routes.values()].flat().map((route) => route.name));
}

/** Smooth weighted round robin: each service gets its share within any few requests. */
export class TargetChooser {
  private readonly credits = new Map<string, Map<ServiceName, number>>();

  /** Returns the service that gets the next request of a route. */
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

  /** Drops the credits of routes that are gone. */
  evictRoutes(known: ReadonlySet<string>): void {
    evictMissing(this.credits, known);
  }

  private getCredits(route: MeshRoute): Map<ServiceName, number> {
    let credits = this.credits.get(route.name);
    if (!credits) {
      // A random start keeps the nodes from choosing the same service at the same time.
      credits = new Map(
        route.targets.map(({ service, weight }) => [service, Math.random() * weight]),
      );
      this.credits.set(route.name, credits);
    }
    return credits;
  }
}

/** Returns the route with the longest prefix of the path among those of the host. */
export function matchRoute(
  config: MeshConfig,
  hostHeader: string | undefined,
  path: string,
): MeshRoute | undefined {
  const host = (hostHeader ?? '').replace(/:\d+$/, '').toLowerCase();
  const plainPath = path.split('?', 1)[0]!;
  return config.routes.get(host)?.find((route) => plainPath.startsWith(route.pathPrefix));
}
