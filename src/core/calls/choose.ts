/** Chooses the node that gets a call from those that may. */
import type { Candidate, Distance } from './candidates.js';
import type { SpillOverReason } from './observer.js';

/** The chosen node, with the reason if it is in another data centre. */
export interface Choice {
  readonly candidate: Candidate;
  readonly spillOver: SpillOverReason | undefined;
}

/** Returns a random number from 0 up to, not including, 1. */
export type RandomSource = () => number;

const DISTANCES: readonly Distance[] = [0, 1, 2];

function findGroup(candidates: readonly Candidate[]): readonly Candidate[] {
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

function chooseByWeight(
  group: readonly Candidate[],
  except: Candidate | undefined,
  random: RandomSource,
): Candidate {
  let total = 0;
  let last: Candidate | undefined;
  for (const candidate of group) {
    if (candidate !== except) {
      total += candidate.weight;
      last = candidate;
    }
  }
  let rest = random() * total;
  for (const candidate of group) {
    if (candidate === except) continue;
    rest -= candidate.weight;
    if (rest < 0) return candidate;
  }
  return last as Candidate;
}

function chooseOfTwo(group: readonly Candidate[], random: RandomSource): Candidate {
  const first = chooseByWeight(group, undefined, random);
  if (group.length === 1) return first;
  const second = chooseByWeight(group, first, random);
  if (first.score !== second.score) return first.score < second.score ? first : second;
  // With equal load the node of this process saves a hop.
  return second.isSelf ? second : first;
}

/**
 * Takes the nearest nodes that are not known full; when all are full, the nearest nodes, whose
 * queue then decides. Among them the less loaded of two random ones gets the call.
 */
export function chooseCandidate(
  candidates: readonly Candidate[],
  random: RandomSource,
): Choice | undefined {
  const group = findGroup(candidates);
  const [first] = group;
  if (!first) return undefined;
  const candidate = chooseOfTwo(group, random);
  if (candidate.distance === 0) return { candidate, spillOver: undefined };
  const hasLocal = candidates.some((other) => other.distance === 0);
  return { candidate, spillOver: hasLocal ? 'all-full' : 'none-usable' };
}
