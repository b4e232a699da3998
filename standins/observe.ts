/** Reads what the nodes of a mesh report about themselves. */
import type { RouteExplanation } from '../src/core/calls/explain.js';
import { waitMs } from '../src/utils/backoff.js';
import { requestJson, type Mesh, type MeshHost } from './launcher.js';

/** The part of `GET /v1/status` that demo, soak and bench read. */
export interface NodeView {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly version: number;
  readonly ready: boolean;
  readonly state: string;
  readonly relay: boolean;
  readonly members: { readonly alive: number; readonly suspect: number; readonly dead: number };
  readonly control: Readonly<Record<string, { readonly messages: number; readonly bytes: number }>>;
  readonly process: {
    readonly cpuPercent: number;
    readonly residentBytes: number;
    readonly uptimeMs: number;
  };
}

/** Reads the status of one node; undefined when it does not answer. */
export async function readNode(host: MeshHost): Promise<NodeView | undefined> {
  try {
    return await requestJson<NodeView>(`${host.operatorUrl}/v1/status`);
  } catch {
    return undefined;
  }
}

/** Returns the control bytes that a node has sent and received. */
export function computeControlBytes(view: NodeView): number {
  return Object.values(view.control).reduce((sum, { bytes }) => sum + bytes, 0);
}

/** Times at which a version was accepted and in force, on the `performance.now` scale. */
export interface Convergence {
  readonly acceptedMs: number;
  readonly inForceMs: number;
}

const POLL_MS = 10;

async function poll(
  isDone: () => Promise<boolean>,
  limitMs: number,
  what: string,
): Promise<number> {
  const endMs = performance.now() + limitMs;
  while (!(await isDone())) {
    if (performance.now() > endMs) throw new Error(`${what}: not in ${limitMs} ms`);
    await waitMs(POLL_MS);
  }
  return performance.now();
}

/** Waits until the test holds for every host of the mesh and returns when the last one passed. */
async function pollHosts(
  mesh: Mesh,
  isDone: (host: MeshHost) => Promise<boolean>,
  limitMs: number,
  what: string,
): Promise<number> {
  const waiting = new Set(mesh.hosts);
  const isEvery = async () => {
    await Promise.all(
      [...waiting].map(async (host) => {
        if (await isDone(host)) waiting.delete(host);
      }),
    );
    return waiting.size === 0;
  };
  return poll(isEvery, limitMs, what);
}

/** Reads how a node would route; undefined when it does not answer or lacks the route. */
export async function explainRoute(
  host: MeshHost,
  route: string,
): Promise<RouteExplanation | undefined> {
  try {
    return await requestJson(`${host.operatorUrl}/v1/explain?route=${route}`);
  } catch {
    return undefined;
  }
}

/** Waits until every node can choose every instance of the route's service. */
export async function waitForInstances(mesh: Mesh, route: string, limitMs: number): Promise<void> {
  const isComplete = async (host: MeshHost) => {
    const explained = await explainRoute(host, route);
    if (explained === undefined) return false;
    const usable = explained.nodes.filter((node) => node.score !== undefined);
    const { service } = explained;
    return usable.length === mesh.hosts.filter((one) => one.service.service === service).length;
  };
  await pollHosts(mesh, isComplete, limitMs, `instances of route ${route} known everywhere`);
}

/** Waits until the platform has a version and then until every node reports it. */
export async function measureConvergence(
  mesh: Mesh,
  version: number,
  limitMs: number,
): Promise<Convergence> {
  const isAccepted = async () => {
    const url = `${mesh.platformUrl}/v1/objects/config/head`;
    return (await requestJson<{ version: number }>(url)).version >= version;
  };
  const acceptedMs = await poll(isAccepted, limitMs, `version ${version} accepted`);
  const isInstalled = async (host: MeshHost) => ((await readNode(host))?.version ?? 0) >= version;
  const inForceMs = await pollHosts(mesh, isInstalled, limitMs, `version ${version} in force`);
  return { acceptedMs, inForceMs };
}
