/** Table of the routes of a configuration, grouped for matching. */
import type { RouteName } from '../types/ids.js';
import type { MeshConfig, MeshRoute } from './model.js';

/** Groups routes by host and sorts those of each host by descending prefix length. */
export function buildRouteTable(
  routes: Iterable<MeshRoute>,
): ReadonlyMap<string, readonly MeshRoute[]> {
  const table = new Map<string, MeshRoute[]>();
  for (const route of routes) {
    const ofHost = table.get(route.host);
    if (ofHost) ofHost.push(route);
    else table.set(route.host, [route]);
  }
  for (const ofHost of table.values()) {
    ofHost.sort((one, other) => other.pathPrefix.length - one.pathPrefix.length);
  }
  return table;
}

/** Returns the routes of a configuration by name. */
export function mapRoutes({ routes }: MeshConfig): Map<RouteName, MeshRoute> {
  const byName = new Map<RouteName, MeshRoute>();
  for (const ofHost of routes.values()) {
    for (const route of ofHost) byName.set(route.name, route);
  }
  return byName;
}
