/** A small deployment: the store, the instances and the node beside each of them. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { findFreePort, getHostAddress } from './addresses.js';
import { Instance } from './instance.js';
import { NodeProcess } from './node.js';
import { StoreServer } from './storeServer.js';

export const BOUNDS = {
  touchMs: 3000,
  drainMs: 2000,
  configApplyMs: 2000,
  graceMs: 6000,
  memoryMb: 350,
};

export function waitMs(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Waits until a condition holds; throws after `limitMs`. */
export async function waitUntil(check, limitMs, what) {
  const endAtMs = performance.now() + limitMs;
  while (!(await check())) {
    if (performance.now() > endAtMs) throw new Error(`not in time: ${what}`);
    await waitMs(50);
  }
}

function buildSettings({ name, host, zone, service, ports, storeAddress }) {
  const at = (port) => `${host}:${port}`;
  return {
    NodeName: name,
    Role: 'node',
    MachineClass: 'sidecar',
    Serves: ['sidecar'],
    Ip: host,
    Zone: zone,
    Region: 'fi-south',
    Zones: { 'fi-south-a': 'fi-south', 'fi-south-b': 'fi-south', 'fi-south-c': 'fi-south' },
    ListenAddrs: {
      Inbound: at(ports.inbound),
      Outbound: at(ports.outbound),
      Ready: at(ports.ready),
      Control: at(ports.control),
    },
    PortRange: [7380, 7395],
    SeedAddrs: [],
    Bootstrap: true,
    LossCounts: false,
    Limits: {
      CpuShare: 0.54,
      Cores: 1,
      MemoryMb: BOUNDS.memoryMb,
      MaxFds: 4100,
      LinkMbps: 1000,
      DiskMb: 0,
    },
    DataDir: null,
    Discovery: 'static',
    Entrypoint: 'static',
    HeartbeatInterval: '870ms',
    Policies: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'platform'],
    FaultTolerance: { Machines: 2, Zones: 1, Regions: 0 },
    PolicyParams: {
      SeedLag: '3s',
      ReuseAfter: '2s',
      Touch: `${BOUNDS.touchMs}ms`,
      Ack: '4000ms',
      CatchUp: '4s',
      Drain: `${BOUNDS.drainMs}ms`,
      Grace: `${BOUNDS.graceMs}ms`,
      LossSlack: '200ms',
      ConfigApply: `${BOUNDS.configApplyMs}ms`,
      RollbackSlack: '250ms',
      MaxStretch: '5000ms',
      BudgetRatio: 0.2,
      BudgetWindow: '10s',
      BudgetExtra: 64,
      Recover: '15s',
    },
    AppAddr: at(ports.app),
    Service: service,
    Provider: {
      Address: storeAddress,
      form: 'objects',
      WritesPerS: 400,
      ReadsPerS: 2000,
      History: '20s',
      ValueBytes: 1048576,
      TtlMin: '1000ms',
    },
  };
}

/** Builds a configuration from routes `{ name, prefix, kind, service, timeout, aim }`. */
export function buildConfig(version, routes) {
  const services = [...new Set(routes.map(({ service }) => service))];
  return {
    Version: version.toString(16).padStart(8, '0'),
    Resources: [
      ...routes.map(({ name, prefix, kind, service, timeout = '1500ms', aim = '500ms' }) => ({
        EntryKind: 'Routes',
        Metadata: { Name: name },
        Spec: {
          Host: 'scripts.example',
          PathPrefix: prefix,
          Kind: kind,
          Timeout: timeout,
          TargetLatency: aim,
          Priority: 1,
          Service: service,
          MaxAttempts: 2,
        },
      })),
      ...services.map((service) => ({
        EntryKind: 'Services',
        Metadata: { Name: service },
        Spec: { HealthPath: '/healthz', MaxConns: 130, Protocol: 'h1', Tls: false },
      })),
      {
        EntryKind: 'Limits',
        Metadata: {},
        Spec: {
          MaxHeaderBytes: 16384,
          MaxBodyBytes: 67108864,
          HeaderTimeout: '3000ms',
          IdleTimeout: '15000ms',
        },
      },
    ],
  };
}

export class Mesh {
  constructor(record) {
    this.record = record;
    this.store = new StoreServer(record);
    this.hosts = [];
  }

  /** Starts the store; `storeAddress` is what the nodes are told, by default its own. */
  async startStore() {
    this.folder = await mkdtemp(join(tmpdir(), 'review-'));
    this.storeHost = getHostAddress(200);
    this.storePort = await findFreePort(this.storeHost);
    await this.store.listen(this.storeHost, this.storePort);
    this.storeAddress = `${this.storeHost}:${this.storePort}`;
  }

  /** Sets the address of the store that the settings of the nodes name. */
  setStoreAddress(address) {
    this.storeAddress = address;
  }

  /** Adds hosts `{ zone, service }` and starts the instance and the node of each. */
  async addHosts(specs, { getWorkMs } = {}) {
    for (const { zone, service } of specs) {
      const number = this.hosts.length + 1;
      const host = getHostAddress(number);
      const ports = {};
      for (const use of ['inbound', 'outbound', 'ready', 'control', 'app']) {
        ports[use] = await findFreePort(host, Object.values(ports));
      }
      const name = `sidecar-${zone}-${number}`;
      const { storeAddress, folder, record } = this;
      const settings = buildSettings({ name, host, zone, service, ports, storeAddress });
      const instance = new Instance({
        id: `i-${number}`,
        service,
        zone,
        address: { host, port: ports.app },
        control: { host, port: ports.control },
        record,
        getWorkMs,
      });
      await instance.listen();
      const node = new NodeProcess({ name, settings, folder, record });
      await node.start();
      instance.startBeats();
      this.hosts.push({ name, host, ports, instance, node });
    }
  }

  async waitReady(limitMs = 10_000) {
    for (const { node } of this.hosts) {
      await waitUntil(() => node.isReady(), limitMs, `${node.name} is ready`);
    }
  }

  /** Ends all processes and removes the temporary folder, unless KEEP=1. */
  async close() {
    this.isClosing = true;
    for (const { node, instance } of this.hosts) {
      await node.close();
      instance.close();
    }
    this.store.close();
    if (this.folder === undefined || process.env.KEEP === '1') return;
    await rm(this.folder, { recursive: true, force: true });
  }
}
