/** The processes of the soak: nodes, each with an instance, behind proxies, and the store. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { CONFIG_KIND, CONFIG_NAME } from '../../platform/names.js';
import { FaultProxy } from '../../standins/mesh/faultProxy.js';
import { findFreePorts } from '../../standins/launcher/ports.js';
import { InstanceServer } from '../../standins/mesh/instanceServer.js';
import { buildConfiguration, sendHttp, type FleetRoute } from '../../standins/mesh/meshFleet.js';
import {
  startNodeProcess,
  writeSettings,
  type NodeProcess,
  type NodeProcessOptions,
} from '../../standins/mesh/nodeProcess.js';
import { StoreServer } from '../../standins/mesh/storeServer.js';

const HEARTBEAT_MS = 500;

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
  state: 'ready' | 'draining' | 'gone';
  bornMs: number;
  sequence: number;
  /** Number of the process, so that what an earlier one did is not held against it. */
  processNumber: number;
}

/** Starts the process of a host again, unless another fault has done so since `ended` ended. */
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
  // A node that is down gets the next heartbeat.
  const response = await sendHttp(host.options.ports[3]!, request).catch(() => undefined);
  return response?.status === 200;
}

/** Says that an instance leaves without a word before; true when it was acknowledged. */
export function deregister(host: SoakHost): Promise<boolean> {
  return announce(host, 'deregister', JSON.stringify({ born: host.bornMs }));
}

/** Sends a heartbeat; true when it was acknowledged. */
export function sendBeat(host: SoakHost): Promise<boolean> {
  const sequence = host.sequence + 1;
  Object.assign(host, { sequence });
  const body = JSON.stringify({
    Service: host.options.service,
    Address: `127.0.0.1:${host.options.instancePort}`,
    Capacity: 4,
    State: host.state === 'ready' ? 'ready' : 'draining',
    Sequence: sequence,
    born: host.bornMs,
  });
  return announce(host, 'heartbeat', body);
}

/** A fleet of node processes. */
export class SoakFleet {
  readonly store = new StoreServer();

  readonly hosts: SoakHost[] = [];

  version = 1;

  /** Instant at which the version was written. */
  versionAtMs = performance.now();

  private folder = '';

  private beatTimer: NodeJS.Timeout | undefined;

  private bornMs = 1000;

  async start(count: number): Promise<void> {
    this.folder = await mkdtemp(join(tmpdir(), 'lycheelane-soak-'));
    const storePort = await this.store.listen();
    this.writeVersion();
    for (let index = 0; index < count; index += 1) await this.addHost(index, storePort);
    this.beatTimer = setInterval(() => {
      for (const host of this.hosts) if (host.state !== 'gone') void sendBeat(host);
    }, HEARTBEAT_MS);
  }

  /** Writes the next version; it has a route of its own that shows it. */
  writeNextVersion(): void {
    this.version += 1;
    this.versionAtMs = performance.now();
    this.writeVersion();
  }

  /** Replaces the instance of a host by a new one at the same address. */
  replaceInstance(host: SoakHost): void {
    this.bornMs += 1000;
    const next = `${host.options.name}-${this.bornMs}`;
    Object.assign(host.instance, { instanceId: next });
    Object.assign(host, { state: 'ready', bornMs: this.bornMs, sequence: 0 });
  }

  async stop(): Promise<void> {
    clearInterval(this.beatTimer);
    for (const { node, instance, instanceProxy, storeProxy } of this.hosts) {
      node.process.kill('SIGKILL');
      await node.exited;
      await Promise.all([instanceProxy.close(), storeProxy.close(), instance.close()]);
    }
    await this.store.close();
    await rm(this.folder, { recursive: true });
  }

  private writeVersion(): void {
    const own = { prefix: `/v${this.version}/`, service: 'guide' };
    const versions = Array.from({ length: this.version - 1 }, (_, index) => ({
      prefix: `/v${index + 1}/`,
      service: 'guide',
    }));
    const routes = [...ROUTES, ...versions.slice(-20), own];
    this.store.put(CONFIG_KIND, CONFIG_NAME, buildConfiguration(this.version, routes));
  }

  private async addHost(index: number, storePort: number): Promise<void> {
    const name = `node-${index}`;
    const instance = new InstanceServer(`${name}-0`);
    instance.executionTimeMs = 20;
    const instanceProxy = new FaultProxy(await instance.listen());
    const storeProxy = new FaultProxy(storePort);
    const options: NodeProcessOptions = {
      folder: this.folder,
      name,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
      service: index % 2 === 0 ? 'guide' : 'pads',
      instancePort: await instanceProxy.listen(),
      storePort: await storeProxy.listen(),
      ports: await findFreePorts('127.0.0.1', 4),
    };
    await writeSettings(options);
    this.hosts.push({
      options,
      instanceProxy,
      storeProxy,
      instance,
      node: startNodeProcess(options),
      state: 'ready',
      bornMs: this.bornMs,
      sequence: 0,
      processNumber: 0,
    });
  }
}
