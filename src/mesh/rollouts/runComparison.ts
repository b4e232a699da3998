/**
 * Compares the runs of a new version with those of the other instances of its service over the same
 * period. It performs no I/O and reads no clock.
 *
 * Instances of one version differ in speed, few runs take many times as long as others, and new
 * instances are slow at first. None of this must count against a version.
 */
import type { InstanceId, RouteName, SoftwareVersion } from '../../types/ids.js';
import type { InstanceRuns, RouteRuns } from '../coordination/model.js';
import { countAbove, findQuantileBucket } from './runBuckets.js';
import { RunTotals, type RunCounts } from './runTotals.js';
import { computeThreshold, SequentialTest, type Shares } from './sequentialTest.js';

/** Interval at which the runs since the last comparison are assessed. */
const ASSESS_INTERVAL_MS = 400;

/** Time constant after which earlier runs of the other instances count less for the present. */
const RECENT_MS = 3000;

/** Time from the first run of an instance during which its run times are ignored. */
const WARM_UP_MS = 3500;

/** Maximum number of runs before this comparison that count for an instance of the old version. */
const MAX_EARLIER_RUNS = 200;

/** Failure shares of the old version are assumed to be at least this high. */
const MIN_FAILURE_SHARE = 0.005;

/** Lowest failure share that makes a version bad. */
const MIN_BAD_FAILURE_SHARE = 0.05;

/** Factor between the failure shares of a good and a bad version. */
const BAD_FAILURE_FACTOR = 2.5;

/** Highest failure share that is assumed of an old version with hardly any runs. */
const MAX_UNKNOWN_FAILURE_SHARE = 0.2;

/** Failures added to those of the old version, so that few runs do not make it seem perfect. */
const ADDED_FAILURES = 2;

/**
 * Failures of an instance that count in one assessment, unless it has many runs: the requests that
 * a crash of one instance ends must not roll back a version.
 */
const MAX_FAILURES_AT_ONCE = 2;

/** Share of the runs of an instance that may count as failed at once beyond that. */
const MAX_FAILURE_SHARE_AT_ONCE = 0.25;

/** Runs above this quantile of the run times of the old version, with a margin, are slow. */
const SLOW_QUANTILE = 0.9;

/**
 * Buckets between the 90th percentile of the old version and the times that count as slow, a factor
 * of 1.2: an instance of a good version may be slower than nine of ten others.
 */
const SLOW_MARGIN_BUCKETS = 1;

/** Shares of slow runs of a good and of a bad version. */
const SLOW_SHARES: Shares = { good: 0.12, bad: 0.3 };

/** Runs of the old version on a route below which its run times are not compared. */
const MIN_COMPARED_RUNS = 20;

/** Maximum number of instances of a service that are remembered. */
const MAX_INSTANCES = 2000;

/** Runs of the old version on one route, or on all. */
interface Reference {
  readonly total: RunTotals;
  readonly recent: RunTotals;
}

/** Latest counts of one instance. */
interface KnownInstance {
  readonly routes: ReadonlyMap<RouteName, RouteRuns>;
  readonly firstRunAtMs: number | undefined;
  /** True when the report after these counts had lower ones. */
  readonly hasFallen: boolean;
}

/** Runs of an instance of the new version that have not been assessed. */
interface UnassessedRuns {
  readonly routes: Map<RouteName, RunTotals>;
  isWarm: boolean;
}

/** Runs and the events among them by route; undefined stands for all routes together. */
type EventSums = Map<RouteName | undefined, { readonly runs: number; readonly events: number }>;

interface RouteTests {
  readonly failures: SequentialTest;
  readonly slow: SequentialTest;
}

/** Runs and failures on all routes. */
export interface ComparedCounts {
  readonly target: Pick<RunTotals, 'runs' | 'failures'>;
  readonly reference: Pick<RunTotals, 'runs' | 'failures'>;
}

/** Name of the test that has found a version bad. */
export interface Finding {
  readonly decidedBy: string;
}

function computeFailureShare({ runs, failures }: RunTotals): number {
  const cautious = (failures + ADDED_FAILURES) / (runs + ADDED_FAILURES);
  const measured = runs === 0 ? 0 : failures / runs;
  const limited = Math.min(cautious, Math.max(MAX_UNKNOWN_FAILURE_SHARE, measured));
  return Math.max(MIN_FAILURE_SHARE, limited);
}

/** Returns the failure shares of a good and of a bad version, given the old one. */
export function computeFailureShares(total: RunTotals, recent: RunTotals): Shares {
  const recentShare = recent.runs < MIN_COMPARED_RUNS ? 0 : recent.failures / recent.runs;
  const good = Math.min(0.95, Math.max(computeFailureShare(total), recentShare));
  const raised = Math.max(MIN_BAD_FAILURE_SHARE, good * BAD_FAILURE_FACTOR);
  return { good, bad: Math.min(raised, (1 + good) / 2) };
}

/** Returns the bucket above which the runs of a route are slow; undefined if it is not known. */
function findSlowBucket({ total, recent }: Reference): number | undefined {
  if (total.runs < MIN_COMPARED_RUNS) return undefined;
  const known = findQuantileBucket(total.times, SLOW_QUANTILE);
  if (known === undefined) return undefined;
  const latest =
    recent.runs < MIN_COMPARED_RUNS ? undefined : findQuantileBucket(recent.times, SLOW_QUANTILE);
  return Math.max(known, latest ?? 0) + SLOW_MARGIN_BUCKETS;
}

function limitFailures({ runs, failures }: { runs: number; failures: number }): number {
  const limit = Math.max(MAX_FAILURES_AT_ONCE, Math.floor(runs * MAX_FAILURE_SHARE_AT_ONCE));
  return Math.min(failures, limit);
}

function diffRuns(before: RouteRuns | undefined, after: RouteRuns): RunCounts {
  if (!before) return after;
  return {
    runs: after.runs - before.runs,
    failures: Math.max(0, after.failures - before.failures),
    times: after.times.map((count, index) => Math.max(0, count - (before.times[index] ?? 0))),
  };
}

/** Returns true when a route has fewer runs than before, as after a restart of the instance. */
function hasFewerRuns(
  before: KnownInstance['routes'] | undefined,
  after: KnownInstance['routes'],
): boolean {
  return [...(before ?? [])].some(([route, { runs }]) => (after.get(route)?.runs ?? 0) < runs);
}

function addEvents(
  sums: EventSums,
  route: RouteName | undefined,
  runs: number,
  events: number,
): void {
  const sum = sums.get(route) ?? { runs: 0, events: 0 };
  sums.set(route, { runs: sum.runs + runs, events: sum.events + events });
}

/** Comparison for one rollout. */
export class RunComparison {
  private readonly instances = new Map<InstanceId, KnownInstance>();

  private readonly references = new Map<RouteName | undefined, Reference>();

  private unassessed = new Map<InstanceId, UnassessedRuns>();

  private readonly tests = new Map<RouteName | undefined, RouteTests>();

  private targetRuns = 0;

  private isTargetReported = false;

  /** Failures of the new version that count in the tests. */
  private targetFailures = 0;

  private assessedAtMs = -Infinity;

  /** Time of the first runs of the other instances in the period that is compared. */
  private recentFromMs = Infinity;

  constructor(private readonly targetVersion: SoftwareVersion) {}

  /** Returns the number of known runs of the new version. */
  countTargetRuns(): number {
    return this.targetRuns;
  }

  /** Returns true once an instance of the new version has reported, with runs or without. */
  hasTargetReports(): boolean {
    return this.isTargetReported;
  }

  /** Returns the runs and failures of the new version and of the others, as they are compared. */
  getCounts(): ComparedCounts {
    const { runs = 0, failures = 0 } = this.references.get(undefined)?.total ?? {};
    return {
      target: { runs: this.targetRuns, failures: this.targetFailures },
      reference: { runs, failures },
    };
  }

  /** Records the cumulative counts of an instance. */
  recordRuns({ instanceId, version, routes }: InstanceRuns, nowMs: number): void {
    if (version === this.targetVersion) this.isTargetReported = true;
    const known = this.instances.get(instanceId);
    if (!known && this.instances.size >= MAX_INSTANCES) return;
    const after = new Map(routes.map((entry) => [entry.route, entry]));
    const hasFallen = hasFewerRuns(known?.routes, after);
    // A single fall may be an older report that was held up on its way; counting the runs anew
    // would count them twice.
    if (known && hasFallen && !known.hasFallen) {
      this.instances.set(instanceId, { ...known, hasFallen: true });
      return;
    }
    const before = hasFallen ? undefined : known?.routes;
    const firstRunAtMs = before === undefined ? undefined : known?.firstRunAtMs;
    const instance: KnownInstance = {
      routes: after,
      firstRunAtMs: firstRunAtMs ?? (after.size > 0 ? nowMs : undefined),
      hasFallen: false,
    };
    this.instances.set(instanceId, instance);
    for (const entry of routes) {
      const added = diffRuns(before?.get(entry.route), entry);
      if (added.runs <= 0) continue;
      if (version === this.targetVersion) {
        this.addTarget(instanceId, instance, entry.route, added, nowMs);
      } else {
        this.addReference(entry.route, added, before === undefined, nowMs);
      }
    }
  }

  /** Returns the present rate of runs of the other instances; undefined while it is not known. */
  getReferencePerS(nowMs: number): number | undefined {
    const sinceMs = nowMs - this.recentFromMs;
    if (sinceMs < RECENT_MS) return undefined;
    const { runs } = this.getOrCreateReference(undefined).recent;
    // Sum of the weights of a run at each time of the period.
    const windowMs = RECENT_MS * (1 - Math.exp(-sinceMs / RECENT_MS));
    return runs === 0 ? undefined : (1000 * runs) / windowMs;
  }

  /**
   * Assesses the runs since the last assessment, at most once in `intervalMs`; returns why the
   * version is bad, if it is.
   */
  assess(nowMs: number, intervalMs = ASSESS_INTERVAL_MS): Finding | undefined {
    if (nowMs - this.assessedAtMs < intervalMs) return undefined;
    const elapsedMs = nowMs - this.assessedAtMs;
    this.assessedAtMs = nowMs;
    const finding = this.assessTarget();
    for (const { recent } of this.references.values()) {
      recent.scale(Math.exp(-elapsedMs / RECENT_MS));
    }
    return finding;
  }

  private addTarget(
    instanceId: InstanceId,
    { firstRunAtMs }: KnownInstance,
    route: RouteName,
    added: RunCounts,
    nowMs: number,
  ): void {
    this.targetRuns += added.runs;
    let runs = this.unassessed.get(instanceId);
    if (!runs) {
      runs = { routes: new Map(), isWarm: false };
      this.unassessed.set(instanceId, runs);
    }
    runs.isWarm = nowMs - (firstRunAtMs ?? nowMs) >= WARM_UP_MS;
    let counts = runs.routes.get(route);
    if (!counts) {
      counts = new RunTotals();
      runs.routes.set(route, counts);
    }
    counts.add(added);
  }

  /** Adds runs of an old instance; those of its first report, or after a restart, are earlier. */
  private addReference(
    route: RouteName,
    added: RunCounts,
    isEarlier: boolean,
    nowMs: number,
  ): void {
    for (const key of [route, undefined]) {
      const { total, recent } = this.getOrCreateReference(key);
      total.add(added, isEarlier ? Math.min(1, MAX_EARLIER_RUNS / added.runs) : 1);
      if (!isEarlier) recent.add(added);
    }
    if (!isEarlier) this.recentFromMs = Math.min(this.recentFromMs, nowMs);
  }

  private getOrCreateReference(route: RouteName | undefined): Reference {
    let reference = this.references.get(route);
    if (!reference) {
      reference = { total: new RunTotals(), recent: new RunTotals() };
      this.references.set(route, reference);
    }
    return reference;
  }

  private getOrCreateTests(route: RouteName | undefined): RouteTests {
    let tests = this.tests.get(route);
    if (!tests) {
      tests = { failures: new SequentialTest(), slow: new SequentialTest() };
      this.tests.set(route, tests);
    }
    return tests;
  }

  private assessTarget(): Finding | undefined {
    const { failures, slow } = this.sumUnassessed();
    this.unassessed = new Map();
    this.targetFailures += failures.get(undefined)?.events ?? 0;
    for (const [route, { runs, events }] of failures) {
      const { total, recent } = this.getOrCreateReference(route);
      this.getOrCreateTests(route).failures.record(
        runs,
        events,
        computeFailureShares(total, recent),
      );
    }
    for (const [route, { runs, events }] of slow) {
      this.getOrCreateTests(route).slow.record(runs, events, SLOW_SHARES);
    }
    return this.findDecision();
  }

  /** Returns the runs that have not been assessed, with the failures and the slow runs of them. */
  private sumUnassessed(): { readonly failures: EventSums; readonly slow: EventSums } {
    const failures: EventSums = new Map();
    const slow: EventSums = new Map();
    for (const { routes, isWarm } of this.unassessed.values()) {
      const overall = { runs: 0, failures: 0 };
      for (const [route, counts] of routes) {
        overall.runs += counts.runs;
        overall.failures += counts.failures;
        addEvents(failures, route, counts.runs, limitFailures(counts));
        const slowBucket = isWarm ? findSlowBucket(this.getOrCreateReference(route)) : undefined;
        if (slowBucket === undefined) continue;
        const slowRuns = countAbove(counts.times, slowBucket);
        addEvents(slow, route, counts.runs, slowRuns);
        addEvents(slow, undefined, counts.runs, slowRuns);
      }
      addEvents(failures, undefined, overall.runs, limitFailures(overall));
    }
    return { failures, slow };
  }

  private findDecision(): Finding | undefined {
    const threshold = computeThreshold(2 * this.tests.size);
    for (const [route, tests] of this.tests) {
      const place = route ?? 'all routes';
      if (tests.failures.getEvidence() >= threshold) return { decidedBy: `failures, ${place}` };
      if (tests.slow.getEvidence() >= threshold) return { decidedBy: `slow runs, ${place}` };
    }
    return undefined;
  }
}
