/** Nodes as processes, each with an instance and fault proxies, and the store that they share. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { CONFIG_KIND, CONFIG_NAME } from '../../platform/names.js';
import { FaultProxy } from '../../standins/mesh/faultProxy.js';
import { findFreePorts } from '../../standins/launcher/ports.js';
import { InstanceServer } from '../../standins/mesh/instanceServer.js';
import { buildConfiguration, type FleetRoute } from '../../standins/mesh/configuration.js';
import { sendHttp } from '../../standins/mesh/meshFleet.js';
import {
  ANNOUNCEMENT_PORT_INDEX,
  startNodeProcess,
  writeSettings,
  type NodeProcess,
  type NodeProcessOptions,
} from '../../standins/mesh/nodeProcess.js';
import { StoreServer } from '../../standins/mesh/storeServer.js';

const HEARTBEAT_INTERVAL_MS = 500;

/** Execution time of a request at an instance without a fault. */
export const EXECUTION_TIME_MS = 20;

const INSTANCE_CAPACITY = 4;
const PORTS_PER_NODE = 4;
const INSTANCE_START_INTERVAL_MS = 1000;

/** Number of earlier versions whose routes stay in the configuration. */
const MAX_PREVIOUS_ROUTES = 20;

const DATA_CENTRES = ['a', 'b', 'c'];

const ROUTES: readonly FleetRoute[] = [
  { prefix: '/read/', service: 'guide', kind: 'safe' },
  { prefix: '/book/', service: 'pads', kind: 'unsafe', priority: 0 },
];

/** One host of the soak. */
export interface SoakHost {
  readonly options: NodeProcessOptions;
  readonly instanceProxy: FaultProxy;
  readonly storeProxy: FaultProxy;
  readonly instance: InstanceServer;
  node: NodeProcess;
  state: 'ready' | 'draining' | 'deregistered';
  startedAtMs: number;
  sequence: number;
  /** Incremented at each restart, so that versions of an earlier process are not compared. */
  processNumber: number;
}

/** Restarts the node of a host, unless another fault has restarted it since `ended` ended. */
export function restartNode(host: SoakHost, ended: NodeProcess): void {
  if (host.node !== ended) return;
  const { processNumber } = host;
  Object.assign(host, {
    node: startNodeProcess(host.options),
    processNumber: processNumber + 1,
  });
}

async function announce(host: SoakHost, call: string, body: string): Promise<boolean> {
  const path = `/instances/${host.instance.instanceId}/${call}`;
  const request = { path, id: '', method: 'POST', body };
  // The node is down; a later heartbeat reaches its replacement.
  const response = await sendHttp(host.options.ports[ANNOUNCEMENT_PORT_INDEX]!, request).catch(
    () => undefined,
  );
  return response?.status === 200;
}

/** Deregisters an instance without a prior drain; returns whether the node acknowledged it. */
export function deregister(host: SoakHost): Promise<boolean> {
  return announce(host, 'deregister', JSON.stringify({ born: host.startedAtMs }));
}

/** Sends a heartbeat; returns whether the node acknowledged it. */
export function sendHeartbeat(host: SoakHost): Promise<boolean> {
  const sequence = host.sequence + 1;
  Object.assign(host, { sequence });
  const body = JSON.stringify({
    Service: host.options.service,
    Address: `127.0.0.1:${host.options.instancePort}`,
    Capacity: INSTANCE_CAPACITY,
    State: host.state === 'ready' ? 'ready' : 'draining',
    Sequence: sequence,
    born: host.startedAtMs,
  });
  return announce(host, 'heartbeat', body);
}

/** A fleet of node processes. */
export class SoakFleet {
  readonly store = new StoreServer();

  readonly hosts: SoakHost[] = [];

  version = 1;

  /** Time at which the current version was written. */
  versionWrittenAtMs = performance.now();

  private folder = '';

  private heartbeatTimer: NodeJS.Timeout | undefined;

  private latestStartedAtMs = INSTANCE_START_INTERVAL_MS;

  async start(count: number): Promise<void> {
    this.folder = await mkdtemp(join(tmpdir(), 'lycheelane-soak-'));
    const storePort = await this.store.listen();
    this.writeVersion();
    for (let index = 0; index < count; index += 1) await this.addHost(index, storePort);
    this.heartbeatTimer = setInterval(() => {
      for (const host of this.hosts) if (host.state !== 'deregistered') void sendHeartbeat(host);
    }, HEARTBEAT_INTERVAL_MS);
  }

  /** Writes the next version, with an additional route that identifies it. */
  writeNextVersion(): void {
    this.version += 1;
    this.versionWrittenAtMs = performance.now();
    this.writeVersion();
  }

  /** Writes the current version, also once more, as the operator does after a restored store. */
  writeVersion(): void {
    const currentRoute = { prefix: `/v${this.version}/`, service: 'guide' };
    const previousRoutes = Array.from({ length: this.version - 1 }, (_, index) => ({
      prefix: `/v${index + 1}/`,
      service: 'guide',
    }));
    const routes = [...ROUTES, ...previousRoutes.slice(-MAX_PREVIOUS_ROUTES), currentRoute];
    this.store.put(CONFIG_KIND, CONFIG_NAME, buildConfiguration(this.version, routes));
  }

  /** Replaces the instance of a host by a new instance at the same address. */
  replaceInstance(host: SoakHost): void {
    this.latestStartedAtMs += INSTANCE_START_INTERVAL_MS;
    const instanceId = `${host.options.name}-${this.latestStartedAtMs}`;
    Object.assign(host.instance, { instanceId, isLeaving: false });
    Object.assign(host, { state: 'ready', startedAtMs: this.latestStartedAtMs, sequence: 0 });
  }

  async stop(): Promise<void> {
    clearInterval(this.heartbeatTimer);
    for (const { node, instance, instanceProxy, storeProxy } of this.hosts) {
      node.process.kill('SIGKILL');
      await node.exited;
      await Promise.all([instanceProxy.close(), storeProxy.close(), instance.close()]);
    }
    await this.store.close();
    await rm(this.folder, { recursive: true });
  }

  private async addHost(index: number, storePort: number): Promise<void> {
    const name = `node-${index}`;
    const instance = new InstanceServer(`${name}-0`);
    instance.executionTimeMs = EXECUTION_TIME_MS;
    const instanceProxy = new FaultProxy(await instance.listen());
    const storeProxy = new FaultProxy(storePort);
    const options: NodeProcessOptions = {
      folder: this.folder,
      name,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
      service: index % 2 === 0 ? 'guide' : 'pads',
      instancePort: await instanceProxy.listen(),
      storePort: await storeProxy.listen(),
      ports: await findFreePorts('127.0.0.1', PORTS_PER_NODE),
    };
    await writeSettings(options);
    this.hosts.push({
      options,
      instanceProxy,
      storeProxy,
      instance,
      node: startNodeProcess(options),
      state: 'ready',
      startedAtMs: this.latestStartedAtMs,
      sequence: 0,
      processNumber: 0,
    });
  }
}
