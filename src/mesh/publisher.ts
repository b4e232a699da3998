/**
 * Keeps the object of this node in the store up to date. One write is under way at a time; a
 * write whose answer was lost is repeated on the revision that a read then shows.
 */
import { computeDelayMs, waitMs } from '../utils/backoff.js';
import type { EventLog } from './eventLog.js';
import { NODE_KIND, type PublishedNode } from './nodeRecord.js';
import type { MeshStore } from './store.js';

/** Backoff after a failed write. */
const BACKOFF = { baseMs: 150, maxMs: 900 };

/** Publishes one object. */
export class Publisher {
  private revision: number | undefined;

  private storedText: string | undefined;

  private isRunning = false;

  private isStopped = false;

  private waiters: (() => void)[] = [];

  constructor(
    private readonly name: string,
    private readonly store: MeshStore,
    private readonly log: EventLog,
    /** Returns what should be stored; undefined leaves the object as it is. */
    private readonly getWanted: () => PublishedNode | undefined,
  ) {}

  /** Writes until the store holds what is wanted. Resolves when it does. */
  async sync(): Promise<void> {
    const written = new Promise<void>((resolve) => {
      this.waiters.push(resolve);
    });
    if (!this.isRunning) void this.run();
    await written;
  }

  /** Records a state of the object that a watch or list has shown. */
  recordSeen(revision: number, value: PublishedNode | undefined): void {
    if (this.revision !== undefined && revision < this.revision) return;
    this.revision = value === undefined ? undefined : revision;
    this.storedText = value === undefined ? undefined : JSON.stringify(value);
    if (this.findMissing() && !this.isRunning) void this.run();
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Returns what should be stored and is not. */
  private findMissing(): PublishedNode | undefined {
    const wanted = this.getWanted();
    const isStored = wanted !== undefined && this.storedText === JSON.stringify(wanted);
    return isStored ? undefined : wanted;
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    let failures = 0;
    for (;;) {
      const missing = this.isStopped ? undefined : this.findMissing();
      if (!missing) break;
      const hasWritten = await this.write(missing);
      if (hasWritten) {
        failures = 0;
        continue;
      }
      await waitMs(computeDelayMs(BACKOFF, failures));
      failures += 1;
    }
    this.isRunning = false;
    const { waiters } = this;
    this.waiters = [];
    for (const resolve of waiters) resolve();
  }

  /** Makes one call; true when it changed what is known of the object. */
  private async write(wanted: PublishedNode): Promise<boolean> {
    const { store, name, revision } = this;
    const result =
      revision === undefined
        ? await store.create(NODE_KIND, name, wanted)
        : await store.replace(NODE_KIND, name, wanted, revision);
    if (result.isOk()) {
      this.revision = result.value.revision;
      this.storedText = JSON.stringify(wanted);
      return true;
    }
    this.recordFailure(result.error.step, result.error.message);
    if (result.error.kind === 'conflict' || result.error.kind === 'answer-lost') {
      return this.refresh();
    }
    if (result.error.kind === 'not-found') this.revision = undefined;
    return result.error.kind === 'not-found';
  }

  private async refresh(): Promise<boolean> {
    const read = await this.store.read(NODE_KIND, this.name);
    if (read.isOk()) {
      this.revision = read.value.revision;
      this.storedText = JSON.stringify(read.value.value);
      return true;
    }
    if (read.error.kind !== 'not-found') return false;
    this.revision = undefined;
    this.storedText = undefined;
    return true;
  }

  private recordFailure(step: string, reason: string): void {
    this.log.write('warn', 'publish-failed', { step, peer: 'store', reason });
  }
}
