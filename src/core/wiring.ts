/** Constructs the components of a node and connects them. */
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
import { createDeduplicationStore } from './upstream/deduplicationStore.js';

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
   * Notifies the peers, refuses new calls, waits up to `calls.stopLimitMs` for the calls in flight
   * and closes all ports and connections. Resolves with the number of calls that were aborted.
   */
  stop(): Promise<{ readonly abortedCalls: number }>;
}

/** Components that others depend on; none has bound a port or started a task. */
interface SharedComponents {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly incarnation: string;
  readonly usage: UsageSampler;
  readonly counters: ControlCounters;
  readonly peers: PeerClient;
  readonly platform: PlatformClient;
  readonly store: DistributionStore;
  /** Its methods, other than `onChange`, throw until the membership is connected. */
  readonly deferred: DeferredMembers;
}

async function createSharedComponents(
  settings: Settings,
  logger: Logger,
): Promise<SharedComponents> {
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

/** The components that run calls on the upstreams of this host. */
interface InstanceComponents {
  readonly table: InstanceTable;
  readonly dispatcher: InstanceDispatcher;
}

function createInstanceComponents(shared: SharedComponents): InstanceComponents {
  const { settings, logger, store } = shared;
  const { members } = shared.deferred;
  const table = createInstanceTable({
    members,
    ttlMs: settings.announcementTtlMs,
    ownHost: settings.host,
    logger,
  });
  const deduplication = createDeduplicationStore({
    maxKeys: settings.calls.rememberedRequests,
    retentionMs: settings.calls.rememberMs,
  });
  const dispatcher = createLocalDispatcher({
    table,
    store,
    deduplication,
    logger,
  });
  return { table, dispatcher };
}

/** The components that observe calls. */
interface ObserverComponents {
  readonly stats: CallStats;
  readonly metrics: Metrics;
  readonly observer: CallObserver;
}

function createObserverComponents({
  store,
  deferred,
  counters,
  usage,
}: SharedComponents): ObserverComponents {
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

/** The ports published in the member record; they open before the membership starts. */
interface MeshPorts {
  readonly peerServer: PeerServer;
  readonly callPort: CallPort;
}

async function openMeshPorts(
  shared: SharedComponents,
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

/** The tasks that communicate with other nodes. */
interface PeerTasks {
  readonly membership: Membership;
  readonly distribution: Distribution;
}

/** Starts membership, then distribution, and registers their methods at the peer port. */
function startPeerTasks(
  shared: SharedComponents,
  { peerServer, callPort }: MeshPorts,
  firstAnnouncement: Promise<void>,
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
    upstreamAnnounced: firstAnnouncement,
  });
  peerServer.addMethods(distribution.methods);
  return { membership, distribution };
}

async function openAnnouncePort(
  shared: SharedComponents,
  table: InstanceTable,
): Promise<AnnouncePort> {
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
  { settings, logger }: SharedComponents,
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

/** Constructs and starts the components in the order of their dependencies. */
async function startComponents(settings: Settings, logger: Logger): Promise<RunningNode> {
  const shared = await createSharedComponents(settings, logger);
  const { usage, counters, peers, platform, store } = shared;
  const { table, dispatcher } = createInstanceComponents(shared);
  const { stats, metrics, observer } = createObserverComponents(shared);
  const meshPorts = await openMeshPorts(shared, dispatcher, observer);
  const { peerServer, callPort } = meshPorts;
  const firstAnnouncement = new Promise<void>((resolve) => {
    table.onChange(() => resolve());
  });
  const { membership, distribution } = startPeerTasks(shared, meshPorts, firstAnnouncement);
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
    return { abortedCalls: Math.max(entry.abortedCalls, instance.abortedCalls) };
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
    return ok(await startComponents(settings, logger));
  } catch (thrown) {
    return err(toStepError(thrown, 'node.start', 'self'));
  }
}
