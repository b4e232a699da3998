/** Mesh of the design size on in-memory network and platform, with its control traffic. */
import type { MemberRecord } from '../../src/generated/types.js';
import type { ServiceName } from '../../src/types/ids.js';
import { advance, advanceUntilSettled } from './clock.js';
import {
  acceptBundle,
  buildBundle,
  createTestMesh,
  startTestNode,
  type TestMesh,
  type TestNode,
} from './nodes.js';

/** Data centres and regions of the design size. */
export const DATA_CENTRES = 10;
const REGIONS = 3;
/** Services of the design size. */
const SERVICES = 58;
/** Start time of the first process; has the digits of a current time, so message sizes are real. */
const FIRST_START_MS = 1_764_000_000_000;
const JOIN_TIMEOUT_MS = 120_000;
const STEP_MS = 100;
/** Time between the starts of two data centres. */
const SITE_START_INTERVAL_MS = 1000;
/** The nodes of site `s` have the ports from `PORTS_PER_SITE * (s + 1)`. */
const PORTS_PER_SITE = 1000;

/** Bytes of the control messages of one node in an interval, by direction and type. */
export type Traffic = Readonly<Record<string, number>>;

export interface LargeMesh extends TestMesh {
  readonly nodes: TestNode[];
  /** Stops the process of a node without announcing it to the members. */
  kill(node: TestNode): Promise<void>;
  /** Starts a process on the host of a killed node; resolves when it serves. */
  restart(node: TestNode): Promise<TestNode>;
  /** Advances the clock until the condition holds and returns the time, or throws at the limit. */
  waitUntil(what: string, isDone: () => boolean, limitMs: number): Promise<number>;
  stop(): Promise<void>;
}

function buildInstance(port: number) {
  const service = `service-${port % SERVICES}` as ServiceName;
  const readySinceMs = FIRST_START_MS;
  return {
    instanceId: `upstream-${port}`,
    service,
    slots: 10,
    state: 'ready' as const,
    readySinceMs,
  };
}

/** Returns the index of a node's data centre from its port. */
export function getSite(port: number): number {
  return Math.floor(port / PORTS_PER_SITE) - 1;
}

export function getRegion(port: number): number {
  return getSite(port) % REGIONS;
}

/** Returns true if every node has `count` members with the verdict `alive`. */
export function hasAllMembersAlive(nodes: readonly TestNode[], count: number): boolean {
  return nodes.every(({ members }) => {
    const alive = members.listMembers().filter(({ verdict }) => verdict === 'alive');
    return alive.length === count;
  });
}

/** Starts a mesh and waits until all nodes have joined. */
export async function startLargeMesh(sites: number, nodesPerSite: number): Promise<LargeMesh> {
  const mesh = createTestMesh();
  mesh.network.isRecording = false;
  acceptBundle(mesh.platform, buildBundle(1));
  const nodes: TestNode[] = [];
  let startCount = 0;

  const startNode = (port: number, part: Partial<MemberRecord> = {}): TestNode => {
    const site = getSite(port);
    const firstPort = PORTS_PER_SITE * (site + 1);
    const seeds = [firstPort, firstPort + 1, PORTS_PER_SITE];
    startCount += 1;
    const startMs = FIRST_START_MS + startCount;
    const name = `dc-${site}`;
    const node = startTestNode(mesh, port, name, seeds, startMs, (settings, self) => {
      const region = `region-${getRegion(port)}`;
      const incarnation = `${startMs}-0123456789`;
      Object.assign(settings, { region });
      Object.assign(self, { region, incarnation, instances: [buildInstance(port)], ...part });
    });
    nodes.push(node);
    return node;
  };

  /** Publishes the same updates as a starting daemon: first its instance, then `serving`. */
  const restart = async ({ port }: TestNode): Promise<TestNode> => {
    const node = startNode(port, { state: 'joining', instances: [] });
    await node.members.joined;
    node.members.updateSelf({ instances: [buildInstance(port)] });
    node.members.updateSelf({ state: 'serving' });
    return node;
  };

  const kill = async (node: TestNode) => {
    nodes.splice(nodes.indexOf(node), 1);
    await advanceUntilSettled(node.stop());
  };

  const waitUntil = async (what: string, isDone: () => boolean, limitMs: number) => {
    const startMs = Date.now();
    while (!isDone()) {
      if (Date.now() - startMs >= limitMs) throw new Error(`${what} took over ${limitMs} ms`);
      await advance(STEP_MS, STEP_MS);
    }
    return Date.now() - startMs;
  };

  for (let site = 0; site < sites; site += 1) {
    for (let index = 0; index < nodesPerSite; index += 1) {
      startNode(PORTS_PER_SITE * (site + 1) + index);
    }
    await advance(SITE_START_INTERVAL_MS, STEP_MS);
  }
  await waitUntil(
    'joining',
    () => hasAllMembersAlive(nodes, sites * nodesPerSite),
    JOIN_TIMEOUT_MS,
  );
  return {
    ...mesh,
    nodes,
    kill,
    restart,
    waitUntil,
    stop: async () => {
      await advanceUntilSettled(Promise.all(nodes.map((node) => node.stop())));
    },
  };
}

/** Extracts the bytes by type from a snapshot of counters. */
export function toTraffic(snapshot: ReturnType<TestNode['counters']['snapshot']>): Traffic {
  return Object.fromEntries(Object.entries(snapshot).map(([type, { bytes }]) => [type, bytes]));
}

/** Returns a function that measures the traffic of a node since this call. */
export function startTrafficMeasurement(nodes: readonly TestNode[]): (node: TestNode) => Traffic {
  const before = new Map(nodes.map((node) => [node, toTraffic(node.counters.snapshot())]));
  return (node) => {
    const start = before.get(node) ?? {};
    const total = Object.entries(toTraffic(node.counters.snapshot()));
    return Object.fromEntries(total.map(([type, bytes]) => [type, bytes - (start[type] ?? 0)]));
  };
}

/** Sums the bytes of all types that match the pattern. */
export function sumTraffic(traffic: Traffic, pattern = /./): number {
  return Object.entries(traffic)
    .filter(([type]) => pattern.test(type))
    .reduce((sum, [, bytes]) => sum + bytes, 0);
}
