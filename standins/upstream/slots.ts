/** Running requests of an upstream stand-in and their cancellation. */

/** One running request. */
export interface RunningRequest {
  readonly requestId: string;
  /** Aborted with reason `cancelled`, `deadline` or `gone` (the connection was closed). */
  readonly abort: AbortController;
}

/** Concurrency slots of one upstream process. */
export class SlotTable {
  readonly #running = new Set<RunningRequest>();

  readonly #idleWaiters = new Set<() => void>();

  constructor(readonly slots: number) {}

  get busy(): number {
    return this.#running.size;
  }

  /** Occupies a slot; returns undefined if all slots are busy. */
  admit(requestId: string): RunningRequest | undefined {
    if (this.#running.size >= this.slots) return undefined;
    const running = { requestId, abort: new AbortController() };
    this.#running.add(running);
    return running;
  }

  release(running: RunningRequest): void {
    this.#running.delete(running);
    if (this.#running.size > 0) return;
    for (const resolveIdle of this.#idleWaiters) resolveIdle();
    this.#idleWaiters.clear();
  }

  /** Cancels a request by its id; returns false if it is not running. */
  cancel(requestId: string): boolean {
    const found = [...this.#running].filter((running) => running.requestId === requestId);
    for (const running of found) running.abort.abort('cancelled');
    return found.length > 0;
  }

  listRequestIds(): string[] {
    return [...this.#running].map((running) => running.requestId).filter((id) => id !== '');
  }

  /** Waits until no request is running. */
  waitForIdle(): Promise<void> {
    if (this.#running.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#idleWaiters.add(resolve);
    });
  }
}
