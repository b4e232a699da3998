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
}

/**
 * Share of the latency objective that a request waits rather than go to another data centre. Below
 * it the request is in time either way, and bytes between data centres are dear.
 */
const DISTANCE_SHARE = 0.5;

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
export function estimateCostMs(candidate: Candidate, objectiveMs: number): number {
  const { load, outstanding, outstandingAtLoad, slots } = candidate;
  const meanMs = load?.meanMs ?? UNKNOWN_MEAN_MS;
  const addedSince = Math.max(0, outstanding - outstandingAtLoad);
  const inFlight = Math.max(outstanding, (load?.inFlight ?? 0) + addedSince);
  const excess = inFlight + 1 - slots;
  // A fuller instance is preferred less already before its slots are used up.
  const waitMs = excess > 0 ? (excess * meanMs) / slots : (0.3 * meanMs * inFlight) / slots;
  const failureMs = (load?.failures ?? 0) * FAILURE_COST_MS;
  const distanceMs = candidate.isSameDataCentre ? 0 : objectiveMs * DISTANCE_SHARE;
  const absenceMs = candidate.isUnreachable ? UNREACHABLE_COST_MS : 0;
  return meanMs + waitMs + failureMs + distanceMs + absenceMs;
}

/** Returns the cheapest candidate, or now and then a random one. */
export function chooseInstance<Item extends Candidate>(
  candidates: readonly Item[],
  objectiveMs: number,
  canExplore: boolean,
  random: () => number = Math.random,
): Item | undefined {
  if (candidates.length === 0) return undefined;
  if (canExplore && random() < EXPLORE_SHARE) {
    const chosen = candidates[Math.floor(random() * candidates.length)]!;
    if (!chosen.isUnreachable) return chosen;
  }
  let best: Item | undefined;
  let bestMs = Infinity;
  for (const candidate of candidates) {
    const costMs = estimateCostMs(candidate, objectiveMs) * (1 + random() * SPREAD);
    if (costMs < bestMs) {
      best = candidate;
      bestMs = costMs;
    }
  }
  return best;
}
