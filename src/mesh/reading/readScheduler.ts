/**
 * Decides when connections of clients are read, so that the work that their bytes cause leaves the
 * event loop free for everything else. It performs no I/O. Design: docs/design/memory.md
 */
import { RecentWork } from './recentWork.js';

/** Work of reading after which the event loop gets a turn, in milliseconds. */
const TURN_BUDGET_MS = 5;

/** A connection with bytes to read. */
export interface ReadSource {
  readonly work: RecentWork;
  /** Reads and processes a few bytes; returns true when there are more. */
  readSlice(): boolean;
}

/**
 * Reads at once while little work was done, else in later turns of the event loop: first the
 * connections that have caused little work, then the others in turn.
 */
export class ReadScheduler {
  private readonly light = new Set<ReadSource>();

  private readonly heavy = new Set<ReadSource>();

  /** Work since the event loop had its latest turn. */
  private spentMs = 0;

  private isTurnScheduled = false;

  /** Reads a source that has bytes to read, now or later. */
  schedule(source: ReadSource): void {
    if (this.isWaiting(source)) return;
    const isHeavy = source.work.isHeavy(performance.now());
    if (isHeavy || this.light.size > 0 || this.isBudgetSpent()) this.add(source);
    else this.readWhileLight(source);
  }

  isWaiting(source: ReadSource): boolean {
    return this.light.has(source) || this.heavy.has(source);
  }

  remove(source: ReadSource): void {
    this.light.delete(source);
    this.heavy.delete(source);
  }

  private isBudgetSpent(): boolean {
    return this.spentMs >= TURN_BUDGET_MS;
  }

  private add(source: ReadSource): void {
    const isHeavy = source.work.isHeavy(performance.now());
    (isHeavy ? this.heavy : this.light).add(source);
    this.scheduleTurn();
  }

  private scheduleTurn(): void {
    if (this.isTurnScheduled) return;
    this.isTurnScheduled = true;
    setImmediate(() => this.runTurn());
  }

  private readWhileLight(source: ReadSource): void {
    while (this.read(source)) {
      if (!this.isBudgetSpent() && !source.work.isHeavy(performance.now())) continue;
      this.add(source);
      return;
    }
  }

  /** Reads one slice and records its work; returns true when there are more bytes. */
  private read(source: ReadSource): boolean {
    const startedAtMs = performance.now();
    const hasMore = source.readSlice();
    const endedAtMs = performance.now();
    this.spentMs += endedAtMs - startedAtMs;
    source.work.add(endedAtMs - startedAtMs, endedAtMs);
    return hasMore;
  }

  private runTurn(): void {
    this.isTurnScheduled = false;
    this.spentMs = 0;
    this.readWaiting(this.light);
    // However many light connections there are, a heavy one goes on with each turn.
    this.readFirst(this.heavy);
    this.readWaiting(this.heavy);
    if (this.light.size + this.heavy.size > 0) this.scheduleTurn();
  }

  private readWaiting(waiting: Set<ReadSource>): void {
    while (waiting.size > 0 && !this.isBudgetSpent()) this.readFirst(waiting);
  }

  /** Reads a slice of the source that has waited for the longest time, and puts it last. */
  private readFirst(waiting: Set<ReadSource>): void {
    const [source] = waiting;
    if (!source) return;
    waiting.delete(source);
    if (this.read(source)) this.add(source);
  }
}
