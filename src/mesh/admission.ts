/**
 * Decides which requests an instance runs, in which order, and which are refused at once. It has
 * no network and no clock. It answers the load of one instance that gets more requests than it
 * has slots: beyond its slots an instance queues without order, and some then never respond.
 */
import type { RefusalReason } from './model.js';

/** What admission knows of a request. Instants and times are in milliseconds. */
export interface AdmissionItem {
  /** 0 is the most important. */
  readonly rank: number;
  /** Expected run time at this instance. */
  readonly workMs: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
}

/** Decision about a request that has just come. */
export type Offer =
  | { readonly kind: 'start' }
  | { readonly kind: 'queued' }
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };

/** Share of its remaining time that a request which misses its objective may wait. */
const LATE_WAIT_SHARE = 0.3;

/** Largest number of waiting requests for each slot; a guard for memory. */
const MAX_QUEUED_PER_SLOT = 20;

/**
 * Starts of more important requests after which a waiting one of a lower rank is due. Without it
 * a rank gets nothing as long as those above it fill the instance.
 */
const STARTS_PER_TURN = 7;

interface Queued<Item> {
  readonly item: Item;
  /** True when the request cannot meet its objective any more. */
  isLate: boolean;
  readonly order: number;
  /** Instant from which it is refused once it is late. */
  readonly lateLimitMs: number;
}

/** Orders requests that can meet their objective first, then by rank, then by arrival. */
function compareQueued(one: Queued<AdmissionItem>, other: Queued<AdmissionItem>): number {
  return (
    Number(one.isLate) - Number(other.isLate) ||
    one.item.rank - other.item.rank ||
    one.order - other.order
  );
}

/** Slots of one instance and the requests that wait for them. */
export class AdmissionQueue<Item extends AdmissionItem> {
  private queue: Queued<Item>[] = [];

  private running = 0;

  /** Starts of other ranks since the latest one of a rank that waits. */
  private readonly passed = new Map<number, number>();

  private orders = 0;

  constructor(private slots: number) {}

  /** Sets the number of requests that the instance runs at the same time. */
  setSlots(slots: number): void {
    this.slots = Math.max(1, slots);
  }

  countRunning(): number {
    return this.running;
  }

  countQueued(): number {
    return this.queue.length;
  }

  /** Decides about a request. A started one must be ended by `finish`. */
  offer(item: Item, nowMs: number): Offer {
    if (item.deadlineAtMs <= nowMs) {
      return { kind: 'refused', reason: 'deadline', retryAfterMs: 0 };
    }
    if (this.running < this.slots && this.queue.length === 0) {
      this.recordStart(item.rank);
      return { kind: 'start' };
    }
    const leftMs = item.deadlineAtMs - nowMs;
    const entry: Queued<Item> = {
      item,
      isLate: false,
      order: this.orders,
      lateLimitMs: nowMs + leftMs * LATE_WAIT_SHARE,
    };
    entry.isLate = nowMs + this.estimateWaitMs(entry) + item.workMs > item.objectiveAtMs;
    const waitMs = this.estimateWaitMs(entry);
    const isFull = this.queue.length >= this.slots * MAX_QUEUED_PER_SLOT;
    const isTooLate = waitMs + item.workMs > leftMs;
    const isHeldTooLong = entry.isLate && nowMs + waitMs > entry.lateLimitMs;
    if (isFull || isTooLate || isHeldTooLong) {
      return { kind: 'refused', reason: 'overloaded', retryAfterMs: waitMs };
    }
    this.orders += 1;
    this.insert(entry);
    return { kind: 'queued' };
  }

  /** Frees the slot of a started request. */
  finish(): void {
    this.running -= 1;
  }

  /** Takes the next request to start, if a slot is free; it must be ended by `finish`. */
  takeNext(nowMs: number): Item | undefined {
    if (this.running >= this.slots) return undefined;
    this.updateLate(nowMs);
    const [next] = this.queue.splice(this.findDue(), 1);
    if (!next) return undefined;
    this.recordStart(next.item.rank);
    return next.item;
  }

  /** Takes the requests that can no longer end before their deadline, or are late for long. */
  takeExpired(nowMs: number): Item[] {
    this.updateLate(nowMs);
    const expired: Item[] = [];
    const kept: Queued<Item>[] = [];
    for (const entry of this.queue) {
      const isExpired = nowMs + entry.item.workMs / 2 >= entry.item.deadlineAtMs;
      const isHeldTooLong = entry.isLate && nowMs > entry.lateLimitMs;
      if (isExpired || isHeldTooLong) expired.push(entry.item);
      else kept.push(entry);
    }
    this.queue = kept;
    return expired;
  }

  /** Takes all waiting requests. */
  takeAll(): Item[] {
    const items = this.queue.map(({ item }) => item);
    this.queue = [];
    return items;
  }

  /** Removes a waiting request; false when it does not wait. */
  remove(item: Item): boolean {
    const index = this.queue.findIndex((entry) => entry.item === item);
    if (index < 0) return false;
    this.queue.splice(index, 1);
    return true;
  }

  /** Returns how long a request would wait: for those ahead of it, or for the turn of its rank. */
  private estimateWaitMs(entry: Queued<Item>): number {
    let aheadMs = 0;
    let sameRank = 0;
    for (const queued of this.queue) {
      if (queued.item.rank === entry.item.rank) sameRank += 1;
      if (compareQueued(queued, entry) <= 0) aheadMs += queued.item.workMs;
    }
    const { rank, workMs } = entry.item;
    const orderMs = (aheadMs + workMs) / this.slots;
    const starts = (sameRank + 1) * (STARTS_PER_TURN + 1) - (this.passed.get(rank) ?? 0);
    return Math.min(orderMs, (Math.max(1, starts) * this.getMeanWorkMs(workMs)) / this.slots);
  }

  private getMeanWorkMs(ownMs: number): number {
    let sumMs = ownMs;
    for (const { item } of this.queue) sumMs += item.workMs;
    return sumMs / (this.queue.length + 1);
  }

  /** Returns the index of the next request: the first one, or one whose turn is overdue. */
  private findDue(): number {
    const due = this.queue.findIndex(
      ({ item }) => (this.passed.get(item.rank) ?? 0) >= STARTS_PER_TURN,
    );
    return Math.max(0, due);
  }

  private recordStart(rank: number): void {
    this.running += 1;
    for (const { item } of this.queue) {
      if (!this.passed.has(item.rank)) this.passed.set(item.rank, 0);
    }
    for (const [other, count] of this.passed) {
      const isWaiting = this.queue.some(({ item }) => item.rank === other);
      this.passed.set(other, isWaiting && other !== rank ? count + 1 : 0);
    }
  }

  /** Moves the requests that have become late behind those that can still be in time. */
  private updateLate(nowMs: number): void {
    let hasChanged = false;
    for (const entry of this.queue) {
      if (entry.isLate || nowMs + entry.item.workMs <= entry.item.objectiveAtMs) continue;
      entry.isLate = true;
      hasChanged = true;
    }
    if (hasChanged) this.queue.sort(compareQueued);
  }

  private insert(entry: Queued<Item>): void {
    let index = this.queue.length;
    while (index > 0 && compareQueued(this.queue[index - 1]!, entry) > 0) index -= 1;
    this.queue.splice(index, 0, entry);
  }
}
