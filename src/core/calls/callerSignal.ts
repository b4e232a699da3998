/** Tells the parts of a call that its caller has gone. */
import type { CallSignal } from '../../types/calls.js';

/**
 * A signal that is aborted at most once. An `AbortController` and its event target took about 5%
 * of the CPU time of a node in a profile at 50 calls/s, for features that a call does not use.
 */
export class CallerSignal implements CallSignal {
  private listeners: Set<() => void> | undefined;

  private isAborted = false;

  get aborted(): boolean {
    return this.isAborted;
  }

  /** Adds a listener that is called at the abort; one added afterwards is never called. */
  addEventListener(_type: 'abort', listener: () => void): void {
    if (this.isAborted) return;
    this.listeners ??= new Set();
    this.listeners.add(listener);
  }

  removeEventListener(_type: 'abort', listener: () => void): void {
    this.listeners?.delete(listener);
  }

  /** Aborts and calls each listener once; a listener removed by an earlier one is not called. */
  abort(): void {
    if (this.isAborted) return;
    this.isAborted = true;
    for (const listener of this.listeners ?? []) listener();
    this.listeners = undefined;
  }
}
