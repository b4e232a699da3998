/** Meshes of real processes for the failure tests, stopped when their test ends. */
import type { TestContext } from 'node:test';
import { createHttpPlatform } from '../../src/core/platform/httpPlatform.js';
import type { NodeStatus } from '../../src/generated/types.js';
import { waitMs } from '../../src/utils/backoff.js';
import {
  createCaller,
  type Caller,
  type CallPlan,
  type CallResult,
} from '../../standins/caller.js';
import {
  requestJson,
  startMesh,
  type Mesh,
  type MeshHost,
  type Topology,
} from '../../standins/launcher.js';
import { waitForInstances, type NodeView } from '../../standins/observe.js';
import { loadRuns, type RunRecord } from '../../standins/upstream/ledger.js';
import { acceptNext } from '../config/samples.js';
import { waitForTurn } from './meshTurn.js';

/** HTTP authority of the test routes. */
export const AUTHORITY = 'pads.example';

/** Requests of the test routes. */
export const CALLS = {
  booking: { authority: AUTHORITY, method: 'POST', path: '/bookings' },
  browse: { authority: AUTHORITY, method: 'GET', path: '/pads' },
} as const;

/** Builds a topology with a data centre `dc<n>` for each count of padbook hosts. */
export function buildSites(...counts: readonly number[]): Topology {
  const dataCentres = counts.map((instances, index) => {
    const services = [{ service: 'padbook', instances, slots: 10, workMs: 0 }];
    return { name: `dc${index}`, region: 'here', services };
  });
  return { dataCentres };
}

/** Three hosts of one data centre. */
export const THREE_HOSTS = buildSites(3);

const SERVICE = { slots: 10, queueLimit: 20, drainMs: 8000 };
const RETRY = { maxAttempts: 3, budgetPercent: 100 };

/** Limit of waits for a condition; a healthy mesh needs a small part of it. */
const WAIT_LIMIT_MS = 12_000;
const POLL_MS = 25;

/** Builds a configuration; `timeoutMs` tells versions apart, `routes` adds or replaces routes. */
export function buildConfig(timeoutMs = 9000, routes: Readonly<Record<string, unknown>> = {}) {
  const route = { service: 'padbook', timeoutMs, retry: RETRY, spillOver: true };
  const base = {
    services: { padbook: SERVICE, skyguide: SERVICE },
    routes: {
      book: {
        ...route,
        match: { pathPrefix: '/bookings', methods: ['POST'] },
        repeatability: 'once',
      },
      browse: { ...route, match: { pathPrefix: '/pads' }, repeatability: 'repeatable' },
      ...routes,
    },
  };
  return { base, overlays: {} };
}

/** Status of one node with the parts that only failure tests read. */
export interface FaultView extends NodeView, Pick<NodeStatus, 'refusal'> {
  readonly floor: { readonly version: number } | undefined;
  readonly calls: { readonly inFlight: number; readonly abandoned: number };
}

/** Reads the status of one node; throws when it does not answer. */
export function readView(host: MeshHost): Promise<FaultView> {
  return requestJson<FaultView>(`${host.operatorUrl}/v1/status`);
}

/** Polls until the probe gives a value that is neither undefined nor false, and no error. */
export async function waitFor<Value>(
  what: string,
  probe: () => Promise<Value | undefined | false>,
  limitMs = WAIT_LIMIT_MS,
): Promise<Value> {
  const endMs = performance.now() + limitMs;
  let last: unknown;
  while (performance.now() < endMs) {
    try {
      const value = await probe();
      if (value !== undefined && value !== false) return value;
    } catch (thrown) {
      last = thrown;
    }
    await waitMs(POLL_MS);
  }
  throw new Error(`${what}: not in ${limitMs} ms (${String(last)})`);
}

/** A mesh under test. */
export interface FaultMesh extends Mesh {
  readonly caller: Caller;
  /** Has one more version accepted and returns it. */
  accept(config: ReturnType<typeof buildConfig>): Promise<number>;
  /** Returns a host by its place in the topology. */
  getHost(index: number): MeshHost;
  /** Sends a call through the node of a host. */
  send(
    entry: MeshHost,
    call: Omit<CallPlan, 'entryUrl' | 'callId'>,
    callId: string,
  ): Promise<CallResult>;
  /** All runs on the files of the upstreams, those of killed ones included. */
  listRuns(): RunRecord[];
  countRuns(callId: string): number;
}

/** Waits until the nodes of the hosts have the version and serve. */
export async function waitForVersion(hosts: readonly MeshHost[], version: number): Promise<void> {
  await waitFor(`version ${version} on ${hosts.map((host) => host.nodeId).join(' ')}`, async () => {
    const views = await Promise.all(hosts.map(readView));
    return views.every((view) => view.version === version && view.ready);
  });
}

/** Starts a mesh with version 1 in force and all instances known, stopped with the test. */
export async function startFaultMesh(t: TestContext, topology: Topology): Promise<FaultMesh> {
  await waitForTurn(t);
  const mesh = await startMesh({ seed: 11, ...topology });
  const caller = createCaller();
  t.after(async () => {
    await caller.close();
    await mesh.stop();
  });
  const getHost = (index: number): MeshHost => {
    const host = mesh.hosts[index];
    if (host === undefined) throw new RangeError(`no host ${index}`);
    return host;
  };
  const accept = async (config: ReturnType<typeof buildConfig>) => {
    const platform = createHttpPlatform(mesh.platformUrl);
    try {
      return (await acceptNext(platform, config)).bundle.version;
    } finally {
      await platform.close();
    }
  };
  const listRuns = () => mesh.hosts.flatMap((host) => loadRuns(host.runLog));
  await accept(buildConfig());
  await waitForVersion(mesh.hosts, 1);
  await waitForInstances(mesh, 'browse', WAIT_LIMIT_MS);
  return {
    ...mesh,
    caller,
    accept,
    getHost,
    send: (entry, call, callId) => caller.send({ ...call, entryUrl: entry.callUrl, callId }),
    listRuns,
    countRuns: (callId) => listRuns().filter((run) => run.callId === callId).length,
  };
}

/** Sets the time that every upstream adds to its work. */
export async function setLatency(mesh: Mesh, latencyMs: number): Promise<void> {
  await Promise.all(mesh.hosts.map((host) => mesh.setBehaviour(host.instanceId, { latencyMs })));
}
