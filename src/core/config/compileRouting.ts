/** Compilation of a bundle into the immutable routing state of a site. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import type { Bundle, MeshConfig } from '../../generated/types.js';
import { validateBundle } from '../../generated/validators.js';
import {
  brandText,
  brandVersion,
  type DataCentre,
  type Digest,
  type RouteName,
  type ServiceName,
} from '../../types/ids.js';
import type { CompiledRoute, CompiledService, RoutingState } from '../../types/routing.js';
import { hasDigest } from '../../utils/digest.js';
import { checkConfig } from './checkConfig.js';
import { formatFault } from './configFault.js';
import { freezeDeep, freezeMap } from './freezeDeep.js';
import { buildRouteMatcher } from './matchRoutes.js';

const STEP = 'config.compile';
/** Limits the size of a node's status; `config check` lists every fault. */
const MAX_REPORTED_FAULTS = 5;

function compileServices(config: MeshConfig): Map<ServiceName, CompiledService> {
  const services = new Map<ServiceName, CompiledService>();
  for (const [text, service] of Object.entries(config.services)) {
    const name = brandText<ServiceName>(text);
    services.set(name, freezeDeep({ name, config: service }));
  }
  return services;
}

function compileRoutes(
  config: MeshConfig,
  services: ReadonlyMap<ServiceName, CompiledService>,
): Result<Map<RouteName, CompiledRoute>, StepError> {
  const routes = new Map<RouteName, CompiledRoute>();
  for (const [text, route] of Object.entries(config.routes)) {
    const name = brandText<RouteName>(text);
    const service = services.get(brandText<ServiceName>(route.service));
    if (!service) {
      const message = `route ${name} refers to the undefined service ${route.service}`;
      return err(buildError('invalid', STEP, 'self', message));
    }
    routes.set(name, freezeDeep({ name, config: route, service }));
  }
  return ok(routes);
}

function buildState(bundle: Bundle, site: DataCentre, config: MeshConfig) {
  const services = compileServices(config);
  return compileRoutes(config, services).map((routes): RoutingState => {
    const matchRoute = buildRouteMatcher(routes.values());
    return Object.freeze({
      version: brandVersion(bundle.version),
      digest: brandText<Digest>(bundle.digest),
      site,
      routes: freezeMap(routes),
      services: freezeMap(services),
      matchRoute,
    });
  });
}

/**
 * Validates a bundle and compiles it for one site. Errors: `mismatch` when the digest does not
 * match the content, `invalid` with the first faults when any site is invalid.
 */
export function compileRouting(bundle: Bundle, site: DataCentre): Result<RoutingState, StepError> {
  if (!validateBundle(bundle)) {
    const [fault] = validateBundle.errors ?? [];
    const message = `malformed bundle: ${fault?.instancePath ?? ''} ${fault?.message ?? ''}`;
    return err(buildError('invalid', STEP, 'self', message));
  }
  const content = { base: bundle.base, overlays: bundle.overlays };
  if (!hasDigest(content, bundle.digest)) {
    const message = `the content does not match the digest ${bundle.digest}`;
    return err(buildError('mismatch', STEP, 'self', message));
  }
  const { faults, sites } = checkConfig(content);
  const config = sites.get(site) ?? sites.get('');
  if (faults.length > 0 || !config) {
    const listed = faults.slice(0, MAX_REPORTED_FAULTS).map(formatFault).join('; ');
    const message = `${faults.length} faults: ${listed}`;
    return err(buildError('invalid', STEP, 'self', message));
  }
  return buildState(bundle, site, config);
}
