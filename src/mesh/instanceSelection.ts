/**
 * Load balancing: selects the instance that a request is sent to. It performs no I/O and reads no
 * clock.
 *
 * It is designed for uneven load: instances differ in speed, some become slow or fail although
 * their health checks succeed, and traffic between data centres costs more than a short wait.
 */
import type { InstanceLoad } from './model.js';
import { estimateLimitWaitMs } from './requestLimit.js';

/** Properties of an instance that the selection uses. */
export interface Candidate {
  readonly isSameDataCentre: boolean;
  /** Number of slots that the instance reported. */
  readonly slots: number;
  /** Requests from this node that are in flight at the instance. */
  readonly outstanding: number;
  /** Value of `outstanding` when `load` was received. */
  readonly outstandingAtLoad: number;
  /** Latest load report of the instance, if any. */
  readonly load: InstanceLoad | undefined;
  /** True while its node does not respond to this node. */
  readonly isUnreachable: boolean;
  /** True while the instance is expected to reject the request. */
  readonly isFull: boolean;
}

/** Conditions under which requests of a region spill over to another data centre. */
export interface SpillOverPolicy {
  /**
   * Cost of sending a request to another data centre, as a share of its latency objective. A
   * request spills over when the expected cost in its own data centre is higher by more than that.
   */
  readonly waitShare: number;
  /**
   * Lowest priority (largest number) that spills over when the own data centre is overloaded.
   * Requests of a lower priority spill over only while no instance in their own data centre
   * responds.
   */
  readonly spillRank: number;
}

/** Properties of a request that the selection uses. */
export interface SelectionRequest {
  readonly objectiveMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** True when the request may occasionally be sent to a random instance. */
  readonly canExplore: boolean;
}

/** Cost of a certain failure; a failed request is worse than a late one. */
const FAILURE_COST_MS = 2500;

/** Cost of an instance whose node does not respond; it is selected only as a last resort. */
const UNREACHABLE_COST_MS = 60_000;

/** Expected run time while no instance of the service has reported its load. */
const DEFAULT_MEAN_MS = 100;

/** Number of instances of a data centre up to which all of them are compared. */
const MAX_COMPARED = 8;

/** Number of random instances that are compared of a larger data centre, and of all others. */
const SAMPLE_SIZE = 2;

/**
 * Expected wait at an instance with a free slot, as a share of its mean run time and in proportion
 * to the slots in use, so that emptier instances are preferred before the others are full.
 */
const FREE_SLOT_WAIT_SHARE = 0.3;

/** Share of requests that are sent to a random instance, so that stale load reports are renewed. */
const EXPLORATION_SHARE = 0.01;

/** Random relative cost increase, so that nodes do not all select the same instance. */
const COST_JITTER = 0.15;

/**
 * Returns the expected run time on an instance without a load report: the mean of the others. A
 * lower one would send the requests of all nodes to the instances that they know least.
 */
export function estimateUnknownMeanMs(candidates: readonly Candidate[]): number {
  let totalMs = 0;
  let known = 0;
  for (const { load } of candidates) {
    if (!load) continue;
    totalMs += load.meanMs;
    known += 1;
  }
  return known === 0 ? DEFAULT_MEAN_MS : totalMs / known;
}

/** Returns the expected cost of sending a request to an instance, in milliseconds. */
export function estimateCostMs(
  candidate: Candidate,
  spillOverMs: number,
  unknownMeanMs = DEFAULT_MEAN_MS,
): number {
  const { load, outstanding, outstandingAtLoad, slots } = candidate;
  const meanMs = load?.meanMs ?? unknownMeanMs;
  const sentSinceLoad = Math.max(0, outstanding - outstandingAtLoad);
  const inFlight = Math.max(outstanding, (load?.inFlight ?? 0) + sentSinceLoad);
  const excess = inFlight + 1 - slots;
  const waitMs =
    excess > 0 ? (excess * meanMs) / slots : (FREE_SLOT_WAIT_SHARE * meanMs * inFlight) / slots;
  const limitMs = load?.limit ? estimateLimitWaitMs(load.limit, sentSinceLoad) : 0;
  const failureMs = (load?.failures ?? 0) * FAILURE_COST_MS;
  const unreachableMs = candidate.isUnreachable ? UNREACHABLE_COST_MS : 0;
  return (
    meanMs +
    Math.max(waitMs, limitMs) +
    failureMs +
    unreachableMs +
    (candidate.isSameDataCentre ? 0 : spillOverMs)
  );
}

/** Returns the candidates that the spill-over policy allows. */
export function listAllowedCandidates<Item extends Candidate>(
  candidates: readonly Item[],
  { priority }: SelectionRequest,
  { spillRank }: SpillOverPolicy,
): readonly Item[] {
  if (priority <= spillRank) return candidates;
  const local = candidates.filter((candidate) => candidate.isSameDataCentre);
  return local.some((candidate) => !candidate.isUnreachable) ? local : candidates;
}

/** Returns true when there are too many candidates to know and compare all of them. */
export function isSampled(candidates: readonly Candidate[]): boolean {
  let local = 0;
  for (const { isSameDataCentre } of candidates) if (isSameDataCentre) local += 1;
  return Math.max(local, candidates.length - local) > MAX_COMPARED;
}

/** Removes and returns random items, up to `count` of them. */
function drawRandom<Item>(items: Item[], count: number, random: () => number): Item[] {
  const drawn: Item[] = [];
  while (drawn.length < count && items.length > 0) {
    drawn.push(...items.splice(Math.floor(random() * items.length), 1));
  }
  return drawn;
}

/**
 * Returns the candidates to compare. In a large fleet a node knows the load of an instance from
 * long ago, or not at all; if it compared all of them, all nodes would select the few that seemed
 * idle. Instances whose nodes do not respond are drawn only if there are no others.
 */
export function drawCompared<Item extends Candidate>(
  candidates: readonly Item[],
  random: () => number,
): Item[] {
  const compared: Item[] = [];
  for (const isSameDataCentre of [true, false]) {
    const group = candidates.filter((item) => item.isSameDataCentre === isSameDataCentre);
    if (group.length <= MAX_COMPARED) {
      compared.push(...group);
      continue;
    }
    const responding = group.filter(({ isUnreachable }) => !isUnreachable);
    compared.push(...drawRandom(responding.length > 0 ? responding : group, SAMPLE_SIZE, random));
  }
  return compared;
}

/** Returns the candidate with the lowest expected cost; undefined if there are none. */
export function findCheapest<Item extends Candidate>(
  candidates: readonly Item[],
  spillOverMs: number,
  unknownMeanMs: number,
  random: () => number,
): Item | undefined {
  let best: Item | undefined;
  let bestMs = Infinity;
  for (const candidate of candidates) {
    const jitter = 1 + random() * COST_JITTER;
    const costMs = estimateCostMs(candidate, spillOverMs, unknownMeanMs) * jitter;
    if (costMs < bestMs) {
      best = candidate;
      bestMs = costMs;
    }
  }
  return best;
}

/**
 * Returns the cheapest of the compared candidates, or occasionally a random one. Candidates are all
 * instances of the service. Those for which `wasTried` returns true are skipped: they have rejected
 * the request or failed to serve it.
 */
export function chooseInstance<Item extends Candidate>(
  candidates: readonly Item[],
  request: SelectionRequest,
  policy: SpillOverPolicy,
  wasTried: (candidate: Item) => boolean,
  random: () => number = Math.random,
): Item | undefined {
  const allowed = listAllowedCandidates(candidates, request, policy).filter(
    (item) => !item.isFull && !wasTried(item),
  );
  if (allowed.length === 0) return undefined;
  if (request.canExplore && random() < EXPLORATION_SHARE) {
    const sampled = allowed[Math.floor(random() * allowed.length)]!;
    if (!sampled.isUnreachable) return sampled;
  }
  const spillOverMs = request.objectiveMs * policy.waitShare;
  const unknownMeanMs = estimateUnknownMeanMs(candidates);
  return findCheapest(drawCompared(allowed, random), spillOverMs, unknownMeanMs, random);
}
