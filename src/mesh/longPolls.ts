/** Requests of other nodes that wait until what they ask for has happened. */

interface Waiting {
  readonly resolve: () => void;
  readonly timer: NodeJS.Timeout;
}

export class LongPolls<Request> {
  private readonly waiting = new Map<Request, Waiting>();

  private isCheckScheduled = false;

  /** `isDue` tells whether a request can be answered now. */
  constructor(private readonly isDue: (request: Request) => boolean) {}

  /** Resolves when the request is due, at the latest after `waitMs`. */
  wait(request: Request, waitMs: number): Promise<void> {
    if (this.isDue(request)) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.end(request), waitMs);
      this.waiting.set(request, { resolve, timer });
    });
  }

  /** Ends the wait of all requests that are due, once the changes at hand have been applied. */
  scheduleCheck(): void {
    if (this.isCheckScheduled || this.waiting.size === 0) return;
    this.isCheckScheduled = true;
    setImmediate(() => {
      this.isCheckScheduled = false;
      for (const request of [...this.waiting.keys()]) if (this.isDue(request)) this.end(request);
    });
  }

  private end(request: Request): void {
    const waiting = this.waiting.get(request);
    if (!waiting) return;
    clearTimeout(waiting.timer);
    this.waiting.delete(request);
    waiting.resolve();
  }
}
