/** Quota tokens of one account at one node. It performs no I/O and reads no clock. */
import type { NodeId } from '../../types/ids.js';

/** Time over which the demand is averaged. */
const DEMAND_MS = 1000;

/** Time for which the tokens that a node asks for beyond its waiting requests should last. */
const AHEAD_MS = 400;

/**
 * Interval of the two counts of taken tokens. A token that was taken longer ago is not given back:
 * used again, it would add to the tokens of a later window.
 */
const TAKEN_INTERVAL_MS = 200;

/** Tokens of one grant. */
interface Lot {
  tokens: number;
  readonly expiresAtMs: number;
  readonly coordinator: NodeId;
}

/** Tokens in lots by grant, and an estimate of the demand from recent requests. */
export class LocalTokens {
  private lots: Lot[] = [];

  /** Time before which the coordinator has denied further tokens. */
  deniedUntilMs = -Infinity;

  private demand = 0;

  private demandAtMs = -Infinity;

  /** Start of the present interval of taken tokens. */
  private takenStartMs = -Infinity;

  /** Tokens taken in the present interval, less those that were returned. */
  private taken = 0;

  /** The same of the interval before. */
  private takenBefore = 0;

  /** Records a request, whether it gets a token or not. */
  recordRequest(nowMs: number): void {
    this.demand = this.estimateDemand(nowMs) + 1;
    this.demandAtMs = nowMs;
  }

  addLot(tokens: number, expiresAtMs: number, coordinator: NodeId): void {
    if (tokens > 0) this.lots.push({ tokens, expiresAtMs, coordinator });
  }

  hasToken(nowMs: number): boolean {
    this.expire(nowMs);
    return this.lots.some(({ tokens }) => tokens > 0);
  }

  /** Takes a token; returns false when there is none. */
  take(nowMs: number): boolean {
    this.expire(nowMs);
    const [lot] = this.lots;
    if (!lot || lot.tokens === 0) return false;
    lot.tokens -= 1;
    // An empty last lot is kept for a token that is given back.
    if (lot.tokens === 0 && this.lots.length > 1) this.lots.shift();
    this.advanceTaken(nowMs);
    this.taken += 1;
    return true;
  }

  /** Forgets the tokens, those that could be given back included. */
  clear(): void {
    this.lots = [];
    this.taken = 0;
    this.takenBefore = 0;
  }

  /** Puts back a token whose request has not run, while its lease lasts. */
  returnToken(nowMs: number): void {
    this.advanceTaken(nowMs);
    if (this.taken + this.takenBefore === 0) return;
    if (this.takenBefore > 0) this.takenBefore -= 1;
    else this.taken -= 1;
    const lot = this.lots.at(-1);
    if (lot && lot.expiresAtMs > nowMs) lot.tokens += 1;
  }

  /** Returns the tokens of a coordinator that are left. */
  countHeld(coordinator: NodeId, nowMs: number): number {
    this.expire(nowMs);
    let tokens = 0;
    for (const lot of this.lots) {
      if (lot.coordinator === coordinator) tokens += lot.tokens;
    }
    return tokens;
  }

  /** Returns the tokens that are expected to be used until some time after the next report. */
  estimateNeed(nowMs: number): number {
    return Math.floor((this.estimateDemand(nowMs) * AHEAD_MS) / DEMAND_MS);
  }

  /** Removes the tokens of a coordinator beyond `kept`; returns their number. */
  removeSurplus(coordinator: NodeId, kept: number, nowMs: number): number {
    let surplus = Math.max(0, this.countHeld(coordinator, nowMs) - kept);
    const removed = surplus;
    for (const lot of this.lots) {
      if (lot.coordinator !== coordinator) continue;
      const part = Math.min(lot.tokens, surplus);
      lot.tokens -= part;
      surplus -= part;
    }
    return removed;
  }

  /** Returns true when nothing of the account needs to be remembered. */
  isIdle(nowMs: number): boolean {
    this.expire(nowMs);
    const isEmpty = this.lots.every(({ tokens }) => tokens === 0);
    return isEmpty && nowMs >= this.deniedUntilMs && this.estimateDemand(nowMs) < 0.1;
  }

  private estimateDemand(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.demandAtMs);
    return this.demand * Math.exp(-elapsedMs / DEMAND_MS);
  }

  private expire(nowMs: number): void {
    const last = this.lots.at(-1);
    const isUsable = (lot: Lot) => lot.expiresAtMs > nowMs && (lot.tokens > 0 || lot === last);
    if (!this.lots.every(isUsable)) this.lots = this.lots.filter(isUsable);
  }

  private advanceTaken(nowMs: number): void {
    const elapsedMs = nowMs - this.takenStartMs;
    if (elapsedMs < TAKEN_INTERVAL_MS) return;
    this.takenBefore = elapsedMs < 2 * TAKEN_INTERVAL_MS ? this.taken : 0;
    this.taken = 0;
    this.takenStartMs = nowMs;
  }
}
