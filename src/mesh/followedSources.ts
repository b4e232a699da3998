/**
 * Decides which nodes read changes from the store, and which get them from a node of their data
 * centre. It performs no I/O and reads no clock.
 *
 * It is designed for large fleets: when each node watches the store itself, the calls of the fleet
 * grow with the number of nodes times the number of changes.
 */
import type { NodeId } from '../types/ids.js';
import { listConfigSources, type SourceNode } from './configSources.js';

/**
 * Number of ready nodes of a data centre from which on only its sources watch the store. In a
 * smaller one a failed source would delay the changes for a gain of few calls.
 */
const MIN_NODES = 6;

/** How a node gets changes. */
export type WatchRole<Node> =
  /** From the store; the data centre is too small for sources. */
  | { readonly kind: 'independent' }
  /** From the store, for the other nodes too. */
  | { readonly kind: 'source' }
  /** From one of the sources, in the order in which to try them. */
  | { readonly kind: 'follower'; readonly sources: readonly Node[] };

/** Returns a number that differs between nodes, so that each source serves a part of them. */
function hashName(name: string): number {
  let hash = 0;
  for (const character of name) hash = (hash * 31 + character.charCodeAt(0)) % 65_536;
  return hash;
}

/**
 * Returns the role of a node; `nodes` are ready and respond, and may include the node itself. Nodes
 * that are avoided are no sources for now; those after them in the order of sources are.
 */
export function chooseWatchRole<Node extends SourceNode>(
  own: SourceNode,
  nodes: readonly Node[],
  isAvoided: (nodeId: NodeId) => boolean = () => false,
): WatchRole<Node> {
  const local = nodes.filter(({ dataCentre }) => dataCentre === own.dataCentre);
  if (local.length < MIN_NODES) return { kind: 'independent' };
  const usable = local.filter(({ nodeId }) => !isAvoided(nodeId));
  const sources = listConfigSources(own, usable);
  if (sources.length === 0) return { kind: 'source' };
  const first = hashName(own.nodeId) % sources.length;
  return { kind: 'follower', sources: [...sources.slice(first), ...sources.slice(0, first)] };
}
