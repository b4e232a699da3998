/** Faults of the soak. Each is injected from outside the node processes and later reverted. */
import { wait } from '../../standins/mesh/meshFleet.js';
import type { ProxyFault } from '../../standins/mesh/faultProxy.js';
import type { InstanceFault } from '../../standins/mesh/instanceServer.js';
import type { StoreFault } from '../../standins/mesh/storeServer.js';
import { chooseOne } from '../../standins/random.js';
import type { PlatformChecker } from './checker.js';
import {
  EXECUTION_TIME_MS,
  deregister,
  restartNode,
  sendHeartbeat,
  type SoakFleet,
  type SoakHost,
} from './fleet.js';

/** Time between SIGTERM and SIGKILL, as in the settings of the nodes. */
const STOP_LIMIT_MS = 6000;

/** Time after an acknowledged drain or deregistration after which no request may arrive. */
const DRAIN_LIMIT_MS = 2000;

const MIN_FAULT_MS = 200;
const MAX_ADDED_FAULT_MS = 3000;
const MAX_RESTART_DELAY_MS = 1000;
const SLOW_EXECUTION_MS = 300;

/** Limit that an instance in need names, in requests per second. */
const REQUEST_LIMIT_PER_S = 8;

/** Time after which a limit that an instance names is kept. */
const LIMIT_LEARN_MS = 3000;
const LIMIT_HELD_MS = 6000;

/** Time after which the operator writes the version again that a restored store lacks. */
const REWRITE_DELAY_MS = 200;

/** Share of instance replacements that drain first; the others deregister without a drain. */
const DRAIN_SHARE = 0.7;

/** Dependencies of a fault. */
export interface FaultContext {
  readonly fleet: SoakFleet;
  readonly checker: PlatformChecker;
  readonly random: () => number;
}

/** A kind of fault. */
export interface Fault {
  readonly name: string;
  /** Whether the fault affects the store or a randomly chosen host. */
  readonly target: 'store' | 'host';
  /** Injects the fault; resolves after the fault has been reverted. */
  readonly inject: (context: FaultContext, host: SoakHost) => Promise<void>;
}

function waitRandom({ random }: FaultContext): Promise<void> {
  return wait(MIN_FAULT_MS + random() * MAX_ADDED_FAULT_MS);
}

function isRunning({ node }: SoakHost): boolean {
  return node.process.exitCode === null && node.process.signalCode === null;
}

async function killNode(context: FaultContext, host: SoakHost): Promise<void> {
  const { node } = host;
  if (!isRunning(host)) return;
  node.process.kill('SIGKILL');
  await node.exited;
  context.checker.recordInterruption(host.options.name);
  await wait(context.random() * MAX_RESTART_DELAY_MS);
  restartNode(host, node);
}

/** Stops a node gracefully and starts it again. */
export async function stopNodeProcess(context: FaultContext, host: SoakHost): Promise<void> {
  const { node } = host;
  if (!isRunning(host)) return;
  const { name } = host.options;
  const killTimer = setTimeout(() => {
    context.checker.add('planned stop beyond its limit', name);
    node.process.kill('SIGKILL');
  }, STOP_LIMIT_MS);
  node.process.kill('SIGTERM');
  await node.exited;
  context.checker.recordInterruption(name);
  clearTimeout(killTimer);
  restartNode(host, node);
}

async function freezeNode(context: FaultContext, { node, options }: SoakHost): Promise<void> {
  node.process.kill('SIGSTOP');
  await waitRandom(context);
  context.checker.recordInterruption(options.name);
  node.process.kill('SIGCONT');
}

/** Drains or deregisters an instance, checks that no more requests reach it, and replaces it. */
async function replaceInstance(context: FaultContext, host: SoakHost): Promise<void> {
  const { fleet, checker, random } = context;
  const leaving = host;
  if (leaving.state !== 'ready') return;
  const isDraining = random() < DRAIN_SHARE;
  leaving.state = isDraining ? 'draining' : 'deregistered';
  const isAcknowledged = await (isDraining ? sendHeartbeat(host) : deregister(host));
  await wait(DRAIN_LIMIT_MS);
  const runsBefore = host.instance.runs.length;
  await waitRandom(context);
  const lateRuns = host.instance.runs.length - runsBefore;
  if (isAcknowledged && lateRuns > 0) {
    checker.add('run at an instance that has left', `${host.instance.instanceId}: ${lateRuns}`);
  }
  fleet.replaceInstance(host);
}

/** Lets responses say that the instance leaves before its heartbeats do, then replaces it. */
async function announceLeaving(context: FaultContext, host: SoakHost): Promise<void> {
  const { fleet } = context;
  if (host.state !== 'ready' || host.instance.isLeaving) return;
  const { instance } = host;
  instance.isLeaving = true;
  await wait(DRAIN_LIMIT_MS);
  await waitRandom(context);
  // Another fault may have replaced it meanwhile.
  if (host.state === 'ready' && host.instance.isLeaving) fleet.replaceInstance(host);
}

async function limitRequests({ checker }: FaultContext, { instance }: SoakHost): Promise<void> {
  const limited = instance;
  if (limited.requestLimitPerS !== undefined) return;
  const { instanceId } = limited;
  limited.requestLimitPerS = REQUEST_LIMIT_PER_S;
  await wait(LIMIT_LEARN_MS);
  const learnedAtMs = performance.now();
  await wait(LIMIT_HELD_MS);
  limited.requestLimitPerS = undefined;
  const arrivals = limited.runs.map(({ atMs }) => atMs).filter((atMs) => atMs >= learnedAtMs);
  checker.checkLimit(instanceId, REQUEST_LIMIT_PER_S, arrivals);
}

/** Takes the store away and brings it back from a copy; the operator then writes again. */
async function restoreStore(context: FaultContext): Promise<void> {
  const { fleet } = context;
  const copy = fleet.store.copyState();
  await waitRandom(context);
  fleet.store.setFault({ kind: 'reset' });
  await waitRandom(context);
  fleet.store.restoreState(copy);
  fleet.store.setFault({ kind: 'none' });
  await wait(REWRITE_DELAY_MS);
  fleet.writeVersion();
}

const INSTANCE_FAULTS: readonly InstanceFault[] = [
  { kind: 'fail', status: 500 },
  { kind: 'shed' },
  { kind: 'lose-answer' },
  { kind: 'hang' },
  { kind: 'bytes', text: 'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf', isLast: true },
  { kind: 'bytes', text: 'no response\r\n\r\n', isLast: true },
];

async function injectInstanceFault(context: FaultContext, { instance }: SoakHost): Promise<void> {
  Object.assign(instance, { fault: chooseOne(INSTANCE_FAULTS, context.random)! });
  await waitRandom(context);
  Object.assign(instance, { fault: { kind: 'none' } });
}

async function injectSlowExecution(context: FaultContext, { instance }: SoakHost): Promise<void> {
  Object.assign(instance, { executionTimeMs: SLOW_EXECUTION_MS });
  await waitRandom(context);
  Object.assign(instance, { executionTimeMs: EXECUTION_TIME_MS });
}

const PROXY_FAULTS: readonly ProxyFault[] = [
  { kind: 'delay', delayMs: 150 },
  { kind: 'silence' },
  { kind: 'one-way' },
  { kind: 'reset' },
];

function createProxyFault(key: 'instanceProxy' | 'storeProxy'): Fault['inject'] {
  return async (context, host) => {
    host[key].setFault(chooseOne(PROXY_FAULTS, context.random)!);
    await waitRandom(context);
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

async function injectStoreFault(context: FaultContext): Promise<void> {
  const { store } = context.fleet;
  store.setFault(chooseOne(STORE_FAULTS, context.random)!);
  await waitRandom(context);
  store.setFault({ kind: 'none' });
}

/** All kinds of faults, with the names that the soak prints. */
export const FAULTS: readonly Fault[] = [
  { name: 'kill', target: 'host', inject: killNode },
  { name: 'stop', target: 'host', inject: stopNodeProcess },
  { name: 'freeze', target: 'host', inject: freezeNode },
  { name: 'replace', target: 'host', inject: replaceInstance },
  { name: 'leaving', target: 'host', inject: announceLeaving },
  { name: 'limit', target: 'host', inject: limitRequests },
  { name: 'instance-fault', target: 'host', inject: injectInstanceFault },
  { name: 'instance-slow', target: 'host', inject: injectSlowExecution },
  { name: 'instance-link', target: 'host', inject: createProxyFault('instanceProxy') },
  { name: 'store-link', target: 'host', inject: createProxyFault('storeProxy') },
  { name: 'store', target: 'store', inject: injectStoreFault },
  { name: 'store-restored', target: 'store', inject: restoreStore },
  {
    name: 'store-forgets',
    target: 'store',
    inject: async ({ fleet }) => fleet.store.compactHistory(),
  },
  {
    name: 'record-lost',
    target: 'store',
    inject: async ({ fleet }, { options }) =>
      fleet.store.removeObject('lycheelane-nodes', options.name),
  },
];
