/** Compiled, immutable form of one configuration version for one site. */
import type { RouteConfig, ServiceConfig } from '../generated/types.js';
import type { ConfigVersion, DataCentre, Digest, RouteName, ServiceName } from './ids.js';

/** A route with its service reference resolved. */
export interface CompiledRoute {
  readonly name: RouteName;
  readonly config: RouteConfig;
  readonly service: CompiledService;
}

/** A service with all defaults applied. */
export interface CompiledService {
  readonly name: ServiceName;
  readonly config: ServiceConfig;
}

/** Routes and services of one version. A call uses the state that it started with to its end. */
export interface RoutingState {
  readonly version: ConfigVersion;
  readonly digest: Digest;
  readonly site: DataCentre;
  readonly routes: ReadonlyMap<RouteName, CompiledRoute>;
  readonly services: ReadonlyMap<ServiceName, CompiledService>;
  /** Returns the most specific route: routes that name the host first, then the longest prefix. */
  matchRoute(host: string, path: string, method: string): CompiledRoute | undefined;
}
