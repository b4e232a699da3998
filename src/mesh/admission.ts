/**
 * Admission control of one instance: decides which requests run, in which order, and which are
 * rejected immediately. It performs no I/O and takes the current time as an argument.
 *
 * It is designed for an instance that receives more requests than it has slots, or than the limit
 * that it names allows. An overloaded instance queues requests in no particular order, and some of
 * them never get a response.
 */
import { chooseFairEntry, findDisplaced, listAhead } from './accounts/fairChoice.js';
import { FairOrder } from './accounts/fairOrder.js';
import type { RefusalReason } from './model.js';
import { compareEntries, type AdmissionItem, type QueueEntry } from './queueEntry.js';
import { RequestLimit } from './requestLimit.js';
import { computeMinShares, getGroup } from './runClasses.js';

export type { AdmissionItem } from './queueEntry.js';
export { updateRunClass } from './runClasses.js';

/** A queued request that is refused for a newcomer, since the queue is full. */
export interface DisplacedRequest<Item> {
  readonly item: Item;
  readonly reason: RefusalReason;
  readonly retryAfterMs: number;
}

/** Decision about a new request. */
export type AdmissionDecision<Item = AdmissionItem> =
  | { readonly kind: 'start' }
  | { readonly kind: 'queued'; readonly displaced?: DisplacedRequest<Item> | undefined }
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

/** Factor by which the recorded run time of each group decays at every start. */
const RUN_TIME_DECAY = 0.97;

/** Maximum number of priorities with accounts, which bounds memory use. */
const MAX_FAIR_ORDERS = 32;

/** Expected queueing time of a request, and what it would be rejected for. */
interface ExpectedWait {
  readonly waitMs: number;
  readonly cause: Extract<RefusalReason, 'overloaded' | 'limited'>;
}

/** What a request waits for: the requests ahead of it, and those of its group, it included. */
interface WorkAhead {
  readonly aheadMs: number;
  readonly ahead: number;
  readonly sameGroupMs: number;
  readonly sameGroup: number;
  /** Minimum share of run time of the group. */
  readonly share: number;
}

/** Slots of one instance and the queue of requests for them. */
export class AdmissionQueue<Item extends AdmissionItem> {
  private queue: QueueEntry<Item>[] = [];

  private running = 0;

  /** Expected run time of recently started requests by group, with exponential decay. */
  private readonly startedMs = new Map<number, number>();

  private arrivals = 0;

  /** Order of the accounts by priority; empty until a request of an account arrives. */
  private readonly fairOrders = new Map<number, FairOrder>();

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
  admit(item: Item, nowMs: number): AdmissionDecision<Item> {
    const { decision, entry, displaced } = this.decide(item, nowMs);
    this.addFairOrder(item)?.recordArrival(item);
    if (decision.kind === 'start') this.recordStart(item, nowMs);
    if (decision.kind !== 'queued') return decision;
    const refused = displaced && this.removeDisplaced(displaced, nowMs);
    this.arrivals += 1;
    this.insert(entry);
    return refused ? { kind: 'queued', displaced: refused } : decision;
  }

  /** Returns the decision that `admit` would take, and changes nothing. */
  assess(item: AdmissionItem, nowMs: number): AdmissionDecision {
    return this.decide(item, nowMs).decision;
  }

  /** Returns true when a request that arrives now starts at once. */
  canStart(nowMs: number): boolean {
    return this.running < this.slots && this.queue.length === 0 && this.limit.canStart(nowMs);
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
    const [next] = this.queue.splice(this.findFairIndex(), 1);
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
  ): {
    readonly decision: AdmissionDecision<never>;
    readonly entry: QueueEntry<Offered>;
    readonly displaced?: QueueEntry<Item> | undefined;
  } {
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
    if (this.canStart(nowMs)) {
      return { decision: { kind: 'start' }, entry };
    }
    const work = this.measureAhead(entry);
    const conservativeMs =
      this.computeWait(work, nowMs, ESTIMATE_SAFETY_FACTOR).waitMs +
      item.expectedRunMs * ESTIMATE_SAFETY_FACTOR;
    entry.isLate = nowMs + conservativeMs > item.objectiveAtMs;
    // More requests are ahead of a late one. With accounts, counting them is most of the work.
    const { waitMs, cause } = this.computeWait(
      entry.isLate ? this.measureAhead(entry) : work,
      nowMs,
    );
    const displaced = this.isFull() ? this.findDisplaced(entry) : undefined;
    const isQueueFull = this.isFull() && !displaced;
    const isDeadlineMissed = waitMs + item.expectedRunMs > remainingMs;
    const isLateTooLong = entry.isLate && nowMs + waitMs > entry.lateExpiryAtMs;
    if (isQueueFull || isDeadlineMissed || isLateTooLong) {
      return { decision: { kind: 'refused', reason: cause, retryAfterMs: waitMs }, entry };
    }
    return { decision: { kind: 'queued' }, entry, displaced };
  }

  private isFull(): boolean {
    return this.queue.length >= this.slots * MAX_QUEUED_PER_SLOT;
  }

  private findDisplaced(entry: QueueEntry<AdmissionItem>): QueueEntry<Item> | undefined {
    if (!this.hasAccounts(entry)) return undefined;
    return findDisplaced(this.queue, entry, (priority) => this.fairOrders.get(priority));
  }

  /** Returns true when a request or those in the queue are of accounts. */
  private hasAccounts({ item }: QueueEntry<AdmissionItem>): boolean {
    if (item.account) return true;
    return this.fairOrders.size > 0 && this.queue.some((queued) => queued.item.account);
  }

  private removeDisplaced(entry: QueueEntry<Item>, nowMs: number): DisplacedRequest<Item> {
    const { waitMs, cause } = this.computeWait(this.measureAhead(entry), nowMs);
    this.remove(entry.item);
    return { item: entry.item, reason: cause, retryAfterMs: waitMs };
  }

  /** Returns the order of the accounts of a priority; undefined before the first of an account. */
  private addFairOrder({ priority, account }: AdmissionItem): FairOrder | undefined {
    const known = this.fairOrders.get(priority);
    if (known || !account) return known;
    if (this.fairOrders.size >= MAX_FAIR_ORDERS) this.fairOrders.clear();
    const order = new FairOrder();
    this.fairOrders.set(priority, order);
    return order;
  }

  private measureAhead(entry: QueueEntry<AdmissionItem>): WorkAhead {
    const { expectedRunMs } = entry.item;
    let aheadMs = expectedRunMs;
    let sameGroupMs = expectedRunMs;
    let ahead = 0;
    let sameGroup = 0;
    const groups = new Set<number>([entry.group]);
    const order = this.fairOrders.get(entry.item.priority);
    const fairAhead =
      order && this.hasAccounts(entry) ? listAhead(this.queue, entry, order) : undefined;
    for (const queued of this.queue) {
      const { item, group } = queued;
      const isAhead = fairAhead?.has(queued) ?? compareEntries(queued, entry) <= 0;
      groups.add(group);
      // With accounts, the requests of others that start later don't delay the turn of the group.
      if (group === entry.group && (isAhead || !fairAhead)) {
        sameGroupMs += item.expectedRunMs;
        sameGroup += 1;
      }
      if (isAhead) {
        aheadMs += item.expectedRunMs;
        ahead += 1;
      }
    }
    const sorted = [...groups].sort((a, b) => a - b);
    const share = sorted[0] === entry.group ? 1 : computeMinShares(sorted).get(entry.group)!;
    return { aheadMs, ahead, sameGroupMs, sameGroup, share };
  }

  /**
   * Returns the expected queueing time of a request: until the requests ahead of it have run, or
   * until its turn within the minimum share of its group, whichever is shorter, and not before
   * the limit of the instance allows it. The safety factor applies to the first estimate only.
   */
  private computeWait(
    { aheadMs, ahead, sameGroupMs, sameGroup, share }: WorkAhead,
    nowMs: number,
    safetyFactor = 1,
  ): ExpectedWait {
    const runWaitMs = Math.min(aheadMs * safetyFactor, sameGroupMs / share) / this.slots;
    const limitWaitMs = this.limit.estimateWaitMs(Math.min(ahead, sameGroup / share), nowMs);
    return limitWaitMs > runWaitMs
      ? { waitMs: limitWaitMs, cause: 'limited' }
      : { waitMs: runWaitMs, cause: 'overloaded' };
  }

  /** Returns the index of the next request to start. */
  private findFairIndex(): number {
    const index = this.findNextIndex();
    const first = this.queue[index];
    const order = first && this.fairOrders.get(first.item.priority);
    return order ? this.queue.indexOf(chooseFairEntry(this.queue, first, order)) : index;
  }

  /**
   * Returns the index of the next request without regard to accounts: the first request of a group
   * that is below its minimum share of run time, or else the first in the queue.
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
    this.addFairOrder(item)?.recordStart(item, this.listInTime(item.priority));
  }

  private listInTime(priority: number): Item[] {
    return this.queue
      .filter(({ item, isLate }) => item.priority === priority && !isLate)
      .map(({ item }) => item);
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
