/** Settings files of the nodes of a mesh. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { findFreePorts } from './ports.js';
import { listHosts, type HostPlan, type Topology } from './topology.js';

/** A host and the ports of its node. */
export interface PlannedHost extends HostPlan {
  readonly callPort: number;
  readonly peerPort: number;
  readonly announcePort: number;
  readonly operatorPort: number;
}

/** Number of seed addresses in the settings of a node. */
const SEED_COUNT = 3;

/** Selects free ports for the nodes of all hosts. */
export async function planHosts(topology: Topology): Promise<PlannedHost[]> {
  return Promise.all(
    listHosts(topology).map(async (host) => {
      const ports = (await findFreePorts(host.address, 4)) as [number, number, number, number];
      const [callPort, peerPort, announcePort, operatorPort] = ports;
      return { ...host, callPort, peerPort, announcePort, operatorPort };
    }),
  );
}

/** Returns seed addresses: the first hosts of the same data centre and one of another. */
function listSeeds(hosts: readonly PlannedHost[], own: PlannedHost) {
  const others = hosts.filter((host) => host.nodeId !== own.nodeId);
  const sameDataCentre = others
    .filter((host) => host.dataCentre === own.dataCentre)
    .slice(0, SEED_COUNT - 1);
  const otherDataCentres = others.filter((host) => host.dataCentre !== own.dataCentre).slice(0, 1);
  return [...sameDataCentre, ...otherDataCentres].map(({ address, peerPort }) => ({
    host: address,
    port: peerPort,
  }));
}

/** Writes the settings file of one node and returns its path. */
export async function writeNodeSettings(
  folder: string,
  topology: Topology,
  hosts: readonly PlannedHost[],
  host: PlannedHost,
  platformUrl: string,
): Promise<string> {
  const { nodeId, dataCentre, address, callPort, peerPort, announcePort, operatorPort } = host;
  const path = join(folder, `${nodeId}.json`);
  const settings = {
    nodeId,
    dataCentre: dataCentre.name,
    region: dataCentre.region,
    host: address,
    callPort,
    peerPort,
    announcePort,
    operatorPort,
    operatorHost: address,
    announceHost: address,
    platformUrl,
    seeds: listSeeds(hosts, host),
    ...topology.nodeSettings,
  };
  await writeFile(path, JSON.stringify(settings, undefined, 2));
  return path;
}
