/** Selects the node for a call among the candidates. */
import type { Candidate, Distance } from './candidates.js';
import type { SpillOverReason } from './observer.js';

/** The chosen node, and why it is in another data centre if it is. */
export interface Choice {
  readonly candidate: Candidate;
  readonly spillOver: SpillOverReason | undefined;
}

/** Returns a random number from 0 up to, not including, 1. */
export type RandomSource = () => number;

const DISTANCES: readonly Distance[] = [0, 1, 2];

/** Returns the nearest nodes with free slots, or the nearest nodes if none has free slots. */
function findNearestGroup(candidates: readonly Candidate[]): readonly Candidate[] {
  for (const distance of DISTANCES) {
    const group = candidates.filter((each) => each.distance === distance && !each.isFull);
    if (group.length > 0) return group;
  }
  for (const distance of DISTANCES) {
    const group = candidates.filter((each) => each.distance === distance);
    if (group.length > 0) return group;
  }
  return [];
}

/** Chooses a random node other than `excluded`, in proportion to the weights. */
function chooseByWeight(
  group: readonly Candidate[],
  excluded: Candidate | undefined,
  random: RandomSource,
): Candidate {
  let totalWeight = 0;
  let last: Candidate | undefined;
  for (const candidate of group) {
    if (candidate !== excluded) {
      totalWeight += candidate.weight;
      last = candidate;
    }
  }
  let remainingWeight = random() * totalWeight;
  for (const candidate of group) {
    if (candidate === excluded) continue;
    remainingWeight -= candidate.weight;
    if (remainingWeight < 0) return candidate;
  }
  return last as Candidate;
}

/** Applies the power of two choices: the less loaded of two random nodes. */
function chooseLessLoadedOfTwo(group: readonly Candidate[], random: RandomSource): Candidate {
  const first = chooseByWeight(group, undefined, random);
  if (group.length === 1) return first;
  const second = chooseByWeight(group, first, random);
  if (first.score !== second.score) return first.score < second.score ? first : second;
  // At equal load the local node saves a hop.
  return second.isSelf ? second : first;
}

/**
 * Chooses the less loaded of two random nodes among the nearest ones that are not known to be full.
 * If all are full, it chooses among the nearest ones, which queue or refuse the call.
 */
export function chooseCandidate(
  candidates: readonly Candidate[],
  random: RandomSource,
): Choice | undefined {
  const group = findNearestGroup(candidates);
  const [first] = group;
  if (!first) return undefined;
  const candidate = chooseLessLoadedOfTwo(group, random);
  if (candidate.distance === 0) return { candidate, spillOver: undefined };
  const hasLocal = candidates.some((other) => other.distance === 0);
  return { candidate, spillOver: hasLocal ? 'all-full' : 'none-usable' };
}
