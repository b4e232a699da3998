/** Lists the nodes of a service that are eligible for a call, and why the others are not. */
import type { InstanceRecord, MemberRecord } from '../../generated/types.js';
import type { MemberTable, MemberView } from '../../types/interfaces.js';
import type { LoadReport } from '../../types/calls.js';
import type { CompiledRoute, CompiledService } from '../../types/routing.js';
import type { NodeStats, NodeStatsTable } from './nodeStats.js';
import { listEjected } from './outlier.js';

/** Why a node of the service is not eligible for the call. */
export type Exclusion =
  'dead' | 'joining' | 'leaving' | 'no-instance' | 'ejected' | 'tried' | 'other-data-centre';

/** Distance of a node: 0 in the same data centre, 1 in the same region, 2 in another region. */
export type Distance = 0 | 1 | 2;

/** A node that is eligible for the call. */
export interface Candidate {
  readonly view: MemberView;
  readonly stats: NodeStats;
  readonly distance: Distance;
  readonly isSelf: boolean;
  /** Share of its regular load during the warm-up of its instances; above 0, at most 1. */
  readonly weight: number;
  /** Pending calls per slot, divided by the weight; a lower score is preferred. */
  readonly score: number;
  readonly isFull: boolean;
}

/** State from which the candidates are determined. */
export interface CandidateSources {
  readonly members: MemberTable;
  readonly stats: NodeStatsTable;
  /** Returns the exact load of the instances on this host. */
  getLocalLoad(service: CompiledService['name']): LoadReport | undefined;
  /** True once this node has begun to stop. */
  isLeaving(): boolean;
}

const STATE_EXCLUSIONS: Readonly<Record<MemberRecord['state'], Exclusion | undefined>> = {
  joining: 'joining',
  serving: undefined,
  leaving: 'leaving',
  left: 'leaving',
};
/** Minimum weight, so that a node that has just started gets some calls to warm up. */
const MIN_WEIGHT = 0.05;

function isUsable(instance: InstanceRecord, service: string): boolean {
  return instance.service === service && instance.state !== 'draining';
}

/** Returns why a member cannot run calls of a service now, or undefined if it can. */
export function findExclusion(view: MemberView, service: string): Exclusion | undefined {
  if (view.verdict === 'dead') return 'dead';
  const exclusion = STATE_EXCLUSIONS[view.record.state];
  if (exclusion) return exclusion;
  return view.record.instances.some((instance) => isUsable(instance, service))
    ? undefined
    : 'no-instance';
}

/** Returns the warm-up weight of an instance that became ready `ageMs` ago. */
export function computeWarmUpWeight(ageMs: number, coldStartMs: number): number {
  if (ageMs >= coldStartMs) return 1;
  return Math.max(MIN_WEIGHT, ageMs / coldStartMs);
}

function getDistance(view: MemberView, self: MemberView['record']): Distance {
  if (view.record.dataCentre === self.dataCentre) return 0;
  return view.record.region === self.region ? 1 : 2;
}

function buildCandidate(
  view: MemberView,
  stats: NodeStats,
  distance: Distance,
  isSelf: boolean,
  localLoad: LoadReport | undefined,
  service: CompiledService,
  nowMs: number,
): Candidate {
  let slots = 0;
  let warmSlots = 0;
  const wallClockMs = Date.now();
  for (const instance of view.record.instances) {
    if (!isUsable(instance, service.name)) continue;
    const instanceSlots = Math.max(1, instance.slots);
    slots += instanceSlots;
    warmSlots +=
      instanceSlots *
      computeWarmUpWeight(wallClockMs - instance.readySinceMs, service.config.coldStartMs);
  }
  const weight = warmSlots / slots;
  // A node due for a trial gets score 0: otherwise calls that have hung since before the ejection
  // would prevent the trial until they time out.
  if (stats.outlier.isTrialDue(nowMs)) {
    const isFull = stats.isReportedFull(nowMs);
    return { view, stats, distance, isSelf, weight, score: 0, isFull };
  }
  const pendingCalls = localLoad
    ? localLoad.busy + localLoad.queued
    : stats.estimatePendingCalls(nowMs);
  const isFull = localLoad ? localLoad.busy >= localLoad.slots : stats.isFull(slots, nowMs);
  return { view, stats, distance, isSelf, weight, score: pendingCalls / (slots * weight), isFull };
}

/**
 * Lists the nodes that are eligible for a call of the route. `tried` contains the ids of the nodes
 * that already had an attempt of this call. `onExcluded` is called for every other member of the
 * service.
 */
export function listCandidates(
  route: CompiledRoute,
  sources: CandidateSources,
  tried: ReadonlySet<string> | undefined,
  nowMs: number,
  onExcluded?: (view: MemberView, reason: Exclusion) => void,
): Candidate[] {
  const { service } = route;
  const self = sources.members.getSelf();
  const views: MemberView[] = [];
  const stats: NodeStats[] = [];
  for (const view of sources.members.listByService(service.name)) {
    const { record } = view;
    const isStopping = record.nodeId === self.nodeId && sources.isLeaving();
    const exclusion = isStopping ? 'leaving' : findExclusion(view, service.name);
    if (exclusion) {
      onExcluded?.(view, exclusion);
      continue;
    }
    views.push(view);
    stats.push(sources.stats.get(service.name, record.nodeId, record.incarnation));
  }
  const outlierStates = stats.map((each) => each.outlier);
  const ejected = listEjected(outlierStates, service.config.outlier.maxEjectedPercent, nowMs);
  const candidates: Candidate[] = [];
  for (const [index, view] of views.entries()) {
    const nodeStats = stats[index] as NodeStats;
    const distance = getDistance(view, self);
    let exclusion: Exclusion | undefined;
    if (tried?.has(view.record.nodeId)) exclusion = 'tried';
    else if (distance > 0 && !route.config.spillOver) exclusion = 'other-data-centre';
    else if (nodeStats.isLeaving(nowMs)) exclusion = 'leaving';
    else if (ejected.has(nodeStats.outlier)) exclusion = 'ejected';
    if (exclusion) {
      onExcluded?.(view, exclusion);
      continue;
    }
    const isSelf = view.record.nodeId === self.nodeId;
    const localLoad = isSelf ? sources.getLocalLoad(service.name) : undefined;
    candidates.push(buildCandidate(view, nodeStats, distance, isSelf, localLoad, service, nowMs));
  }
  return candidates;
}
