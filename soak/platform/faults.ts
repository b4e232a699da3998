/** Faults of the soak, each injected from outside the processes and undone after a time. */
import { wait } from '../../standins/mesh/meshFleet.js';
import type { ProxyFault } from '../../standins/mesh/faultProxy.js';
import type { InstanceFault } from '../../standins/mesh/instanceServer.js';
import type { StoreFault } from '../../standins/mesh/storeServer.js';
import { chooseOne } from '../../standins/random.js';
import type { PlatformChecker } from './checker.js';
import { deregister, restartNode, sendBeat, type SoakFleet, type SoakHost } from './fleet.js';

/** Time between SIGTERM and SIGKILL, as in the settings of the nodes. */
const STOP_LIMIT_MS = 6000;

/** Time after the response to a leaving instance from which nothing reaches it. */
const DRAIN_MS = 2000;

const MAX_FAULT_MS = 3000;

/** What a fault works on. */
export interface FaultParts {
  readonly fleet: SoakFleet;
  readonly checker: PlatformChecker;
  readonly random: () => number;
}

/** A kind of fault. It resolves once it is undone. */
export interface Fault {
  readonly name: string;
  /** Store, or a host that is drawn for it. */
  readonly on: 'store' | 'host';
  readonly run: (parts: FaultParts, host: SoakHost) => Promise<void>;
}

function waitDrawn({ random }: FaultParts): Promise<void> {
  return wait(200 + random() * MAX_FAULT_MS);
}

function isRunning({ node }: SoakHost): boolean {
  return node.process.exitCode === null && node.process.signalCode === null;
}

async function killNode(parts: FaultParts, host: SoakHost): Promise<void> {
  const { node } = host;
  if (!isRunning(host)) return;
  node.process.kill('SIGKILL');
  await node.exited;
  await wait(parts.random() * 1000);
  restartNode(host, node);
}

/** Stops a node as planned and starts it again. */
export async function stopNodeProcess(parts: FaultParts, host: SoakHost): Promise<void> {
  const { node } = host;
  if (!isRunning(host)) return;
  const { name } = host.options;
  const kill = setTimeout(() => {
    parts.checker.add('planned stop beyond its limit', name);
    node.process.kill('SIGKILL');
  }, STOP_LIMIT_MS);
  node.process.kill('SIGTERM');
  await node.exited;
  clearTimeout(kill);
  restartNode(host, node);
}

async function freezeNode(parts: FaultParts, { node }: SoakHost): Promise<void> {
  node.process.kill('SIGSTOP');
  await waitDrawn(parts);
  node.process.kill('SIGCONT');
}

/** Lets an instance leave, watches that nothing reaches it any more, and replaces it. */
async function replaceInstance(parts: FaultParts, host: SoakHost): Promise<void> {
  const { fleet, checker, random } = parts;
  const leaving = host;
  if (leaving.state !== 'ready') return;
  const isAnnounced = random() < 0.7;
  leaving.state = isAnnounced ? 'draining' : 'gone';
  const isTold = await (isAnnounced ? sendBeat(host) : deregister(host));
  await wait(DRAIN_MS);
  const before = host.instance.runs.length;
  await waitDrawn(parts);
  const later = host.instance.runs.length - before;
  if (isTold && later > 0) {
    checker.add('run at an instance that has left', `${host.instance.instanceId}: ${later}`);
  }
  fleet.replaceInstance(host);
}

const INSTANCE_FAULTS: readonly InstanceFault[] = [
  { kind: 'fail', status: 500 },
  { kind: 'shed' },
  { kind: 'lose-answer' },
  { kind: 'hang' },
  { kind: 'bytes', text: 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf', isLast: true },
  { kind: 'bytes', text: 'no response\r\n\r\n', isLast: true },
];

async function breakInstance(parts: FaultParts, { instance }: SoakHost): Promise<void> {
  Object.assign(instance, { fault: chooseOne(INSTANCE_FAULTS, parts.random)! });
  await waitDrawn(parts);
  Object.assign(instance, { fault: { kind: 'none' } });
}

async function slowInstance(parts: FaultParts, { instance }: SoakHost): Promise<void> {
  Object.assign(instance, { executionTimeMs: 300 });
  await waitDrawn(parts);
  Object.assign(instance, { executionTimeMs: 20 });
}

const PROXY_FAULTS: readonly ProxyFault[] = [
  { kind: 'delay', delayMs: 150 },
  { kind: 'silence' },
  { kind: 'one-way' },
  { kind: 'reset' },
];

function breakProxy(key: 'instanceProxy' | 'storeProxy'): Fault['run'] {
  return async (parts, host) => {
    host[key].setFault(chooseOne(PROXY_FAULTS, parts.random)!);
    await waitDrawn(parts);
    host[key].setFault({ kind: 'none' });
  };
}

const STORE_FAULTS: readonly StoreFault[] = [
  { kind: 'refuse', status: 503 },
  { kind: 'refuse', status: 429 },
  { kind: 'silent' },
  { kind: 'reset' },
  { kind: 'lose-answers' },
];

async function breakStore(parts: FaultParts): Promise<void> {
  const { store } = parts.fleet;
  store.setFault(chooseOne(STORE_FAULTS, parts.random)!);
  await waitDrawn(parts);
  store.setFault({ kind: 'none' });
}

/** All kinds of faults. */
export const FAULTS: readonly Fault[] = [
  { name: 'kill', on: 'host', run: killNode },
  { name: 'stop', on: 'host', run: stopNodeProcess },
  { name: 'freeze', on: 'host', run: freezeNode },
  { name: 'replace', on: 'host', run: replaceInstance },
  { name: 'instance-fault', on: 'host', run: breakInstance },
  { name: 'instance-slow', on: 'host', run: slowInstance },
  { name: 'instance-link', on: 'host', run: breakProxy('instanceProxy') },
  { name: 'store-link', on: 'host', run: breakProxy('storeProxy') },
  { name: 'store', on: 'store', run: breakStore },
  {
    name: 'store-forgets',
    on: 'store',
    run: async ({ fleet }) => fleet.store.compactHistory(),
  },
  {
    name: 'record-lost',
    on: 'store',
    run: async ({ fleet }, { options }) =>
      fleet.store.removeObject('lycheelane-nodes', options.name),
  },
];
