/**
 * Progress of a node in the changes to objects of one kind in the store. It starts anew in each era
 * of the store, since revisions of two eras cannot be compared.
 */

import { StoreEra } from './storeEra.js';

/** Time that a watch response may take after another node has reported the change. */
const RESPONSE_GRACE_MS = 400;

/** Position of one watch. Revisions increase over all kinds of the store. */
export class KindPosition {
  /** Revision of the latest change that was received. */
  private latestChange = 0;

  /** Revision up to which all changes have been received. */
  private syncedRevision = 0;

  /** Latest revision that another node has reported. */
  private remoteRevision = 0;

  private timer: NodeJS.Timeout | undefined;

  private readonly listeners: (() => void)[] = [];

  private interrupt: (() => void) | undefined;

  constructor(private readonly era = new StoreEra()) {
    era.onRise(() => this.reset());
  }

  /** Returns the era that the revisions belong to. */
  getEra(): number {
    return this.era.get();
  }

  getLatestChange(): number {
    return this.latestChange;
  }

  recordChange(revision: number): void {
    this.latestChange = Math.max(this.latestChange, revision);
    this.recordSynced(revision);
  }

  recordSynced(revision: number): void {
    if (revision <= this.syncedRevision) return;
    this.syncedRevision = revision;
    for (const listener of this.listeners) listener();
  }

  /** Returns the revision up to which all changes have been received. */
  getSyncedRevision(): number {
    return this.syncedRevision;
  }

  /** Registers a listener that is called whenever the synced revision has increased. */
  onSynced(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Records that all changes up to a revision have been applied, without a watch. This corrects
   * higher revisions that other nodes have reported.
   */
  recordList(revision: number): void {
    this.recordSynced(revision);
    this.remoteRevision = Math.min(this.remoteRevision, this.syncedRevision);
  }

  /** Sets the callback that interrupts the current long poll, or undefined when there is none. */
  setInterrupt(interrupt: (() => void) | undefined): void {
    this.interrupt = interrupt;
  }

  /** Interrupts the current long poll, if any. */
  endWait(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.interrupt?.();
  }

  private reset(): void {
    this.latestChange = 0;
    this.syncedRevision = 0;
    this.remoteRevision = 0;
    this.endWait();
  }

  /**
   * Records a revision that another node has reported. If the change does not arrive within the
   * grace period, the connection of the long poll is assumed to be dead and the poll is
   * interrupted.
   */
  recordRemoteRevision(revision: number): void {
    this.remoteRevision = Math.max(this.remoteRevision, revision);
    if (this.remoteRevision <= this.syncedRevision || this.timer) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      if (this.remoteRevision > this.syncedRevision) this.interrupt?.();
    }, RESPONSE_GRACE_MS);
    this.timer.unref();
  }
}
