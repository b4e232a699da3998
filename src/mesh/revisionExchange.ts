/**
 * Reports the watch progress of this node to other nodes in a header of existing calls. A node
 * whose connection to the store is dead detects from these reports that it is behind.
 */
import type { KindPosition } from './kindPosition.js';
import { StoreEra } from './storeEra.js';

/** Minimum interval between two calls with the header, which limits its share of the traffic. */
const MIN_SEND_INTERVAL_MS = 100;

/** Watch positions of all kinds, in the same order on all nodes, followed by the era. */
export class RevisionExchange {
  private lastSentAtMs = -Infinity;

  constructor(
    private readonly positions: readonly KindPosition[],
    private readonly era = new StoreEra(),
  ) {}

  /** Returns the header value for the next call, or undefined within the minimum interval. */
  formatIfDue(nowMs: number): string | undefined {
    if (nowMs - this.lastSentAtMs < MIN_SEND_INTERVAL_MS) return undefined;
    this.lastSentAtMs = nowMs;
    return this.format();
  }

  format(): string {
    const revisions = this.positions.map((position) => position.getLatestChange());
    return [...revisions, this.era.get()].join('.');
  }

  /** Applies the header value of another node. Malformed values are ignored. */
  apply(text: string | undefined): void {
    if (text === undefined || !/^[\d.]+$/.test(text)) return;
    const revisions = text.split('.').map(Number);
    const era = revisions[this.positions.length];
    if (Number.isSafeInteger(era)) this.era.observe(era!);
    if (era !== undefined && era !== this.era.get()) return;
    for (const [index, position] of this.positions.entries()) {
      const revision = revisions[index];
      if (Number.isSafeInteger(revision)) position.recordRemoteRevision(revision!);
    }
  }
}
