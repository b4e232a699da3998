/**
 * Program: runs the system on the users' platform's protocol on one host (`npm run demo`): a
 * stand-in for the platform's store, instances, and one node process for each instance, started
 * with the platform's settings file. Prints the result of each check and a verdict.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { CONFIG_KIND, CONFIG_NAME } from '../platform/names.js';
import { findFreePorts } from '../standins/launcher/ports.js';
import { InstanceServer } from '../standins/mesh/instanceServer.js';
import { buildConfiguration, type FleetRoute } from '../standins/mesh/configuration.js';
import { sendHttp, wait, type FleetResponse } from '../standins/mesh/meshFleet.js';
import {
  ANNOUNCEMENT_PORT_INDEX,
  CALL_PORT_INDEX,
  startNodeProcess,
  writeSettings,
  type NodeProcess,
  type NodeProcessOptions,
} from '../standins/mesh/nodeProcess.js';
import { StoreServer } from '../standins/mesh/storeServer.js';

const SERVICES = ['skyguide', 'padbook'];
const DATA_CENTRES = ['bavaria-south-a', 'bavaria-south-b', 'bavaria-south-c'];
const HEARTBEAT_INTERVAL_MS = 500;
const CONVERGENCE_LIMIT_MS = 10_000;
const POLL_INTERVAL_MS = 20;
const HOST_COUNT = 6;
const PORTS_PER_NODE = 4;
const INSTANCE_CAPACITY = 9;
const INSTANCE_STARTED_AT_MS = 1;
const DEPOSIT_COUNT = 60;

/** Time for which a caller comes back after it was refused. */
const CALLER_PATIENCE_MS = 2000;

const REQUESTS_DURING_FAULT = 30;

/** Longer than `STOP_DELAY_MS`, so that the request is in flight when the node stops. */
const SLOW_EXECUTION_MS = 1000;
const STOP_DELAY_MS = 200;

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
const failedChecks: string[] = [];
let sequence = 0;
let requestCount = 0;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function check(text: string, hasPassed: boolean): void {
  print(`  ${hasPassed ? 'ok  ' : 'FAIL'} ${text}`);
  if (!hasPassed) failedChecks.push(text);
}

/** Sends a request to the node of a host; returns undefined if the connection failed. */
function sendOnce(host: Host, path: string, method = 'GET'): Promise<FleetResponse | undefined> {
  requestCount += 1;
  const request = { path, id: `demo-${requestCount}`, method, body: '' };
  return sendHttp(host.options.ports[CALL_PORT_INDEX]!, request).catch(() => undefined);
}

/** Sends a request as callers do: after a 503 it comes back when `Retry-After` says. */
async function send(host: Host, path: string, method = 'GET'): Promise<FleetResponse | undefined> {
  const lastSendAtMs = performance.now() + CALLER_PATIENCE_MS;
  for (;;) {
    const response = await sendOnce(host, path, method);
    const retryAfterMs = Number(response?.headers['retry-after']) * 1000;
    const isRefused = response?.status === 503 && retryAfterMs > 0;
    if (!isRefused || performance.now() + retryAfterMs > lastSendAtMs) return response;
    await wait(retryAfterMs);
  }
}

async function sendHeartbeat({ options, instance }: Host): Promise<void> {
  sequence += 1;
  const body = JSON.stringify({
    Service: options.service,
    Address: `127.0.0.1:${options.instancePort}`,
    Capacity: INSTANCE_CAPACITY,
    State: 'ready',
    Sequence: sequence,
    born: INSTANCE_STARTED_AT_MS,
  });
  const path = `/instances/${instance.instanceId}/heartbeat`;
  const request = { path, id: '', method: 'POST', body };
  // The node is down; a later heartbeat reaches its replacement.
  await sendHttp(options.ports[ANNOUNCEMENT_PORT_INDEX]!, request).catch(() => undefined);
}

/** Measures the time until every host answers `path` with `status`; undefined after the limit. */
async function measureTimeUntil(path: string, status: number): Promise<number | undefined> {
  const startedAtMs = performance.now();
  for (const host of hosts) {
    for (;;) {
      const response = await sendOnce(host, path);
      if (response?.status === status) break;
      if (performance.now() - startedAtMs > CONVERGENCE_LIMIT_MS) return undefined;
      await wait(POLL_INTERVAL_MS);
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
    ports: await findFreePorts('127.0.0.1', PORTS_PER_NODE),
  };
  await writeSettings(options);
  hosts.push({ options, instance, node: startNodeProcess(options) });
}

async function runScenario(): Promise<void> {
  const readyMs = await measureTimeUntil('/calendar/1', 200);
  check(`${HOST_COUNT} nodes serve ${readyMs} ms after their start`, readyMs !== undefined);
  const runsBefore = hosts.map(({ instance }) => instance.runs.length);
  for (let count = 0; count < DEPOSIT_COUNT; count += 1) {
    await send(hosts[count % hosts.length]!, '/deposits/7', 'POST');
  }
  const runsByInstance = hosts.map(
    ({ instance }, index) => instance.runs.length - runsBefore[index]!,
  );
  const total = runsByInstance.reduce((sum, count) => sum + count, 0);
  check(
    `${DEPOSIT_COUNT} deposits ran ${DEPOSIT_COUNT} times, ` +
      `at ${runsByInstance.join()} of the instances`,
    total === DEPOSIT_COUNT,
  );

  store.put(
    CONFIG_KIND,
    CONFIG_NAME,
    buildConfiguration(2, [...ROUTES, { prefix: '/moon/', service: 'skyguide' }]),
  );
  const convergenceMs = await measureTimeUntil('/moon/', 200);
  check(
    `a version is in force on all nodes after ${convergenceMs} ms`,
    convergenceMs !== undefined,
  );

  const killed = hosts[1]!;
  killed.node.process.kill('SIGKILL');
  await killed.node.exited;
  const deposits = await Promise.all(
    Array.from({ length: REQUESTS_DURING_FAULT }, () => send(hosts[0]!, '/deposits/8', 'POST')),
  );
  check(
    'no request of another host is lost when a node is killed',
    deposits.every((response) => response?.status === 200),
  );
  killed.node = startNodeProcess(killed.options);
  const recoveryMs = await measureTimeUntil('/calendar/2', 200);
  check(`the killed node serves again after ${recoveryMs} ms`, recoveryMs !== undefined);

  store.setFault({ kind: 'silent' });
  const outageResponses = await Promise.all(
    Array.from({ length: REQUESTS_DURING_FAULT }, (_, index) =>
      send(hosts[index % hosts.length]!, '/calendar/3'),
    ),
  );
  check(
    'requests are served while the store is away',
    outageResponses.every((response) => response?.status === 200),
  );
  store.setFault({ kind: 'none' });

  const stopped = hosts[2]!;
  stopped.instance.executionTimeMs = SLOW_EXECUTION_MS;
  const pendingResponse = send(stopped, '/calendar/4');
  await wait(STOP_DELAY_MS);
  stopped.node.process.kill('SIGTERM');
  check('a planned stop cuts no request', (await pendingResponse)?.status === 200);
  const [code] = await stopped.node.exited;
  check(`the stopped node ends with code ${String(code)}`, code === 0);
}

async function main(): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'lycheelane-demo-'));
  const storePort = await store.listen();
  store.put(CONFIG_KIND, CONFIG_NAME, buildConfiguration(1, ROUTES));
  for (let index = 0; index < HOST_COUNT; index += 1) {
    await addHost(folder, storePort, `node-${index}`);
  }
  const heartbeatTimer = setInterval(() => {
    for (const host of hosts) void sendHeartbeat(host);
  }, HEARTBEAT_INTERVAL_MS);
  try {
    await runScenario();
  } catch (thrown) {
    check(`the demo ran to its end: ${String(thrown)}`, false);
  }
  clearInterval(heartbeatTimer);
  for (const { node, instance } of hosts) {
    node.process.kill('SIGKILL');
    await node.exited;
    await instance.close();
  }
  await store.close();
  await rm(folder, { recursive: true });
  print(failedChecks.length === 0 ? 'verdict: good' : `verdict: ${failedChecks.length} faults`);
  process.exitCode = failedChecks.length === 0 ? 0 : 1;
}

await main();
