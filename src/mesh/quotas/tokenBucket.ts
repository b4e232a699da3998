/** Token bucket of one account at a coordinator. It performs no I/O and reads no clock. */
import type { ClientAccount, QuotaPolicy } from '../model.js';

/**
 * Parts of the allowed excess. Tokens that nodes hold or have used since their last report are not
 * told apart and count against the capacity, which needs some excess for an account with a small
 * burst to get its full rate; the rest bridges the time in which a new coordinator does not count
 * its nodes yet.
 */
const CAPACITY_PART = 0.4;
const BRIDGE_PART = 0.6;

/** Part of the slack in the capacity; half of it is for isolated nodes, the rest for rounding. */
const CAPACITY_SLACK_PART = 0.25;

/** What all buckets of a coordinator depend on. */
export interface BucketInputs {
  readonly policy: QuotaPolicy;
  /** Counted part of the known nodes. */
  readonly share: number;
  /** Seconds of the full rate so far. */
  readonly totalS: number;
  /** Part of the known nodes that is bridged now, and the sum of all parts that ever were. */
  readonly bridgedShare: number;
  readonly bridgedTotal: number;
}

/** Starts empty; the tokens until the given totals are not added. */
export class TokenBucket {
  private level = 0;

  /** Tokens that nodes hold, or have used since their last report. */
  leased = 0;

  /** Sum of the latest needs of all nodes that were not met. */
  unmet = 0;

  /** Totals since the bucket was created, for the metrics. */
  readonly totals = { granted: 0, returned: 0, missing: 0 };

  constructor(
    private account: ClientAccount,
    private totalS: number,
    private bridgedTotal: number,
  ) {}

  getAccount(): ClientAccount {
    return this.account;
  }

  /** Applies changed limits; the tokens until now must have been added. */
  setAccount(account: ClientAccount): void {
    this.account = account;
  }

  getLevel(): number {
    return this.level;
  }

  /** Returns the tokens that the bucket and the nodes may have together, without bridges. */
  computeCapacity({ policy, share }: BucketInputs): number {
    const excess = CAPACITY_PART * this.computeExcess(policy) + CAPACITY_SLACK_PART * policy.slack;
    return (this.account.burst + excess) * share;
  }

  /** Adds the tokens since the last call, up to the capacity, which is at least `floor`. */
  refill(inputs: BucketInputs, floor: number): void {
    const { policy, bridgedShare, totalS, bridgedTotal } = inputs;
    const excess = this.computeExcess(policy);
    const rated = this.account.ratePerS * (totalS - this.totalS);
    const bridged = BRIDGE_PART * excess * (bridgedTotal - this.bridgedTotal);
    this.totalS = totalS;
    this.bridgedTotal = bridgedTotal;
    const bridge = BRIDGE_PART * excess * bridgedShare;
    const capacity = Math.max(this.computeCapacity(inputs), floor) + bridge;
    // Tokens that are there stay when nodes hold more than was known, unless the capacity falls.
    const room = Math.max(this.level, capacity - this.leased);
    this.level = Math.max(0, Math.min(this.level + rated + bridged, capacity, room));
  }

  /**
   * Takes a whole number of tokens, at most the need. When tokens are short, a node gets its part
   * by demand of the tokens that are left, or of those since its last need, `elapsedS` seconds of
   * the full rate ago; nodes that asked in between would otherwise leave it a part of a part.
   */
  take(need: number, elapsedS: number): number {
    const available = Math.floor(this.level);
    const shared = Math.max(available, this.account.ratePerS * elapsedS);
    const part = Math.ceil((shared * need) / Math.max(1, need + this.unmet));
    const taken = Math.max(0, Math.min(need, available, part));
    this.level -= taken;
    this.totals.granted += taken;
    this.totals.missing += need - taken;
    return taken;
  }

  /** Puts tokens back that a node has not used; the next refill applies the capacity. */
  returnTokens(tokens: number): void {
    this.level += tokens;
    this.totals.returned += tokens;
  }

  /** Returns the time until the unmet needs and one more have been met, in milliseconds. */
  estimateWaitMs(share: number): number {
    const ratePerS = this.account.ratePerS * share;
    return ratePerS > 0 ? (1000 * Math.max(0, 1 + this.unmet - this.level)) / ratePerS : Infinity;
  }

  private computeExcess({ overage, windowMs }: QuotaPolicy): number {
    const { ratePerS, burst } = this.account;
    return overage * ((ratePerS * windowMs) / 1000 + burst);
  }
}
