/** Constructs the parts of a node and connects them. */
import { err, ok, type Result } from 'neverthrow';
import type { Settings } from '../generated/types.js';
import { toStepError, type StepError } from '../errors.js';
import { CallStats } from '../plugins/callStats.js';
import { createFleetStatus } from '../plugins/fleetStatus.js';
import { createMetrics } from '../plugins/metrics.js';
import { createOperatorHandlers } from '../plugins/operatorHandlers.js';
import { startOperatorPort } from '../plugins/operatorPort.js';
import { UsageSampler } from '../plugins/processUsage.js';
import { brandText, type DataCentre, type NodeId } from '../types/ids.js';
import type { Logger } from '../utils/logger.js';
import { startCallPort } from './calls/callPort.js';
import type { CallObserver } from './calls/observer.js';
import { compileRouting } from './config/compileRouting.js';
import { createDeferredMembers } from './deferredMembers.js';
import { startDistribution } from './distribution/start.js';
import { createConfigStore } from './distribution/store.js';
import { createIncarnation } from './membership/incarnation.js';
import { startMembership } from './membership/start.js';
import { createPeerClient } from './peer/client.js';
import { createControlCounters } from './peer/counters.js';
import { startPeerServer } from './peer/server.js';
import { createHttpPlatform } from './platform/httpPlatform.js';
import { startAnnouncePort } from './upstream/announcePort.js';
import { createLocalDispatcher } from './upstream/dispatcher.js';
import { createInstanceTable } from './upstream/instanceTable.js';
import { createKeyPartitions } from './upstream/keyPartitions.js';
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

async function startParts(settings: Settings, logger: Logger): Promise<RunningNode> {
  const { host } = settings;
  const site = brandText<DataCentre>(settings.dataCentre);
  const incarnation = createIncarnation();
  const usage = new UsageSampler();
  const counters = createControlCounters();
  const peers = createPeerClient({ logger, counters });
  const platform = createHttpPlatform(settings.platformUrl);
  const store = createConfigStore({ site, compile: compileRouting, logger });
  const { members, connect } = createDeferredMembers();

  const table = createInstanceTable({
    members,
    ttlMs: settings.announcementTtlMs,
    ownHost: host,
    logger,
  });
  const memory = createRequestMemory({
    maxKeys: settings.calls.rememberedRequests,
    rememberMs: settings.calls.rememberMs,
  });
  const partitions = createKeyPartitions({ platform, members, incarnation, logger });
  const dispatcher = createLocalDispatcher({
    nodeId: brandText<NodeId>(settings.nodeId),
    incarnation,
    table,
    store,
    memory,
    partitions,
    logger,
  });

  const stats = new CallStats(
    (route) => store.getRouting()?.routes.get(route)?.config.objective?.latencyMs,
  );
  store.onInstall(() => {
    const routing = store.getRouting();
    if (routing) stats.evictRoutes(routing.routes);
  });
  const metrics = createMetrics({ store, table: members, counters, usage });
  const observer: CallObserver = {
    record: (route, outcome, latencyMs) => {
      stats.record(route, outcome, latencyMs);
      metrics.record(route, outcome, latencyMs);
    },
    recordSpillOver: metrics.recordSpillOver,
    recordRetry: metrics.recordRetry,
  };

  const peerServer = (
    await startPeerServer({ host, port: settings.peerPort, logger, counters })
  )._unsafeUnwrap();
  const callPort = await startCallPort({
    host,
    port: settings.callPort,
    settings: settings.calls,
    config: store,
    members,
    dispatcher,
    observer,
    logger,
  });
  const membership = startMembership({
    settings,
    logger,
    peers,
    platform,
    getTag: store.getTag,
    self: {
      nodeId: settings.nodeId,
      dataCentre: settings.dataCentre,
      region: settings.region,
      incarnation,
      sequence: 1,
      host,
      callPort: callPort.port,
      peerPort: peerServer.port,
      state: 'joining',
      instances: [],
    },
  });
  connect(membership);
  peerServer.setSenderCheck(membership.checkSender);
  peerServer.addMethods(membership.methods);
  const distribution = startDistribution({
    settings,
    logger,
    peers,
    platform,
    members: membership,
    store,
  });
  peerServer.addMethods(distribution.methods);
  const fleet = createFleetStatus({ membership, peers, store, stats });
  peerServer.addMethods(fleet.methods);
  const announcePort = (
    await startAnnouncePort({
      host: settings.announceHost,
      port: settings.announcePort,
      ownHost: host,
      table,
      store,
      logger,
    })
  )._unsafeUnwrap();
  partitions.start();
  let isStopping = false;
  store.onReady(() => {
    if (!isStopping) membership.updateSelf({ state: 'serving' });
  });
  const operatorPort = await startOperatorPort({
    host: settings.operatorHost,
    port: settings.operatorPort,
    token: settings.operatorToken,
    logger,
    handlers: createOperatorHandlers({
      store,
      membership,
      counters,
      usage,
      metrics,
      stats,
      fleet,
      callPort,
      dispatcher,
      partitions,
    }),
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
    await partitions.stop();
    await Promise.all([distribution.stop(), membership.stop()]);
    await Promise.all([announcePort.close(), peerServer.close(), operatorPort.stop()]);
    await Promise.all([peers.close(), platform.close(), dispatcher.close()]);
    usage.stop();
    return { cut: Math.max(entry.cut, instance.cut) };
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
