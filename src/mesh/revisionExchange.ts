/**
 * Reports the watch progress of this node to other nodes in a header of existing calls. A node
 * whose connection to the store is dead detects from these reports that it is behind.
 */
import type { KindPosition } from './kindPosition.js';

/** Minimum interval between two calls with the header, which limits its share of the traffic. */
const MIN_SEND_INTERVAL_MS = 100;

/** Watch positions of all kinds, in the same order on all nodes. */
export class RevisionExchange {
  private lastSentAtMs = -Infinity;

  constructor(private readonly positions: readonly KindPosition[]) {}

  /** Returns the header value for the next call, or undefined within the minimum interval. */
  formatIfDue(nowMs: number): string | undefined {
    if (nowMs - this.lastSentAtMs < MIN_SEND_INTERVAL_MS) return undefined;
    this.lastSentAtMs = nowMs;
    return this.format();
  }

  format(): string {
    return this.positions.map((position) => position.getLatestChange()).join('.');
  }

  /** Applies the header value of another node. Malformed values are ignored. */
  apply(text: string | undefined): void {
    if (text === undefined || !/^[\d.]+$/.test(text)) return;
    const revisions = text.split('.').map(Number);
    for (const [index, position] of this.positions.entries()) {
      const revision = revisions[index];
      if (Number.isSafeInteger(revision)) position.recordRemoteRevision(revision!);
    }
  }
}
