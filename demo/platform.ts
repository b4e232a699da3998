/**
 * The whole system as it runs on the users' platform, as separate processes on this host: a
 * stand-in of the platform's store, instances, and a node beside each, started with the
 * platform's settings file. Prints what it does and a verdict.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { CONFIG_KIND, CONFIG_NAME } from '../platform/names.js';
import { findFreePorts } from '../standins/launcher/ports.js';
import { InstanceServer } from '../standins/mesh/instanceServer.js';
import {
  buildConfiguration,
  sendHttp,
  wait,
  type FleetResponse,
  type FleetRoute,
} from '../standins/mesh/meshFleet.js';
import {
  startNodeProcess,
  writeSettings,
  type NodeProcess,
  type NodeProcessOptions,
} from '../standins/mesh/nodeProcess.js';
import { StoreServer } from '../standins/mesh/storeServer.js';

const SERVICES = ['skyguide', 'padbook'];
const DATA_CENTRES = ['bavaria-south-a', 'bavaria-south-b', 'bavaria-south-c'];
const HEARTBEAT_MS = 500;
const WAIT_MS = 10_000;

const ROUTES: readonly FleetRoute[] = [
  { prefix: '/calendar/', service: 'skyguide', kind: 'safe' },
  { prefix: '/deposits/', service: 'padbook', kind: 'unsafe', priority: 0 },
];

interface Host {
  readonly options: NodeProcessOptions;
  readonly instance: InstanceServer;
  node: NodeProcess;
}

const store = new StoreServer();
const hosts: Host[] = [];
const faults: string[] = [];
let sequence = 0;
let requests = 0;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function check(text: string, isGood: boolean): void {
  print(`  ${isGood ? 'ok  ' : 'FAIL'} ${text}`);
  if (!isGood) faults.push(text);
}

/** Sends a request from a host; undefined when the connection broke. */
function send(host: Host, path: string, method = 'GET'): Promise<FleetResponse | undefined> {
  requests += 1;
  const request = { path, id: `demo-${requests}`, method, body: '' };
  return sendHttp(host.options.ports[0]!, request).catch(() => undefined);
}

async function sendHeartbeat({ options, instance }: Host): Promise<void> {
  sequence += 1;
  const body = JSON.stringify({
    Service: options.service,
    Address: `127.0.0.1:${options.instancePort}`,
    Capacity: 9,
    State: 'ready',
    Sequence: sequence,
    born: 1,
  });
  const path = `/instances/${instance.instanceId}/heartbeat`;
  const request = { path, id: '', method: 'POST', body };
  // A node that is down gets the next heartbeat.
  await sendHttp(options.ports[3]!, request).catch(() => undefined);
}

/** Returns how long it took until every host answers a path with a status. */
async function measureUntil(path: string, status: number): Promise<number | undefined> {
  const startedAtMs = performance.now();
  for (const host of hosts) {
    for (;;) {
      const response = await send(host, path);
      if (response?.status === status) break;
      if (performance.now() - startedAtMs > WAIT_MS) return undefined;
      await wait(20);
    }
  }
  return Math.round(performance.now() - startedAtMs);
}

async function addHost(folder: string, storePort: number, name: string): Promise<void> {
  const index = hosts.length;
  const instance = new InstanceServer(`i-${index}`);
  const options: NodeProcessOptions = {
    folder,
    name,
    storePort,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
    service: SERVICES[index % SERVICES.length]!,
    instancePort: await instance.listen(),
    ports: await findFreePorts('127.0.0.1', 4),
  };
  await writeSettings(options);
  hosts.push({ options, instance, node: startNodeProcess(options) });
}

async function playDay(): Promise<void> {
  const ready = await measureUntil('/calendar/1', 200);
  check(`6 nodes serve ${ready} ms after their start`, ready !== undefined);
  const before = hosts.map(({ instance }) => instance.runs.length);
  for (let count = 0; count < 60; count += 1) {
    await send(hosts[count % hosts.length]!, '/deposits/7', 'POST');
  }
  const added = hosts.map(({ instance }, index) => instance.runs.length - before[index]!);
  const total = added.reduce((sum, count) => sum + count, 0);
  check(`60 deposits ran 60 times, at ${added.join()} of the instances`, total === 60);

  store.put(
    CONFIG_KIND,
    CONFIG_NAME,
    buildConfiguration(2, [...ROUTES, { prefix: '/moon/', service: 'skyguide' }]),
  );
  const converged = await measureUntil('/moon/', 200);
  check(`a version is in force on all nodes after ${converged} ms`, converged !== undefined);

  const killed = hosts[1]!;
  killed.node.process.kill('SIGKILL');
  await killed.node.exited;
  const others = await Promise.all(
    Array.from({ length: 30 }, () => send(hosts[0]!, '/deposits/8', 'POST')),
  );
  check(
    'no request of another host is lost when a node is killed',
    others.every((response) => response?.status === 200),
  );
  killed.node = startNodeProcess(killed.options);
  const back = await measureUntil('/calendar/2', 200);
  check(`the killed node serves again after ${back} ms`, back !== undefined);

  store.setFault({ kind: 'silent' });
  const during = await Promise.all(
    Array.from({ length: 30 }, (_, index) => send(hosts[index % hosts.length]!, '/calendar/3')),
  );
  check(
    'requests are served while the store is away',
    during.every((response) => response?.status === 200),
  );
  store.setFault({ kind: 'none' });

  const stopped = hosts[2]!;
  stopped.instance.executionTimeMs = 1000;
  const underWay = send(stopped, '/calendar/4');
  await wait(200);
  stopped.node.process.kill('SIGTERM');
  check('a planned stop cuts no request', (await underWay)?.status === 200);
  const [code] = await stopped.node.exited;
  check(`the stopped node ends with code ${String(code)}`, code === 0);
}

async function main(): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'lycheelane-demo-'));
  const storePort = await store.listen();
  store.put(CONFIG_KIND, CONFIG_NAME, buildConfiguration(1, ROUTES));
  for (let index = 0; index < 6; index += 1) await addHost(folder, storePort, `node-${index}`);
  const beats = setInterval(() => {
    for (const host of hosts) void sendHeartbeat(host);
  }, HEARTBEAT_MS);
  try {
    await playDay();
  } catch (thrown) {
    check(`the demo ran to its end: ${String(thrown)}`, false);
  }
  clearInterval(beats);
  for (const { node, instance } of hosts) {
    node.process.kill('SIGKILL');
    await node.exited;
    await instance.close();
  }
  await store.close();
  await rm(folder, { recursive: true });
  print(faults.length === 0 ? 'verdict: good' : `verdict: ${faults.length} faults`);
  process.exitCode = faults.length === 0 ? 0 : 1;
}

await main();
