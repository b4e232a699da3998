/** Table of the routes of a configuration, grouped for matching. */
import type { MeshRoute } from './model.js';

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
