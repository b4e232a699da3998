/** Per-route call statistics of this node: counts by minute, outcomes and latency histograms. */
import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { CompiledRoute } from '../types/routing.js';
import type { Outcome } from '../types/outcome.js';
import type { RouteName } from '../types/ids.js';
import { evictMissing } from '../utils/evictMissing.js';
import { BURN_WINDOWS_MIN, BurnRing } from './burnRate.js';
import type { BurnCounts } from './burnRate.js';

const MICROSECONDS_PER_MS = 1000;
/** Longest recorded latency, 10 minutes; longer ones are recorded with this value. */
const MAX_TRACKED_US = 600_000_000;
const MIN_SERVER_ERROR_STATUS = 500;

/** Statistics of one route on one node, in the form that nodes exchange. */
export interface RouteStats {
  readonly route: string;
  readonly windows: Readonly<Record<number, BurnCounts>>;
  readonly outcomes: Readonly<Record<Outcome['kind'], number>>;
  /** Histogram of microseconds, HdrHistogram V2 compressed encoding in base64. */
  readonly latency: string;
}

interface RouteEntry {
  readonly ring: BurnRing;
  readonly histogram: Histogram;
  readonly outcomes: Record<Outcome['kind'], number>;
}

function createHistogram(): Histogram {
  // All nodes use the same fixed range, so that their histograms can be added; about 8 KB each.
  return build({
    bitBucketSize: 32,
    highestTrackableValue: MAX_TRACKED_US,
    numberOfSignificantValueDigits: 2,
  });
}

/** True when the call consumes error budget: a server error, or no response because of the mesh. */
function isFailure(outcome: Outcome): boolean {
  switch (outcome.kind) {
    case 'answered':
      return outcome.status >= MIN_SERVER_ERROR_STATUS;
    case 'notRun':
      // Faults of the caller do not consume the error budget of the service.
      return outcome.reason !== 'bad-request' && outcome.reason !== 'cancelled';
    case 'unknown':
      return outcome.reason !== 'cancelled';
    default:
      return outcome satisfies never;
  }
}

/** Call statistics of this node; the memory is bounded by the number of configured routes. */
export class CallStats {
  private readonly entries = new Map<RouteName, RouteEntry>();

  /** `findLatencyObjectiveMs` returns the latency objective of a route, if it has one. */
  constructor(private readonly findLatencyObjectiveMs: (route: RouteName) => number | undefined) {}

  /** Records one finished call. */
  record(route: RouteName, outcome: Outcome, latencyMs: number): void {
    const entry = this.getOrCreateEntry(route);
    const objectiveMs = this.findLatencyObjectiveMs(route);
    const isSlow = objectiveMs !== undefined && latencyMs > objectiveMs;
    entry.ring.record(Date.now(), isFailure(outcome), isSlow);
    const latencyUs = Math.max(0, Math.round(latencyMs * MICROSECONDS_PER_MS));
    entry.histogram.recordValue(Math.min(MAX_TRACKED_US, latencyUs));
    entry.outcomes[outcome.kind] += 1;
  }

  /** Returns the statistics of each route that has been called. */
  list(): RouteStats[] {
    const now = Date.now();
    const stats: RouteStats[] = [];
    for (const [route, entry] of this.entries) {
      const windows: Record<number, BurnCounts> = {};
      for (const windowMin of BURN_WINDOWS_MIN) windows[windowMin] = entry.ring.sum(now, windowMin);
      stats.push({
        route,
        windows,
        outcomes: { ...entry.outcomes },
        latency: encodeIntoCompressedBase64(entry.histogram),
      });
    }
    return stats;
  }

  /** Removes routes that are no longer configured, so that renamed routes do not accumulate. */
  evictRoutes(known: ReadonlyMap<RouteName, CompiledRoute>): void {
    evictMissing(this.entries, known);
  }

  private getOrCreateEntry(route: RouteName): RouteEntry {
    const existing = this.entries.get(route);
    if (existing !== undefined) return existing;
    const entry: RouteEntry = {
      ring: new BurnRing(),
      histogram: createHistogram(),
      outcomes: { answered: 0, notRun: 0, unknown: 0 },
    };
    this.entries.set(route, entry);
    return entry;
  }
}

function addCounts(first: BurnCounts, second: BurnCounts): BurnCounts {
  return {
    total: first.total + second.total,
    failed: first.failed + second.failed,
    slow: first.slow + second.slow,
  };
}

/** Statistics of one route, merged over several nodes. */
export interface MergedStats {
  readonly route: string;
  readonly windows: Readonly<Record<number, BurnCounts>>;
  readonly outcomes: Readonly<Record<Outcome['kind'], number>>;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Merges the statistics of several nodes by route. Throws on a malformed histogram. */
export function mergeStats(statsOfNodes: readonly RouteStats[]): MergedStats[] {
  const merged = new Map<string, { histogram: Histogram; stats: RouteStats }>();
  for (const stats of statsOfNodes) {
    const histogram = decodeFromCompressedBase64(stats.latency);
    const existing = merged.get(stats.route);
    if (existing === undefined) {
      merged.set(stats.route, { histogram, stats });
    } else {
      existing.histogram.add(histogram);
      const windows: Record<number, BurnCounts> = {};
      const noCalls = { total: 0, failed: 0, slow: 0 };
      for (const windowMin of BURN_WINDOWS_MIN) {
        windows[windowMin] = addCounts(
          existing.stats.windows[windowMin] ?? noCalls,
          stats.windows[windowMin] ?? noCalls,
        );
      }
      const outcomes = {
        answered: existing.stats.outcomes.answered + stats.outcomes.answered,
        notRun: existing.stats.outcomes.notRun + stats.outcomes.notRun,
        unknown: existing.stats.outcomes.unknown + stats.outcomes.unknown,
      };
      existing.stats = { ...stats, windows, outcomes };
    }
  }
  return [...merged.values()].map(({ histogram, stats }) => ({
    route: stats.route,
    windows: stats.windows,
    outcomes: stats.outcomes,
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
  }));
}
