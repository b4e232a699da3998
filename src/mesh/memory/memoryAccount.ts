/**
 * Counts the memory that other parties make this process hold, and decides what is evicted when it
 * exceeds the limits. It performs no I/O. Design: docs/design/memory.md
 */
import { AccountHolding, HOLDING_KINDS, type Holding, type HoldingKind } from './holding.js';
import { computeSizeClass, SizeClasses } from './sizeClasses.js';

/** Limits in bytes: of all holdings, and of each kind. */
export interface AccountLimits extends Readonly<Record<HoldingKind, number>> {
  readonly total: number;
}

/** Part of the total limit beside which a lone request body may exceed its limit. */
const LONE_BODY_SHARE = 0.25;

/**
 * Part of the total limit up to which a holding is not evicted for the limit of its kind, so that
 * ordinary requests get through beside large bodies.
 */
const SMALL_SHARE = 1 / 1024;

/** Evicts the largest holdings first; pinned and released ones are never evicted. */
export class MemoryAccount {
  private usedBytes = 0;

  private readonly usedByKind: Record<HoldingKind, number> = {
    request: 0,
    response: 0,
    connection: 0,
  };

  private readonly indexes: Readonly<Record<HoldingKind, SizeClasses<AccountHolding>>> = {
    request: new SizeClasses(),
    response: new SizeClasses(),
    connection: new SizeClasses(),
  };

  constructor(private readonly limits: AccountLimits) {}

  /** Starts a holding of no bytes. `onEvict` is called at most once, after it was released. */
  open(kind: HoldingKind, onEvict: () => void): Holding {
    return new AccountHolding(kind, onEvict, (holding, bytes) => this.change(holding, bytes));
  }

  /** Returns the bytes of all holdings. */
  countBytes(): number {
    return this.usedBytes;
  }

  /** Applies a change of the size or the state of a holding. */
  private change(changed: AccountHolding, bytes: number): void {
    const holding = changed;
    const { kind } = holding;
    const addedBytes = bytes - holding.bytes;
    holding.bytes = bytes;
    this.usedBytes += addedBytes;
    this.usedByKind[kind] += addedBytes;
    const canEvict = bytes > 0 && !holding.isPinned && !holding.isReleased;
    const sizeClass = canEvict ? computeSizeClass(bytes) : undefined;
    if (sizeClass !== holding.sizeClass) {
      const index = this.indexes[kind];
      if (holding.sizeClass !== undefined) index.remove(holding, holding.sizeClass);
      if (sizeClass !== undefined) index.add(holding, sizeClass);
      holding.sizeClass = sizeClass;
    }
    if (addedBytes > 0) this.evictExcess(kind);
  }

  private evictExcess(kind: HoldingKind): void {
    while (this.usedByKind[kind] > this.limits[kind]) {
      const largest = this.findLargest([kind]);
      if (!largest || largest.bytes <= this.limits.total * SMALL_SHARE) break;
      largest.release();
      largest.onEvict();
    }
    while (this.usedBytes > this.limits.total) {
      const largest = this.findLargest(HOLDING_KINDS);
      if (!largest) return;
      largest.release();
      largest.onEvict();
    }
  }

  /** Returns one of the largest holdings of these kinds that may be evicted. */
  private findLargest(kinds: readonly HoldingKind[]): AccountHolding | undefined {
    let found: AccountHolding | undefined;
    for (const kind of kinds) {
      const largest = this.indexes[kind].findLargest();
      if (!largest) continue;
      if (this.isLoneBody(largest)) return undefined;
      if (!found || largest.sizeClass! > found.sizeClass!) found = largest;
    }
    return found;
  }

  /** A body that is held alone is within the limits of the configuration: nothing is evicted. */
  private isLoneBody({ kind, bytes }: AccountHolding): boolean {
    if (kind !== 'request' || bytes < this.usedByKind.request) return false;
    return this.usedBytes - bytes <= this.limits.total * LONE_BODY_SHARE;
  }
}
