/**
 * Tells whether this node reads the changes of a kind from the store itself and has done so
 * recently. Only then may other nodes rely on it for changes. It reads no clock.
 */

/**
 * Time after a response of the store for which this node counts as current. It is longer than a
 * watch of a source takes, its timeout included.
 */
const MAX_SILENCE_MS = 5000;

/** Contact of one watch with the store. */
export class StoreContact {
  private readAtMs = -Infinity;

  private isCalling = false;

  private readonly listeners: (() => void)[] = [];

  /** Registers a listener that is called when this node stops reading the store. */
  onLost(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Records that a call to the store has started, which is expected to bring it up to date. */
  recordCall(): void {
    this.isCalling = true;
  }

  /** Records a response of the store that brought this node up to date. */
  recordRead(nowMs: number): void {
    this.isCalling = false;
    this.readAtMs = nowMs;
  }

  /** Records that a call has failed, that another node is read instead, or that this one stops. */
  recordLost(): void {
    if (!this.isCalling && this.readAtMs === -Infinity) return;
    this.isCalling = false;
    this.readAtMs = -Infinity;
    for (const listener of this.listeners) listener();
  }

  isCurrent(nowMs: number): boolean {
    return nowMs - this.readAtMs <= MAX_SILENCE_MS;
  }

  /** Returns true when a call is under way that may bring this node up to date. */
  isPending(): boolean {
    return this.isCalling;
  }
}
