/**
 * Sequential probability ratio test of a share of events, such as failures among runs. It starts
 * anew whenever the evidence favours the lower share, so that good runs at first do not outweigh
 * bad ones later. It performs no I/O and reads no clock.
 */

/** Probability of rolling back a good version, for one test without restarts. */
const FALSE_ALARM = 0.001;

/** Probability of missing a bad version. */
const MISS = 0.05;

/** Returns the evidence at which a test decides when `testCount` tests are run side by side. */
export function computeThreshold(testCount: number): number {
  return Math.log(((1 - MISS) / FALSE_ALARM) * Math.max(1, testCount));
}

/** Shares of events that a test distinguishes. */
export interface Shares {
  readonly good: number;
  readonly bad: number;
}

/** Accumulated evidence that a share is the bad one, as a logarithm of the likelihood ratio. */
export class SequentialTest {
  private evidence = 0;

  /** Adds runs with the given number of events. */
  record(runs: number, events: number, { good, bad }: Shares): void {
    const change =
      events * Math.log(bad / good) + (runs - events) * Math.log((1 - bad) / (1 - good));
    this.evidence = Math.max(0, this.evidence + change);
  }

  getEvidence(): number {
    return this.evidence;
  }
}
