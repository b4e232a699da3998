/** What one party makes this process hold, as the memory account knows it. */

/**
 * What is held: bodies of requests, bodies of responses that are being read, and connections with
 * their heads, requests and unread responses.
 */
export const HOLDING_KINDS = ['request', 'response', 'connection'] as const;

export type HoldingKind = (typeof HOLDING_KINDS)[number];

/** Bytes that are held for one party, as the code that holds them sees it. */
export interface Holding {
  readonly bytes: number;
  /** Sets the size; other holdings, or this one, may be evicted when it has grown. */
  set(bytes: number): void;
  /** Keeps this holding from being evicted; it still counts. */
  pin(): void;
  /** Ends this holding; later changes of its size have no effect. */
  release(): void;
}

/** A holding with the state by which the memory account finds it. */
export class AccountHolding implements Holding {
  bytes = 0;

  /** Class under which it is indexed; undefined while it can't be evicted. */
  sizeClass: number | undefined;

  isPinned = false;

  isReleased = false;

  constructor(
    readonly kind: HoldingKind,
    readonly onEvict: () => void,
    private readonly onChange: (holding: AccountHolding, bytes: number) => void,
  ) {}

  set(bytes: number): void {
    if (!this.isReleased) this.onChange(this, bytes);
  }

  pin(): void {
    this.isPinned = true;
    if (!this.isReleased) this.onChange(this, this.bytes);
  }

  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.onChange(this, 0);
  }
}
