/** Work that one party has caused lately, which tells heavy parties from ordinary ones. */

/** Share of the time of the event loop that a party may use without being heavy. */
const LIGHT_SHARE = 0.1;

/** Work beyond that share from which a party is heavy, in milliseconds. */
const HEAVY_MS = 10;

/** Leaky bucket of work; times are on the scale of `performance.now`. */
export class RecentWork {
  private workMs = 0;

  private updatedAtMs = -Infinity;

  add(addedMs: number, nowMs: number): void {
    this.workMs = this.getMs(nowMs) + addedMs;
    this.updatedAtMs = nowMs;
  }

  isHeavy(nowMs: number): boolean {
    return this.getMs(nowMs) > HEAVY_MS;
  }

  private getMs(nowMs: number): number {
    return Math.max(0, this.workMs - (nowMs - this.updatedAtMs) * LIGHT_SHARE);
  }
}
