/**
 * Counts the nodes that report to a coordinator. The share of a coordinator is the counted part of
 * the known nodes, and a node is counted by one coordinator at a time, so the shares of all
 * coordinators add up to 1 at most. It performs no I/O and reads no clock.
 */
import type { NodeId } from '../../types/ids.js';

/**
 * Time after the last report for which a node is counted. Another coordinator counts the node
 * `STEADY_MS` after that report at the earliest; the difference covers the round trip by which a
 * report may be older than it seems.
 */
const COUNTED_MS = 800;

/**
 * Time for which the highest number of known nodes is used, and a node that is not listed any more
 * is known. A list that is read again after a failure of the store may be incomplete for some
 * seconds.
 */
const KNOWN_RETENTION_MS = 10_000;

/** Nodes that one coordinator counts, and the integral of its share over time. */
export class NodeShares {
  private readonly countedUntil = new Map<NodeId, number>();

  private nextExpiryMs = Infinity;

  /** Known nodes with the times until which they are known; infinite while they are listed. */
  private readonly knownUntil = new Map<NodeId, number>();

  private listed: readonly NodeId[] = [];

  private knownNodes = 1;

  private knownAtMs = -Infinity;

  private atMs: number | undefined;

  /** Seconds of the full rate that this coordinator has had since its start. */
  private totalS = 0;

  /**
   * `onChange` is called before the share rises and after it has fallen, with the totals as of that
   * time: between two calls, buckets fill up to the lowest share.
   */
  constructor(private readonly onChange: () => void) {}

  getShare(): number {
    return Math.min(1, this.countedUntil.size / this.knownNodes);
  }

  getTotalS(): number {
    return this.totalS;
  }

  getKnownNodes(): number {
    return this.knownNodes;
  }

  /**
   * Returns true for a node in the list, and for some time after it has left the list. Other nodes
   * are not part of the whole that the coordinators share.
   */
  isKnown(node: NodeId, nowMs: number): boolean {
    return nowMs <= (this.knownUntil.get(node) ?? -Infinity);
  }

  isCounted(node: NodeId): boolean {
    return this.countedUntil.has(node);
  }

  listCounted(): Iterable<NodeId> {
    return this.countedUntil.keys();
  }

  /** Counts a node that sent a report at `sentAtMs`. */
  add(node: NodeId, sentAtMs: number): void {
    if (!this.countedUntil.has(node)) this.onChange();
    this.countedUntil.set(node, sentAtMs + COUNTED_MS);
    this.nextExpiryMs = Math.min(this.nextExpiryMs, sentAtMs + COUNTED_MS);
  }

  remove(node: NodeId): void {
    if (this.countedUntil.delete(node)) this.onChange();
  }

  /** Counts no node any more; the totals and the number of known nodes stay. */
  clear(): void {
    this.countedUntil.clear();
    this.nextExpiryMs = Infinity;
  }

  /**
   * Advances the totals to `nowMs`; nodes stop counting at their own time. `listed` are the known
   * nodes, the same list until they have changed.
   */
  advance(nowMs: number, listed: readonly NodeId[]): void {
    while (this.nextExpiryMs <= nowMs) {
      const expiryMs = this.nextExpiryMs;
      this.advanceTotals(expiryMs);
      this.expire(expiryMs);
    }
    this.advanceTotals(nowMs);
    if (listed !== this.listed) this.updateListed(listed, nowMs);
    this.updateKnownNodes(Math.max(1, listed.length), nowMs);
  }

  private advanceTotals(nowMs: number): void {
    const fromMs = this.atMs ?? nowMs;
    if (nowMs <= fromMs) {
      this.atMs = fromMs;
      return;
    }
    this.totalS += (this.getShare() * (nowMs - fromMs)) / 1000;
    this.atMs = nowMs;
  }

  private expire(nowMs: number): void {
    let hasFallen = false;
    this.nextExpiryMs = Infinity;
    for (const [node, untilMs] of this.countedUntil) {
      if (untilMs > nowMs) {
        this.nextExpiryMs = Math.min(this.nextExpiryMs, untilMs);
        continue;
      }
      this.countedUntil.delete(node);
      hasFallen = true;
    }
    if (hasFallen) this.onChange();
  }

  private updateListed(listed: readonly NodeId[], nowMs: number): void {
    for (const node of this.listed) this.knownUntil.set(node, nowMs + KNOWN_RETENTION_MS);
    for (const node of listed) this.knownUntil.set(node, Infinity);
    for (const [node, untilMs] of this.knownUntil) {
      if (untilMs < nowMs) this.knownUntil.delete(node);
    }
    this.listed = listed;
  }

  private updateKnownNodes(count: number, nowMs: number): void {
    if (count < this.knownNodes && nowMs - this.knownAtMs <= KNOWN_RETENTION_MS) return;
    this.knownAtMs = nowMs;
    if (count === this.knownNodes) return;
    this.onChange();
    this.knownNodes = count;
    this.onChange();
  }
}
