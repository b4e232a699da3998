/** Guards for the parts of a configuration that another node sends. */
import { isAmount, isName, MAX_DURATION_MS } from '../utils/boundedValues.js';
import type { CallerLimits, HealthPath, MeshRoute, RouteTarget } from './model.js';

function isDurationMs(value: unknown): value is number {
  return isAmount(value, MAX_DURATION_MS);
}

function isRouteTarget(value: unknown): value is RouteTarget {
  const { service, weight } = (value ?? {}) as Partial<RouteTarget>;
  return isName(service) && isAmount(weight);
}

export function isMeshRoute(value: unknown): value is MeshRoute {
  const route = (value ?? {}) as Partial<MeshRoute>;
  return (
    [route.name, route.host, route.pathPrefix].every(isName) &&
    Array.isArray(route.targets) &&
    route.targets.every(isRouteTarget) &&
    typeof route.isIdempotent === 'boolean' &&
    isDurationMs(route.timeoutMs) &&
    isDurationMs(route.objectiveMs) &&
    isAmount(route.maxAttempts) &&
    isAmount(route.priority) &&
    (route.allowsAnonymous === undefined || typeof route.allowsAnonymous === 'boolean')
  );
}

/** True for a path that can be sent in a request line. */
function isRequestPath(value: unknown): value is string {
  return typeof value === 'string' && /^\/[\x21-\x7e]{0,1023}$/.test(value);
}

export function isHealthPath(value: unknown): value is HealthPath {
  const { service, path } = (value ?? {}) as Partial<HealthPath>;
  return isName(service) && isRequestPath(path);
}

export function isCallerLimits(value: unknown): value is CallerLimits {
  const limits = (value ?? {}) as Partial<CallerLimits>;
  return (
    isAmount(limits.maxHeaderBytes) &&
    isAmount(limits.maxBodyBytes) &&
    isDurationMs(limits.headerTimeoutMs) &&
    isDurationMs(limits.idleTimeoutMs)
  );
}
