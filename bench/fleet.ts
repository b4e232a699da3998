/** A running mesh with announced instances and a publisher of configuration. */
import { waitMs } from '../src/utils/backoff.js';
import { createRandom } from '../standins/random.js';
import { startMesh, type Mesh, type MeshHost, type Topology } from '../standins/launcher.js';
import { startAnnouncer } from '../standins/upstream/announcer.js';
import type { ConfigContent } from '../src/core/config/renderSite.js';
import { findInstalledAtMs } from './installLog.js';
import { createPublisher, type Accepted, type Publisher } from './publisher.js';

/** What the benchmarks measure on. */
export interface Fleet {
  readonly mesh: Mesh;
  readonly publisher: Publisher;
  readonly random: () => number;
  /**
   * Waits until the nodes enforce a version and returns the milliseconds from acceptance to
   * enforcement of each. Throws when a node takes longer than the limit.
   */
  waitInForce(accepted: Accepted, limitMs: number, hosts?: readonly MeshHost[]): Promise<number[]>;
  stop(): Promise<void>;
}

const POLL_MS = 20;
const START_LIMIT_MS = 90_000;
/** Nodes started at a time; 96 at once exceeded the launcher's 20 s on a loaded machine. */
const START_BATCH = 8;
/** Port announced for upstreams that are never called. */
const UNUSED_PORT = 9;

/** Announces the instance of a host from this process, so that no upstream process is needed. */
function announceHost(host: MeshHost) {
  const { address, instanceId, service } = host;
  return startAnnouncer(host.announceUrl, () => ({
    instanceId,
    service: service.service,
    host: address,
    port: UNUSED_PORT,
    slots: service.slots,
    state: 'ready',
    busy: 0,
  }));
}

/** Starts a fleet and waits until all of it enforces a first version. */
export async function startFleet(topology: Topology, content: ConfigContent): Promise<Fleet> {
  const mesh = await startMesh(topology, { nodes: false, upstreams: false });
  const publisher = createPublisher(mesh.platformUrl, content);
  const announcers = mesh.hosts.map(announceHost);

  const waitInForce: Fleet['waitInForce'] = async (accepted, limitMs, hosts = mesh.hosts) => {
    const endMs = Date.now() + limitMs;
    const latencies = new Map<string, number>();
    for (;;) {
      for (const { nodeId } of hosts) {
        if (latencies.has(nodeId)) continue;
        const log = mesh.getProcess(nodeId).getLog();
        const atMs = findInstalledAtMs(log, accepted.version);
        if (atMs !== undefined) latencies.set(nodeId, atMs - accepted.atMs);
      }
      if (latencies.size === hosts.length) return [...latencies.values()];
      if (Date.now() > endMs) {
        const late = hosts.map(({ nodeId }) => nodeId).filter((id) => !latencies.has(id));
        throw new Error(`version ${accepted.version} not in force in ${limitMs} ms: ${late}`);
      }
      await waitMs(POLL_MS);
    }
  };
  const stop = async () => {
    await Promise.all(announcers.map((announcer) => announcer.stop()));
    await publisher.close();
    await mesh.stop();
  };
  try {
    for (let first = 0; first < mesh.hosts.length; first += START_BATCH) {
      const batch = mesh.hosts.slice(first, first + START_BATCH);
      await Promise.all(batch.map(({ nodeId }) => mesh.start(nodeId)));
    }
    await publisher.publish();
    await mesh.waitReady(undefined, START_LIMIT_MS);
  } catch (thrown) {
    await stop();
    throw thrown;
  }
  return { mesh, publisher, random: createRandom(topology.seed ?? 1), waitInForce, stop };
}
