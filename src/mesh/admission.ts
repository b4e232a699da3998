/**
 * Admission control of one instance: decides which requests run, in which order, and which are
 * rejected immediately. It performs no I/O and takes the current time as an argument.
 *
 * It is designed for an instance that receives more requests than it has slots, or than the limit
 * that it names allows. An overloaded instance queues requests in no particular order, and some of
 * them never get a response.
 */
import type { RefusalReason } from './model.js';
import { RequestLimit } from './requestLimit.js';

/** Properties of a request that admission control uses. Instants and times are in milliseconds. */
export interface AdmissionItem {
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Expected run time on this instance. */
  readonly expectedRunMs: number;
  /** Class of the run time, the same for all requests of a route; by default that of the time. */
  readonly runClass?: number | undefined;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
}

/** Decision about a new request. */
export type AdmissionDecision =
  | { readonly kind: 'start' }
  | { readonly kind: 'queued' }
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };

/** Maximum queueing time of a late request, as a share of the time until its deadline. */
const MAX_LATE_WAIT_SHARE = 0.2;

/**
 * Factor by which estimated wait and run times are multiplied before they are compared with the
 * latency objective. With unmodified means, admitted requests often become late in the queue, and
 * the time that they have waited is wasted.
 */
const ESTIMATE_SAFETY_FACTOR = 1.5;

/** Maximum queue length per slot, which bounds memory use. */
const MAX_QUEUED_PER_SLOT = 20;

/**
 * A queued request expires when less than this share of its expected run time remains until its
 * deadline. The value is below 1 because runs can be shorter than expected.
 */
const MIN_REMAINING_RUN_SHARE = 0.5;

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

/** Factor by which the recorded run time of each group decays at every start. */
const RUN_TIME_DECAY = 0.97;

interface QueueEntry<Item> {
  readonly item: Item;
  /** Group of the request; a lower number starts first. */
  readonly group: number;
  /** True when the request is expected to miss its latency objective. */
  isLate: boolean;
  /** Position in the order of arrival. */
  readonly arrivalIndex: number;
  /** Instant after which the request is rejected if it is late. */
  readonly lateExpiryAtMs: number;
}

/** Expected queueing time of a request, and what it would be rejected for. */
interface ExpectedWait {
  readonly waitMs: number;
  readonly cause: Extract<RefusalReason, 'overloaded' | 'limited'>;
}

/** Number of run time classes of a priority. */
const RUN_CLASSES = MAX_RUN_CLASS + 1;

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
function getGroup({ priority, expectedRunMs, runClass }: AdmissionItem): number {
  return priority * RUN_CLASSES + (runClass ?? computeRunClass(expectedRunMs));
}

/** Returns the minimum share of run time of each of the groups, which are in ascending order. */
function computeMinShares(groups: readonly number[]): ReadonlyMap<number, number> {
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

/** Sorts requests that can meet their objective first, then by group, then by arrival. */
function compareEntries(a: QueueEntry<AdmissionItem>, b: QueueEntry<AdmissionItem>): number {
  return (
    Number(a.isLate) - Number(b.isLate) || a.group - b.group || a.arrivalIndex - b.arrivalIndex
  );
}

/** Slots of one instance and the queue of requests for them. */
export class AdmissionQueue<Item extends AdmissionItem> {
  private queue: QueueEntry<Item>[] = [];

  private running = 0;

  /** Expected run time of recently started requests by group, with exponential decay. */
  private readonly startedMs = new Map<number, number>();

  private arrivals = 0;

  constructor(
    private slots: number,
    private readonly limit = new RequestLimit(),
  ) {}

  /** Sets the maximum number of requests that run concurrently. */
  setSlots(slots: number): void {
    this.slots = Math.max(1, slots);
  }

  countRunning(): number {
    return this.running;
  }

  countQueued(): number {
    return this.queue.length;
  }

  /** Starts, queues or rejects a request. Call `releaseSlot` when a started request has ended. */
  admit(item: Item, nowMs: number): AdmissionDecision {
    const { decision, entry } = this.decide(item, nowMs);
    if (decision.kind === 'start') this.recordStart(item, nowMs);
    if (decision.kind === 'queued') {
      this.arrivals += 1;
      this.insert(entry);
    }
    return decision;
  }

  /** Returns the decision that `admit` would take, and changes nothing. */
  assess(item: AdmissionItem, nowMs: number): AdmissionDecision {
    return this.decide(item, nowMs).decision;
  }

  /** Frees the slot of a started request. */
  releaseSlot(): void {
    this.running -= 1;
  }

  /**
   * Removes and returns the next request to start, or undefined when no slot is free or the queue
   * is empty. Call `releaseSlot` when the request has ended.
   */
  dequeue(nowMs: number): Item | undefined {
    if (this.running >= this.slots || !this.limit.canStart(nowMs)) return undefined;
    this.updateLateness(nowMs);
    const [next] = this.queue.splice(this.findNextIndex(), 1);
    if (!next) return undefined;
    this.recordStart(next.item, nowMs);
    return next.item;
  }

  /** Returns the time until the limit allows the next queued request; undefined without one. */
  getLimitWaitMs(nowMs: number): number | undefined {
    if (this.running >= this.slots || this.queue.length === 0) return undefined;
    return this.limit.estimateWaitMs(0, nowMs);
  }

  /**
   * Removes and returns the requests that cannot complete before their deadline, and the late ones
   * that have waited for too long.
   */
  removeExpired(nowMs: number): Item[] {
    this.updateLateness(nowMs);
    const expired: Item[] = [];
    const kept: QueueEntry<Item>[] = [];
    for (const entry of this.queue) {
      const isExpired =
        nowMs + entry.item.expectedRunMs * MIN_REMAINING_RUN_SHARE >= entry.item.deadlineAtMs;
      const isLateTooLong = entry.isLate && nowMs > entry.lateExpiryAtMs;
      if (isExpired || isLateTooLong) expired.push(entry.item);
      else kept.push(entry);
    }
    this.queue = kept;
    return expired;
  }

  /** Removes and returns all queued requests. */
  removeAll(): Item[] {
    const items = this.queue.map(({ item }) => item);
    this.queue = [];
    return items;
  }

  /** Removes a request from the queue. Returns false when it is not queued. */
  remove(item: Item): boolean {
    const index = this.queue.findIndex((entry) => entry.item === item);
    if (index < 0) return false;
    this.queue.splice(index, 1);
    return true;
  }

  private decide<Offered extends AdmissionItem>(
    item: Offered,
    nowMs: number,
  ): { readonly decision: AdmissionDecision; readonly entry: QueueEntry<Offered> } {
    const remainingMs = item.deadlineAtMs - nowMs;
    const entry: QueueEntry<Offered> = {
      item,
      group: getGroup(item),
      isLate: false,
      arrivalIndex: this.arrivals,
      lateExpiryAtMs: nowMs + remainingMs * MAX_LATE_WAIT_SHARE,
    };
    if (remainingMs <= 0) {
      return { decision: { kind: 'refused', reason: 'deadline', retryAfterMs: 0 }, entry };
    }
    if (this.running < this.slots && this.queue.length === 0 && this.limit.canStart(nowMs)) {
      return { decision: { kind: 'start' }, entry };
    }
    const conservativeMs =
      this.estimateWait(entry, nowMs, ESTIMATE_SAFETY_FACTOR).waitMs +
      item.expectedRunMs * ESTIMATE_SAFETY_FACTOR;
    entry.isLate = nowMs + conservativeMs > item.objectiveAtMs;
    const { waitMs, cause } = this.estimateWait(entry, nowMs);
    const isQueueFull = this.queue.length >= this.slots * MAX_QUEUED_PER_SLOT;
    const isDeadlineMissed = waitMs + item.expectedRunMs > remainingMs;
    const isLateTooLong = entry.isLate && nowMs + waitMs > entry.lateExpiryAtMs;
    if (isQueueFull || isDeadlineMissed || isLateTooLong) {
      return { decision: { kind: 'refused', reason: cause, retryAfterMs: waitMs }, entry };
    }
    return { decision: { kind: 'queued' }, entry };
  }

  /**
   * Returns the expected queueing time of a request: until the requests ahead of it have run, or
   * until its turn within the minimum share of its group, whichever is shorter, and not before
   * the limit of the instance allows it. The safety factor applies to the first estimate only.
   */
  private estimateWait(
    entry: QueueEntry<AdmissionItem>,
    nowMs: number,
    safetyFactor = 1,
  ): ExpectedWait {
    const { expectedRunMs } = entry.item;
    let aheadMs = expectedRunMs;
    let sameGroupMs = expectedRunMs;
    let ahead = 0;
    let sameGroup = 0;
    const groups = new Set<number>([entry.group]);
    for (const queued of this.queue) {
      const { item, group } = queued;
      groups.add(group);
      if (group === entry.group) {
        sameGroupMs += item.expectedRunMs;
        sameGroup += 1;
      }
      if (compareEntries(queued, entry) <= 0) {
        aheadMs += item.expectedRunMs;
        ahead += 1;
      }
    }
    const sorted = [...groups].sort((a, b) => a - b);
    const share = sorted[0] === entry.group ? 1 : computeMinShares(sorted).get(entry.group)!;
    const runWaitMs = Math.min(aheadMs * safetyFactor, sameGroupMs / share) / this.slots;
    const limitWaitMs = this.limit.estimateWaitMs(Math.min(ahead, sameGroup / share), nowMs);
    return limitWaitMs > runWaitMs
      ? { waitMs: limitWaitMs, cause: 'limited' }
      : { waitMs: runWaitMs, cause: 'overloaded' };
  }

  /**
   * Returns the index of the next request to start: the first request of a group that is below its
   * minimum share of run time, or else the first in the queue.
   */
  private findNextIndex(): number {
    const groups = [...new Set(this.queue.map(({ group }) => group))].sort((a, b) => a - b);
    if (groups.length < 2) return 0;
    let totalMs = 0;
    for (const ms of this.startedMs.values()) totalMs += ms;
    const shares = computeMinShares(groups);
    for (const group of groups.slice(1)) {
      const groupMs = this.startedMs.get(group) ?? 0;
      if (groupMs >= totalMs * shares.get(group)!) continue;
      return this.queue.findIndex((entry) => entry.group === group);
    }
    return 0;
  }

  private recordStart(item: Item, nowMs: number): void {
    this.running += 1;
    this.limit.recordStart(nowMs);
    const group = getGroup(item);
    for (const [known, ms] of this.startedMs) this.startedMs.set(known, ms * RUN_TIME_DECAY);
    this.startedMs.set(group, (this.startedMs.get(group) ?? 0) + item.expectedRunMs);
  }

  /** Moves requests that can no longer meet their objective behind those that can. */
  private updateLateness(nowMs: number): void {
    let hasChanged = false;
    for (const entry of this.queue) {
      if (entry.isLate || nowMs + entry.item.expectedRunMs <= entry.item.objectiveAtMs) continue;
      entry.isLate = true;
      hasChanged = true;
    }
    if (hasChanged) this.queue.sort(compareEntries);
  }

  private insert(entry: QueueEntry<Item>): void {
    let index = this.queue.length;
    while (index > 0 && compareEntries(this.queue[index - 1]!, entry) > 0) index -= 1;
    this.queue.splice(index, 0, entry);
  }
}
