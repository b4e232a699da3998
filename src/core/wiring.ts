/** Constructs the parts of a node and connects them. */
import { err, ok, type Result } from 'neverthrow';
import type { Settings } from '../generated/types.js';
import { toStepError, type StepError } from '../errors.js';
import { CallStats } from '../plugins/callStats.js';
import { createFleetStatus } from '../plugins/fleetStatus.js';
import { createMetrics, type Metrics } from '../plugins/metrics.js';
import { createOperatorHandlers, type OperatorSources } from '../plugins/operatorHandlers.js';
import { startOperatorPort, type OperatorPort } from '../plugins/operatorPort.js';
import { UsageSampler } from '../plugins/processUsage.js';
import { brandText, type DataCentre } from '../types/ids.js';
import type { ControlCounters, PeerClient, PlatformClient } from '../types/interfaces.js';
import type { Logger } from '../utils/logger.js';
import { unwrap } from '../utils/unwrap.js';
import { startCallPort, type CallPort } from './calls/callPort.js';
import type { CallObserver } from './calls/observer.js';
import { compileRouting } from './config/compileRouting.js';
import { createDeferredMembers, type DeferredMembers } from './deferredMembers.js';
import { startDistribution, type Distribution } from './distribution/start.js';
import { createConfigStore, type DistributionStore } from './distribution/store.js';
import { chooseIncarnation } from './membership/chooseIncarnation.js';
import { startMembership, type Membership } from './membership/start.js';
import { createPeerClient } from './peer/client.js';
import { createControlCounters } from './peer/counters.js';
import { startPeerServer, type PeerServer } from './peer/server.js';
import { createHttpPlatform } from './platform/httpPlatform.js';
import { startAnnouncePort, type AnnouncePort } from './upstream/announcePort.js';
import { createLocalDispatcher, type InstanceDispatcher } from './upstream/dispatcher.js';
import { createInstanceTable, type InstanceTable } from './upstream/instanceTable.js';
import { createRequestMemory } from './upstream/requestMemory.js';

/** Ports that a node has opened. */
export interface NodePorts {
  readonly callPort: number;
  readonly peerPort: number;
  readonly announcePort: number;
  readonly operatorPort: number;
}

/** A running node. */
export interface RunningNode {
  readonly ports: NodePorts;
  /**
   * Leaves: tells the peers, refuses new work, waits for the calls in flight up to the limit and
   * closes everything. Returns how many calls were cut at the limit.
   */
  stop(): Promise<{ readonly cut: number }>;
}

/** Parts that only others use; nothing has been bound or started. */
interface SharedParts {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly incarnation: string;
  readonly usage: UsageSampler;
  readonly counters: ControlCounters;
  readonly peers: PeerClient;
  readonly platform: PlatformClient;
  readonly store: DistributionStore;
  /** Throws until the membership is connected. */
  readonly deferred: DeferredMembers;
}

async function createSharedParts(settings: Settings, logger: Logger): Promise<SharedParts> {
  const counters = createControlCounters();
  const peers = createPeerClient({ logger, counters });
  const platform = createHttpPlatform(settings.platformUrl);
  const site = brandText<DataCentre>(settings.dataCentre);
  return {
    settings,
    logger,
    incarnation: await chooseIncarnation({ settings, platform, peers, logger }),
    usage: new UsageSampler(),
    counters,
    peers,
    platform,
    store: createConfigStore({ site, compile: compileRouting, logger }),
    deferred: createDeferredMembers(),
  };
}

/** The parts that run calls on the upstreams of this host. */
interface InstanceParts {
  readonly table: InstanceTable;
  readonly dispatcher: InstanceDispatcher;
}

function createInstanceParts(shared: SharedParts): InstanceParts {
  const { settings, logger, store } = shared;
  const { members } = shared.deferred;
  const table = createInstanceTable({
    members,
    ttlMs: settings.announcementTtlMs,
    ownHost: settings.host,
    logger,
  });
  const memory = createRequestMemory({
    maxKeys: settings.calls.rememberedRequests,
    rememberMs: settings.calls.rememberMs,
  });
  const dispatcher = createLocalDispatcher({
    table,
    store,
    memory,
    logger,
  });
  return { table, dispatcher };
}

/** The parts that observe calls. */
interface ObserverParts {
  readonly stats: CallStats;
  readonly metrics: Metrics;
  readonly observer: CallObserver;
}

function createObserverParts({ store, deferred, counters, usage }: SharedParts): ObserverParts {
  const stats = new CallStats(
    (route) => store.getRouting()?.routes.get(route)?.config.objective?.latencyMs,
  );
  store.onInstall(() => {
    const routing = store.getRouting();
    if (routing) stats.evictRoutes(routing.routes);
  });
  const metrics = createMetrics({ store, table: deferred.members, counters, usage });
  const observer: CallObserver = {
    record: (route, outcome, latencyMs) => {
      stats.record(route, outcome, latencyMs);
      metrics.record(route, outcome, latencyMs);
    },
    recordSpillOver: metrics.recordSpillOver,
    recordRetry: metrics.recordRetry,
  };
  return { stats, metrics, observer };
}

/** The ports that the member record names; they open before the membership starts. */
interface MeshPorts {
  readonly peerServer: PeerServer;
  readonly callPort: CallPort;
}

async function openMeshPorts(
  shared: SharedParts,
  dispatcher: InstanceDispatcher,
  observer: CallObserver,
): Promise<MeshPorts> {
  const { settings, logger, counters, store, deferred } = shared;
  const { host } = settings;
  const peerServer = unwrap(
    await startPeerServer({ host, port: settings.peerPort, logger, counters }),
  );
  const startedCallPort = await startCallPort({
    host,
    port: settings.callPort,
    settings: settings.calls,
    config: store,
    members: deferred.members,
    dispatcher,
    observer,
    logger,
  });
  return { peerServer, callPort: unwrap(startedCallPort) };
}

/** The tasks that talk to other nodes. */
interface PeerTasks {
  readonly membership: Membership;
  readonly distribution: Distribution;
}

/** Starts membership, then distribution, and lets the peer port serve their methods. */
function startPeerTasks(
  shared: SharedParts,
  { peerServer, callPort }: MeshPorts,
  hostHeard: Promise<void>,
): PeerTasks {
  const { settings, logger, incarnation, peers, platform, store, deferred } = shared;
  const common = { settings, logger, peers, platform };
  const membership = startMembership({
    ...common,
    getTag: store.getTag,
    self: {
      nodeId: settings.nodeId,
      dataCentre: settings.dataCentre,
      region: settings.region,
      incarnation,
      sequence: 1,
      host: settings.host,
      callPort: callPort.port,
      peerPort: peerServer.port,
      state: 'joining',
      instances: [],
    },
  });
  deferred.connect(membership);
  peerServer.setSenderCheck(membership.checkSender);
  peerServer.addMethods(membership.methods);
  const distribution = startDistribution({
    ...common,
    members: membership,
    store,
    hostHeard,
  });
  peerServer.addMethods(distribution.methods);
  return { membership, distribution };
}

async function openAnnouncePort(shared: SharedParts, table: InstanceTable): Promise<AnnouncePort> {
  const { settings, logger, store } = shared;
  const started = await startAnnouncePort({
    host: settings.announceHost,
    port: settings.announcePort,
    ownHost: settings.host,
    table,
    store,
    logger,
  });
  return unwrap(started);
}

async function openOperatorPort(
  { settings, logger }: SharedParts,
  sources: OperatorSources,
): Promise<OperatorPort> {
  const started = await startOperatorPort({
    host: settings.operatorHost,
    port: settings.operatorPort,
    token: settings.operatorToken,
    logger,
    handlers: createOperatorHandlers(sources),
  });
  return unwrap(started);
}

/** Constructs and starts the parts in the order in which they need each other. */
async function startParts(settings: Settings, logger: Logger): Promise<RunningNode> {
  const shared = await createSharedParts(settings, logger);
  const { usage, counters, peers, platform, store } = shared;
  const { table, dispatcher } = createInstanceParts(shared);
  const { stats, metrics, observer } = createObserverParts(shared);
  const meshPorts = await openMeshPorts(shared, dispatcher, observer);
  const { peerServer, callPort } = meshPorts;
  const hostHeard = new Promise<void>((resolve) => {
    table.onChange(() => resolve());
  });
  const { membership, distribution } = startPeerTasks(shared, meshPorts, hostHeard);
  const fleet = createFleetStatus({ membership, peers, store, stats });
  peerServer.addMethods(fleet.methods);
  const announcePort = await openAnnouncePort(shared, table);
  let isStopping = false;
  store.onReady(() => {
    if (!isStopping) membership.updateSelf({ state: 'serving' });
  });
  const operatorPort = await openOperatorPort(shared, {
    store,
    membership,
    counters,
    usage,
    metrics,
    stats,
    fleet,
    callPort,
    dispatcher,
  });

  const stop = async () => {
    isStopping = true;
    const { stopLimitMs } = settings.calls;
    membership.updateSelf({ state: 'leaving' });
    const [entry, instance] = await Promise.all([
      callPort.stop(stopLimitMs),
      dispatcher.drain(stopLimitMs),
    ]);
    membership.updateSelf({ state: 'left' });
    await Promise.all([distribution.stop(), membership.stop()]);
    await Promise.all([announcePort.close(), peerServer.close(), operatorPort.stop()]);
    await Promise.all([peers.close(), platform.close(), dispatcher.close()]);
    usage.stop();
    return { cut: Math.max(entry.abortedCalls, instance.abortedCalls) };
  };
  const ports = {
    callPort: callPort.port,
    peerPort: peerServer.port,
    announcePort: announcePort.port,
    operatorPort: operatorPort.port,
  };
  return { ports, stop };
}

/** Starts a node. Errors: kind `unavailable` when a port cannot be bound. */
export async function startNode(
  settings: Settings,
  logger: Logger,
): Promise<Result<RunningNode, StepError>> {
  try {
    return ok(await startParts(settings, logger));
  } catch (thrown) {
    return err(toStepError(thrown, 'node.start', 'self'));
  }
}
