/** What a mesh of separate processes consists of, and the hosts and addresses that follow. */
import type { Settings } from '../../src/generated/types.js';
import { FIRST_DATA_CENTRE_AREA, PLATFORM_AREA, formatLink } from '../network/links.js';

/** Instances of one service in one data centre; each gets a host with a node of its own. */
export interface ServicePlan {
  readonly service: string;
  readonly instances: number;
  readonly slots: number;
  /** Mean work time of a request in milliseconds. */
  readonly workMs?: number;
  /** Time in state `starting` in milliseconds. */
  readonly startMs?: number;
  readonly coldStartMs?: number;
  readonly drainMs?: number;
}

/** One data centre. */
export interface DataCentrePlan {
  readonly name: string;
  readonly region: string;
  readonly services: readonly ServicePlan[];
}

/** Settings of nodes that a topology may change. */
export type NodeSettings = Partial<
  Pick<
    Settings,
    'distribution' | 'membership' | 'calls' | 'announcementTtlMs' | 'logLevel' | 'platformUrl'
  >
>;

/** A mesh to start. */
export interface Topology {
  readonly dataCentres: readonly DataCentrePlan[];
  /** One-way delay between data centres in milliseconds; 0 when absent. */
  readonly oneWayMs?: number;
  /** One-way delays that differ, by names of data centres or `platform`, in milliseconds. */
  readonly delays?: readonly { readonly between: readonly [string, string]; readonly ms: number }[];
  readonly seed?: number;
  /** Changes to the settings of every node; sections are given with only what differs. */
  readonly nodeSettings?: {
    readonly [Key in keyof NodeSettings]?: Partial<NodeSettings[Key]> | NodeSettings[Key];
  };
}

/** One host with its node and its upstream. */
export interface HostPlan {
  readonly nodeId: string;
  readonly instanceId: string;
  readonly dataCentre: DataCentrePlan;
  readonly address: string;
  readonly service: ServicePlan;
  readonly seed: number;
}

/** Address of the platform. */
export const PLATFORM_ADDRESS = `127.${PLATFORM_AREA}.0.1`;

/** Largest number of hosts in a data centre, by the last part of their addresses. */
const MAX_HOSTS = 254;

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
          seed: (topology.seed ?? 1) * 1000 + hosts.length,
        });
      }
    }
  }
  return hosts;
}

/** Returns the area of a data centre or of `platform`. */
export function getArea(topology: Topology, name: string): number {
  if (name === 'platform') return PLATFORM_AREA;
  const index = topology.dataCentres.findIndex((dataCentre) => dataCentre.name === name);
  if (index < 0) throw new RangeError(`no data centre ${name}`);
  return FIRST_DATA_CENTRE_AREA + index;
}

/** Returns the delays that differ by link name. */
export function listLinkDelays(topology: Topology): Record<string, number> {
  return Object.fromEntries(
    (topology.delays ?? []).map(({ between: [one, other], ms }) => [
      formatLink(getArea(topology, one), getArea(topology, other)),
      ms,
    ]),
  );
}
