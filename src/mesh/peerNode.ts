/** What this node knows of another one: its record, its load, and whether it responds. */
import type { InstanceLoad, NodeRecord } from './model.js';
import type { PeerCalls } from './peerCalls.js';

/** First time for which a node that did not respond is avoided; it doubles with each failure. */
const FIRST_AVOID_MS = 400;

/** Longest time for which a node is avoided before it is tried again. */
const MAX_AVOID_MS = 3000;

/** Time after a refusal for which an instance that leaves or starts is avoided. */
const ABSENCE_MS = 300;

/** Bounds of the time for which an instance that refused a request counts as full. */
const FULL_MS = { min: 20, max: 150 };

/** Age of a load report after which it is not believed any more. */
const LOAD_AGE_MS = 3000;

/** One node of the mesh. */
export class PeerNode {
  private outstanding = 0;

  private outstandingAtLoad = 0;

  private load: InstanceLoad | undefined;

  private loadAtMs = -Infinity;

  private failures = 0;

  private avoidUntilMs = -Infinity;

  private absentUntilMs = -Infinity;

  /** Time up to which the instance is full, by the rank of the request that it refused. */
  private readonly fullUntilMs = new Map<number, number>();

  unlistedAtMs: number | undefined;

  /** Start of the silence of the node, while it does not respond. */
  private silentSinceMs: number | undefined;

  private lastSilenceMs = -Infinity;

  constructor(
    public record: NodeRecord,
    /** Instant at which the record came. */
    public updatedAtMs: number,
    /** Revision of the record in the store; 0 when it was not read there. */
    public revision: number,
    readonly calls: PeerCalls,
  ) {}

  /** Records that a request was sent. */
  recordSend(): void {
    this.outstanding += 1;
  }

  /** Records that a request has ended. */
  recordEnd(): void {
    this.outstanding -= 1;
  }

  /** Returns the requests of this node there, now and when the latest load came. */
  getOutstanding(): { readonly outstanding: number; readonly outstandingAtLoad: number } {
    const { outstanding, outstandingAtLoad } = this;
    return { outstanding, outstandingAtLoad };
  }

  /** Records the load that the node reported. */
  recordLoad(load: InstanceLoad | undefined, nowMs: number): void {
    this.failures = 0;
    this.silentSinceMs = undefined;
    this.avoidUntilMs = -Infinity;
    if (!load) return;
    this.load = load;
    this.loadAtMs = nowMs;
    this.outstandingAtLoad = this.outstanding;
  }

  /** Records that the node did not respond. */
  recordSilence(nowMs: number): void {
    this.silentSinceMs ??= nowMs;
    this.lastSilenceMs = nowMs;
    this.avoidUntilMs = nowMs + Math.min(MAX_AVOID_MS, FIRST_AVOID_MS * 2 ** this.failures);
    this.failures += 1;
  }

  /** Records that the instance of the node takes no requests. */
  recordAbsence(nowMs: number): void {
    this.absentUntilMs = nowMs + ABSENCE_MS;
  }

  /** Records that the instance refused a request of a rank, with the wait that it told. */
  recordFull(rank: number, waitMs: number, nowMs: number): void {
    const fullMs = Math.min(FULL_MS.max, Math.max(FULL_MS.min, waitMs));
    this.fullUntilMs.set(rank, nowMs + fullMs);
  }

  /** True while the instance would refuse a request: it refused one that is as urgent. */
  isFull(rank: number, nowMs: number): boolean {
    for (const [refused, untilMs] of this.fullUntilMs) {
      if (refused <= rank && nowMs < untilMs) return true;
    }
    return false;
  }

  isUnreachable(nowMs: number): boolean {
    return nowMs < this.avoidUntilMs;
  }

  /**
   * True when the node is gone: it has not responded for a time and was asked in its second half,
   * or its record has said for that time that it leaves.
   */
  isGoneFor(silentMs: number, nowMs: number): boolean {
    if (this.record.state === 'leaving') return nowMs - this.updatedAtMs >= silentMs;
    if (this.silentSinceMs === undefined) return false;
    return nowMs - this.silentSinceMs >= silentMs && nowMs - this.lastSilenceMs <= silentMs / 2;
  }

  isAbsent(nowMs: number): boolean {
    return nowMs < this.absentUntilMs;
  }

  getLoad(nowMs: number): InstanceLoad | undefined {
    const { load } = this;
    if (!load || nowMs - this.loadAtMs < LOAD_AGE_MS) return load;
    // The queue of an old report is over; the speed of the instance is still the best guess.
    return { ...load, inFlight: 0, failures: load.failures / 2 };
  }
}
