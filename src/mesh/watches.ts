/**
 * Starts the watches of a node: of the configuration and of the node list, at the store or at the
 * nodes that it follows, and the confirmations that no change was missed.
 */
import type { NodeId } from '../types/ids.js';
import { ConfigFetcher } from './configFetcher.js';
import type { ConfigHolder } from './configHolder.js';
import {
  computeMaxResponseBytes,
  listConfigSources,
  listRemoteSources,
  listStartSources,
} from './configSources.js';
import { computeMaxUnconfirmedMs, startConfirmations } from './confirmations.js';
import type { Directory } from './directory.js';
import type { EventLog } from './eventLog.js';
import { chooseWatchRole } from './followedSources.js';
import {
  createConfigFollower,
  createNodesFollower,
  toSourceNode,
  type NodeFollower,
} from './followers.js';
import type { KindPosition } from './kindPosition.js';
import type { MeshSettings } from './model.js';
import type { NodeHistory } from './nodeHistory.js';
import type { NodeListener } from './nodeListener.js';
import { NODE_KIND } from './nodeRecord.js';
import { chooseChangePauseMs, chooseWatchWaitMs, listConfirmers } from './primaryWatchers.js';
import type { MeshStore } from './store.js';
import type { StoreContact } from './storeContact.js';
import { watchKind } from './watchKind.js';

/** Pause after a change of the configuration, whose versions are in force within seconds. */
const CONFIG_PAUSE_MS = 300;

/** The parts of a node that its watches read from and report to. */
export interface WatchesOptions {
  /** Kind of the object that holds the configuration. */
  readonly configKind: string;
  readonly nodeId: NodeId;
  readonly getSettings: () => MeshSettings;
  readonly store: MeshStore;
  readonly log: EventLog;
  readonly config: ConfigHolder;
  readonly nodes: NodeListener;
  readonly nodeHistory: NodeHistory;
  readonly directory: Directory;
  readonly positions: { readonly config: KindPosition; readonly nodes: KindPosition };
  readonly contacts: { readonly config: StoreContact; readonly nodes: StoreContact };
  readonly isStopped: () => boolean;
}

/** Starts the watches, which end with `isStopped`; returns a function that ends confirmations. */
export function startWatches(options: WatchesOptions): () => void {
  const { configKind, nodeId, getSettings, store, log, config, nodes, nodeHistory } = options;
  const { directory, positions, contacts, isStopped } = options;
  const listResponding = () => directory.listResponding(performance.now());
  const fetcher = new ConfigFetcher({
    holder: config,
    position: positions.config,
    log,
    listSources: () => {
      const candidates = listResponding().map(toSourceNode);
      const sources = listConfigSources(getSettings(), candidates);
      // A node that is no source itself reads the store when those of its data centre cannot.
      const remote = sources.length > 0 ? listRemoteSources(getSettings(), candidates) : [];
      return [...sources, ...remote].map(({ calls }) => calls);
    },
    listStartSources: () => {
      const candidates = nodes.hasReceivedList() ? listResponding().map(toSourceNode) : undefined;
      return listStartSources(getSettings(), candidates)?.map(({ calls }) => calls);
    },
  });
  const followerOptions = {
    log,
    own: getSettings,
    listNodes: () => listResponding().map(toSourceNode),
    chooseRole: chooseWatchRole,
  };
  const configFollower = createConfigFollower({ ...followerOptions, kind: configKind }, fetcher);
  const nodesFollower = createNodesFollower(
    { ...followerOptions, kind: NODE_KIND },
    positions.nodes,
  );
  const chooseWaitMs = (follower: NodeFollower) => {
    const records = listResponding().map(({ record }) => record);
    const maxUnconfirmedMs = computeMaxUnconfirmedMs(getSettings().silenceLimitMs);
    return chooseWatchWaitMs(nodeId, records, follower.getRole().kind, maxUnconfirmedMs);
  };
  const watchOptions = { store, log, isStopped };
  void watchKind({
    ...watchOptions,
    kind: configKind,
    getWaitMs: () => chooseWaitMs(configFollower),
    getPauseMs: () => CONFIG_PAUSE_MS,
    listener: config,
    position: positions.config,
    contact: contacts.config,
    follower: configFollower,
    source: {
      // Without an installed version there is nothing to which a change could be applied.
      getMaxBytes: () =>
        config.get() ? computeMaxResponseBytes(getSettings().linkMbps) : undefined,
      fetch: (revision, canConfirm) => fetcher.fetch(revision, canConfirm),
      fetchFirst: () => fetcher.fetchFirst(),
    },
  });
  void watchKind({
    ...watchOptions,
    kind: NODE_KIND,
    getWaitMs: () => chooseWaitMs(nodesFollower),
    getPauseMs: () => chooseChangePauseMs(directory.countNodes(), nodesFollower.getRole().kind),
    listener: {
      applyList: (list) => nodeHistory.applyList(nodes.applyList(list)),
      applyEvent: (event) => nodeHistory.applyEvent(nodes.applyEvent(event)),
    },
    position: positions.nodes,
    contact: contacts.nodes,
    follower: nodesFollower,
  });
  return startConfirmations({
    positions: [positions.config, positions.nodes],
    listConfirmers: () => {
      const role = nodesFollower.getRole();
      const nodesToAsk =
        role.kind === 'follower'
          ? role.sources
          : listConfirmers(getSettings(), listResponding().map(toSourceNode));
      return nodesToAsk.map(({ calls }) => calls);
    },
    getSilenceLimitMs: () => getSettings().silenceLimitMs,
    isFollower: () => nodesFollower.getRole().kind === 'follower',
  });
}
