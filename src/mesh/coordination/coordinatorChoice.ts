/**
 * Chooses the coordinator that a node reports to. It performs no I/O and reads no clock.
 *
 * All nodes prefer the same node: the one with the fastest link. A node stays with the coordinator
 * that answers it and asks preferred nodes beside that, so that no request waits for a node that
 * does not respond.
 */
import type { NodeId } from '../../types/ids.js';
import { rankMembers } from '../../utils/rendezvous.js';

/** Key of the rendezvous order of nodes with equal links. */
const ORDER_KEY = 'coordinator';

/** Other nodes that are asked before a node coordinates itself; requests wait 500 ms at most. */
const MAX_ATTEMPTS = 3;

/** Bounds of the time for which a node that did not answer is not asked again. */
const AVOID_BOUNDS_MS = { min: 1000, max: 60_000 };

/** Shortest interval between two questions to preferred nodes. */
const PROBE_INTERVAL_MS = 350;

/** Time after a change of the coordinator in which the new one does not count the node yet. */
export const STEADY_MS = 1000;

/** A node that can coordinate. */
export interface CoordinatorCandidate {
  readonly nodeId: NodeId;
  readonly linkMbps?: number | undefined;
}

/** Sorts nodes by descending link bandwidth, then by rendezvous weight. */
export function rankCoordinators(candidates: readonly CoordinatorCandidate[]): NodeId[] {
  const ranked = rankMembers(ORDER_KEY, candidates, ({ nodeId }) => nodeId);
  return ranked.sort((a, b) => (b.linkMbps ?? 0) - (a.linkMbps ?? 0)).map(({ nodeId }) => nodeId);
}

interface Avoidance {
  readonly untilMs: number;
  readonly failures: number;
}

/** State of the choice at one node. */
export class CoordinatorChoice {
  private current: NodeId | undefined;

  /** Time from which reports have gone to the current coordinator only. */
  private sinceMs = -Infinity;

  private canBridge = false;

  private readonly avoided = new Map<NodeId, Avoidance>();

  private lastProbeMs = -Infinity;

  constructor(
    private readonly ownId: NodeId,
    /** Length of the window of the quota policy; undefined without quotas. */
    private readonly getWindowMs: () => number | undefined,
  ) {}

  getCurrent(): NodeId | undefined {
    return this.current;
  }

  /** Returns the nodes to report to, in turn until one answers; the node itself is the last. */
  listAttempts(order: readonly NodeId[], nowMs: number): NodeId[] {
    const { ownId, current } = this;
    const attempts: NodeId[] = [];
    if (current !== undefined && current !== ownId && order.includes(current)) {
      attempts.push(current);
    }
    if (current === ownId) return [ownId];
    for (const nodeId of order) {
      if (nodeId === ownId || attempts.length >= MAX_ATTEMPTS) break;
      if (nodeId !== current && !this.isAvoided(nodeId, nowMs)) attempts.push(nodeId);
    }
    attempts.push(ownId);
    return attempts;
  }

  /** Returns a node that is preferred to the current coordinator and may be asked now. */
  chooseProbe(order: readonly NodeId[], nowMs: number): NodeId | undefined {
    if (nowMs - this.lastProbeMs < PROBE_INTERVAL_MS) return undefined;
    for (const nodeId of order) {
      if (nodeId === this.current) return undefined;
      if (nodeId !== this.ownId && this.isAvoided(nodeId, nowMs)) continue;
      this.lastProbeMs = nowMs;
      return nodeId;
    }
    return undefined;
  }

  /** Returns the time for which the node has reported to this coordinator only. */
  getSteadyMs(nodeId: NodeId, nowMs: number): number {
    return nodeId === this.current ? Math.max(0, nowMs - this.sinceMs) : 0;
  }

  /** Returns the time until the current coordinator counts the node; 0 if it does already. */
  getUncountedMs(nowMs: number): number {
    return Math.max(0, this.sinceMs + STEADY_MS - nowMs);
  }

  /**
   * Returns true once after a change of the coordinator, when the new one has answered, unless the
   * change before was within the window.
   */
  takeBridge(nodeId: NodeId): boolean {
    if (nodeId !== this.current || !this.canBridge) return false;
    this.canBridge = false;
    return true;
  }

  recordFailure(nodeId: NodeId, nowMs: number): void {
    const known = this.avoided.get(nodeId);
    const isRecent = known !== undefined && nowMs - known.untilMs <= AVOID_BOUNDS_MS.max;
    const failures = isRecent ? known.failures + 1 : 1;
    const avoidMs = Math.min(AVOID_BOUNDS_MS.max, AVOID_BOUNDS_MS.min * 2 ** (failures - 1));
    this.avoided.set(nodeId, { untilMs: nowMs + avoidMs, failures });
  }

  /**
   * Records that a node has answered. Its failures still count for a minute: a node that answers a
   * first contact and is too slow for reports would otherwise be chosen again every second, and no
   * coordinator counts a node for a second after a change.
   */
  recordAnswer(nodeId: NodeId, nowMs: number): void {
    const known = this.avoided.get(nodeId);
    if (!known) return;
    const untilMs = Math.min(known.untilMs, nowMs);
    this.avoided.set(nodeId, { ...known, untilMs });
  }

  /** Changes to a node that has answered; reports go only to it from `nowMs` on. */
  setCurrent(nodeId: NodeId, nowMs: number): void {
    const windowMs = this.getWindowMs();
    const hasStarted = this.current !== undefined;
    this.canBridge =
      windowMs !== undefined && hasStarted && nowMs - this.sinceMs >= windowMs + STEADY_MS;
    this.current = nodeId;
    this.sinceMs = nowMs;
  }

  /** Forgets nodes that are not known any more. */
  evictMissing(order: readonly NodeId[]): void {
    const known = new Set(order);
    for (const nodeId of this.avoided.keys()) {
      if (!known.has(nodeId)) this.avoided.delete(nodeId);
    }
  }

  private isAvoided(nodeId: NodeId, nowMs: number): boolean {
    const avoidance = this.avoided.get(nodeId);
    return avoidance !== undefined && nowMs < avoidance.untilMs;
  }
}
