/** In-process test mesh: a store, instances, and nodes with the platform's adapter. */
import { request as sendRequest, type Agent } from 'node:http';
import { createAdapter } from '../../platform/adapter.js';
import { CONFIG_KIND, CONFIG_NAME } from '../../platform/names.js';
import { SILENT_LOG, type EventLog } from '../../src/mesh/eventLog.js';
import type { MeshSettings } from '../../src/mesh/model.js';
import { startMeshNode, type MeshNode } from '../../src/mesh/node.js';
import { brandText } from '../../src/types/ids.js';
import { findFreePorts } from '../launcher/ports.js';
import {
  buildConfiguration,
  DEFAULT_REQUEST_TIMEOUT_MS,
  type FleetAccount,
  type FleetRoute,
} from './configuration.js';
import { FaultProxy } from './faultProxy.js';
import { InstanceServer } from './instanceServer.js';
import { SlowLink } from './slowLink.js';
import { StoreServer } from './storeServer.js';

const HOST = '127.0.0.1';
const HEARTBEAT_INTERVAL_MS = 200;
const POLL_INTERVAL_MS = 20;
/** Covers the time over which nodes batch changes before they apply them. */
const CHANGE_BATCH_WAIT_MS = 500;
const MAX_PROBES_PER_HOST = 400;
const PORTS_PER_NODE = 4;
const INSTANCE_STARTED_AT_MS = 1000;
const DEFAULT_SLOTS = 4;
const DEFAULT_VERSION = 'v1';
const STOP_LIMIT_MS = 6000;
const MEMORY_MB = 350;
const MAX_FDS = 4096;
const STALL_MS = 60_000;
/** Time after which a silent connection must not hide a change any more. */
export const SILENCE_LIMIT_MS = 3000;
const DEFAULT_LINK_MBPS = 1000;
/** Bytes per second of a bandwidth of 1 Mbit/s. */
const BYTES_PER_S_PER_MBPS = 125_000;
const RETRY_BUDGET = { ratio: 0.2, windowMs: 10_000, extra: 60 };
const SPILL_OVER_POLICY = { waitShare: 0.5, spillRank: 99 };

/** One host: a node and its local instance. */
export interface FleetHost {
  readonly settings: MeshSettings;
  /** Link to the store; undefined for a host without a limited bandwidth. */
  readonly link: SlowLink | undefined;
  /** Proxy of this host to the store, or to its link; undefined without one. */
  readonly proxy: FaultProxy | undefined;
  node: MeshNode;
  instance: InstanceServer;
  /** Whether the fleet sends periodic heartbeats for the instance. */
  isSendingHeartbeats: boolean;
  state: 'ready' | 'draining';
  /** Version that the instance announces. */
  readonly version: string;
  slots: number;
  sequence: number;
  startedAtMs: number;
}

/** Options of a host. */
export interface HostOptions {
  readonly slots?: number;
  /** Version of the instance. */
  readonly version?: string;
  readonly log?: EventLog;
  /** Bandwidth of the link of the host; applied to the bytes from the store. */
  readonly linkMbps?: number;
  /** True when the host reaches the store through a proxy of its own. */
  readonly hasOwnProxy?: boolean;
  /** Settings that the host has besides the common ones. */
  readonly policies?: Pick<MeshSettings, 'revocation' | 'quota' | 'rollout'>;
}

/** Response that a test received. */
export interface FleetResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** Options of one request. */
export interface FleetRequest {
  readonly path: string;
  readonly id: string;
  readonly method?: string;
  readonly body?: string;
  readonly deadlineMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Agent for connection reuse; by default each request opens a new connection. */
  readonly agent?: Agent;
}

/** Sends one HTTP request; rejects if the connection fails. */
export function sendHttp(
  port: number,
  {
    path,
    id,
    method = 'GET',
    body = '',
    deadlineMs = DEFAULT_REQUEST_TIMEOUT_MS,
    headers = {},
    agent,
  }: FleetRequest,
): Promise<FleetResponse> {
  return new Promise((resolve, reject) => {
    const request = sendRequest(
      {
        host: HOST,
        port,
        path,
        method,
        agent: agent ?? false,
        headers: {
          Host: 'mesh.example',
          'X-Lycheelane-Request-Attempt-Id': id,
          'X-Lycheelane-Deadline-Ms': String(deadlineMs),
          ...headers,
        },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () => {
          const { statusCode = 0 } = response;
          const text = Buffer.concat(chunks).toString();
          resolve({ status: statusCode, headers: response.headers, body: text });
        });
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}

function startNode(settings: MeshSettings, log: EventLog): Promise<MeshNode> {
  return startMeshNode({
    adapter: createAdapter(() => settings.store),
    getSettings: () => settings,
    log,
    metricsAddress: { host: HOST, port: 0 },
    metricsPath: '/metrics',
  });
}

/** Starts a new node for a host, as after a crash. */
export async function restartNode(host: FleetHost): Promise<void> {
  const current = host;
  current.node = await startNode(host.settings, SILENT_LOG);
}

function setHealth(instance: InstanceServer, isGood: boolean): void {
  Object.assign(instance, { health: isGood ? 'good' : 'bad' });
}

/** Changes the state and slots that the instance announces, or its heartbeats. */
export function updateHost(
  host: FleetHost,
  change: Partial<Pick<FleetHost, 'state' | 'isSendingHeartbeats' | 'slots' | 'startedAtMs'>>,
): void {
  Object.assign(host, change);
  if (change.state !== undefined) setHealth(host.instance, change.state === 'ready');
}

/** Sends a request to the call port of a host. */
export function sendToHost(host: FleetHost, request: FleetRequest): Promise<FleetResponse> {
  return sendHttp(host.settings.ports.calls.port, request);
}

async function announce(host: FleetHost, path: string, body: string): Promise<number> {
  const { port } = host.settings.ports.announcements;
  try {
    const response = await sendHttp(port, { path, id: '', method: 'POST', body });
    return response.status;
  } catch {
    // The node is down; a later heartbeat reaches its replacement.
    return 0;
  }
}

/** Sends one heartbeat and returns the status of the response. */
export async function sendHeartbeat(
  host: FleetHost,
  change: Readonly<Record<string, unknown>> = {},
): Promise<number> {
  const current = host;
  current.sequence += 1;
  const { settings, instance } = host;
  const body = JSON.stringify({
    Service: settings.service,
    Address: `${HOST}:${settings.instanceAddress.port}`,
    Zone: settings.dataCentre,
    Version: host.version,
    Capacity: host.slots,
    State: host.state,
    WarmupLeft: '0ms',
    Sequence: host.sequence,
    born: host.startedAtMs,
    ...change,
  });
  return announce(host, `/instances/${instance.instanceId}/heartbeat`, body);
}

/** Deregisters the instance of a host and returns the status of the response. */
export function deregister(host: FleetHost): Promise<number> {
  setHealth(host.instance, false);
  const path = `/instances/${host.instance.instanceId}/deregister`;
  return announce(host, path, JSON.stringify({ born: host.startedAtMs }));
}

/** Waits in real time, unaffected by a simulated clock. */
export function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Hosts of a mesh that share one store. */
export class MeshFleet {
  readonly store = new StoreServer();

  readonly hosts: FleetHost[] = [];

  private storePort = 0;

  private storeProxy: FaultProxy | undefined;

  private heartbeatTimer: NodeJS.Timeout | undefined;

  /** Starts the store with a configuration, and the periodic heartbeats. */
  async start(
    routes: readonly FleetRoute[],
    accounts: readonly FleetAccount[] = [],
  ): Promise<void> {
    this.storePort = await this.store.listen();
    this.configure(1, routes, accounts);
    this.heartbeatTimer = setInterval(() => {
      for (const host of this.hosts) if (host.isSendingHeartbeats) void sendHeartbeat(host);
    }, HEARTBEAT_INTERVAL_MS);
  }

  configure(
    version: number,
    routes: readonly FleetRoute[],
    accounts: readonly FleetAccount[] = [],
  ): void {
    const configuration = buildConfiguration(version, routes, undefined, accounts);
    this.store.put(CONFIG_KIND, CONFIG_NAME, configuration);
  }

  /** Puts a proxy between the store and the hosts that are added from now on. */
  async interposeStoreProxy(): Promise<FaultProxy> {
    this.storeProxy = new FaultProxy(this.storePort);
    this.storePort = await this.storeProxy.listen();
    return this.storeProxy;
  }

  /** Adds a host and waits until its instance is listed. */
  async addHost(
    service: string,
    dataCentre = 'a',
    {
      slots = DEFAULT_SLOTS,
      version = DEFAULT_VERSION,
      log = SILENT_LOG,
      linkMbps,
      hasOwnProxy = false,
      policies = {},
    }: HostOptions = {},
  ): Promise<FleetHost> {
    const name = `host-${this.hosts.length}`;
    const instance = new InstanceServer(`i-${this.hosts.length}`);
    const instancePort = await instance.listen();
    const ports = await findFreePorts(HOST, PORTS_PER_NODE);
    const [calls, peers, ready, announcements] = ports.map((port) => ({ host: HOST, port }));
    const link =
      linkMbps === undefined
        ? undefined
        : new SlowLink(this.storePort, linkMbps * BYTES_PER_S_PER_MBPS);
    const linkPort = (await link?.listen()) ?? this.storePort;
    const proxy = hasOwnProxy ? new FaultProxy(linkPort) : undefined;
    const storePort = (await proxy?.listen()) ?? linkPort;
    const settings: MeshSettings = {
      nodeId: brandText(name),
      dataCentre: brandText(dataCentre),
      service: brandText(service),
      instanceAddress: { host: HOST, port: instancePort },
      ports: {
        calls: calls!,
        peers: peers!,
        ready: ready!,
        announcements: announcements!,
      },
      store: { host: HOST, port: storePort },
      linkMbps: linkMbps ?? DEFAULT_LINK_MBPS,
      memoryMb: MEMORY_MB,
      maxFds: MAX_FDS,
      stallMs: STALL_MS,
      silenceLimitMs: SILENCE_LIMIT_MS,
      stopLimitMs: STOP_LIMIT_MS,
      retryBudget: RETRY_BUDGET,
      spillOverPolicy: SPILL_OVER_POLICY,
      ...policies,
    };
    const host: FleetHost = {
      settings,
      link,
      proxy,
      node: await startNode(settings, log),
      instance,
      isSendingHeartbeats: true,
      state: 'ready',
      version,
      slots,
      sequence: 0,
      startedAtMs: INSTANCE_STARTED_AT_MS,
    };
    this.hosts.push(host);
    await sendHeartbeat(host);
    return host;
  }

  /** Waits until the store lists the instances of all hosts and every node has applied the list. */
  async waitForRecords(): Promise<void> {
    const isListed = ({ settings }: FleetHost) =>
      this.store.get('lycheelane-nodes', String(settings.nodeId)) !== undefined;
    while (!this.hosts.every(isListed)) await wait(POLL_INTERVAL_MS);
    await wait(CHANGE_BATCH_WAIT_MS);
  }

  /** Waits until every host has routed a request on `path` to each of the instances `ids`. */
  async waitForInstances(path: string, ids: readonly string[]): Promise<void> {
    for (const host of this.hosts) {
      const seen = new Set<string>();
      for (
        let probeCount = 0;
        probeCount < MAX_PROBES_PER_HOST && seen.size < ids.length;
        probeCount += 1
      ) {
        const sent = { path, id: `probe-${host.settings.nodeId}-${probeCount}` };
        const response = await sendHttp(host.settings.ports.calls.port, sent);
        const instanceId = /^(\S+) ran/.exec(response.body)?.[1];
        if (instanceId !== undefined && ids.includes(instanceId)) seen.add(instanceId);
        else await wait(POLL_INTERVAL_MS);
      }
      if (seen.size < ids.length) throw new Error(`not all of ${ids.join()} are in use`);
    }
  }

  /** Closes all nodes, the instances and the store. */
  async close(): Promise<void> {
    clearInterval(this.heartbeatTimer);
    for (const { node, instance, link, proxy } of this.hosts) {
      await node.close();
      await instance.close();
      await proxy?.close();
      await link?.close();
    }
    await this.storeProxy?.close();
    await this.store.close();
  }
}
