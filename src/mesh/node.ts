/** Constructs the parts of a mesh node and connects them. */
import { randomUUID } from 'node:crypto';
import { createServer, type Server } from 'node:http';
import { toStepError } from '../errors.js';
import { brandText, type NodeId } from '../types/ids.js';
import type { PeerAddress } from '../types/interfaces.js';
import { waitMs } from '../utils/backoff.js';
import type { LogFields } from '../utils/formatEvent.js';
import { listen } from '../utils/listen.js';
import { unwrap } from '../utils/unwrap.js';
import { createAnnouncementPort, type Announcement } from './announcements.js';
import { createCallPort } from './callPort.js';
import { CallRouter } from './callRouter.js';
import { Directory } from './directory.js';
import type { EventLog } from './eventLog.js';
import type { HeaderNames } from './headers.js';
import { LocalInstance } from './localInstance.js';
import { LocalRunner } from './localRunner.js';
import { MeshMetrics } from './meshMetrics.js';
import type { MeshConfig, MeshSettings, NodeRecord } from './model.js';
import { decodePublishedNode, NODE_KIND, NO_INSTANCE, type PublishedNode } from './nodeRecord.js';
import { createPeerPort } from './peerPort.js';
import { Publisher } from './publisher.js';
import { RepeatBudget } from './repeats.js';
import type { MeshStore, StoredObject } from './store.js';
import { TargetChooser } from './targets.js';
import { watchKind, type KindListener } from './watchKind.js';

/** What the platform's adapter supplies. */
export interface NodeAdapter {
  readonly names: HeaderNames;
  readonly store: MeshStore;
  /** Kind and name of the object that holds the configuration. */
  readonly configKind: string;
  readonly configName: string;
  readonly decodeConfig: (value: unknown) => MeshConfig | string;
  readonly decodeAnnouncement: (path: string, body: Buffer) => Announcement;
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
  /** Leaves without cutting requests; resolves when all have ended or the limit is near. */
  stop(): Promise<void>;
  /** Closes everything at once. */
  close(): Promise<void>;
  /** Applies changed settings. */
  reload(): void;
}

/** Time after the start of a stop for which other nodes may still send requests. */
const PEER_GRACE_MS = 2500;

/** Time after the start of a stop for which new requests are taken. */
const TAKE_GRACE_MS = 3200;

/** Share of the stop limit after which the process ends, whatever is still under way. */
const STOP_SHARE = 0.88;

/** How often a stopping node looks for requests under way, in milliseconds. */
const STOP_CHECK_MS = 50;

/** Starts a node. Throws when a port cannot be bound. */
export async function startMeshNode(options: NodeOptions): Promise<MeshNode> {
  const { adapter, getSettings, log } = options;
  const settings = getSettings();
  const { names, store } = adapter;
  const processId = randomUUID().slice(0, 8);
  const metrics = new MeshMetrics();
  const instance = new LocalInstance();
  const directory = new Directory(settings.nodeId, log);
  const targets = new TargetChooser();
  let config: MeshConfig | undefined;
  let hasListed = false;
  let isStopping = false;

  const getWanted = (): PublishedNode | undefined => {
    const state = instance.getState();
    const left = instance.getLeft();
    if (state.kind === 'gone' && isStopping) return undefined;
    const heartbeat = state.kind === 'ready' || state.kind === 'leaving' ? state.heartbeat : null;
    if (!heartbeat && !left) return undefined;
    const { nodeId, dataCentre, ports, service } = getSettings();
    const record: NodeRecord = {
      nodeId,
      incarnation: processId,
      dataCentre,
      address: ports.peers,
      service: heartbeat?.service ?? service,
      instanceId: heartbeat?.instanceId ?? left?.instanceId ?? NO_INSTANCE,
      startedAtMs: heartbeat?.startedAtMs ?? 0,
      sequence: 0,
      slots: heartbeat?.slots ?? 0,
      state: state.kind === 'ready' && !isStopping ? 'ready' : 'leaving',
    };
    return left ? { record, left } : { record };
  };

  const publisher = new Publisher(settings.nodeId, store, log, getWanted);

  const runner = new LocalRunner({
    instance,
    getAddress: () => getSettings().instanceAddress,
    names,
    log,
    onMismatch: (instanceId) => {
      log.write('warn', 'instance-mismatch', { instance: instanceId });
      instance.recordMismatch(instanceId);
      void publisher.sync();
    },
  });

  const onInstanceChange = async (): Promise<void> => {
    runner.handleInstanceChange();
    const wanted = getWanted();
    if (wanted) directory.update(wanted.record);
    await publisher.sync();
  };

  const router = new CallRouter({
    getSettings,
    directory,
    runner,
    repeats: new RepeatBudget(settings.repeats),
    targets,
    log,
    metrics,
    processId,
  });
  const callPort = createCallPort({
    getSettings,
    getConfig: () => config,
    router,
    names,
    log,
    metrics,
  });
  const peerPort = createPeerPort({ runner, processId, names });
  const announcementPort = createAnnouncementPort({
    instance,
    log,
    decode: adapter.decodeAnnouncement,
    getExpected: () => ({
      address: getSettings().instanceAddress,
      service: getSettings().service,
    }),
    onChange: onInstanceChange,
  });
  const isReady = () => config !== undefined && hasListed && !isStopping;
  const readyPort = createServer((request, response) => {
    request.resume();
    response.writeHead(isReady() ? 200 : 503, { 'Content-Length': 0 }).end();
  });
  const metricsPort = createServer((request, response) => {
    request.resume();
    const isKnown = request.url === options.metricsPath;
    response.writeHead(isKnown ? 200 : 404, { 'Content-Type': 'text/plain' });
    response.end(isKnown ? metrics.render() : '');
  });
  metrics.registerGauge('running', () => runner.countRunning());
  metrics.registerGauge('open_calls', () => callPort.countOpen());
  metrics.registerGauge('config_version', () => config?.version ?? 0);

  const installConfig = (object: StoredObject) => {
    if (object.name !== adapter.configName) return;
    const decoded = adapter.decodeConfig(object.value);
    if (typeof decoded === 'string') {
      log.write('error', 'config-refused', { step: 'config.decode', reason: decoded });
      return;
    }
    if (config && decoded.version <= config.version) {
      if (decoded.version < config.version) {
        log.write('warn', 'config-older', { version: decoded.version, held: config.version });
      }
      return;
    }
    config = decoded;
    targets.evictRoutes(decoded);
    callPort.applyLimits(decoded.limits);
    log.write('info', 'config-installed', { version: decoded.version });
  };

  const applyNode = ({ name, revision, value }: StoredObject) => {
    const published = decodePublishedNode(value);
    if (name === settings.nodeId) {
      if (published?.left) instance.restoreLeft(published.left);
      publisher.recordSeen(revision, published);
      if (published) return;
    }
    if (!published || published.record.nodeId !== name) {
      log.write('warn', 'record-invalid', { peer: name });
      return;
    }
    directory.update(published.record);
  };

  const nodeListener: KindListener = {
    applyList({ objects, revision }) {
      for (const object of objects) applyNode(object);
      const listed = new Set(objects.map(({ name }) => brandText<NodeId>(name)));
      listed.add(settings.nodeId);
      directory.markMissing(listed, performance.now());
      if (!objects.some(({ name }) => name === settings.nodeId)) {
        publisher.recordSeen(revision, undefined);
      }
      hasListed = true;
    },
    applyEvent(event) {
      switch (event.kind) {
        case 'stored':
          applyNode(event.object);
          break;
        case 'removed':
          if (event.name === settings.nodeId) publisher.recordSeen(event.revision, undefined);
          else directory.markUnlisted(brandText<NodeId>(event.name), performance.now());
          break;
        default:
          throw new Error(`unknown event ${JSON.stringify(event satisfies never)}`);
      }
    },
  };
  const configListener: KindListener = {
    applyList({ objects }) {
      for (const object of objects) installConfig(object);
    },
    applyEvent(event) {
      if (event.kind === 'stored') installConfig(event.object);
      else log.write('warn', 'config-removed', { peer: event.name });
    },
  };

  const { ports } = settings;
  const logger = {
    warn: (event: string, fields?: LogFields) => log.write('warn', event, fields),
  };
  const open = async (server: Server, address: PeerAddress, step: string) =>
    unwrap(await listen(server, { ...address, step, logger }));
  await Promise.all([
    open(callPort.server, ports.calls, 'calls.listen'),
    open(peerPort, ports.peers, 'peers.listen'),
    open(readyPort, ports.ready, 'ready.listen'),
    open(announcementPort, ports.announcements, 'announcements.listen'),
  ]);
  open(metricsPort, options.metricsAddress, 'metrics.listen').catch((thrown: unknown) => {
    const { step, peer, message } = toStepError(thrown, 'metrics.listen', 'self');
    log.write('warn', 'metrics-unavailable', { step, peer, reason: message });
  });
  const isStopped = () => isStopping;
  const common = { store, log, isStopped };
  void watchKind({ ...common, kind: adapter.configKind, listener: configListener });
  void watchKind({ ...common, kind: NODE_KIND, listener: nodeListener });
  log.write('info', 'started', { service: settings.service, process: processId });

  const servers = [callPort.server, peerPort, readyPort, announcementPort, metricsPort];
  const closeParts = () => {
    publisher.stop();
    runner.close();
    directory.close();
    store.close();
  };

  const stop = async (): Promise<void> => {
    const startedAtMs = performance.now();
    const limitMs = getSettings().stopLimitMs * STOP_SHARE;
    isStopping = true;
    log.write('info', 'stopping', { limitMs, open: callPort.countOpen() });
    callPort.closeAfterResponses();
    void publisher.sync();
    await waitMs(PEER_GRACE_MS);
    runner.stopTaking();
    await waitMs(TAKE_GRACE_MS - PEER_GRACE_MS);
    // The port stays open: callers that have nowhere else to go are told when to come back.
    callPort.refuseNew();
    const isBusy = () => callPort.countOpen() + runner.countRunning() > 0;
    while (isBusy() && performance.now() - startedAtMs < limitMs) await waitMs(STOP_CHECK_MS);
    log.write('info', 'stopped', { open: callPort.countOpen(), running: runner.countRunning() });
    closeParts();
  };

  return {
    stop,
    async close() {
      isStopping = true;
      closeParts();
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    },
    reload() {
      runner.handleInstanceChange();
      log.write('info', 'settings-reloaded', { service: getSettings().service });
    },
  };
}
