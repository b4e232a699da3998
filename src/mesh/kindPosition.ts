/**
 * Progress of a node in the changes to objects of one kind in the store. It starts anew in each era
 * of the store, since revisions of two eras cannot be compared.
 */

import { StoreEra } from './storeEra.js';
import { SuspensionDetector } from './suspensionDetector.js';

/** Time that a watch response may take after another node has reported the change. */
const RESPONSE_GRACE_MS = 400;

/** Why the current long poll is interrupted. */
export type InterruptReason =
  /** Another node has reported a later change, or the watch ends. */
  | 'behind'
  /** Nothing has shown for too long that there is no later change. */
  | 'unconfirmed';

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

  private interrupt: ((reason: InterruptReason) => void) | undefined;

  /** Time since which the current long poll may be silent, on the `performance.now` scale. */
  private awaitedSinceMs = -Infinity;

  /** Time up to which the store is known to have had no later change, on the same scale. */
  private confirmedAtMs = -Infinity;

  /** Time of the latest suspension, on the same scale; evidence from before has an unknown age. */
  private suspendedAtMs = -Infinity;

  private suspensions: number;

  constructor(
    private readonly era = new StoreEra(),
    private readonly detector = new SuspensionDetector(),
  ) {
    era.onRise(() => this.reset());
    this.suspensions = detector.count();
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

  /**
   * Records that the store had no later change than the received ones at a time in the past, as the
   * response to a request of `requestedAtMs` says.
   */
  recordConfirmed(atMs: number, requestedAtMs = performance.now()): void {
    this.checkSuspension();
    // The clock stood still between the request and its response, which may be of any age.
    if (requestedAtMs <= this.suspendedAtMs) return;
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
  }

  /** Returns the age of the latest evidence that there is no later change, in milliseconds. */
  getUnconfirmedMs(nowMs: number): number {
    this.checkSuspension();
    return nowMs - this.confirmedAtMs;
  }

  private checkSuspension(): void {
    const suspensions = this.detector.count();
    if (suspensions === this.suspensions) return;
    this.suspensions = suspensions;
    this.suspendedAtMs = performance.now();
    this.confirmedAtMs = -Infinity;
  }

  /**
   * Sets the callback that interrupts the current long poll, or undefined when there is none. The
   * poll may be silent for a while from `awaitedSinceMs` on.
   */
  setInterrupt(
    interrupt: ((reason: InterruptReason) => void) | undefined,
    awaitedSinceMs = performance.now(),
  ): void {
    this.interrupt = interrupt;
    this.awaitedSinceMs = awaitedSinceMs;
  }

  /**
   * Interrupts the current long poll if neither it nor other nodes have shown for `limitMs` that
   * there is no later change: its connection may have gone silent.
   */
  interruptUnconfirmed(nowMs: number, limitMs: number): void {
    const sinceMs = Math.max(this.confirmedAtMs, this.awaitedSinceMs);
    if (nowMs - sinceMs > limitMs) this.interrupt?.('unconfirmed');
  }

  /** Interrupts the current long poll, if any. */
  endWait(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.interrupt?.('behind');
  }

  private reset(): void {
    this.latestChange = 0;
    this.syncedRevision = 0;
    this.remoteRevision = 0;
    this.confirmedAtMs = -Infinity;
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
      if (this.remoteRevision > this.syncedRevision) this.interrupt?.('behind');
    }, RESPONSE_GRACE_MS);
    this.timer.unref();
  }
}
