/** Topology of a mesh of separate processes, with its hosts and addresses. */
import type { Settings } from '../../src/generated/types.js';
import { FIRST_DATA_CENTRE_AREA, PLATFORM_AREA, formatLink } from '../network/links.js';

/** Instances of one service in one data centre; each has a host with its own node. */
export interface ServicePlan {
  readonly service: string;
  readonly instances: number;
  readonly slots: number;
  /** Mean processing time of a request in milliseconds. */
  readonly workMs?: number;
  /** Time in state `starting` in milliseconds. */
  readonly startMs?: number;
  readonly coldStartMs?: number;
  readonly drainMs?: number;
}

export interface DataCentrePlan {
  readonly name: string;
  readonly region: string;
  readonly services: readonly ServicePlan[];
}

/** Node settings that a topology can override. */
export type NodeSettings = Partial<
  Pick<
    Settings,
    'distribution' | 'membership' | 'calls' | 'announcementTtlMs' | 'logLevel' | 'platformUrl'
  >
>;

/** Configuration of a mesh, as in a topology file. */
export interface Topology {
  readonly dataCentres: readonly DataCentrePlan[];
  /** One-way delay between data centres in milliseconds; 0 when absent. */
  readonly oneWayMs?: number;
  /** Overrides of `oneWayMs` between two data centres, or a data centre and `platform`. */
  readonly delays?: readonly { readonly between: readonly [string, string]; readonly ms: number }[];
  readonly seed?: number;
  /** Overrides of the settings of every node; a section contains only the keys that differ. */
  readonly nodeSettings?: {
    readonly [Key in keyof NodeSettings]?: Partial<NodeSettings[Key]> | NodeSettings[Key];
  };
}

/** A host with one node and one upstream. */
export interface HostPlan {
  readonly nodeId: string;
  readonly instanceId: string;
  readonly dataCentre: DataCentrePlan;
  readonly address: string;
  readonly service: ServicePlan;
  readonly seed: number;
}

export const PLATFORM_ADDRESS = `127.${PLATFORM_AREA}.0.1`;

/** Maximum number of hosts in a data centre; the last octet of the address is the host number. */
const MAX_HOSTS = 254;

/** Distance between the first host seeds of consecutive topology seeds. */
const SEED_STRIDE = 1000;

/** Lists the hosts of a topology. */
export function listHosts(topology: Topology): HostPlan[] {
  const hosts: HostPlan[] = [];
  for (const [index, dataCentre] of topology.dataCentres.entries()) {
    let host = 0;
    for (const service of dataCentre.services) {
      for (let instance = 1; instance <= service.instances; instance += 1) {
        host += 1;
        if (host > MAX_HOSTS) throw new RangeError(`${dataCentre.name}: over ${MAX_HOSTS} hosts`);
        hosts.push({
          nodeId: `${dataCentre.name}-${host}`,
          instanceId: `${service.service}-${dataCentre.name}-${host}`,
          dataCentre,
          address: `127.${FIRST_DATA_CENTRE_AREA + index}.0.${host}`,
          service,
          seed: (topology.seed ?? 1) * SEED_STRIDE + hosts.length,
        });
      }
    }
  }
  return hosts;
}

/** Returns the network area of a data centre or of `platform`. */
export function getArea(topology: Topology, name: string): number {
  if (name === 'platform') return PLATFORM_AREA;
  const index = topology.dataCentres.findIndex((dataCentre) => dataCentre.name === name);
  if (index < 0) throw new RangeError(`no data centre ${name}`);
  return FIRST_DATA_CENTRE_AREA + index;
}

/** Returns the overridden one-way delays by link name. */
export function listLinkDelays(topology: Topology): Record<string, number> {
  return Object.fromEntries(
    (topology.delays ?? []).map(({ between: [one, other], ms }) => [
      formatLink(getArea(topology, one), getArea(topology, other)),
      ms,
    ]),
  );
}
