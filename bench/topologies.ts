/** Meshes that the benchmarks start. */
import type { NodeSettings, Topology } from '../standins/launcher/topology.js';

/** How configuration reaches the nodes; `direct` is the baseline. */
export type Mode = 'relay' | 'direct';

/** Services of the design size, all of which are in the configuration. */
export const SERVICES = 58;
/** Instances of a service at the design size: 540 in 58 services. */
const INSTANCES_PER_SERVICE = 540 / 58;

function buildNodeSettings(mode: Mode): NodeSettings {
  return { distribution: { mode } as NonNullable<NodeSettings['distribution']>, logLevel: 'info' };
}

/** Spreads nodes evenly over data centres, with as many services as such a fleet would have. */
export function buildTopology(
  nodes: number,
  dataCentres: number,
  mode: Mode,
  seed: number,
): Topology {
  if (nodes < dataCentres) throw new RangeError(`${nodes} nodes for ${dataCentres} data centres`);
  const services = Math.max(1, Math.round(nodes / INSTANCES_PER_SERVICE));
  const sites = Array.from({ length: dataCentres }, (_, site) => {
    const own = Array.from({ length: nodes }, (__, node) => node).filter(
      (node) => node % dataCentres === site,
    );
    const counts = new Map<string, number>();
    for (const node of own) {
      const service = `service-${Math.floor(node / dataCentres) % services}`;
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    return {
      name: `dc-${site}`,
      region: 'region-0',
      services: [...counts].map(([service, instances]) => ({ service, instances, slots: 10 })),
    };
  });
  return { dataCentres: sites, oneWayMs: 1.5, seed, nodeSettings: buildNodeSettings(mode) };
}

/** Sets the mode of a topology. */
export function setMode(topology: Topology, mode: Mode): Topology {
  return { ...topology, nodeSettings: { ...topology.nodeSettings, ...buildNodeSettings(mode) } };
}

/** Builds a base configuration of the design size. */
export function buildBase(): Record<string, unknown> {
  const services: Record<string, unknown> = {};
  const routes: Record<string, unknown> = {};
  for (let index = 0; index < SERVICES; index += 1) {
    const service = `service-${index}`;
    services[service] = {
      slots: 10,
      maxConnections: 120,
      queueLimit: 20,
      coldStartMs: 2000,
      drainMs: 10_000,
      outlier: { consecutiveFailures: 5, ejectMs: 2000, maxEjectedPercent: 50 },
    };
    for (const kind of ['read', 'write']) {
      routes[`${service}-${kind}`] = {
        match: {
          pathPrefix: `/${service}/${kind}`,
          methods: kind === 'read' ? ['GET', 'HEAD'] : ['POST'],
        },
        service,
        repeatability: kind === 'read' ? 'repeatable' : 'once',
        priority: 'normal',
        timeoutMs: 5000,
        retry: { maxAttempts: 3, budgetPercent: 10 },
        spillOver: true,
      };
    }
  }
  return { services, routes };
}
