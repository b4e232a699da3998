/**
 * Tells other nodes how far this one has followed the store, with the calls that are made anyway. A
 * node whose connection to the store has gone silent learns from it that it is behind.
 */
import type { KindPosition } from './kindPosition.js';

/** Least time between two calls that carry the header, so that it costs few bytes. */
const INTERVAL_MS = 100;

/** The positions of all kinds, in an order that all nodes share. */
export class SeenRevisions {
  private takenAtMs = -Infinity;

  constructor(private readonly positions: readonly KindPosition[]) {}

  /** Returns the text for a call that is about to be sent, if one is due. */
  take(nowMs: number): string | undefined {
    if (nowMs - this.takenAtMs < INTERVAL_MS) return undefined;
    this.takenAtMs = nowMs;
    return this.format();
  }

  format(): string {
    return this.positions.map((position) => position.getLatest()).join('.');
  }

  /** Applies what another node has seen; texts that no node sends are ignored. */
  apply(text: string | undefined): void {
    if (text === undefined || !/^[\d.]+$/.test(text)) return;
    const revisions = text.split('.').map(Number);
    for (const [index, position] of this.positions.entries()) {
      const revision = revisions[index];
      if (Number.isSafeInteger(revision)) position.recordElsewhere(revision!);
    }
  }
}
