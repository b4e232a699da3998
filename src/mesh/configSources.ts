/**
 * Selects the nodes that read whole versions of the configuration from the store and serve the
 * changes to the others. It performs no I/O.
 *
 * It is designed for hosts with low-bandwidth links, on which a whole version delays the requests
 * of callers until it has been transferred.
 */
import type { DataCentre, NodeId } from '../types/ids.js';

/** Number of sources of a data centre; either can fail while the other still serves. */
const SOURCES_PER_DATA_CENTRE = 2;

/** Time for which one response of the store may use the link of the host. */
const MAX_LINK_USE_MS = 50;

/** Size of a large configuration; a host whose link carries it in time reads it from the store. */
const LARGE_CONFIG_BYTES = 384 * 1024;

/** A node that is ready and responds. */
export interface SourceNode {
  readonly nodeId: NodeId;
  readonly dataCentre: DataCentre;
  /** Bandwidth of the link of its host; 0 if the node does not report it. */
  readonly linkMbps: number;
}

/** Returns the size up to which a response of the store is read over a link, in bytes. */
export function computeMaxResponseBytes(linkMbps: number): number {
  const bytesPerMs = (linkMbps * 1000) / 8;
  return bytesPerMs * MAX_LINK_USE_MS;
}

function compareSources(one: SourceNode, other: SourceNode): number {
  return other.linkMbps - one.linkMbps || (one.nodeId < other.nodeId ? -1 : 1);
}

/**
 * Returns the nodes to ask for changes, those of the own data centre if it has any. Empty when the
 * node is a source itself or no other node is known.
 */
export function listConfigSources<Node extends SourceNode>(
  own: SourceNode,
  nodes: readonly Node[],
): readonly Node[] {
  const sorted = [...nodes].sort(compareSources);
  const local = sorted.filter(({ dataCentre }) => dataCentre === own.dataCentre);
  const localSources = local.slice(0, SOURCES_PER_DATA_CENTRE);
  if (localSources.some(({ nodeId }) => nodeId === own.nodeId)) return [];
  if (localSources.length > 0) return localSources;
  return sorted.filter(({ nodeId }) => nodeId !== own.nodeId).slice(0, SOURCES_PER_DATA_CENTRE);
}

/** Returns the nodes with the fastest links in other data centres. */
export function listRemoteSources<Node extends SourceNode>(
  own: SourceNode,
  nodes: readonly Node[],
): readonly Node[] {
  const remote = nodes.filter(({ dataCentre }) => dataCentre !== own.dataCentre);
  return remote.sort(compareSources).slice(0, SOURCES_PER_DATA_CENTRE);
}

/**
 * Returns the nodes that a starting node asks for the whole version. Empty when no source has a
 * faster link, since none then reads the version from the store sooner than this node.
 */
export function listStartSources<Node extends SourceNode>(
  own: SourceNode,
  nodes: readonly Node[] | undefined,
): readonly Node[] | undefined {
  if (computeMaxResponseBytes(own.linkMbps) >= LARGE_CONFIG_BYTES) return [];
  if (!nodes) return undefined;
  const others = nodes.filter(({ nodeId }) => nodeId !== own.nodeId);
  return listConfigSources(own, others).filter(({ linkMbps }) => linkMbps > own.linkMbps);
}
