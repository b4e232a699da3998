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
const LATE_WAIT_SHARE = 0.2;

/**
 * Factor by which waits and runs may exceed what is expected for a request to count as in time.
 * Those that are let in on the bare mean become late in the queue, when their wait was in vain.
 */
const TIME_RESERVE = 1.5;

/** Largest number of waiting requests for each slot; a guard for memory. */
const MAX_QUEUED_PER_SLOT = 20;

/**
 * Least shares of the instance's time for the ranks that wait below the most important one, in
 * order. Without them a rank gets nothing as long as those above it fill the instance, and the
 * requests of other services that depend on its calls run in vain.
 */
const LEAST_SHARES: readonly number[] = [0.3, 0.1, 0.05];

/** Weight that the time given to a rank keeps at each further start. */
const SHARE_DECAY = 0.97;

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

/** Returns the least share of a rank by the number of waiting ranks between it and the first. */
function getLeastShare(index: number): number {
  return LEAST_SHARES[Math.min(index, LEAST_SHARES.length - 1)]!;
}

/** Slots of one instance and the requests that wait for them. */
export class AdmissionQueue<Item extends AdmissionItem> {
  private queue: Queued<Item>[] = [];

  private running = 0;

  /** Recent run time by rank, as expected at the starts. */
  private readonly given = new Map<number, number>();

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
      this.recordStart(item);
      return { kind: 'start' };
    }
    const leftMs = item.deadlineAtMs - nowMs;
    const entry: Queued<Item> = {
      item,
      isLate: false,
      order: this.orders,
      lateLimitMs: nowMs + leftMs * LATE_WAIT_SHARE,
    };
    const cautiousMs = this.estimateWaitMs(entry, TIME_RESERVE) + item.workMs * TIME_RESERVE;
    entry.isLate = nowMs + cautiousMs > item.objectiveAtMs;
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
    this.recordStart(next.item);
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

  /**
   * Returns how long a request would wait: for those ahead of it, which may take longer by a
   * factor, or for the share of its rank.
   */
  private estimateWaitMs(entry: Queued<Item>, reserve = 1): number {
    const { rank, workMs } = entry.item;
    let aheadMs = workMs;
    let sameRankMs = workMs;
    const above = new Set<number>();
    for (const queued of this.queue) {
      const { item } = queued;
      if (item.rank < rank) above.add(item.rank);
      if (item.rank === rank) sameRankMs += item.workMs;
      if (compareQueued(queued, entry) <= 0) aheadMs += item.workMs;
    }
    const share = above.size === 0 ? 1 : getLeastShare(above.size - 1);
    return Math.min(aheadMs * reserve, sameRankMs / share) / this.slots;
  }

  /** Returns the index of the next request: the first one, or one whose rank got too little. */
  private findDue(): number {
    const ranks = [...new Set(this.queue.map(({ item }) => item.rank))].sort((a, b) => a - b);
    let totalMs = 0;
    for (const ms of this.given.values()) totalMs += ms;
    for (const [index, rank] of ranks.slice(1).entries()) {
      const givenMs = this.given.get(rank) ?? 0;
      if (givenMs >= totalMs * getLeastShare(index)) continue;
      return this.queue.findIndex(({ item }) => item.rank === rank);
    }
    return 0;
  }

  private recordStart({ rank, workMs }: Item): void {
    this.running += 1;
    for (const [known, ms] of this.given) this.given.set(known, ms * SHARE_DECAY);
    this.given.set(rank, (this.given.get(rank) ?? 0) + workMs);
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
