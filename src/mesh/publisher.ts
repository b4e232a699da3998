/**
 * Keeps the stored object of this node up to date with conditional writes, one at a time. After a
 * conflict or a lost response it reads the object and, if it still differs, writes it again at the
 * revision that was read.
 */
import { computeDelayMs, waitMs } from '../utils/backoff.js';
import type { EventLog } from './eventLog.js';
import { decodePublishedNode, NODE_KIND, type PublishedNode } from './nodeRecord.js';
import type { MeshStore } from './store.js';

/** Backoff after a failed write. */
const BACKOFF = { baseMs: 150, maxMs: 900 };

/** Publishes an object. */
export class Publisher {
  private revision: number | undefined;

  private storedJson: string | undefined;

  private isRunning = false;

  private isStopped = false;

  private waiters: (() => void)[] = [];

  constructor(
    private readonly name: string,
    private readonly store: MeshStore,
    private readonly log: EventLog,
    /** Returns the value to store, or undefined to leave the object unchanged. */
    private readonly getDesired: () => PublishedNode | undefined,
  ) {}

  /** Writes until the desired value is stored or the publisher is stopped, then resolves. */
  async sync(): Promise<void> {
    const written = new Promise<void>((resolve) => {
      this.waiters.push(resolve);
    });
    if (!this.isRunning) void this.run();
    await written;
  }

  /** Records the state of the object in a list or watch; undefined if missing or invalid. */
  recordStoredState(revision: number, value: PublishedNode | undefined): void {
    if (this.revision !== undefined && revision < this.revision) return;
    this.revision = value === undefined ? undefined : revision;
    this.storedJson = value === undefined ? undefined : JSON.stringify(value);
    if (this.findUnpublished() && !this.isRunning) void this.run();
  }

  /** Forgets what is stored: the store has come back from a copy, and a list will follow. */
  forgetStoredState(): void {
    this.revision = undefined;
    this.storedJson = undefined;
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Returns the desired value if it differs from the stored one. */
  private findUnpublished(): PublishedNode | undefined {
    const desired = this.getDesired();
    const isStored = desired !== undefined && this.storedJson === JSON.stringify(desired);
    return isStored ? undefined : desired;
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    let failures = 0;
    for (;;) {
      const unpublished = this.isStopped ? undefined : this.findUnpublished();
      if (!unpublished) break;
      const hasWritten = await this.write(unpublished);
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

  /** Writes once; returns true if the known state of the object was updated. */
  private async write(desired: PublishedNode): Promise<boolean> {
    const { store, name, revision } = this;
    const result =
      revision === undefined
        ? await store.create(NODE_KIND, name, desired)
        : await store.replace(NODE_KIND, name, desired, revision);
    if (result.isOk()) {
      this.revision = result.value.revision;
      this.storedJson = JSON.stringify(desired);
      const { instanceId, state } = desired.record;
      this.log.write('info', 'record-published', {
        instance: instanceId,
        state,
        revision: result.value.revision,
        era: store.era.get(),
      });
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
      const { revision, value } = read.value;
      const stored = decodePublishedNode(this.name, value);
      this.revision = revision;
      this.storedJson = stored.isOk() ? JSON.stringify(stored.value) : undefined;
      return true;
    }
    if (read.error.kind !== 'not-found') return false;
    this.revision = undefined;
    this.storedJson = undefined;
    return true;
  }

  private recordFailure(step: string, reason: string): void {
    this.log.write('warn', 'publish-failed', { step, peer: 'store', reason });
  }
}
