/**
 * The quota tokens that a coordinator grants. It performs no I/O and reads no clock.
 *
 * In any window of the policy, the tokens that are used over all nodes and coordinators are at most
 * (rate x window + burst) x (1 + overage) + slack: a node is counted by one coordinator at a time,
 * what a bucket and the nodes hold is within its capacity, and a new coordinator starts with empty
 * buckets.
 */
import type { AccountName, NodeId } from '../../types/ids.js';
import { rankMembers } from '../../utils/rendezvous.js';
import { STEADY_MS } from '../coordination/coordinatorChoice.js';
import type { CoordinatorReport, TokenGrant, TokenSource } from '../coordination/model.js';
import type { ClientAccount, QuotaPolicy } from '../model.js';
import { NodeShares } from './nodeShares.js';
import { TokenBucket, type BucketInputs } from './tokenBucket.js';

/** Time for which a node may use the tokens of an answer, from the time of its report on. */
const LEASE_MS = 1000;

/** Time for which a bridge adds to the capacity, until the next report after its node counts. */
const BRIDGE_MS = STEADY_MS + 500;

/** Bounds of the time for which a denial holds. */
const RETRY_BOUNDS_MS = { min: 20, max: 200 };

/**
 * Longest denial of a node that is not counted yet. With 200 ms, nodes refused requests for as much
 * longer than the second after a change of the coordinator.
 */
const UNCOUNTED_RETRY_MS = 50;

/** Accounts whose nodes are ranked for one report; at 540 nodes each takes about 1 ms. */
const MAX_RANKINGS = 10;

/** What a node has of one account. */
interface NodeLease {
  readonly bucket: TokenBucket;
  readonly tokens: number;
  readonly unmet: number;
  /** Seconds of the full rate at the latest need of the node. */
  readonly neededAtS: number;
}

interface NodeState {
  leases: Map<AccountName, NodeLease>;
  expiresAtMs: number;
  /** Time at which the latest report was sent. */
  sentAtMs: number;
  /** Time of the latest bridge of the node. */
  bridgedAtMs: number;
}

/** What the ledger depends on. */
export interface LedgerOptions {
  readonly getPolicy: () => QuotaPolicy | undefined;
  /** Returns the ready nodes in the store, whether they respond or not; the same list if equal. */
  readonly listKnownNodes: () => readonly NodeId[];
}

/** Tokens that were granted and missing since the last call of `takeTotals`. */
export interface LedgerTotals {
  readonly granted: number;
  readonly unmet: number;
}

/** Tokens of one account since this coordinator knows it, and its limit. */
export interface AccountTotals {
  readonly account: AccountName;
  readonly granted: number;
  readonly returned: number;
  /** Tokens that were asked for and not granted; each report asks anew. */
  readonly missing: number;
  readonly ratePerS: number;
  readonly burst: number;
}

/** True for an account with a rate; its burst may be 0, since a bucket holds part of the excess. */
export function hasLimit({ ratePerS }: ClientAccount): boolean {
  return ratePerS > 0;
}

function removeLeases({ leases }: NodeState): void {
  for (const { bucket: changed, tokens, unmet } of leases.values()) {
    const bucket = changed;
    bucket.leased -= tokens;
    bucket.unmet -= unmet;
  }
  leases.clear();
}

/** Buckets of all accounts with a limit, with the leases of the nodes that report here. */
export class Ledger implements TokenSource {
  private readonly buckets = new Map<AccountName, TokenBucket>();

  private readonly nodes = new Map<NodeId, NodeState>();

  private readonly shares = new NodeShares(() => this.refillAll());

  /** Nodes that are bridged, with the ends of their bridges. */
  private readonly bridges = new Map<NodeId, number>();

  /** Sum of the parts of the known nodes of all bridges so far. */
  private bridgedTotal = 0;

  /** Favoured nodes by account, as of the list `favouredOf`. */
  private readonly favoured = new Map<AccountName, ReadonlySet<NodeId>>();

  private favouredOf: readonly NodeId[] = [];

  /** Accounts whose nodes may still be ranked for the current report. */
  private rankings = 0;

  private nextSweepMs = -Infinity;

  private granted = 0;

  private unmet = 0;

  constructor(private readonly options: LedgerOptions) {}

  /** Applies the accounts of the configuration in force. */
  applyAccounts(accounts: readonly ClientAccount[], nowMs: number): void {
    this.advance(nowMs);
    this.refillAll();
    const limited = new Map(accounts.filter(hasLimit).map((account) => [account.name, account]));
    for (const name of this.buckets.keys()) {
      if (!limited.has(name)) this.removeBucket(name);
    }
    for (const [name, account] of limited) {
      const bucket = this.buckets.get(name);
      if (bucket) bucket.setAccount(account);
      else this.buckets.set(name, this.createBucket(account));
    }
    this.refillAll();
  }

  /**
   * Answers a report that was sent `ageMs` ago. A node whose age is unknown is not counted: its
   * report may have been delayed while the node reported to another coordinator. A node that is not
   * known is not counted either, since the shares of two coordinators could then exceed the whole.
   */
  answerNeeds(report: CoordinatorReport, nowMs: number, ageMs?: number): readonly TokenGrant[] {
    const policy = this.options.getPolicy();
    if (!policy) return [];
    this.advance(nowMs);
    const { node } = report;
    const known = this.nodes.get(node);
    const sentAtMs = nowMs - (ageMs ?? 0);
    // An earlier report that arrives after a later one names tokens that the node has used since.
    if (ageMs !== undefined && known && sentAtMs < known.sentAtMs) return [];
    const state = known ?? this.createNode(node);
    if (this.shares.isKnown(node, nowMs)) {
      this.countNode(report, state, sentAtMs, ageMs !== undefined);
      this.addBridge(report, state, policy, nowMs);
    }
    state.sentAtMs = sentAtMs;
    state.expiresAtMs = nowMs + LEASE_MS;
    this.rankings = MAX_RANKINGS;
    const before = this.replaceLeases(report, state);
    const grants: TokenGrant[] = [];
    for (const { account, tokens } of report.needs) {
      const maxRetryMs = this.shares.isCounted(node) ? RETRY_BOUNDS_MS.max : UNCOUNTED_RETRY_MS;
      const neededAtS = before.get(account)?.neededAtS;
      const grant = this.grant(state, account, tokens, maxRetryMs, neededAtS);
      if (grant) grants.push(grant);
    }
    return grants;
  }

  /** Forgets the nodes and empties the buckets, as in a process that has just started. */
  reset(): void {
    this.nodes.clear();
    this.shares.clear();
    this.bridges.clear();
    for (const [name, bucket] of this.buckets) {
      this.buckets.set(name, this.createBucket(bucket.getAccount()));
    }
  }

  /** Returns the totals since the last call. */
  takeTotals(): LedgerTotals {
    const { granted, unmet } = this;
    this.granted = 0;
    this.unmet = 0;
    return { granted, unmet };
  }

  /** Lists the accounts of the configuration in force that have asked for tokens here. */
  listAccountTotals(): AccountTotals[] {
    const listed: AccountTotals[] = [];
    for (const bucket of this.buckets.values()) {
      const { totals } = bucket;
      if (totals.granted + totals.missing === 0) continue;
      const { name, ratePerS, burst } = bucket.getAccount();
      listed.push({ account: name, ...totals, ratePerS, burst });
    }
    return listed;
  }

  private createNode(node: NodeId): NodeState {
    const state = {
      leases: new Map<AccountName, NodeLease>(),
      expiresAtMs: Infinity,
      sentAtMs: -Infinity,
      bridgedAtMs: -Infinity,
    };
    this.nodes.set(node, state);
    return state;
  }

  private createBucket(account: ClientAccount): TokenBucket {
    return new TokenBucket(account, this.shares.getTotalS(), this.bridgedTotal);
  }

  private removeBucket(name: AccountName): void {
    this.buckets.delete(name);
    this.favoured.delete(name);
    for (const { leases } of this.nodes.values()) leases.delete(name);
  }

  private advance(nowMs: number): void {
    this.shares.advance(nowMs, this.options.listKnownNodes());
    let hasEnded = false;
    for (const [node, untilMs] of this.bridges) {
      if (untilMs > nowMs) continue;
      this.bridges.delete(node);
      hasEnded = true;
    }
    if (hasEnded) this.refillAll();
    if (nowMs < this.nextSweepMs) return;
    this.nextSweepMs = nowMs + LEASE_MS / 10;
    this.expireNodes(nowMs);
  }

  private expireNodes(nowMs: number): void {
    const windowMs = this.options.getPolicy()?.windowMs ?? 0;
    for (const [node, state] of this.nodes) {
      if (state.expiresAtMs > nowMs) continue;
      removeLeases(state);
      if (nowMs - Math.max(state.expiresAtMs, state.bridgedAtMs) > windowMs) {
        this.nodes.delete(node);
      }
    }
  }

  private countNode(
    { node, steadyMs }: CoordinatorReport,
    state: NodeState,
    sentAtMs: number,
    isAgeKnown: boolean,
  ): void {
    if (steadyMs < STEADY_MS) this.shares.remove(node);
    else if (isAgeKnown) this.shares.add(node, sentAtMs);
  }

  private addBridge(
    { node, mayBridge, steadyMs }: CoordinatorReport,
    target: NodeState,
    { windowMs }: QuotaPolicy,
    nowMs: number,
  ): void {
    const state = target;
    if (!mayBridge || steadyMs >= STEADY_MS || nowMs - state.bridgedAtMs < windowMs) return;
    state.bridgedAtMs = nowMs;
    this.refillAll();
    this.bridges.set(node, nowMs + BRIDGE_MS);
    this.bridgedTotal += 1 / this.shares.getKnownNodes();
  }

  /** Replaces what is known of the tokens of a node by its report; returns what it replaced. */
  private replaceLeases(
    { holds, returns }: CoordinatorReport,
    state: NodeState,
  ): ReadonlyMap<AccountName, NodeLease> {
    const before = new Map(state.leases);
    removeLeases(state);
    for (const { account, tokens } of holds) this.addLease(state, account, tokens, 0);
    for (const { account, tokens } of returns) {
      const bucket = this.buckets.get(account);
      if (!bucket) continue;
      const had = before.get(account)?.tokens ?? 0;
      const held = state.leases.get(account)?.tokens ?? 0;
      bucket.returnTokens(Math.max(0, Math.min(tokens, had - held)));
    }
    return before;
  }

  private addLease(state: NodeState, account: AccountName, tokens: number, unmet: number): void {
    const bucket = this.buckets.get(account);
    if (!bucket) return;
    const lease = state.leases.get(account);
    bucket.leased += tokens;
    bucket.unmet += unmet;
    state.leases.set(account, {
      bucket,
      tokens: tokens + (lease?.tokens ?? 0),
      unmet: unmet + (lease?.unmet ?? 0),
      neededAtS: this.shares.getTotalS(),
    });
  }

  private grant(
    state: NodeState,
    account: AccountName,
    need: number,
    maxRetryMs: number,
    neededAtS = this.shares.getTotalS(),
  ): TokenGrant | undefined {
    const bucket = this.buckets.get(account);
    if (!bucket) return undefined;
    this.refill(bucket);
    const tokens = bucket.take(need, this.shares.getTotalS() - neededAtS);
    const unmet = need - tokens;
    const waitMs = bucket.estimateWaitMs(this.shares.getShare());
    this.addLease(state, account, tokens, unmet);
    this.granted += tokens;
    this.unmet += unmet;
    const boundedMs = Math.min(maxRetryMs, Math.max(RETRY_BOUNDS_MS.min, waitMs));
    const retryAfterMs = unmet === 0 ? 0 : Math.ceil(boundedMs);
    return { account, tokens, lifeMs: LEASE_MS, retryAfterMs };
  }

  private refillAll(): void {
    const inputs = this.getInputs();
    if (!inputs) return;
    for (const bucket of this.buckets.values()) {
      bucket.refill(inputs, this.computeFloor(bucket, inputs, false));
    }
  }

  private refill(bucket: TokenBucket): void {
    const inputs = this.getInputs();
    if (inputs) bucket.refill(inputs, this.computeFloor(bucket, inputs, true));
  }

  private getInputs(): BucketInputs | undefined {
    const policy = this.options.getPolicy();
    if (!policy) return undefined;
    return {
      policy,
      share: this.shares.getShare(),
      totalS: this.shares.getTotalS(),
      bridgedShare: Math.min(1, this.bridges.size / this.shares.getKnownNodes()),
      bridgedTotal: this.bridgedTotal,
    };
  }

  /**
   * Returns the least capacity. A coordinator of few nodes could otherwise never hold a whole token
   * of an account with a small burst. One coordinator has most of the nodes, and the favoured nodes
   * of an account are so few that their tokens are within the slack. Nodes are ranked only with
   * `canRank`: a refill of all buckets would take too long.
   */
  private computeFloor(bucket: TokenBucket, inputs: BucketInputs, canRank: boolean): number {
    const { share, policy } = inputs;
    if (share === 0 || bucket.computeCapacity(inputs) >= 1) return 0;
    if (share > 1 / 2) return 1;
    if (!canRank) return 0;
    const favoured = this.getFavoured(bucket.getAccount().name, Math.floor(policy.slack / 2));
    for (const node of this.shares.listCounted()) {
      if (favoured?.has(node)) return 1;
    }
    return 0;
  }

  /** Returns the favoured nodes of an account; undefined when too many were ranked already. */
  private getFavoured(name: AccountName, count: number): ReadonlySet<NodeId> | undefined {
    const known = this.options.listKnownNodes();
    if (known !== this.favouredOf) {
      this.favoured.clear();
      this.favouredOf = known;
    }
    let favoured = this.favoured.get(name);
    if (!favoured && this.rankings > 0) {
      this.rankings -= 1;
      favoured = new Set(rankMembers(name, known, (node) => node).slice(0, count));
      this.favoured.set(name, favoured);
    }
    return favoured;
  }
}
