/**
 * Reports the watch progress of this node to other nodes in a header of existing calls. A node
 * whose connection to the store is dead detects from these reports that it is behind.
 */
import type { KindPosition } from './kindPosition.js';
import { StoreEra } from './storeEra.js';

/** Minimum interval between two calls with the header, which limits its share of the traffic. */
const MIN_SEND_INTERVAL_MS = 100;

/** Largest age that is reported, in milliseconds; it stands for evidence that is too old. */
const MAX_AGE_MS = 99_999;

/**
 * Watch positions of all kinds, in the same order on all nodes, followed by the era. Responses add,
 * for each kind, the age of the evidence that there is no later change, in milliseconds.
 */
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

  /** Returns the header value for a response. */
  formatReport(nowMs: number): string {
    const ages = this.positions.map((position) =>
      Math.ceil(Math.min(MAX_AGE_MS, position.getUnconfirmedMs(nowMs))),
    );
    return [this.format(), ...ages].join('.');
  }

  /**
   * Applies the header value of another node. Malformed values are ignored. `requestedAtMs` is the
   * time of the request that it responds to: the evidence of the other node is no older than its
   * age at that time.
   */
  apply(text: string | undefined, requestedAtMs?: number): void {
    if (text === undefined || !/^[\d.]+$/.test(text)) return;
    const revisions = text.split('.').map(Number);
    const era = revisions[this.positions.length];
    if (Number.isSafeInteger(era)) this.era.observe(era!);
    if (era !== undefined && era !== this.era.get()) return;
    for (const [index, position] of this.positions.entries()) {
      const revision = revisions[index];
      if (!Number.isSafeInteger(revision)) continue;
      position.recordRemoteRevision(revision!);
      const ageMs = revisions[this.positions.length + 1 + index];
      const isEvidence = Number.isSafeInteger(ageMs) && ageMs! < MAX_AGE_MS;
      const hasMissedNothing = revision! <= position.getSyncedRevision();
      if (requestedAtMs === undefined || !isEvidence || !hasMissedNothing) continue;
      position.recordConfirmed(requestedAtMs - ageMs!, requestedAtMs);
    }
  }
}
