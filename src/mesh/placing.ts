/**
 * Chooses the instance that gets a request. It has no network and no clock. It answers uneven
 * load: instances differ in speed, some turn slow or fail while they look healthy, and traffic
 * between data centres costs more than a short wait.
 */
import type { InstanceLoad } from './model.js';

/** What placing knows of an instance. */
export interface Candidate {
  readonly isSameDataCentre: boolean;
  /** Slots that the instance announced. */
  readonly slots: number;
  /** Requests of this node at the instance. */
  readonly outstanding: number;
  /** Requests of this node at the instance when `load` came. */
  readonly outstandingAtLoad: number;
  /** Latest load that its node reported, if any. */
  readonly load: InstanceLoad | undefined;
  /** True while its node does not respond to this one. */
  readonly isUnreachable: boolean;
  /** True while it would refuse the request. */
  readonly isFull: boolean;
}

/** What traffic between data centres is worth to the operators of a region. */
export interface DistancePolicy {
  /** Share of the latency objective that a request waits rather than go to another data centre. */
  readonly waitShare: number;
  /**
   * Largest rank of the requests that go to another data centre when their own is full. Others go
   * there only while their own has no instance that responds.
   */
  readonly spillRank: number;
}

/** What placing knows of a request. */
export interface PlacedRequest {
  readonly objectiveMs: number;
  readonly rank: number;
  /** True when a random instance may be chosen now and then. */
  readonly canExplore: boolean;
}

/** Cost of a certain failure, in milliseconds; a failed request is worse than a late one. */
const FAILURE_COST_MS = 2500;

/** Cost of an instance whose node does not respond; it is used when nothing else is left. */
const UNREACHABLE_COST_MS = 60_000;

/** Expected run time of an instance that has reported nothing, in milliseconds. */
const UNKNOWN_MEAN_MS = 100;

/** Share of requests that go to a random instance, so that old reports are renewed. */
const EXPLORE_SHARE = 0.01;

/** Relative spread that keeps nodes from choosing the same instance at the same time. */
const SPREAD = 0.15;

/** Returns the expected cost of a request at an instance in milliseconds. */
export function estimateCostMs(candidate: Candidate, distanceMs: number): number {
  const { load, outstanding, outstandingAtLoad, slots } = candidate;
  const meanMs = load?.meanMs ?? UNKNOWN_MEAN_MS;
  const addedSince = Math.max(0, outstanding - outstandingAtLoad);
  const inFlight = Math.max(outstanding, (load?.inFlight ?? 0) + addedSince);
  const excess = inFlight + 1 - slots;
  // A fuller instance is preferred less already before its slots are used up.
  const waitMs = excess > 0 ? (excess * meanMs) / slots : (0.3 * meanMs * inFlight) / slots;
  const failureMs = (load?.failures ?? 0) * FAILURE_COST_MS;
  const absenceMs = candidate.isUnreachable ? UNREACHABLE_COST_MS : 0;
  return meanMs + waitMs + failureMs + absenceMs + (candidate.isSameDataCentre ? 0 : distanceMs);
}

/** Returns the candidates that the policy allows. */
export function listAllowed<Item extends Candidate>(
  candidates: readonly Item[],
  { rank }: PlacedRequest,
  { spillRank }: DistancePolicy,
): readonly Item[] {
  if (rank <= spillRank) return candidates;
  const near = candidates.filter((candidate) => candidate.isSameDataCentre);
  return near.some((candidate) => !candidate.isUnreachable) ? near : candidates;
}

/**
 * Returns the cheapest candidate, or now and then a random one. Candidates are all instances of
 * the service; those for which `wasTried` holds have refused the request or failed at it.
 */
export function chooseInstance<Item extends Candidate>(
  candidates: readonly Item[],
  request: PlacedRequest,
  policy: DistancePolicy,
  wasTried: (candidate: Item) => boolean,
  random: () => number = Math.random,
): Item | undefined {
  const allowed = listAllowed(candidates, request, policy).filter(
    (item) => !item.isFull && !wasTried(item),
  );
  if (allowed.length === 0) return undefined;
  if (request.canExplore && random() < EXPLORE_SHARE) {
    const chosen = allowed[Math.floor(random() * allowed.length)]!;
    if (!chosen.isUnreachable) return chosen;
  }
  const distanceMs = request.objectiveMs * policy.waitShare;
  let best: Item | undefined;
  let bestMs = Infinity;
  for (const candidate of allowed) {
    const costMs = estimateCostMs(candidate, distanceMs) * (1 + random() * SPREAD);
    if (costMs < bestMs) {
      best = candidate;
      bestMs = costMs;
    }
  }
  return best;
}
