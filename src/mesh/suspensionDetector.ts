/**
 * Detects that the monotonic clock of this process stood still, as it does while its host is
 * suspended. The time of day goes on meanwhile; a step of the time of day looks the same.
 */

/** Difference between the two clocks from which they have come apart, in milliseconds. */
const MIN_SUSPENSION_MS = 100;

/** A clock in milliseconds. */
type Clock = () => number;

function readMonotonicMs(): number {
  return performance.now();
}

export class SuspensionDetector {
  private differenceMs: number;

  private suspensions = 0;

  constructor(
    private readonly readWallMs: Clock = Date.now,
    private readonly readSteadyMs: Clock = readMonotonicMs,
  ) {
    this.differenceMs = readWallMs() - readSteadyMs();
  }

  /** Returns how often the monotonic clock has stood still so far. */
  count(): number {
    const differenceMs = this.readWallMs() - this.readSteadyMs();
    if (differenceMs - this.differenceMs > MIN_SUSPENSION_MS) this.suspensions += 1;
    this.differenceMs = differenceMs;
    return this.suspensions;
  }
}
