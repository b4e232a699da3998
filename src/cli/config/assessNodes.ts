/** Assessment of which nodes enforce a version, and why others do not. */
import type { NodesAnswer, NodeStatus } from '../../generated/types.js';
import { formatRefusal } from './formatOutput.js';

/** Rollout progress of one data centre. */
export interface DataCentreProgress {
  readonly name: string;
  readonly nodes: number;
  readonly inForce: number;
  readonly reachable: boolean;
  readonly sinceMs: number | null;
}

/** A node that does not enforce the version. */
export interface PendingNode {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly version: number;
  readonly reason: string;
  /** True when the node refused exactly this version and will not enforce it later. */
  readonly isRefused: boolean;
}

/** Rollout state of a version on all nodes. */
export interface RolloutReport {
  readonly version: number;
  readonly dataCentres: readonly DataCentreProgress[];
  readonly pending: readonly PendingNode[];
  /** True when every reachable node enforces the version. */
  readonly isReachedInForce: boolean;
  /** True when every node enforces the version and every data centre is reachable. */
  readonly isEverywhere: boolean;
  /** True when reachable nodes are pending and all of them refused the version. */
  readonly isRefused: boolean;
}

function explainPending(node: NodeStatus, version: number, isReachable: boolean): string {
  if (!isReachable) return 'its data centre cannot be reached';
  if (node.refusal && node.refusal.version >= version) {
    return `refused version ${formatRefusal(node.refusal)}`;
  }
  if (node.verdict === 'suspect') return 'does not answer pings';
  if (node.version === 0) return 'has no configuration yet';
  return `still at version ${node.version}`;
}

/** Assesses an answer of `GET /v1/nodes?scope=all`; dead and left nodes are ignored. */
export function assessNodes(answer: NodesAnswer, version: number): RolloutReport {
  const nodes = answer.nodes.filter(({ verdict, state }) => verdict !== 'dead' && state !== 'left');
  const byName = new Map(answer.dataCentres.map((dataCentre) => [dataCentre.name, dataCentre]));
  const names = new Set([...byName.keys(), ...nodes.map(({ dataCentre }) => dataCentre)]);
  const isReachable = (name: string) => byName.get(name)?.reachable ?? true;
  const isInForce = (node: NodeStatus) => node.version >= version;
  const dataCentres = [...names].sort().map((name): DataCentreProgress => {
    const local = nodes.filter(({ dataCentre }) => dataCentre === name);
    return {
      name,
      nodes: local.length,
      inForce: local.filter(isInForce).length,
      reachable: isReachable(name),
      sinceMs: byName.get(name)?.sinceMs ?? null,
    };
  });
  const behind = nodes.filter((node) => !isInForce(node));
  const pending = behind.map((node): PendingNode => {
    const { nodeId, dataCentre } = node;
    const reason = explainPending(node, version, isReachable(dataCentre));
    const isRefused = node.refusal?.version === version;
    return { nodeId, dataCentre, version: node.version, reason, isRefused };
  });
  const isReachedInForce =
    nodes.length > 0 && behind.every(({ dataCentre }) => !isReachable(dataCentre));
  const isEverywhere =
    isReachedInForce && behind.length === 0 && dataCentres.every(({ reachable }) => reachable);
  const reachablePending = pending.filter(({ dataCentre }) => isReachable(dataCentre));
  const isRefused = reachablePending.length > 0 && reachablePending.every((node) => node.isRefused);
  return { version, dataCentres, pending, isReachedInForce, isEverywhere, isRefused };
}
