/** Starts a mesh of separate processes for demo, tests, soak and bench, and stops all of it. */
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { buildError } from '../src/errors.js';
import { waitMs } from '../src/utils/backoff.js';
import { registerFolder, removeFolder } from './launcher/children.js';
import { requestJson, requestStatus } from './launcher/control.js';
import { ManagedProcess, type ProcessExit } from './launcher/managedProcess.js';
import { planHosts, writeNodeSettings, type PlannedHost } from './launcher/nodeFiles.js';
import { findFreePorts } from './launcher/ports.js';
import { PLATFORM_ADDRESS, getArea, listLinkDelays, type Topology } from './launcher/topology.js';
import { formatLink } from './network/links.js';
import type { PlatformStats } from './platform/counters.js';
import type { PlatformFaults } from './platform/faults.js';
import type { UpstreamBehaviour } from './upstream/behaviour.js';
import type { UpstreamStats } from './upstream/server.js';

export { runCommand, type CommandResult } from './launcher/commandLine.js';
export { requestJson } from './launcher/control.js';
export type { Topology } from './launcher/topology.js';

/** A host of a running mesh with the addresses of its processes. */
export interface MeshHost extends PlannedHost {
  readonly callUrl: string;
  readonly operatorUrl: string;
  readonly announceUrl: string;
  /** Address of the upstream, which keeps its port over restarts. */
  readonly upstreamUrl: string;
  /** File to which the upstream appends its runs. */
  readonly runLog: string;
}

/** Which parts are started at once; the others can be started later by id. */
export interface MeshParts {
  readonly nodes?: boolean;
  readonly upstreams?: boolean;
}

/** A running mesh. Process ids are `platform`, the node ids and the instance ids. */
export interface Mesh {
  readonly topology: Topology;
  /** Temporary folder, removed by `stop`. */
  readonly folder: string;
  readonly platformUrl: string;
  readonly hosts: readonly MeshHost[];
  getProcess(id: string): ManagedProcess;
  /** Starts a process that does not run. */
  start(id: string): Promise<void>;
  /** Sends SIGKILL and waits for the end. */
  kill(id: string): Promise<ProcessExit>;
  /** Sends SIGTERM and waits for the end. */
  terminate(id: string): Promise<ProcessExit>;
  /** Terminates the process if it runs and starts it again. */
  restart(id: string): Promise<void>;
  /** Sends SIGSTOP; false when the process does not run. */
  freeze(id: string): boolean;
  /** Sends SIGCONT. */
  thaw(id: string): boolean;
  /** Replaces the cuts; each is a pair of data centre names or `platform`. */
  setCuts(pairs: readonly (readonly [string, string])[]): Promise<void>;
  setPlatformFaults(change: Partial<PlatformFaults>): Promise<void>;
  readPlatformStats(): Promise<PlatformStats>;
  setBehaviour(instanceId: string, change: Partial<UpstreamBehaviour>): Promise<void>;
  readUpstreamStats(instanceId: string): Promise<UpstreamStats>;
  /** Polls `/healthz` until the nodes are ready; all nodes when none is named. */
  waitReady(nodeIds?: readonly string[], limitMs?: number): Promise<void>;
  /** Stops every process and removes the folder. */
  stop(): Promise<void>;
}

const DAEMON = fileURLToPath(new URL('../src/daemon.js', import.meta.url));
/** As in the first line of the daemon's executable. */
const DAEMON_NODE_ARGS = ['--max-semi-space-size=4'];
const PLATFORM = fileURLToPath(new URL('./platform/main.js', import.meta.url));
const UPSTREAM = fileURLToPath(new URL('./upstream/main.js', import.meta.url));
const POLL_MS = 50;
const READY_LIMIT_MS = 30_000;

async function planMeshHosts(topology: Topology, folder: string): Promise<MeshHost[]> {
  const hosts = await planHosts(topology);
  return Promise.all(
    hosts.map(async (host) => {
      const { address } = host;
      const [upstreamPort] = await findFreePorts(address, 1);
      return {
        ...host,
        callUrl: `http://${address}:${host.callPort}`,
        operatorUrl: `http://${address}:${host.operatorPort}`,
        announceUrl: `http://${address}:${host.announcePort}`,
        upstreamUrl: `http://${address}:${upstreamPort}`,
        runLog: join(folder, `${host.instanceId}.runs`),
      };
    }),
  );
}

function listUpstreamArgs({ service, ...host }: MeshHost): string[] {
  const options: Record<string, string | number> = {
    service: service.service,
    'instance-id': host.instanceId,
    host: host.address,
    port: new URL(host.upstreamUrl).port,
    slots: service.slots,
    'work-ms': service.workMs ?? 5,
    'start-ms': service.startMs ?? 0,
    'cold-start-ms': service.coldStartMs ?? 0,
    'drain-ms': service.drainMs ?? 10_000,
    seed: host.seed,
    announce: host.announceUrl,
    call: host.callUrl,
    'run-log': host.runLog,
  };
  return Object.entries(options).flatMap(([name, value]) => [`--${name}`, String(value)]);
}

/** Starts a mesh; everything that was started is stopped again when a part fails to start. */
export async function startMesh(topology: Topology, parts: MeshParts = {}): Promise<Mesh> {
  const folder = await mkdtemp(join(tmpdir(), 'lycheelane-'));
  registerFolder(folder);
  const hosts = await planMeshHosts(topology, folder);
  const [platformPort] = await findFreePorts(PLATFORM_ADDRESS, 1);
  const platformUrl = `http://${PLATFORM_ADDRESS}:${platformPort}`;
  const processes = new Map<string, ManagedProcess>();
  let cuts: readonly string[] = [];

  const addProcess = (id: string, address: string, script: string, args: readonly string[]) => {
    const nodeArgs = script === DAEMON ? DAEMON_NODE_ARGS : [];
    const links = listLinkDelays(topology);
    const network = { self: address, oneWayMs: topology.oneWayMs ?? 0, links };
    processes.set(id, new ManagedProcess({ id, script, args, nodeArgs, network }));
  };
  const platformArgs = ['--host', PLATFORM_ADDRESS, '--port', String(platformPort)];
  addProcess('platform', PLATFORM_ADDRESS, PLATFORM, platformArgs);
  for (const host of hosts) {
    const path = await writeNodeSettings(folder, topology, hosts, host, platformUrl);
    addProcess(host.nodeId, host.address, DAEMON, ['--settings', path]);
    addProcess(host.instanceId, host.address, UPSTREAM, listUpstreamArgs(host));
  }

  const getProcess = (id: string): ManagedProcess => {
    const found = processes.get(id);
    if (found === undefined) throw buildError('not-found', 'launcher', id, 'no such process');
    return found;
  };
  const start = async (id: string) => {
    await getProcess(id).start(cuts);
  };
  const end = (id: string, signal: NodeJS.Signals): Promise<ProcessExit> => {
    getProcess(id).sendSignal(signal);
    return getProcess(id).waitForExit();
  };
  const stop = async () => {
    for (const managed of processes.values()) managed.sendSignal('SIGKILL');
    await Promise.all([...processes.values()].map((managed) => managed.waitForExit()));
    removeFolder(folder);
  };
  const findHost = (instanceId: string): MeshHost => {
    const found = hosts.find((host) => host.instanceId === instanceId);
    if (found === undefined) throw buildError('not-found', 'launcher', instanceId, 'no such host');
    return found;
  };
  const waitReady = async (
    nodeIds = hosts.map((host) => host.nodeId),
    limitMs = READY_LIMIT_MS,
  ): Promise<void> => {
    const endMs = performance.now() + limitMs;
    const waiting = new Set(hosts.filter((host) => nodeIds.includes(host.nodeId)));
    while (waiting.size > 0) {
      for (const host of [...waiting]) {
        if ((await requestStatus(`${host.operatorUrl}/healthz`)) === 200) waiting.delete(host);
      }
      if (waiting.size > 0 && performance.now() > endMs) {
        const names = [...waiting].map((host) => host.nodeId).join(', ');
        throw buildError('timeout', 'launcher.ready', names, `not ready in ${limitMs} ms`);
      }
      if (waiting.size > 0) await waitMs(POLL_MS);
    }
  };

  try {
    await start('platform');
    if (parts.nodes ?? true) await Promise.all(hosts.map((host) => start(host.nodeId)));
    if (parts.upstreams ?? true) await Promise.all(hosts.map((host) => start(host.instanceId)));
  } catch (thrown) {
    await stop();
    throw thrown;
  }
  return {
    topology,
    folder,
    platformUrl,
    hosts,
    getProcess,
    start,
    kill: (id) => end(id, 'SIGKILL'),
    terminate: (id) => end(id, 'SIGTERM'),
    restart: async (id) => {
      await end(id, 'SIGTERM');
      await start(id);
    },
    freeze: (id) => getProcess(id).sendSignal('SIGSTOP'),
    thaw: (id) => getProcess(id).sendSignal('SIGCONT'),
    setCuts: async (pairs) => {
      cuts = pairs.map(([one, other]) =>
        formatLink(getArea(topology, one), getArea(topology, other)),
      );
      await Promise.all([...processes.values()].map((managed) => managed.setCuts(cuts)));
    },
    setPlatformFaults: async (change) => {
      await requestJson(`${platformUrl}/control/faults`, change);
    },
    readPlatformStats: () => requestJson(`${platformUrl}/control/stats`),
    setBehaviour: async (instanceId, change) => {
      await requestJson(`${findHost(instanceId).upstreamUrl}/control/behaviour`, change);
    },
    readUpstreamStats: (instanceId) =>
      requestJson(`${findHost(instanceId).upstreamUrl}/control/stats`),
    waitReady,
    stop,
  };
}
