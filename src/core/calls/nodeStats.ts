/** What this entry node knows of the load and the failures of each node of a service. */
import type { LoadReport } from '../../types/calls.js';
import { OutlierState } from './outlier.js';

/** Time for which a reported load is used; an older one says little about the present. */
const LOAD_VALID_MS = 1000;
/** Time for which a node that reported a queue counts as full. */
const FULL_VALID_MS = 200;

/** Time for which a node's refusal to take new work overrides its record, which is on its way. */
const LEAVING_VALID_MS = 5000;

/** State about one process of a node, for one service. */
export class NodeStats {
  readonly outlier = new OutlierState();
  /** Calls of this entry node that the node has not finished. */
  outstanding = 0;
  private reported = 0;
  private reportedUntilMs = 0;
  private fullUntilMs = 0;
  private leavingUntilMs = 0;

  constructor(readonly incarnation: string) {}

  /** Records the load that the node reported with an answer. */
  recordLoad(load: LoadReport, nowMs: number): void {
    this.reported = load.busy + load.queued;
    this.reportedUntilMs = nowMs + LOAD_VALID_MS;
    this.fullUntilMs = load.queued > 0 && load.busy >= load.slots ? nowMs + FULL_VALID_MS : 0;
  }

  /** Records that the node refused a call because it is overloaded. */
  recordFull(nowMs: number): void {
    this.fullUntilMs = nowMs + FULL_VALID_MS;
  }

  /** Records that the node takes no new work, which its record does not show yet. */
  recordLeaving(nowMs: number): void {
    this.leavingUntilMs = nowMs + LEAVING_VALID_MS;
  }

  /** True after such a refusal, until the record must have arrived. */
  isLeaving(nowMs: number): boolean {
    return this.leavingUntilMs > nowMs;
  }

  /** True while the node itself is known to have said that it has no free slot. */
  isReportedFull(nowMs: number): boolean {
    return this.fullUntilMs > nowMs;
  }

  /** True while the node is known to have no free slot. */
  isFull(slots: number, nowMs: number): boolean {
    return this.isReportedFull(nowMs) || this.outstanding >= slots;
  }

  /** Returns the own outstanding calls plus the load that the node reported. */
  computeHeldCalls(nowMs: number): number {
    return this.outstanding + (this.reportedUntilMs > nowMs ? this.reported : 0);
  }
}

/** Statistics of all services and nodes. */
export interface NodeStatsTable {
  /** Returns the state of a process; a new incarnation starts afresh. */
  get(service: string, nodeId: string, incarnation: string): NodeStats;
  /** Forgets a node that left. */
  remove(nodeId: string): void;
}

/** Creates an empty table. */
export function createNodeStatsTable(): NodeStatsTable {
  const services = new Map<string, Map<string, NodeStats>>();
  return {
    get(service, nodeId, incarnation) {
      let nodes = services.get(service);
      if (!nodes) {
        nodes = new Map();
        services.set(service, nodes);
      }
      let stats = nodes.get(nodeId);
      if (stats?.incarnation !== incarnation) {
        stats = new NodeStats(incarnation);
        nodes.set(nodeId, stats);
      }
      return stats;
    },
    remove(nodeId) {
      for (const nodes of services.values()) nodes.delete(nodeId);
    },
  };
}
