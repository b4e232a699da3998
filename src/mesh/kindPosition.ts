/** How far a node has followed the changes of one kind in the store. */

/** Time for the response of a watch that is on its way to come after all, in milliseconds. */
const GRACE_MS = 400;

/** The position of one watch. Revisions rise over all kinds of the store. */
export class KindPosition {
  /** Revision of the latest change that was seen. */
  private latest = 0;

  /** Revision up to which all changes have been seen. */
  private covered = 0;

  /** Latest change that another node has seen. */
  private elsewhere = 0;

  private timer: NodeJS.Timeout | undefined;

  private interrupt: (() => void) | undefined;

  getLatest(): number {
    return this.latest;
  }

  recordChange(revision: number): void {
    this.latest = Math.max(this.latest, revision);
    this.recordCovered(revision);
  }

  recordCovered(revision: number): void {
    this.covered = Math.max(this.covered, revision);
  }

  /** Records a whole list: nothing beyond its revision has happened, whatever others said. */
  recordListed(revision: number): void {
    this.recordCovered(revision);
    this.elsewhere = Math.min(this.elsewhere, this.covered);
  }

  /** Sets what ends the call that waits for changes, while there is one. */
  setInterrupt(interrupt: (() => void) | undefined): void {
    this.interrupt = interrupt;
  }

  /** Ends the wait for changes, if there is one. */
  endWait(): void {
    clearTimeout(this.timer);
    this.interrupt?.();
  }

  /**
   * Another node has seen a change. If it does not come here in time, the connection on which this
   * node waits for it has gone silent, and the wait is interrupted.
   */
  recordElsewhere(revision: number): void {
    this.elsewhere = Math.max(this.elsewhere, revision);
    if (this.elsewhere <= this.covered || this.timer) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      if (this.elsewhere > this.covered) this.interrupt?.();
    }, GRACE_MS);
    this.timer.unref();
  }
}
