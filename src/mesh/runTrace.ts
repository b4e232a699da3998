/**
 * Observes one call of another node: its time in transit, whether it starts after its deadline, and
 * whether it goes on after the connection of its caller has closed.
 */
import type { EventLog } from './eventLog.js';
import type { MeshMetrics } from './meshMetrics.js';
import type { CallMetadata, RunReport } from './model.js';
import { getOriginProcess } from './peerMessages.js';

/** Time in transit from which a call gets a log line. */
const SLOW_TRANSIT_MS = 200;

/** Time for which a run goes on after its connection closed, from which it gets a log line. */
const LONG_ABANDONED_MS = 100;

/** Destinations of what is observed, and the state of this process. */
export interface RunTraceOptions {
  readonly metrics: MeshMetrics;
  readonly log: EventLog;
  /** Returns the latest delay of the event loop, in milliseconds. */
  readonly getLagMs: () => number;
}

/** Returns true when the instance got the request of a report, or may have got it. */
function hasReachedInstance({ result }: RunReport): boolean {
  return result.kind !== 'notRun' || result.hasArrived;
}

/** Observes one call from its arrival to the end of its run. */
export class RunTrace {
  private readonly lagMs: number;

  private readonly remainingMs: number;

  private abandonedAtMs: number | undefined;

  constructor(
    private readonly options: RunTraceOptions,
    private readonly metadata: CallMetadata,
    /** Time in transit in milliseconds; undefined if it is not known. */
    private readonly transitMs: number | undefined,
  ) {
    this.lagMs = options.getLagMs();
    this.remainingMs = metadata.deadlineAtMs - performance.now();
    if (transitMs !== undefined) options.metrics.recordLatency('transit', transitMs);
  }

  /** Records that a connection waits for the run. */
  recordAttached(): void {
    this.abandonedAtMs = undefined;
  }

  /** Records that no connection waits for the run any more. */
  recordAbandoned(): void {
    this.abandonedAtMs = performance.now();
  }

  recordEnd(report: RunReport): void {
    const { metrics, log } = this.options;
    const { transitMs = 0, metadata } = this;
    const queueMs = report.timing?.queueMs ?? 0;
    const isStarted = hasReachedInstance(report);
    const leftMs = this.remainingMs - queueMs;
    const isLate = isStarted && leftMs < 0;
    const abandonedMs =
      this.abandonedAtMs === undefined ? undefined : performance.now() - this.abandonedAtMs;
    if (isLate) metrics.count('runs_started_late');
    if (abandonedMs !== undefined) metrics.recordLatency('run_abandoned', abandonedMs);
    const isAbandoned = (abandonedMs ?? 0) >= LONG_ABANDONED_MS;
    if (transitMs < SLOW_TRANSIT_MS && !isLate && !isAbandoned) return;
    log.write('info', 'call-held-up', {
      request: metadata.requestId,
      origin: getOriginProcess(metadata),
      outcome: report.result.kind,
      reached: isStarted,
      transitMs: this.transitMs === undefined ? undefined : Math.round(this.transitMs),
      lagMs: Math.round(this.lagMs),
      queueMs: Math.round(queueMs),
      runMs: report.timing && Math.round(report.timing.runMs),
      leftMs: Math.round(leftMs),
      abandonedMs: abandonedMs === undefined ? undefined : Math.round(abandonedMs),
    });
  }
}
