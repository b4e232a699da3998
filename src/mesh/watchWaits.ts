/**
 * Decides how long the watches of a node wait in one call. It has no network and no clock. It
 * answers the load that a fleet puts on the store in calm: each renewal of a watch is a call.
 */
import type { DataCentre, NodeId } from '../types/ids.js';

/**
 * Wait of a node that looks out for the others. Together with the timeout of the client it bounds
 * how long silent connections of the whole fleet can hide a change.
 */
const LOOKOUT_WATCH_MS = 3300;

/** Wait of the other nodes; they learn from calls of others that a change has passed them by. */
const WATCH_MS = 25_000;

/** Least number of nodes that look out, over all data centres. */
const MIN_LOOKOUTS = 3;

/** A node that responds. */
export interface WatchingNode {
  readonly nodeId: NodeId;
  readonly dataCentre: DataCentre;
}

/** Returns the nodes that look out: the first of each data centre, and others up to the least. */
export function listLookouts(nodes: readonly WatchingNode[]): ReadonlySet<NodeId> {
  const sorted = [...nodes].sort((one, other) => (one.nodeId < other.nodeId ? -1 : 1));
  const lookouts = new Set<NodeId>();
  const dataCentres = new Set<DataCentre>();
  for (const { nodeId, dataCentre } of sorted) {
    if (dataCentres.has(dataCentre)) continue;
    dataCentres.add(dataCentre);
    lookouts.add(nodeId);
  }
  for (const { nodeId } of sorted) {
    if (lookouts.size >= MIN_LOOKOUTS) break;
    lookouts.add(nodeId);
  }
  return lookouts;
}

/** Returns the wait of the next watch of a node, in milliseconds. */
export function chooseWatchMs(ownId: NodeId, nodes: readonly WatchingNode[]): number {
  const lookouts = listLookouts(nodes);
  return lookouts.has(ownId) || lookouts.size < MIN_LOOKOUTS ? LOOKOUT_WATCH_MS : WATCH_MS;
}
