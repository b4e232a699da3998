/** Finds the route of a host with the longest matching prefix without comparing each of them. */
import type { MeshRoute } from './model.js';

interface RouteIndex {
  /** Lengths of the prefixes in descending order. */
  readonly lengths: readonly number[];
  readonly byPrefix: ReadonlyMap<string, MeshRoute>;
}

/** Indexes of the tables in use; each version of the configuration has tables of its own. */
const indexes = new WeakMap<readonly MeshRoute[], RouteIndex>();

function buildIndex(routes: readonly MeshRoute[]): RouteIndex {
  const byPrefix = new Map<string, MeshRoute>();
  for (const route of routes) {
    if (!byPrefix.has(route.pathPrefix)) byPrefix.set(route.pathPrefix, route);
  }
  const lengths = new Set(routes.map(({ pathPrefix }) => pathPrefix.length));
  return { lengths: [...lengths].sort((a, b) => b - a), byPrefix };
}

function getIndex(routes: readonly MeshRoute[]): RouteIndex {
  let index = indexes.get(routes);
  if (!index) {
    index = buildIndex(routes);
    indexes.set(routes, index);
  }
  return index;
}

/** Returns the route with the longest prefix of `path`; among equal prefixes, the first route. */
export function findLongestPrefix(
  routes: readonly MeshRoute[],
  path: string,
): MeshRoute | undefined {
  const { lengths, byPrefix } = getIndex(routes);
  for (const length of lengths) {
    const route = length <= path.length ? byPrefix.get(path.slice(0, length)) : undefined;
    if (route) return route;
  }
  return undefined;
}
