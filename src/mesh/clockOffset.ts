/**
 * Offset of the monotonic clock of another process, measured from exchanges with it. It lets a
 * message carry the time at which it was sent, so that its receiver knows how long the message was
 * under way, whatever held it up.
 *
 * Each exchange bounds the offset from both sides, as in NTP (RFC 5905), without assumptions about
 * the symmetry of the way. Only the upper bound is used: with it a message seems at most as old as
 * it is, and never older.
 */
import type { SuspensionDetector } from './suspensionDetector.js';

/** Time over which the lowest bound is kept; two such windows are used. */
const WINDOW_MS = 30_000;

/** Drift of two clocks within two windows, by which a message may seem older than it is. */
const MAX_DRIFT_MS = 10;

/**
 * Round trip from which an exchange does not tell the clock: the message may have been held up for
 * most of it, and one that is held up as long would not seem old.
 */
const MAX_ROUND_TRIP_MS = 200;

/** Times of one exchange on the clock of the process that responded, in milliseconds. */
export interface ClockReading {
  /** Names the process, and distinguishes its clocks before and after it stood still. */
  readonly clockId: string;
  readonly receivedAtMs: number;
  readonly respondedAtMs: number;
}

/** An instant on a clock, in milliseconds. */
export interface RemoteInstant {
  readonly clockId: string;
  readonly atMs: number;
}

/** Lowest upper bound of the offset within a window. */
interface BoundWindow {
  readonly startMs: number;
  upperMs: number;
}

/** Clock of the process at one address. */
export class ClockOffset {
  private clockId: string | undefined;

  /** The latest window last. */
  private windows: BoundWindow[] = [];

  private suspensions: number;

  constructor(private readonly detector: SuspensionDetector) {
    this.suspensions = detector.count();
  }

  /**
   * Records an exchange whose request was sent at `sentAtMs` and whose response had arrived at
   * `returnedAtMs`, on the own clock.
   */
  record(reading: ClockReading, sentAtMs: number, returnedAtMs: number): void {
    const { clockId, receivedAtMs, respondedAtMs } = reading;
    // The request may have been sent before the own clock stood still.
    if (this.forgetAfterSuspension()) return;
    const upperMs = receivedAtMs - sentAtMs;
    const lowerMs = respondedAtMs - returnedAtMs;
    const isContradiction = lowerMs > this.getUpperMs(returnedAtMs) + MAX_DRIFT_MS;
    if (clockId !== this.clockId || isContradiction) this.windows = [];
    this.clockId = clockId;
    if (upperMs - lowerMs <= MAX_ROUND_TRIP_MS) this.recordUpper(upperMs, returnedAtMs);
  }

  /** Returns the latest instant on the other clock that `nowMs` can be; undefined if unknown. */
  convert(nowMs: number): RemoteInstant | undefined {
    this.forgetAfterSuspension();
    const upperMs = this.getUpperMs(nowMs);
    if (this.clockId === undefined || upperMs === Infinity) return undefined;
    return { clockId: this.clockId, atMs: nowMs + upperMs + MAX_DRIFT_MS };
  }

  private recordUpper(upperMs: number, nowMs: number): void {
    const latest = this.windows.at(-1);
    if (latest && nowMs - latest.startMs < WINDOW_MS) {
      latest.upperMs = Math.min(latest.upperMs, upperMs);
      return;
    }
    this.windows = [...this.windows.slice(-1), { startMs: nowMs, upperMs }];
  }

  private getUpperMs(nowMs: number): number {
    let lowestMs = Infinity;
    for (const { startMs, upperMs } of this.windows) {
      if (nowMs - startMs < 2 * WINDOW_MS) lowestMs = Math.min(lowestMs, upperMs);
    }
    return lowestMs;
  }

  /** Forgets the clock when the own one has stood still; returns whether it has. */
  private forgetAfterSuspension(): boolean {
    const suspensions = this.detector.count();
    if (suspensions === this.suspensions) return false;
    this.suspensions = suspensions;
    this.windows = [];
    return true;
  }
}
