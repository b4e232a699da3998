/** Validation of a configuration, run before it is accepted and before it is compiled. */
import type { MeshConfig } from '../../generated/types.js';
import { validateConfig, validateOverlay } from '../../generated/validators.js';
import { checkSchema, type SchemaFault } from './checkSchema.js';
import { getAtPath, type ConfigFault, type JsonPath } from './configFault.js';
import { isJsonObject } from './diffContent.js';
import { findAmbiguousRoutes } from './matchRoutes.js';
import { renderSite, RESERVED_KEYS, type ConfigContent, type JsonObject } from './renderSite.js';
import { suggestName } from './suggestName.js';

/** All validation faults, and the valid rendered sites with defaults filled in. */
export interface CheckedConfig {
  readonly faults: readonly ConfigFault[];
  /** By site; the empty name is the base, which data centres without an overlay use. */
  readonly sites: ReadonlyMap<string, MeshConfig>;
}

const SITE_NAME = /^[a-z0-9][a-z0-9-]{0,62}$/;

function findReservedKeys(value: unknown, path: JsonPath): SchemaFault[] {
  if (value === null || typeof value !== 'object') return [];
  return Object.keys(value).flatMap((key) => {
    const inner = [...path, key];
    if (!RESERVED_KEYS.includes(key)) {
      return findReservedKeys((value as JsonObject)[key], inner);
    }
    const message = `"${key}" cannot be merged and is reserved`;
    return [{ path: inner, atKey: true, message, expected: 'another name' }];
  });
}

function hasReservedKey(content: ConfigContent): boolean {
  return [content.base, ...Object.values(content.overlays)].some(
    (layer) => findReservedKeys(layer, []).length > 0,
  );
}

/** Returns the services and those routes whose fields have the types that comparisons need. */
function extractComparableConfig({ services, routes }: JsonObject): MeshConfig {
  const comparableRoutes = Object.entries(isJsonObject(routes) ? routes : {}).filter(
    ([, route]) => {
      const prefix = getAtPath(route, ['match', 'pathPrefix']);
      const authority = getAtPath(route, ['match', 'authority']) ?? '';
      const methods = getAtPath(route, ['match', 'methods']) ?? [];
      const texts = [prefix, authority, getAtPath(route, ['service'])];
      return texts.every((text) => typeof text === 'string') && Array.isArray(methods);
    },
  );
  const definedServices = isJsonObject(services) ? services : {};
  return { services: definedServices, routes: Object.fromEntries(comparableRoutes) } as MeshConfig;
}

function checkReferences(config: MeshConfig, overlay: JsonObject | undefined): SchemaFault[] {
  const services = Object.keys(config.services);
  const faults: SchemaFault[] = [];
  for (const [name, route] of Object.entries(config.routes)) {
    if (Object.hasOwn(config.services, route.service)) continue;
    if (getAtPath(overlay, ['services', route.service]) === null) {
      faults.push({
        path: ['services', route.service],
        atKey: false,
        message: `service "${route.service}" is deleted, but route "${name}" uses it`,
        expected: `a service, or route "${name}" deleted or changed to another service`,
      });
      continue;
    }
    const suggestion = suggestName(route.service, services);
    faults.push({
      path: ['routes', name, 'service'],
      atKey: false,
      message: `service "${route.service}" is not defined`,
      expected: suggestion ? `"${suggestion}"` : 'the name of a defined service',
    });
  }
  return faults;
}

function checkMatches(config: MeshConfig): SchemaFault[] {
  return findAmbiguousRoutes(config.routes).map(([first, second]) => ({
    path: ['routes', second, 'match'],
    atKey: false,
    message: `matches the same requests as route "${first}"`,
    expected: 'another authority, path prefix or set of methods',
  }));
}

/** Assigns a fault to the overlay when it sets or deletes the value, otherwise to the base. */
function locateFault(fault: SchemaFault, overlay: unknown, site: string): ConfigFault {
  return { ...fault, site: getAtPath(overlay, fault.path) === undefined ? '' : site };
}

/** Adds a fault unless it is listed already: a fault of the base occurs in every rendered site. */
function addFault(faults: ConfigFault[], fault: ConfigFault): void {
  const isListed = faults.some(
    (other) =>
      other.site === fault.site &&
      other.message === fault.message &&
      JSON.stringify(other.path) === JSON.stringify(fault.path),
  );
  if (!isListed) faults.push(fault);
}

/** Checks the base for reserved names and each overlay separately, without rendering sites. */
export function checkLayers(content: ConfigContent): ConfigFault[] {
  const faults: ConfigFault[] = [];
  const addAll = (site: string, found: readonly SchemaFault[]) => {
    found.forEach((fault) => addFault(faults, { ...fault, site }));
  };
  for (const [site, layer] of [['', content.base] as const, ...Object.entries(content.overlays)]) {
    addAll(site, findReservedKeys(layer, []));
    if (site !== '') addAll(site, checkSchema(validateOverlay, structuredClone(layer)));
    if (site !== '' && !SITE_NAME.test(site)) {
      const message = `invalid site name "${site}"`;
      const expected = 'the name of a data centre: lower-case letters, digits and hyphens';
      addFault(faults, { site, path: [], atKey: false, message, expected });
    }
  }
  return faults;
}

/**
 * Checks the base, every overlay and every rendered site, and lists every fault. A node checks all
 * sites, not only its own, so that a version is valid at every site or at none.
 */
export function checkConfig(content: ConfigContent): CheckedConfig {
  const faults = checkLayers(content);
  const sites = new Map<string, MeshConfig>();
  if (hasReservedKey(content)) return { faults, sites };
  for (const site of ['', ...Object.keys(content.overlays)]) {
    const overlay = content.overlays[site];
    const rendered = renderSite(content, site);
    const found = checkSchema(validateConfig, rendered);
    if (found.length === 0) sites.set(site, rendered as unknown as MeshConfig);
    const config = extractComparableConfig(rendered);
    found.push(...checkReferences(config, overlay), ...checkMatches(config));
    for (const fault of found) addFault(faults, locateFault(fault, overlay, site));
  }
  return { faults, sites };
}
