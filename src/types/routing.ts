/** The compiled, immutable form of one configuration version for one site. */
import type { RouteConfig, ServiceConfig } from '../generated/types.js';
import type { ConfigVersion, DataCentre, Digest, RouteName, ServiceName } from './ids.js';

/** A route whose service reference was verified at compile time. */
export interface CompiledRoute {
  readonly name: RouteName;
  readonly config: RouteConfig;
  readonly service: CompiledService;
}

/** A service with all defaults filled in. */
export interface CompiledService {
  readonly name: ServiceName;
  readonly config: ServiceConfig;
}

/** Everything a call needs. A call keeps the state it started with. */
export interface RoutingState {
  readonly version: ConfigVersion;
  readonly digest: Digest;
  readonly site: DataCentre;
  readonly routes: ReadonlyMap<RouteName, CompiledRoute>;
  readonly services: ReadonlyMap<ServiceName, CompiledService>;
  /** Returns the most specific matching route: host match first, then the longest prefix. */
  matchRoute(host: string, path: string, method: string): CompiledRoute | undefined;
}
