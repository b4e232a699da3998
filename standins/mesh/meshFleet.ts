/** A small mesh in one process: a store, instances, and nodes with the platform's adapter. */
import { request as sendRequest, type Agent } from 'node:http';
import { createAdapter } from '../../platform/adapter.js';
import { CONFIG_KIND, CONFIG_NAME } from '../../platform/names.js';
import { SILENT_LOG, type EventLog } from '../../src/mesh/eventLog.js';
import type { MeshSettings } from '../../src/mesh/model.js';
import { startMeshNode, type MeshNode } from '../../src/mesh/node.js';
import { brandText } from '../../src/types/ids.js';
import { findFreePorts } from '../launcher/ports.js';
import { InstanceServer } from './instanceServer.js';
import { StoreServer } from './storeServer.js';

const HOST = '127.0.0.1';
const HEARTBEAT_MS = 200;

/** A route as a test states it. */
export interface FleetRoute {
  readonly prefix: string;
  readonly service?: string;
  readonly backends?: readonly { readonly Service: string; readonly Weight: number }[];
  readonly kind?: 'safe' | 'unsafe';
  readonly timeoutMs?: number;
  readonly objectiveMs?: number;
  readonly attempts?: number;
  readonly priority?: number;
}

/** Builds the value of `config/main`. */
export function buildConfiguration(version: number, routes: readonly FleetRoute[]): object {
  return {
    Version: version.toString(16).padStart(8, '0'),
    Resources: [
      ...routes.map((route, index) => ({
        EntryKind: 'Routes',
        Metadata: { Name: `r-${index}` },
        Spec: {
          Host: 'mesh.example',
          PathPrefix: route.prefix,
          Kind: route.kind ?? 'safe',
          Timeout: `${route.timeoutMs ?? 1500}ms`,
          TargetLatency: `${route.objectiveMs ?? 500}ms`,
          Priority: route.priority ?? 1,
          MaxAttempts: route.attempts ?? 2,
          ...(route.backends ? { Backends: route.backends } : { Service: route.service ?? 'pads' }),
        },
      })),
      {
        EntryKind: 'Limits',
        Metadata: {},
        Spec: {
          MaxHeaderBytes: 16384,
          MaxBodyBytes: 65536,
          HeaderTimeout: '3000ms',
          IdleTimeout: '15000ms',
        },
      },
    ],
  };
}

/** One host: a node and the instance beside it. */
export interface FleetHost {
  readonly settings: MeshSettings;
  node: MeshNode;
  instance: InstanceServer;
  /** Sends heartbeats when true. */
  isBeating: boolean;
  state: 'ready' | 'draining';
  slots: number;
  sequence: number;
  bornMs: number;
}

/** A response as a test sees it. */
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
  /** Connections to use; each request has one of its own by default. */
  readonly agent?: Agent;
}

/** Sends one HTTP request; rejects when the connection breaks. */
export function sendHttp(
  port: number,
  { path, id, method = 'GET', body = '', deadlineMs = 1500, headers = {}, agent }: FleetRequest,
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

/** Starts the node of a host again, as after a crash. */
export async function restartNode(host: FleetHost): Promise<void> {
  const current = host;
  current.node = await startNode(host.settings, SILENT_LOG);
}

/** Changes what the instance of a host says of itself, or how it behaves. */
export function changeHost(
  host: FleetHost,
  change: Partial<Pick<FleetHost, 'state' | 'isBeating' | 'slots'>>,
): void {
  Object.assign(host, change);
}

/** Sends a request to the call port of a host. */
export function sendTo(host: FleetHost, request: FleetRequest): Promise<FleetResponse> {
  return sendHttp(host.settings.ports.calls.port, request);
}

async function announce(host: FleetHost, path: string, body: string): Promise<number> {
  const { port } = host.settings.ports.announcements;
  try {
    const response = await sendHttp(port, { path, id: '', method: 'POST', body });
    return response.status;
  } catch {
    // The node is down; the next heartbeat finds the new one.
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
    Version: 'v1',
    Capacity: host.slots,
    State: host.state,
    WarmupLeft: '0ms',
    Sequence: host.sequence,
    born: host.bornMs,
    ...change,
  });
  return announce(host, `/instances/${instance.instanceId}/heartbeat`, body);
}

/** Says that the instance of a host leaves. */
export function deregister(host: FleetHost): Promise<number> {
  const path = `/instances/${host.instance.instanceId}/deregister`;
  return announce(host, path, JSON.stringify({ born: host.bornMs }));
}

/** Waits in real time. */
export function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** A mesh of hosts around one store. */
export class MeshFleet {
  readonly store = new StoreServer();

  readonly hosts: FleetHost[] = [];

  private storePort = 0;

  private beatTimer: NodeJS.Timeout | undefined;

  /** Opens the store with a configuration and starts to send heartbeats. */
  async start(routes: readonly FleetRoute[]): Promise<void> {
    this.storePort = await this.store.listen();
    this.store.put(CONFIG_KIND, CONFIG_NAME, buildConfiguration(1, routes));
    this.beatTimer = setInterval(() => {
      for (const host of this.hosts) if (host.isBeating) void sendHeartbeat(host);
    }, HEARTBEAT_MS);
  }

  configure(version: number, routes: readonly FleetRoute[]): void {
    this.store.put(CONFIG_KIND, CONFIG_NAME, buildConfiguration(version, routes));
  }

  /** Adds a host and waits until its instance is listed. */
  async addHost(
    service: string,
    dataCentre = 'a',
    { slots = 4, log = SILENT_LOG }: { slots?: number; log?: EventLog } = {},
  ): Promise<FleetHost> {
    const name = `host-${this.hosts.length}`;
    const instance = new InstanceServer(`i-${this.hosts.length}`);
    const instancePort = await instance.listen();
    const ports = await findFreePorts(HOST, 4);
    const [calls, peers, ready, announcements] = ports.map((port) => ({ host: HOST, port }));
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
      store: { host: HOST, port: this.storePort },
      stopLimitMs: 6000,
      retryBudget: { ratio: 0.2, windowMs: 10_000, extra: 60 },
      spillOverPolicy: { waitShare: 0.5, spillRank: 99 },
    };
    const host: FleetHost = {
      settings,
      node: await startNode(settings, log),
      instance,
      isBeating: true,
      state: 'ready',
      slots,
      sequence: 0,
      bornMs: 1000,
    };
    this.hosts.push(host);
    await sendHeartbeat(host);
    return host;
  }

  /** Waits until the store lists the instances of all hosts and every node has heard of them. */
  async waitRecords(): Promise<void> {
    const isListed = ({ settings }: FleetHost) =>
      this.store.get('lycheelane-nodes', String(settings.nodeId)) !== undefined;
    while (!this.hosts.every(isListed)) await wait(20);
    // Nodes gather changes that come close together.
    await wait(500);
  }

  /** Waits until every host knows the instances of a service. */
  async waitListed(path: string, ids: readonly string[]): Promise<void> {
    for (const host of this.hosts) {
      const seen = new Set<string>();
      for (let tries = 0; tries < 400 && seen.size < ids.length; tries += 1) {
        const sent = { path, id: `probe-${host.settings.nodeId}-${tries}` };
        const response = await sendHttp(host.settings.ports.calls.port, sent);
        const ran = /^(\S+) ran/.exec(response.body)?.[1];
        if (ran !== undefined && ids.includes(ran)) seen.add(ran);
        else await wait(20);
      }
      if (seen.size < ids.length) throw new Error(`not all of ${ids.join()} are in use`);
    }
  }

  /** Stops everything at once. */
  async close(): Promise<void> {
    clearInterval(this.beatTimer);
    for (const { node, instance } of this.hosts) {
      await node.close();
      await instance.close();
    }
    await this.store.close();
  }
}
