/** A mesh of the design size on the fakes, with the bytes of its control messages. */
import type { MemberRecord } from '../../src/generated/types.js';
import type { ServiceName } from '../../src/types/ids.js';
import { advance, waitAdvancing } from './clock.js';
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
/** Start time of the first processes, with as many digits as a real one. */
const FIRST_START_MS = 1_764_000_000_000;
const JOIN_LIMIT_MS = 120_000;

/** Bytes and messages of one node between two moments, by direction and type. */
export type Traffic = Readonly<Record<string, number>>;

/** A mesh with nodes in several data centres. */
export interface LargeMesh extends TestMesh {
  readonly nodes: TestNode[];
  /** Stops the process of a node without a farewell. */
  kill(node: TestNode): Promise<void>;
  /** Starts a process on the host of a node that was killed; resolves when it serves. */
  restart(node: TestNode): Promise<TestNode>;
  /** Advances until the condition holds and returns the milliseconds, or throws at the limit. */
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
  return Math.floor(port / 1000) - 1;
}

export function getRegion(port: number): number {
  return getSite(port) % REGIONS;
}

/** True when all nodes hold the same table. */
export function isAgreed(nodes: readonly TestNode[], count: number): boolean {
  return nodes.every(({ members }) => {
    const alive = members.listMembers().filter(({ verdict }) => verdict === 'alive');
    return alive.length === count;
  });
}

/** Starts a mesh; nodes of site `s` have the ports from `1000 * (s + 1)`. */
export async function startLargeMesh(sites: number, nodesPerSite: number): Promise<LargeMesh> {
  const mesh = createTestMesh();
  mesh.network.isRecording = false;
  acceptBundle(mesh.platform, buildBundle(1));
  const nodes: TestNode[] = [];
  let starts = 0;

  const startNode = (port: number, part: Partial<MemberRecord> = {}): TestNode => {
    const site = getSite(port);
    const seeds = [1000 * (site + 1), 1000 * (site + 1) + 1, 1000];
    starts += 1;
    const startMs = FIRST_START_MS + starts;
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

  /** Publishes what a daemon publishes after its start: its instance, then that it serves. */
  const restart = async ({ port }: TestNode): Promise<TestNode> => {
    const node = startNode(port, { state: 'joining', instances: [] });
    await node.members.joined;
    node.members.updateSelf({ instances: [buildInstance(port)] });
    node.members.updateSelf({ state: 'serving' });
    return node;
  };

  const kill = async (node: TestNode) => {
    nodes.splice(nodes.indexOf(node), 1);
    await waitAdvancing(node.stop());
  };

  const waitUntil = async (what: string, isDone: () => boolean, limitMs: number) => {
    const startMs = Date.now();
    while (!isDone()) {
      if (Date.now() - startMs >= limitMs) throw new Error(`${what} took over ${limitMs} ms`);
      await advance(100, 100);
    }
    return Date.now() - startMs;
  };

  for (let site = 0; site < sites; site += 1) {
    for (let index = 0; index < nodesPerSite; index += 1) startNode(1000 * (site + 1) + index);
    await advance(1000, 100);
  }
  await waitUntil('joining', () => isAgreed(nodes, sites * nodesPerSite), JOIN_LIMIT_MS);
  return {
    ...mesh,
    nodes,
    kill,
    restart,
    waitUntil,
    stop: async () => {
      await waitAdvancing(Promise.all(nodes.map((node) => node.stop())));
    },
  };
}

/** Returns the bytes of a snapshot of counters. */
export function toBytes(snapshot: ReturnType<TestNode['counters']['snapshot']>): Traffic {
  return Object.fromEntries(Object.entries(snapshot).map(([type, { bytes }]) => [type, bytes]));
}

/** Returns a function that gives the bytes of each node since this call, by direction and type. */
export function startTraffic(nodes: readonly TestNode[]): (node: TestNode) => Traffic {
  const before = new Map(nodes.map((node) => [node, toBytes(node.counters.snapshot())]));
  return (node) => {
    const start = before.get(node) ?? {};
    const total = Object.entries(toBytes(node.counters.snapshot()));
    return Object.fromEntries(total.map(([type, bytes]) => [type, bytes - (start[type] ?? 0)]));
  };
}

/** Sums the bytes of all types, or of those that match. */
export function sumTraffic(traffic: Traffic, pattern = /./): number {
  return Object.entries(traffic)
    .filter(([type]) => pattern.test(type))
    .reduce((sum, [, bytes]) => sum + bytes, 0);
}
