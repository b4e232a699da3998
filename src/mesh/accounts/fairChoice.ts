/** Choices in a queue of several accounts: what starts next, waits ahead or is displaced. */
import { compareEntries, type AdmissionItem, type QueueEntry } from '../queueEntry.js';
import type { FairOrder, FlowKey } from './fairOrder.js';

/** Tolerance for sums of fractions of a millisecond. */
const EPSILON = 1e-6;

/**
 * Requests of an account in a full queue that are not displaced. Without them, a small account
 * with two requests seems farther beyond its share than a large one that fills the queue.
 */
const KEPT_REQUESTS = 4;

type Entry = QueueEntry<AdmissionItem>;

/** An account with queued requests. */
interface WaitingFlow {
  readonly startMs: number;
  readonly weight: number;
  readonly isUnderserved: boolean;
}

/** Returns true for requests that differ in the run time class and the account at most. */
function isSharing(a: Entry, b: Entry): boolean {
  return a.isLate === b.isLate && a.item.priority === b.item.priority;
}

function collectFlows(sharing: Iterable<Entry>, order: FairOrder): Map<FlowKey, WaitingFlow> {
  const flows = new Map<FlowKey, WaitingFlow>();
  for (const { item } of sharing) {
    const key = item.account?.name;
    if (flows.has(key)) continue;
    flows.set(key, {
      startMs: order.getStartTag(item),
      weight: order.getWeight(item),
      isUnderserved: order.isUnderserved(item),
    });
  }
  return flows;
}

/** Returns the weighted mean of the start tags; an account with a later one is beyond its share. */
function computeMeanTag(flows: Iterable<WaitingFlow>): number {
  let weightSum = 0;
  let tagSum = 0;
  for (const { startMs, weight } of flows) {
    weightSum += weight;
    tagSum += startMs * weight;
  }
  return tagSum / weightSum;
}

/**
 * Returns the request to start in place of `first`, which the order without accounts chooses. The
 * group of `first` goes before others among the accounts that are not beyond their share, so that a
 * hot account can't take the room of others with requests of the shortest class.
 */
export function chooseFairEntry<Queued extends Entry>(
  queue: readonly Queued[],
  first: Queued,
  order: FairOrder,
): Queued {
  const sharing = queue.filter((entry) => isSharing(entry, first));
  const flows = collectFlows(sharing, order);
  if (flows.size < 2) return first;
  const meanMs = computeMeanTag(flows.values());
  const getFlow = ({ item }: Entry): WaitingFlow => flows.get(item.account?.name)!;
  const compare = (a: Entry, b: Entry): number =>
    Number(getFlow(b).isUnderserved) - Number(getFlow(a).isUnderserved) ||
    Number(b.group === first.group) - Number(a.group === first.group) ||
    a.group - b.group ||
    getFlow(a).startMs - getFlow(b).startMs ||
    a.arrivalIndex - b.arrivalIndex;
  let best: Queued | undefined;
  for (const entry of sharing) {
    const { startMs, isUnderserved } = getFlow(entry);
    if (!isUnderserved && startMs > meanMs + EPSILON) continue;
    if (!best || compare(entry, best) < 0) best = entry;
  }
  return best ?? first;
}

/** Returns the queued requests that are expected to start before a request. */
export function listAhead(
  queue: readonly Entry[],
  entry: Entry,
  order: FairOrder,
): ReadonlySet<Entry> {
  const tags = new Map<FlowKey, number>();
  const starts = new Map<Entry, number>();
  const ownKey = entry.item.account?.name;
  let ownMs = order.getStartTag(entry.item);
  for (const queued of queue) {
    const { item } = queued;
    if (queued === entry || item.priority !== entry.item.priority) continue;
    const key = item.account?.name;
    const startMs = tags.get(key) ?? order.getStartTag(item);
    const endMs = startMs + order.getLength(item);
    starts.set(queued, startMs);
    tags.set(key, endMs);
    if (key === ownKey && compareEntries(queued, entry) <= 0) ownMs = Math.max(ownMs, endMs);
  }
  const ownEndMs = ownMs + order.getLength(entry.item);
  const ahead = new Set<Entry>();
  for (const queued of queue) {
    if (queued === entry) continue;
    const isOtherFlow = queued.item.account?.name !== ownKey;
    if (!isOtherFlow || !isSharing(queued, entry)) {
      if (compareEntries(queued, entry) <= 0) ahead.add(queued);
      continue;
    }
    const startMs = starts.get(queued)!;
    const isShorter = queued.group < entry.group;
    if (startMs <= ownMs || (isShorter && startMs < ownEndMs)) ahead.add(queued);
  }
  return ahead;
}

/** Queued requests of an account. */
interface QueuedFlow<Queued> {
  count: number;
  readonly weight: number;
  /** The last request to start; undefined while the newcomer is the only one. */
  newest: Queued | undefined;
}

/**
 * Returns the request that a full queue refuses in place of a newcomer: the newest of the account
 * that is farthest beyond its share; undefined when that is the account of the newcomer. Requests
 * of higher priorities than that of the newcomer stay.
 */
export function findDisplaced<Queued extends Entry>(
  queue: readonly Queued[],
  newcomer: Entry,
  getOrder: (priority: number) => FairOrder | undefined,
): Queued | undefined {
  const flows = new Map<string, QueuedFlow<Queued>>();
  const getFlow = ({ item }: Entry): QueuedFlow<Queued> => {
    const key = `${item.priority} ${item.account?.name ?? ''}`;
    const weight = getOrder(item.priority)?.getWeight(item) ?? item.account?.weight ?? 1;
    const flow = flows.get(key) ?? { count: 0, weight, newest: undefined };
    flows.set(key, flow);
    return flow;
  };
  const own = getFlow(newcomer);
  own.count += 1;
  for (const entry of queue) {
    if (entry.item.priority < newcomer.item.priority) continue;
    const flow = getFlow(entry);
    flow.count += 1;
    if (!flow.newest || entry.arrivalIndex > flow.newest.arrivalIndex) flow.newest = entry;
  }
  const getExcess = ({ count, weight }: QueuedFlow<Queued>): number =>
    Math.max(0, count - KEPT_REQUESTS) / weight;
  let farthest = own;
  for (const flow of flows.values()) {
    if (getExcess(flow) > getExcess(farthest)) farthest = flow;
  }
  return farthest === own ? undefined : farthest.newest;
}
