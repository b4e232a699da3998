/** Decides which nodes of a service may get a call, with a reason for each that may not. */
import type { InstanceRecord, MemberRecord } from '../../generated/types.js';
import type { MemberTable, MemberView } from '../../types/interfaces.js';
import type { LoadReport } from '../../types/calls.js';
import type { CompiledRoute, CompiledService } from '../../types/routing.js';
import type { NodeStats, NodeStatsTable } from './nodeStats.js';
import { listEjected } from './outlier.js';

/** Why a node of the service does not get the call. */
export type Exclusion =
  'dead' | 'joining' | 'leaving' | 'no-instance' | 'ejected' | 'tried' | 'other-data-centre';

/** Distance of a node: own data centre, own region, other regions. */
export type Distance = 0 | 1 | 2;

/** A node that may get the call. */
export interface Candidate {
  readonly view: MemberView;
  readonly stats: NodeStats;
  readonly distance: Distance;
  readonly isSelf: boolean;
  /** Share of the ordinary load that it gets while its instances warm up, above 0 to 1. */
  readonly weight: number;
  /** Held calls for each slot, divided by the weight; the lower one gets the call. */
  readonly score: number;
  readonly isFull: boolean;
}

/** Sources of the decision. */
export interface CandidateSources {
  readonly members: MemberTable;
  readonly stats: NodeStatsTable;
  /** Exact load of the instances on this host. */
  getLocalLoad(service: CompiledService['name']): LoadReport | undefined;
  /** True from the moment at which this node stops. */
  isLeaving(): boolean;
}

const STATE_EXCLUSIONS: Readonly<Record<MemberRecord['state'], Exclusion | undefined>> = {
  joining: 'joining',
  serving: undefined,
  leaving: 'leaving',
  left: 'leaving',
};
/** Smallest weight, so that a cold node gets some calls to warm up with. */
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
export function computeWeight(ageMs: number, coldStartMs: number): number {
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
  local: LoadReport | undefined,
  service: CompiledService,
  nowMs: number,
): Candidate {
  let slots = 0;
  let warmSlots = 0;
  const wallMs = Date.now();
  for (const instance of view.record.instances) {
    if (!isUsable(instance, service.name)) continue;
    const share = Math.max(1, instance.slots);
    slots += share;
    warmSlots += share * computeWeight(wallMs - instance.readySinceMs, service.config.coldStartMs);
  }
  const weight = warmSlots / slots;
  // Calls that still hang from before the ejection would keep the trial away until they time out.
  if (stats.outlier.isTrialDue(nowMs)) {
    const isFull = stats.isReportedFull(nowMs);
    return { view, stats, distance, isSelf, weight, score: 0, isFull };
  }
  const held = local ? local.busy + local.queued : stats.computeHeldCalls(nowMs);
  const isFull = local ? local.busy >= local.slots : stats.isFull(slots, nowMs);
  return { view, stats, distance, isSelf, weight, score: held / (slots * weight), isFull };
}

/**
 * Lists the nodes that may get a call of the route. `tried` holds the nodes that had an attempt
 * of this call. `onExcluded` hears of every other member of the service.
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
  const states = stats.map((each) => each.outlier);
  const ejected = listEjected(states, service.config.outlier.maxEjectedPercent, nowMs);
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
    const local = isSelf ? sources.getLocalLoad(service.name) : undefined;
    candidates.push(buildCandidate(view, nodeStats, distance, isSelf, local, service, nowMs));
  }
  return candidates;
}
