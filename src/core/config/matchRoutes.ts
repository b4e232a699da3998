/** Route matching by authority, then by the longest path prefix at a segment boundary. */
import type { MeshConfig, RouteConfig } from '../../generated/types.js';
import type { CompiledRoute } from '../../types/routing.js';

/** Finds the route of a request. */
export type RouteMatcher = (
  host: string,
  path: string,
  method: string,
) => CompiledRoute | undefined;

/** Returns the authority in lower case, without port and trailing dot. */
function normalizeAuthority(host: string): string {
  return host.toLowerCase().replace(/:\d*$/, '').replace(/\.$/, '');
}

/** Returns a prefix without trailing slashes; `/` becomes the empty string. */
function normalizePrefix(prefix: string): string {
  return prefix.replace(/\/+$/, '');
}

function decodeUnreserved(path: string): string {
  return path.replace(/%[0-9a-f]{2}/gi, (code) => {
    const char = String.fromCharCode(Number.parseInt(code.slice(1), 16));
    return /[\w.~-]/.test(char) ? char : code.toUpperCase();
  });
}

/**
 * Returns the path as an upstream would resolve it (RFC 3986, section 6.2.2), or undefined when it
 * has dot segments or backslashes. Without this, `/search/../bookings` or `/%62ookings` would reach
 * a `once` resource by a `repeatable` route.
 */
function normalizePath(target: string): string | undefined {
  const [raw = ''] = target.split(/[?#]/, 1);
  const path = raw.includes('%') ? decodeUnreserved(raw) : raw;
  if (!path.startsWith('/') || path.includes('\\') || /\/\.{1,2}(\/|$)/.test(path)) {
    return undefined;
  }
  return normalizePrefix(path.replace(/\/{2,}/g, '/'));
}

function hasMethod(config: RouteConfig, method: string): boolean {
  return config.match.methods === undefined || config.match.methods.includes(method);
}

function buildMatchKey({ match }: RouteConfig): string {
  const prefix = normalizePrefix(match.pathPrefix);
  return `${normalizeAuthority(match.authority ?? '')} ${prefix}`;
}

function hasCommonMethod(a: RouteConfig, b: RouteConfig): boolean {
  const { methods } = a.match;
  return methods === undefined || methods.some((method) => hasMethod(b, method));
}

/** Lists pairs of routes that match some of the same requests with the same precedence. */
export function findAmbiguousRoutes(routes: MeshConfig['routes']): [string, string][] {
  const pairs: [string, string][] = [];
  const byKey = new Map<string, [string, RouteConfig][]>();
  for (const [name, route] of Object.entries(routes)) {
    const group = byKey.get(buildMatchKey(route)) ?? [];
    const ambiguous = group.find(([, other]) => hasCommonMethod(other, route));
    if (ambiguous) pairs.push([ambiguous[0], name]);
    byKey.set(buildMatchKey(route), [...group, [name, route]]);
  }
  return pairs;
}

type RouteIndex = ReadonlyMap<string, readonly CompiledRoute[]>;

function findLongestPrefix(index: RouteIndex, authority: string, path: string, method: string) {
  let prefix = path;
  for (;;) {
    const route = index
      .get(`${authority} ${prefix}`)
      ?.find(({ config }) => hasMethod(config, method));
    if (route || prefix === '') return route;
    prefix = prefix.slice(0, prefix.lastIndexOf('/'));
  }
}

/** Builds a matcher whose cost per request depends only on the number of path segments. */
export function buildRouteMatcher(routes: Iterable<CompiledRoute>): RouteMatcher {
  const index = new Map<string, CompiledRoute[]>();
  for (const route of routes) {
    const key = buildMatchKey(route.config);
    index.set(key, [...(index.get(key) ?? []), route]);
  }
  return (host, target, method) => {
    const path = normalizePath(target);
    if (path === undefined) return undefined;
    const authority = normalizeAuthority(host);
    const authorityRoute =
      authority === '' ? undefined : findLongestPrefix(index, authority, path, method);
    return authorityRoute ?? findLongestPrefix(index, '', path, method);
  };
}
