/** Constructs and connects the components of a mesh node. */
import { randomUUID } from 'node:crypto';
import type { Server } from 'node:http';
import { toStepError } from '../errors.js';
import type { PeerAddress } from '../types/interfaces.js';
import type { LogFields } from '../utils/formatEvent.js';
import { listen } from '../utils/listen.js';
import { unwrap } from '../utils/unwrap.js';
import { AccountGate } from './accounts/accountGate.js';
import { CallEntry } from './accounts/callEntry.js';
import { AcceptMonitor } from './acceptMonitor.js';
import { createAnnouncementPort, type Announcement } from './announcements.js';
import { BodyTransfers } from './bodyTransfers.js';
import { createCallPort } from './callPort.js';
import { CallMonitor } from './callMonitor.js';
import { CallRouter } from './callRouter.js';
import { ConfigAnswers } from './configAnswers.js';
import { ConfigHistory } from './configHistory.js';
import { ConfigHolder } from './configHolder.js';
import { createCoordination } from './coordination/createCoordination.js';
import { Directory } from './directory.js';
import type { EventLog } from './eventLog.js';
import type { HeaderNames } from './headers.js';
import { InstanceVerifier } from './instanceVerifier.js';
import { KindPosition } from './kindPosition.js';
import { LocalInstance } from './localInstance.js';
import { LocalRunner } from './localRunner.js';
import { LoopMonitor } from './loopMonitor.js';
import { ClientConnections } from './memory/clientConnections.js';
import { computeAccountLimits, computeClientLimits, NODE_LIMITS } from './memory/limits.js';
import { MemoryAccount } from './memory/memoryAccount.js';
import { MeshMetrics } from './meshMetrics.js';
import type { MeshConfig, MeshSettings } from './model.js';
import { NodeAnswers } from './nodeAnswers.js';
import { NodeHistory } from './nodeHistory.js';
import { NodeListener } from './nodeListener.js';
import { startNodeMonitor } from './nodeMonitor.js';
import { buildPublishedNode } from './nodeRecord.js';
import { OverloadThrottle } from './overloadThrottle.js';
import { createPeerPort } from './peerPort.js';
import { Publisher } from './publisher.js';
import { ReadScheduler } from './reading/readScheduler.js';
import { RequestMemory } from './requestMemory.js';
import { ResponseMemory } from './responseMemory.js';
import { RetryBudget } from './retryBudget.js';
import { startRecordPruner } from './recordPruner.js';
import { RevisionExchange } from './revisionExchange.js';
import type { RolloutCodec } from './rollouts/model.js';
import { createRolloutParts } from './rollouts/rolloutParts.js';
import { createMetricsPort, createReadyPort } from './statusPorts.js';
import { stopNode } from './stopNode.js';
import type { MeshStore } from './store.js';
import { StoreContact } from './storeContact.js';
import { SuspensionDetector } from './suspensionDetector.js';
import { listRouteNames, TargetChooser } from './targets.js';
import { startWatches } from './watches.js';

/** Bound of the difference between the clock of this process and that of its instance. */
const INSTANCE_CLOCK_MARGIN_MS = 1000;

/** Adapter to the platform. */
export interface NodeAdapter {
  readonly names: HeaderNames;
  readonly store: MeshStore;
  /** Kind and name of the object that holds the configuration. */
  readonly configKind: string;
  readonly configName: string;
  readonly decodeConfig: (value: unknown) => MeshConfig | string;
  readonly decodeAnnouncement: (path: string, body: Buffer) => Announcement;
  readonly rollouts: RolloutCodec;
}

/** Options of a node. */
export interface NodeOptions {
  readonly adapter: NodeAdapter;
  readonly getSettings: () => MeshSettings;
  readonly log: EventLog;
  readonly metricsAddress: PeerAddress;
  readonly metricsPath: string;
}

/** A running node. */
export interface MeshNode {
  /** Shuts down gracefully; resolves when all requests have ended or shortly before the limit. */
  stop(): Promise<void>;
  /** Stops the node immediately, without waiting for open requests. */
  close(): Promise<void>;
  /** Applies changed settings. */
  reload(): void;
}

function listenAll(
  servers: readonly (readonly [server: Server, address: PeerAddress, step: string])[],
  log: EventLog,
): Promise<number[]> {
  const logger = {
    warn: (event: string, fields?: LogFields) => log.write('warn', event, fields),
  };
  return Promise.all(
    servers.map(async ([server, address, step]) =>
      unwrap(await listen(server, { ...address, step, logger })),
    ),
  );
}

/** Starts a node. Throws when a port cannot be bound. */
export async function startMeshNode(options: NodeOptions): Promise<MeshNode> {
  const { adapter, getSettings, log } = options;
  const settings = getSettings();
  const { names, store } = adapter;
  const { nodeId, ports } = settings;
  const processId = randomUUID().slice(0, 8);
  const metrics = new MeshMetrics();
  const instance = new LocalInstance(Date.now() + INSTANCE_CLOCK_MARGIN_MS);
  const detector = new SuspensionDetector();
  const positions = {
    config: new KindPosition(store.era, detector),
    nodes: new KindPosition(store.era, detector),
  };
  const contacts = { config: new StoreContact(), nodes: new StoreContact() };
  const nodeHistory = new NodeHistory();
  const seen = new RevisionExchange([positions.config, positions.nodes], store.era);
  const account = new MemoryAccount(computeAccountLimits(settings.memoryMb));
  const responseMemory = new ResponseMemory(account);
  store.setMemory(new ResponseMemory(account, false));
  const directory = new Directory(nodeId, log, seen, detector, responseMemory);
  const targets = new TargetChooser();
  let isStopping = false;

  const getDesired = () => buildPublishedNode(instance, getSettings(), processId, isStopping);
  const publisher = new Publisher(nodeId, store, log, getDesired);
  const loop = new LoopMonitor();
  const transfers = new BodyTransfers(settings.linkMbps);
  const rolloutParts = settings.rollout
    ? createRolloutParts({ adapter, getSettings, instance, log, metrics })
    : undefined;
  const runner = new LocalRunner({
    detector,
    runCounter: rolloutParts?.counter,
    memory: responseMemory,
    getPendingTransferMs: () => transfers.getPendingMs(),
    instance,
    loop,
    getAddress: () => getSettings().instanceAddress,
    names,
    log,
    onLeaving: (instanceId) => instance.recordLeaving(instanceId),
    onMismatch: (instanceId) => {
      log.write('warn', 'instance-mismatch', { instance: instanceId });
      instance.recordMismatch(instanceId);
      void publisher.sync();
    },
  });
  const requestMemory = new RequestMemory(account);
  const overloadThrottle = new OverloadThrottle();
  const config = new ConfigHolder({
    name: adapter.configName,
    decode: adapter.decodeConfig,
    log,
  });
  const getConfig = () => config.get();
  const gate = new AccountGate({
    getPolicy: () => getSettings().revocation,
    getConfig,
    position: positions.config,
    log,
    metrics,
  });
  const router = new CallRouter({
    gate,
    rolloutGate: rolloutParts?.gate,
    getSettings,
    names,
    directory,
    runner,
    retryBudget: new RetryBudget(settings.retryBudget),
    overloadThrottle,
    targets,
    log,
    metrics,
    processId,
  });
  const applyInstanceChange = async () => {
    runner.handleInstanceChange();
    const desired = getDesired();
    if (desired) directory.update(desired.record);
    await publisher.sync();
  };
  instance.onLeaving((instanceId) => {
    log.write('info', 'instance-leaving', { instance: instanceId, source: 'response' });
    void applyInstanceChange();
  });
  const verifier = new InstanceVerifier({
    instance,
    names,
    log,
    getAddress: () => getSettings().instanceAddress,
    getHealthPath: () => {
      const { service } = getSettings();
      return getConfig()?.healthPaths?.find((entry) => entry.service === service)?.path;
    },
    onVerified: () => {
      void applyInstanceChange();
    },
  });
  const nodes = new NodeListener({
    ownId: nodeId,
    instance,
    publisher,
    directory,
    log,
    onFirstProcess: () => {
      instance.recordFirstProcess();
      void applyInstanceChange();
    },
  });
  const coordination = createCoordination({
    getSettings,
    getConfig,
    processId,
    directory,
    hasReceivedList: () => nodes.hasReceivedList(),
    isStopping: () => isStopping,
    detector,
    rollouts: rolloutParts?.source,
    directives: rolloutParts?.listener,
    log,
    metrics,
  });
  const callPort = createCallPort({
    loop,
    getSettings,
    getConfig,
    router,
    entry: new CallEntry({
      gate,
      quotas: coordination.quotas,
      getUncountedMs: coordination.getUncountedMs,
    }),
    accepts: new AcceptMonitor(),
    memory: requestMemory,
    clients: new ClientConnections(
      account,
      computeClientLimits(settings),
      (reason) => metrics.count('closed_clients', `reason="${reason}"`),
      new ReadScheduler(),
    ),
    names,
    log,
    metrics,
  });
  const history = new ConfigHistory();
  config.onInstall((installed, revision) => {
    history.record(installed, revision);
    positions.config.recordChange(revision);
    const routes = listRouteNames(installed);
    targets.evictRoutes(routes);
    overloadThrottle.evictRoutes(routes);
    callPort.applyConfig(installed.limits, routes);
    coordination.applyConfig(installed);
    void verifier.verify();
  });
  store.era.onRise((era, previous) => {
    log.write('info', 'store-era', { era, previous, config: config.get()?.version });
    publisher.forgetStoredState();
    directory.forgetRevisions();
    history.forgetRevisions();
    nodeHistory.forget();
  });
  const configAnswers = new ConfigAnswers({
    holder: config,
    history,
    position: positions.config,
    contact: contacts.config,
  });
  const nodeAnswers = new NodeAnswers({
    history: nodeHistory,
    position: positions.nodes,
    contact: contacts.nodes,
  });
  startNodeMonitor({
    store,
    loop,
    metrics,
    log,
    countOpen: () => callPort.countOpen(),
    countRunning: () => runner.countRunning(),
    countUnsentBytes: () => directory.countUnsentBytes(),
  });
  const peerPort = createPeerPort({
    runner,
    transfers,
    processId,
    names,
    seen,
    changeAnswers: { configAnswers, nodeAnswers },
    reportAnswers: coordination.reportAnswers,
    detector,
    loop,
    log,
    memory: requestMemory,
    nodes: new ClientConnections(account, NODE_LIMITS),
    monitor: new CallMonitor({ metrics, log, getLagMs: () => loop.getLagMs() }),
  });
  const announcementPort = createAnnouncementPort({
    instance,
    log,
    decode: adapter.decodeAnnouncement,
    getExpectedInstance: () => {
      const { instanceAddress, service } = getSettings();
      return { address: instanceAddress, service };
    },
    onChange: applyInstanceChange,
    onUnverified: () => {
      void verifier.verify();
    },
  });
  const isReady = () => config.get() !== undefined && nodes.hasReceivedList() && !isStopping;
  const readyPort = createReadyPort(isReady);
  const metricsPort = createMetricsPort(metrics, options.metricsPath);
  metrics.registerGauge('running', () => runner.countRunning());
  metrics.registerGauge('peer_unsent_bytes', () => directory.countUnsentBytes());
  metrics.registerGauge('open_calls', () => callPort.countOpen());
  metrics.registerGauge('held_bytes', () => account.countBytes());
  metrics.registerGauge('config_version', () => config.get()?.version ?? 0);

  const servers = [
    [callPort.server, ports.calls, 'calls.listen'],
    [peerPort, ports.peers, 'peers.listen'],
    [readyPort, ports.ready, 'ready.listen'],
    [announcementPort, ports.announcements, 'announcements.listen'],
  ] as const;
  await listenAll(servers, log);
  listenAll([[metricsPort, options.metricsAddress, 'metrics.listen']], log).catch((thrown) => {
    const { step, peer, message } = toStepError(thrown, 'metrics.listen', 'self');
    log.write('warn', 'metrics-unavailable', { step, peer, reason: message });
  });
  const stopConfirmations = startWatches({
    configKind: adapter.configKind,
    nodeId,
    getSettings,
    store,
    log,
    config,
    nodes,
    nodeHistory,
    directory,
    positions,
    contacts,
    isStopped: () => isStopping,
  });
  const recordPruner = startRecordPruner(directory, store, log);
  log.write('info', 'started', { service: settings.service, process: processId });

  const closeComponents = () => {
    loop.stop();
    coordination.close();
    stopConfirmations();
    recordPruner.stop();
    rolloutParts?.source.close();
    positions.config.endWait();
    positions.nodes.endWait();
    publisher.stop();
    runner.close();
    directory.close();
    store.close();
  };
  return {
    async stop() {
      isStopping = true;
      for (const contact of Object.values(contacts)) contact.recordLost();
      const publishLeaving = () => {
        void publisher.sync();
      };
      const { stopLimitMs } = getSettings();
      await stopNode({ callPort, runner, log, publishLeaving, stopLimitMs });
      closeComponents();
    },
    async close() {
      isStopping = true;
      closeComponents();
      for (const server of [...servers.map(([opened]) => opened), metricsPort]) {
        server.closeAllConnections();
        server.close();
      }
    },
    reload() {
      runner.handleInstanceChange();
      coordination.reload();
      log.write('info', 'settings-reloaded', { service: getSettings().service });
    },
  };
}
