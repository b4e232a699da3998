/**
 * Measures the delay of the event loop, and lets it catch up. After it was blocked, it reads what
 * has arrived meanwhile in no useful order: a request before the end of its connection, a response
 * of the instance before the end of the caller whose queued request it would start.
 */

/**
 * Interval of the timer whose delay is the delay of the event loop. What has arrived may have
 * waited for one interval longer than the delay shows; both together stay below the half second for
 * which a request may go on after its caller has left.
 */
const CHECK_INTERVAL_MS = 100;

/** Delay from which what has arrived is read before a decision rests on it. */
const LATE_MS = 250;

/** Time that a connection waited to be accepted from which its end may have arrived meanwhile. */
const LATE_ACCEPT_MS = 100;

/** Turns of the loop after which the end of a connection that had arrived is known. */
const ARRIVAL_TURNS = 3;

async function waitForTurns(): Promise<void> {
  for (let turn = 0; turn < ARRIVAL_TURNS; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

export class LoopMonitor {
  private expectedAtMs = performance.now() + CHECK_INTERVAL_MS;

  private latestLagMs = 0;

  private readonly listeners: ((lagMs: number) => void)[] = [];

  private readonly timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();

  /** Registers a listener that is called with the delay at each check. */
  onCheck(listener: (lagMs: number) => void): void {
    this.listeners.push(listener);
  }

  /** Returns the delay at the latest check, or now if that is greater, in milliseconds. */
  getLagMs(): number {
    return Math.max(this.latestLagMs, performance.now() - this.expectedAtMs);
  }

  /**
   * Resolves when the loop has read what had arrived at the time of the call; undefined unless the
   * loop was blocked lately, or the connection has waited to be accepted for `acceptWaitMs`.
   */
  waitForArrivals(acceptWaitMs = 0): Promise<void> | undefined {
    const isLate = this.getLagMs() > LATE_MS || acceptWaitMs > LATE_ACCEPT_MS;
    return isLate ? waitForTurns() : undefined;
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const nowMs = performance.now();
    this.latestLagMs = Math.max(0, nowMs - this.expectedAtMs);
    this.expectedAtMs = nowMs + CHECK_INTERVAL_MS;
    for (const listener of this.listeners) listener(this.latestLagMs);
  }
}
