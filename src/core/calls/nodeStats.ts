/** Load and failures of each node of a service, as observed by this entry node. */
import type { LoadReport } from '../../types/calls.js';
import { OutlierState } from './outlier.js';

/** Validity of a reported load; an older report does not reflect the current load. */
const LOAD_VALID_MS = 1000;
/** Time for which a node counts as full after it reported a queue or an overload. */
const FULL_VALID_MS = 200;

/** Time for which a refusal of new calls overrides the record, whose update may be delayed. */
const LEAVING_VALID_MS = 5000;

/** Statistics of one process of a node, for one service. */
export class NodeStats {
  readonly outlier = new OutlierState();
  /** Calls of this entry node that the node has not completed. */
  outstanding = 0;
  private reportedCalls = 0;
  private reportValidUntilMs = 0;
  private fullUntilMs = 0;
  private leavingUntilMs = 0;

  constructor(readonly incarnation: string) {}

  /** Records the load that the node reported in a response. */
  recordLoad(load: LoadReport, nowMs: number): void {
    this.reportedCalls = load.busy + load.queued;
    this.reportValidUntilMs = nowMs + LOAD_VALID_MS;
    this.fullUntilMs = load.queued > 0 && load.busy >= load.slots ? nowMs + FULL_VALID_MS : 0;
  }

  /** Records that the node refused a call because it is overloaded. */
  recordFull(nowMs: number): void {
    this.fullUntilMs = nowMs + FULL_VALID_MS;
  }

  /** Records that the node accepts no new calls, although its record does not say so yet. */
  recordLeaving(nowMs: number): void {
    this.leavingUntilMs = nowMs + LEAVING_VALID_MS;
  }

  /** True after such a refusal, until the updated record is expected to have arrived. */
  isLeaving(nowMs: number): boolean {
    return this.leavingUntilMs > nowMs;
  }

  /** True while the latest report of the node says that it has no free slot. */
  isReportedFull(nowMs: number): boolean {
    return this.fullUntilMs > nowMs;
  }

  /** True while the node has no free slot, by its own report or by the outstanding calls. */
  isFull(slots: number, nowMs: number): boolean {
    return this.isReportedFull(nowMs) || this.outstanding >= slots;
  }

  /** Returns the outstanding calls of this entry node plus the calls that the node reported. */
  estimatePendingCalls(nowMs: number): number {
    return this.outstanding + (this.reportValidUntilMs > nowMs ? this.reportedCalls : 0);
  }
}

/** Statistics of all services and nodes. */
export interface NodeStatsTable {
  /** Returns the statistics of a process; a new incarnation starts with empty ones. */
  get(service: string, nodeId: string, incarnation: string): NodeStats;
  /** Removes the statistics of a node that left. */
  remove(nodeId: string): void;
}

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
