/**
 * Quota tokens at a node: requests take tokens that the coordinator has granted, or wait for its
 * next answer. It sends nothing itself; the report loop collects what it needs.
 */
import type { AccountName, NodeId } from '../../types/ids.js';
import type { CoordinatorReport, TokenGrant } from '../coordination/model.js';
import type { ClientAccount } from '../model.js';
import type { EventLog } from '../eventLog.js';
import type { Cancellation } from '../signal.js';
import { hasLimit } from './ledger.js';
import { LocalTokens } from './localTokens.js';

/** Longest wait of a request for the answer of a coordinator. */
const MAX_WAIT_MS = 500;

/** Retry time of a request that got no answer, or whose account the coordinator does not know. */
const UNKNOWN_RETRY_MS = 200;

/** Limit on waiting requests; 27,000 a second over 540 nodes would be 25 within the wait. */
const MAX_WAITING = 5000;

/** Shortest interval between two log lines on the denials of an account. */
const LOG_INTERVAL_MS = 1000;

/** Whether a request may run. */
export type QuotaDecision = { readonly kind: 'granted' } | QuotaRefusal;

/** Why a request got no token, and when it may be sent again. */
export type QuotaRefusal =
  /** The account has used its quota. */
  | { readonly kind: 'denied'; readonly retryAfterMs: number }
  /** No coordinator has answered in time. */
  | { readonly kind: 'unknown'; readonly retryAfterMs: number };

export interface QuotaClientOptions {
  /** Returns true when the settings hold a quota policy. */
  readonly isEnforced: () => boolean;
  readonly log: EventLog;
  readonly now?: () => number;
  /** Returns how often the clock has stood still so far. */
  readonly countSuspensions?: () => number;
}

interface Waiter {
  readonly deadlineMs: number;
  readonly settle: (decision: QuotaDecision) => void;
}

interface AccountState {
  readonly tokens: LocalTokens;
  /** Requests that wait, the first one first. */
  readonly waiters: Waiter[];
  denials: number;
  loggedAtMs: number;
}

/** What a report says about quota tokens. */
export type TokenReport = Pick<CoordinatorReport, 'needs' | 'returns' | 'holds'>;

const GRANTED: QuotaDecision = { kind: 'granted' };

function isRaised(before: ClientAccount | undefined, after: ClientAccount): boolean {
  if (!before) return true;
  return after.ratePerS > before.ratePerS || after.burst > before.burst;
}

/** Tokens, waiting requests and denials of the accounts in use at this node. */
export class QuotaClient {
  private readonly states = new Map<AccountName, AccountState>();

  private limits = new Map<AccountName, ClientAccount>();

  /** Refused requests of the accounts of the configuration in force. */
  private readonly deniedTotals = new Map<AccountName, number>();

  private waiting = 0;

  private timer: NodeJS.Timeout | undefined;

  private listener: (() => void) | undefined;

  /** Number of suspensions that the tokens are as of. */
  private suspensions: number;

  /** Number of suspensions at the latest report. */
  private collectedSuspensions: number;

  private readonly now: () => number;

  private readonly countSuspensions: () => number;

  constructor(private readonly options: QuotaClientOptions) {
    this.now = options.now ?? (() => performance.now());
    this.countSuspensions = options.countSuspensions ?? (() => 0);
    this.suspensions = this.countSuspensions();
    this.collectedSuspensions = this.suspensions;
  }

  /** Registers the listener that is called when tokens are needed. */
  onNeed(listener: () => void): void {
    this.listener = listener;
  }

  /**
   * Refuses a request at once while its account is denied; undefined if it may ask for a token.
   * Takes none, so it can be called before the body has come.
   */
  refuseDenied(account: ClientAccount): QuotaRefusal | undefined {
    const state = this.states.get(account.name);
    if (!state || !hasLimit(account) || !this.options.isEnforced()) return undefined;
    const { tokens } = state;
    const nowMs = this.readClock();
    const deniedMs = tokens.deniedUntilMs - nowMs;
    if (deniedMs <= 0 || tokens.hasToken(nowMs)) return undefined;
    tokens.recordRequest(nowMs);
    return this.refuse(account.name, state, Math.ceil(deniedMs), nowMs);
  }

  /**
   * Takes a token for a request of the account, and waits for one if there is none. The wait ends
   * with `cancellation`.
   */
  async take(account: ClientAccount, cancellation?: Cancellation): Promise<QuotaDecision> {
    if (!hasLimit(account) || !this.options.isEnforced()) return GRANTED;
    const nowMs = this.readClock();
    const state = this.getOrCreateState(account.name);
    const { tokens } = state;
    tokens.recordRequest(nowMs);
    if (state.waiters.length === 0 && tokens.take(nowMs)) return GRANTED;
    const deniedMs = tokens.deniedUntilMs - nowMs;
    if (deniedMs > 0) return this.refuse(account.name, state, Math.ceil(deniedMs), nowMs);
    if (this.waiting >= MAX_WAITING) return { kind: 'unknown', retryAfterMs: UNKNOWN_RETRY_MS };
    const decision = new Promise<QuotaDecision>((resolve) => {
      const waiter = { deadlineMs: nowMs + MAX_WAIT_MS, settle: resolve };
      state.waiters.push(waiter);
      this.waiting += 1;
      cancellation?.onCancel(() => this.cancelWait(state, waiter));
    });
    this.timer ??= setTimeout(() => this.expireWaiters(), MAX_WAIT_MS);
    this.listener?.();
    return decision;
  }

  /** Puts back the token of a request that ended as not run. */
  returnToken({ name }: Pick<ClientAccount, 'name'>): void {
    const state = this.states.get(name);
    if (!state) return;
    const nowMs = this.readClock();
    state.tokens.returnToken(nowMs);
    this.settleGranted(state, nowMs);
  }

  /** Applies the accounts of the configuration in force. */
  applyAccounts(accounts: readonly ClientAccount[]): void {
    const before = this.limits;
    this.limits = new Map(accounts.map((account) => [account.name, account]));
    for (const name of this.deniedTotals.keys()) {
      if (!this.limits.has(name)) this.deniedTotals.delete(name);
    }
    for (const [name, state] of this.states) {
      const limit = this.limits.get(name);
      if (!limit || !hasLimit(limit)) this.forget(name, state, limit ? GRANTED : undefined);
      else if (isRaised(before.get(name), limit)) state.tokens.deniedUntilMs = -Infinity;
    }
  }

  /** Lists the accounts with refused requests, and their number. */
  listDenials(): Iterable<[AccountName, number]> {
    return this.deniedTotals;
  }

  /** Returns true when requests wait for tokens. */
  isWaiting(): boolean {
    return this.waiting > 0;
  }

  /** Returns the unused tokens of a coordinator. */
  listHolds(coordinator: NodeId): TokenReport['holds'] {
    const nowMs = this.readClock();
    return [...this.states]
      .map(([account, { tokens }]) => ({ account, tokens: tokens.countHeld(coordinator, nowMs) }))
      .filter(({ tokens }) => tokens > 0);
  }

  /** Returns what a report to a coordinator says, and gives up the tokens that it returns. */
  collectTokens(coordinator: NodeId): TokenReport {
    const nowMs = this.readClock();
    this.collectedSuspensions = this.suspensions;
    const report = {
      needs: [] as TokenReport['needs'][number][],
      returns: [] as TokenReport['returns'][number][],
      holds: [] as TokenReport['holds'][number][],
    };
    for (const [account, { tokens, waiters }] of this.states) {
      if (waiters.length === 0 && tokens.isIdle(nowMs)) {
        this.states.delete(account);
        continue;
      }
      const expected = tokens.estimateNeed(nowMs);
      // One more is kept, so that a low demand does not return each token and ask for it again.
      const returned = tokens.removeSurplus(coordinator, expected + 1, nowMs);
      const held = tokens.countHeld(coordinator, nowMs);
      const need = waiters.length + Math.max(0, expected - held);
      if (returned > 0) report.returns.push({ account, tokens: returned });
      if (held > 0) report.holds.push({ account, tokens: held });
      if (need > 0) report.needs.push({ account, tokens: need });
    }
    return report;
  }

  /** Applies the answer to the needs of a report that was sent at `sentAtMs`. */
  applyGrants(
    needs: TokenReport['needs'],
    grants: readonly TokenGrant[],
    coordinator: NodeId,
    sentAtMs: number,
  ): void {
    const nowMs = this.readClock();
    // After a suspension the lease of an answer from before seems to last longer than it does.
    const isUsable = this.collectedSuspensions === this.suspensions;
    const grantOf = new Map(isUsable ? grants.map((grant) => [grant.account, grant]) : []);
    for (const { account, tokens: need } of needs) {
      const state = this.states.get(account);
      if (!state) continue;
      const grant = grantOf.get(account);
      if (!grant) {
        this.settle(state, need, { kind: 'unknown', retryAfterMs: UNKNOWN_RETRY_MS });
        continue;
      }
      const { tokens, lifeMs, retryAfterMs } = grant;
      state.tokens.addLot(Math.min(tokens, need), sentAtMs + lifeMs, coordinator);
      this.settleGranted(state, nowMs);
      state.tokens.deniedUntilMs = retryAfterMs === 0 ? -Infinity : nowMs + retryAfterMs;
      while (retryAfterMs > 0 && state.waiters.length > 0) {
        this.settle(state, 1, this.refuse(account, state, retryAfterMs, nowMs));
      }
    }
    if (this.waiting > 0) this.listener?.();
  }

  /** Answers all waiting requests and stops the timer. */
  close(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    for (const state of this.states.values()) {
      this.settle(state, state.waiters.length, {
        kind: 'unknown',
        retryAfterMs: UNKNOWN_RETRY_MS,
      });
    }
  }

  /** Returns the time, and forgets the tokens from before the clock stood still. */
  private readClock(): number {
    const suspensions = this.countSuspensions();
    if (suspensions !== this.suspensions) {
      this.suspensions = suspensions;
      for (const { tokens } of this.states.values()) tokens.clear();
    }
    return this.now();
  }

  private getOrCreateState(name: AccountName): AccountState {
    let state = this.states.get(name);
    if (!state) {
      state = { tokens: new LocalTokens(), waiters: [], denials: 0, loggedAtMs: -Infinity };
      this.states.set(name, state);
    }
    return state;
  }

  private forget(name: AccountName, state: AccountState, decision?: QuotaDecision): void {
    const unknown: QuotaDecision = { kind: 'unknown', retryAfterMs: UNKNOWN_RETRY_MS };
    this.settle(state, state.waiters.length, decision ?? unknown);
    this.states.delete(name);
  }

  private cancelWait({ waiters }: AccountState, waiter: Waiter): void {
    const index = waiters.indexOf(waiter);
    if (index < 0) return;
    waiters.splice(index, 1);
    this.waiting -= 1;
    waiter.settle({ kind: 'unknown', retryAfterMs: UNKNOWN_RETRY_MS });
  }

  private settle(target: AccountState, count: number, decision: QuotaDecision): void {
    const state = target;
    const settled = state.waiters.splice(0, count);
    this.waiting -= settled.length;
    for (const waiter of settled) waiter.settle(decision);
  }

  private settleGranted(state: AccountState, nowMs: number): void {
    let count = 0;
    while (count < state.waiters.length && state.tokens.take(nowMs)) count += 1;
    this.settle(state, count, GRANTED);
  }

  private refuse(
    account: AccountName,
    target: AccountState,
    retryAfterMs: number,
    nowMs: number,
  ): QuotaRefusal {
    const state = target;
    state.denials += 1;
    this.deniedTotals.set(account, (this.deniedTotals.get(account) ?? 0) + 1);
    if (nowMs - state.loggedAtMs >= LOG_INTERVAL_MS) {
      this.options.log.write('info', 'quota-denied', {
        account,
        denials: state.denials,
        retryAfterMs,
      });
      state.denials = 0;
      state.loggedAtMs = nowMs;
    }
    return { kind: 'denied', retryAfterMs };
  }

  /** Ends the waits that are over; one timer serves all requests. */
  private expireWaiters(): void {
    const nowMs = this.readClock();
    let nextMs = Infinity;
    for (const state of this.states.values()) {
      const expired = state.waiters.findIndex(({ deadlineMs }) => deadlineMs > nowMs);
      const count = expired < 0 ? state.waiters.length : expired;
      this.settle(state, count, { kind: 'unknown', retryAfterMs: UNKNOWN_RETRY_MS });
      const [first] = state.waiters;
      if (first) nextMs = Math.min(nextMs, first.deadlineMs);
    }
    this.timer =
      nextMs === Infinity
        ? undefined
        : setTimeout(() => this.expireWaiters(), Math.max(1, nextMs - nowMs));
  }
}
