/**
 * Start-time fair queueing between the accounts of one priority: each account has a virtual start
 * tag, which advances by the expected run time of a started request divided by the weight of the
 * account. It has no clock: the virtual time advances with the requests that start.
 *
 * An account is charged when a request starts, not when it arrives, so that requests that expire
 * or are cancelled in the queue cost it nothing.
 */
import type { AccountName } from '../../types/ids.js';
import type { AccountShare } from '../model.js';

/**
 * Requests that an account which has stayed below its share may start at once. Without them, two
 * requests of a small account that arrive together are served as far apart as its rate says, and
 * the second one misses its objective.
 */
const BURST_REQUESTS = 8;

/**
 * Part of the overall share of requests served below which an account goes first. The requirement
 * is a quarter; the rest is a margin for the delay of the counts.
 */
const MIN_SERVED_PART = 0.3;

/** Weight of the latest request in the mean run time. */
const MEAN_WEIGHT = 0.02;

/** Number of arrivals after which the counts of served requests are halved. */
const COUNT_WINDOW = 1000;

/** Maximum number of accounts that are remembered; the design target is 1,000 accounts. */
const MAX_FLOWS = 1024;

/** Number of remembered accounts from which on those that have no lead are forgotten. */
const MIN_PRUNED_FLOWS = 128;

/** Lower bound of a weight, which keeps tags finite. */
const MIN_WEIGHT = 1e-3;

/** Properties of a request that its place in the order depends on. */
export interface FairRequest {
  readonly account?: AccountShare | undefined;
  readonly expectedRunMs: number;
}

/** Identifies a flow; requests without an account share one. */
export type FlowKey = AccountName | undefined;

interface Flow {
  /** Undefined for the flow of requests without an account, whose weight follows the others. */
  weight: number | undefined;
  /** Virtual time at which the next request starts. */
  tagMs: number;
  arrived: number;
  started: number;
}

/** Order of the accounts of one priority. */
export class FairOrder {
  private readonly flows = new Map<FlowKey, Flow>();

  private virtualMs = 0;

  private arrived = 0;

  private started = 0;

  private weightSum = 0;

  /** Mean run time of the started requests; undefined before the first. */
  private meanRunMs: number | undefined;

  private pruneAt = MIN_PRUNED_FLOWS;

  /** Returns the number of accounts that are remembered. */
  countFlows(): number {
    return this.flows.size;
  }

  /**
   * Returns the weight of a flow. Requests without an account together weigh as much as all known
   * accounts: most are calls that the runs of other services wait for.
   */
  getWeight({ account }: Pick<FairRequest, 'account'>): number {
    return Math.max(MIN_WEIGHT, account ? account.weight : this.weightSum);
  }

  /** Returns the virtual time that a request takes. */
  getLength(request: FairRequest): number {
    return Math.max(1, request.expectedRunMs) / this.getWeight(request);
  }

  /** Returns the virtual start tag of the next request of an account. */
  getStartTag(request: FairRequest): number {
    const runMs = this.meanRunMs ?? request.expectedRunMs;
    const earliestMs = this.getEarliestTag(this.getWeight(request), runMs);
    const flow = this.flows.get(request.account?.name);
    return flow ? Math.max(flow.tagMs, earliestMs) : earliestMs;
  }

  /** Returns true when requests of an account are served too seldom compared with all. */
  isUnderserved({ account }: FairRequest): boolean {
    const flow = this.flows.get(account?.name);
    if (!flow || this.arrived === 0) return false;
    const served = this.started / this.arrived;
    return flow.started + 1 <= MIN_SERVED_PART * flow.arrived * served;
  }

  /** Counts a request that is started, queued or refused. */
  recordArrival(request: FairRequest): void {
    const flow = this.getOrCreateFlow(request);
    flow.arrived += 1;
    this.arrived += 1;
    if (this.arrived < COUNT_WINDOW) return;
    this.arrived /= 2;
    this.started /= 2;
    for (const known of this.flows.values()) {
      known.arrived /= 2;
      known.started /= 2;
    }
  }

  /**
   * Charges the account of a request that starts. `waiting` are the requests that stay in the queue
   * and can meet their objective; those that can't do not hold the virtual time back.
   */
  recordStart(request: FairRequest, waiting: Iterable<FairRequest>): void {
    const isUnderserved = this.isUnderserved(request);
    const flow = this.getOrCreateFlow(request);
    const { expectedRunMs } = request;
    this.meanRunMs ??= expectedRunMs;
    this.meanRunMs += (expectedRunMs - this.meanRunMs) * MEAN_WEIGHT;
    flow.started += 1;
    this.started += 1;
    // An account that is started for the minimum is not charged: its lead would grow without bound.
    if (!isUnderserved) {
      const startMs = this.getStartTag(request);
      flow.tagMs = startMs + this.getLength(request);
      this.advanceTime(startMs, waiting);
    }
  }

  /** Returns the tag of an account that has used nothing of its burst. */
  private getEarliestTag(weight: number, meanRunMs: number): number {
    return this.virtualMs - (BURST_REQUESTS * Math.max(1, meanRunMs)) / weight;
  }

  private advanceTime(startMs: number, waiting: Iterable<FairRequest>): void {
    let earliestMs = startMs;
    for (const { account } of waiting) {
      const tagMs = this.flows.get(account?.name)?.tagMs ?? this.virtualMs;
      earliestMs = Math.min(earliestMs, tagMs);
    }
    this.virtualMs = Math.max(this.virtualMs, earliestMs);
  }

  private getOrCreateFlow(request: FairRequest): Flow {
    const { account } = request;
    const weight = account && this.getWeight(request);
    const known = this.flows.get(account?.name);
    if (known) {
      if (weight !== undefined) this.weightSum += weight - known.weight!;
      known.weight = weight;
      return known;
    }
    if (this.flows.size >= this.pruneAt) this.prune();
    if (weight !== undefined) this.weightSum += weight;
    const flow: Flow = { weight, tagMs: -Infinity, arrived: 0, started: 0 };
    this.flows.set(account?.name, flow);
    return flow;
  }

  /** Forgets accounts that have no lead over others, and of the rest those with the smallest. */
  private prune(): void {
    const kept: { readonly key: FlowKey; readonly leadMs: number }[] = [];
    for (const [key, { tagMs, weight = this.getWeight({}) }] of this.flows) {
      const leadMs = tagMs - this.getEarliestTag(weight, this.meanRunMs ?? 0);
      if (leadMs <= 0) this.removeFlow(key);
      else kept.push({ key, leadMs });
    }
    kept.sort((a, b) => b.leadMs - a.leadMs);
    for (const { key } of kept.slice(MAX_FLOWS / 2)) this.removeFlow(key);
    this.pruneAt = Math.max(MIN_PRUNED_FLOWS, 2 * this.flows.size);
  }

  private removeFlow(key: FlowKey): void {
    const weight = this.flows.get(key)?.weight;
    this.flows.delete(key);
    if (weight !== undefined) this.weightSum -= weight;
  }
}
