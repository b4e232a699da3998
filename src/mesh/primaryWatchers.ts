/**
 * Selects how long each watch of a node waits in one long poll, and how long it pauses after a
 * change. It performs no I/O and reads no clock.
 *
 * It is designed for the load of a fleet on the store. In an idle fleet each renewal of a watch is
 * a call, and only primary watchers renew their watches often. While instances are replaced, each
 * node makes a call for each change, unless changes share a call.
 */
import type { DataCentre, NodeId } from '../types/ids.js';
import type { SourceNode } from './configSources.js';
import type { WatchRole } from './followedSources.js';

/**
 * Bounds of the pause after a change before the next watch. Changes that come within it share a
 * call; it also delays the second of two changes.
 */
const PAUSE_BOUNDS_MS = { min: 300, max: 1000 };

/** Pause for each node of the fleet, which bounds the calls of the whole fleet per second. */
const PAUSE_PER_NODE_MS = 12;

/**
 * Time by which the wait of primary watchers is shorter than the age at which their evidence is too
 * old. It covers a slow response, and the time that other nodes take to ask for that evidence.
 */
const PRIMARY_RESERVE_MS = 800;

/** Number of sources of a data centre unless some of them are without the store. */
const SOURCES = 2;

/** Shortest wait of primary watchers, which bounds their calls to the store. */
const MIN_PRIMARY_WAIT_MS = 300;

/** Wait of the second source of a data centre, and of followers while their sources fail. */
const SOURCE_WAIT_MS = 3300;

/** Wait of the other nodes, which get evidence that they have missed nothing from other nodes. */
const SECONDARY_WAIT_MS = 25_000;

/** Minimum number of primary watchers over all data centres. */
const MIN_PRIMARY_WATCHERS = 3;

/** A node that is ready and responds. */
export interface WatchingNode {
  readonly nodeId: NodeId;
  readonly dataCentre: DataCentre;
  /** Bandwidth of the link of its host; records of older builds lack it. */
  readonly linkMbps?: number | undefined;
}

function compareWatchers(one: WatchingNode, other: WatchingNode): number {
  const linkOrder = (other.linkMbps ?? 0) - (one.linkMbps ?? 0);
  return linkOrder || (one.nodeId < other.nodeId ? -1 : 1);
}

/**
 * Returns the primary watchers: the node with the fastest link of each data centre, and further
 * nodes up to the minimum number. They are sources of the configuration, so that one source knows
 * a revision that the history of the store still covers.
 */
export function listPrimaryWatchers(nodes: readonly WatchingNode[]): ReadonlySet<NodeId> {
  const sorted = [...nodes].sort(compareWatchers);
  const primaryWatchers = new Set<NodeId>();
  const dataCentres = new Set<DataCentre>();
  for (const { nodeId, dataCentre } of sorted) {
    if (dataCentres.has(dataCentre)) continue;
    dataCentres.add(dataCentre);
    primaryWatchers.add(nodeId);
  }
  for (const { nodeId } of sorted) {
    if (primaryWatchers.size >= MIN_PRIMARY_WATCHERS) break;
    primaryWatchers.add(nodeId);
  }
  return primaryWatchers;
}

/** Number of nodes that a node asks for evidence. */
const CONFIRMERS = 1;

/**
 * Returns the nodes that a node that follows no others asks for evidence that it has missed no
 * change: the primary watcher of its data centre, or else another one. Empty for a primary watcher.
 */
export function listConfirmers<Node extends SourceNode>(
  own: SourceNode,
  nodes: readonly Node[],
): readonly Node[] {
  const primaryWatchers = listPrimaryWatchers(nodes);
  if (primaryWatchers.has(own.nodeId)) return [];
  const others = nodes.filter(({ nodeId }) => nodeId !== own.nodeId);
  const local = others.filter(({ dataCentre }) => dataCentre === own.dataCentre);
  if (local.length > 0) return [...local].sort(compareWatchers).slice(0, CONFIRMERS);
  return others.filter(({ nodeId }) => primaryWatchers.has(nodeId)).slice(0, CONFIRMERS);
}

/** Returns the pause of a node after a change, in milliseconds; few nodes are sources. */
export function chooseChangePauseMs(
  nodeCount: number,
  role: WatchRole<unknown>['kind'] = 'independent',
): number {
  const { min, max } = PAUSE_BOUNDS_MS;
  if (role === 'source') return min;
  return Math.min(max, Math.max(min, nodeCount * PAUSE_PER_NODE_MS));
}

/** Returns true when a source replaces others, whose evidence its followers would ask for. */
function isReplacement(ownId: NodeId, nodes: readonly WatchingNode[]): boolean {
  const own = nodes.find(({ nodeId }) => nodeId === ownId);
  const local = nodes.filter(({ dataCentre }) => dataCentre === own?.dataCentre);
  return [...local].sort(compareWatchers).findIndex((node) => node === own) >= SOURCES;
}

/**
 * Returns how long the next watch of a node waits in one call, in milliseconds. Primary watchers
 * renew their watches so often that their evidence is never older than `maxUnconfirmedMs`, and so
 * do sources that replace others; the other nodes get theirs from them.
 */
export function chooseWatchWaitMs(
  ownId: NodeId,
  nodes: readonly WatchingNode[],
  role: WatchRole<unknown>['kind'],
  maxUnconfirmedMs: number,
): number {
  const primaryWatchers = listPrimaryWatchers(nodes);
  const isPrimary = primaryWatchers.has(ownId) || primaryWatchers.size < MIN_PRIMARY_WATCHERS;
  if (isPrimary || (role === 'source' && isReplacement(ownId, nodes))) {
    return Math.max(MIN_PRIMARY_WAIT_MS, maxUnconfirmedMs - PRIMARY_RESERVE_MS);
  }
  return role === 'independent' ? SECONDARY_WAIT_MS : SOURCE_WAIT_MS;
}
