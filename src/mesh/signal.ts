/** Cancellation of a request. */

/** One-time cancellation signal; cheaper than an `AbortController` for each request. */
export class Cancellation {
  private hasFired = false;

  private listeners: (() => void)[] = [];

  isCancelled(): boolean {
    return this.hasFired;
  }

  /** Calls the listener on cancellation, or immediately when it has already happened. */
  onCancel(listener: () => void): void {
    if (this.hasFired) listener();
    else this.listeners.push(listener);
  }

  cancel(): void {
    if (this.hasFired) return;
    this.hasFired = true;
    const { listeners } = this;
    this.listeners = [];
    for (const listener of listeners) listener();
  }
}
