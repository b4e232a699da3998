/** Groups of requests by priority and class of run time, and their minimum shares of run time. */

/**
 * Minimum shares of the run time of the instance for the second, third and further priorities in
 * the queue. Without them, higher priorities that fill the instance starve the lower ones, and work
 * that other services have done for the requests that depend on them is wasted. The groups of one
 * priority have equal parts of its share.
 */
const MIN_RUN_TIME_SHARES: readonly number[] = [0.3, 0.1, 0.05];

/** Largest run time class; it bounds the number that identifies a group. */
const MAX_RUN_CLASS = 31;

/** Part of a class by which a run time has to leave it before the class of its route changes. */
const RUN_CLASS_HYSTERESIS = 0.5;

/** Number of run time classes of a priority. */
const RUN_CLASSES = MAX_RUN_CLASS + 1;

/** Properties of a request that its group depends on. */
export interface GroupedRequest {
  readonly priority: number;
  readonly expectedRunMs: number;
  readonly runClass?: number | undefined;
}

/** Returns the class of a run time; each class goes up to twice the times of the one before. */
export function computeRunClass(runMs: number): number {
  return Math.min(MAX_RUN_CLASS, Math.floor(Math.log2(Math.max(1, runMs))));
}

/**
 * Returns the class of a route whose mean run time has changed. It stays the same around the bound
 * of two classes, since later requests of a route would otherwise start before earlier ones.
 */
export function updateRunClass(known: number | undefined, meanMs: number): number {
  if (known === undefined) return computeRunClass(meanMs);
  const position = Math.log2(Math.max(1, meanMs));
  const isNear =
    position >= known - RUN_CLASS_HYSTERESIS && position < known + 1 + RUN_CLASS_HYSTERESIS;
  return isNear ? known : computeRunClass(meanMs);
}

/**
 * Returns the group of a request: its priority, and in it the class of its run time. Shorter runs
 * start first, so that a given number of slots serves more callers; calls that the runs of other
 * services wait for are mostly short.
 */
export function getGroup({ priority, expectedRunMs, runClass }: GroupedRequest): number {
  return priority * RUN_CLASSES + (runClass ?? computeRunClass(expectedRunMs));
}

/** Returns the minimum share of run time of each of the groups, which are in ascending order. */
export function computeMinShares(groups: readonly number[]): ReadonlyMap<number, number> {
  const ofPriority = new Map<number, number[]>();
  for (const group of groups) {
    const priority = Math.floor(group / RUN_CLASSES);
    ofPriority.set(priority, [...(ofPriority.get(priority) ?? []), group]);
  }
  const shares = new Map<number, number>();
  let leftShare = 1;
  for (const [index, members] of [...ofPriority.values()].entries()) {
    if (index === 0) continue;
    const share = MIN_RUN_TIME_SHARES[Math.min(index, MIN_RUN_TIME_SHARES.length) - 1]!;
    leftShare -= share;
    for (const group of members) shares.set(group, share / members.length);
  }
  const [first = []] = ofPriority.values();
  for (const group of first) shares.set(group, Math.max(0, leftShare) / first.length);
  return shares;
}
