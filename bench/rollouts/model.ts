/**
 * Model of a rollout without a network: instances that run the requests of a service, their reports
 * and the decision code of the product, or a fixed threshold in its place. Times are in
 * milliseconds on a played clock.
 */
import type { InstanceRuns } from '../../src/mesh/coordination/model.js';
import type { RolloutOrder } from '../../src/mesh/rollouts/model.js';
import { Rollout } from '../../src/mesh/rollouts/rollout.js';
import { countAbove, findQuantileBucket } from '../../src/mesh/rollouts/runBuckets.js';
import { RunCounter } from '../../src/mesh/rollouts/runCounter.js';
import { brandText, type InstanceId, type RouteName } from '../../src/types/ids.js';

/** What is wrong with the new version. */
export interface Scenario {
  readonly name: string;
  readonly isBad: boolean;
  /** Share of its runs that fail beyond those of the old version. */
  readonly failureShare: number;
  /** Factor of its run times. */
  readonly slowFactor: number;
  /** Index of the only route that is bad; undefined for all. */
  readonly route?: number;
  /** Part of the duration from which it is bad. */
  readonly badFrom?: number;
}

export interface Service {
  readonly requestsPerS: number;
  readonly instances: number;
  /** Share of the runs of a good instance that fail. */
  readonly failureShare: number;
  readonly durationMs: number;
}

export type Method = 'sequential' | 'fixed';

export interface Outcome {
  readonly isRolledBack: boolean;
  /** Time of the decision from the order on. */
  readonly decidedAtMs: number;
  /** Failed runs of the new version before the decision. */
  readonly failures: number;
  readonly targetRuns: number;
}

const STEP_MS = 100;
const REPORT_INTERVAL_MS = 400;
const SHARE = 0.06;
const POLICY = { maxShare: 0.1, slack: 50 };

/** Time for which the old version has run before the order. */
const EARLIER_MS = 10_000;

/** New instances are slower by this factor for this time. */
const COLD = { factor: 2, ms: 3000 };

/** One run in a hundred takes this many times as long. */
const TAIL = { share: 0.01, factor: 5 };

const SPEED_FACTORS = { min: 0.6, max: 1.4 };

/** Standard deviation of the logarithm of the run times of a route. */
const SPREAD = 0.3;

const ROUTES = [
  { name: brandText<RouteName>('read'), share: 0.5, meanMs: 20 },
  { name: brandText<RouteName>('write'), share: 0.3, meanMs: 60 },
  { name: brandText<RouteName>('search'), share: 0.2, meanMs: 150 },
];

const ORDER: Omit<RolloutOrder, 'durationMs'> = {
  service: brandText('service'),
  targetVersion: brandText('v2'),
};

/** Limits of the fixed threshold on the runs since the order. */
const FIXED = { minRuns: 30, failureExcess: 0.03, slowExcess: 0.2 };

type Random = () => number;

interface Instance {
  readonly id: InstanceId;
  readonly isTarget: boolean;
  readonly factor: number;
  readonly counter: RunCounter;
}

/** Decides on the new version; returns true once it is found bad. */
interface Judge {
  record(runs: InstanceRuns, nowMs: number): void;
  isBad(nowMs: number): boolean;
  isUnproven(): boolean;
  getShare(nowMs: number): number;
}

function drawNormal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

function createSequentialJudge(durationMs: number): Judge {
  const rollout = new Rollout({ ...ORDER, durationMs }, durationMs, 0, () => {});
  rollout.recordStored('running');
  const isRolledBack = () => rollout.getDirective(POLICY, true, 0).state === 'rolled_back';
  return {
    record: (runs, nowMs) => rollout.recordRuns(runs, nowMs),
    isBad(nowMs) {
      rollout.advance(nowMs, true);
      return isRolledBack();
    },
    isUnproven: isRolledBack,
    getShare: (nowMs) => rollout.getDirective(POLICY, true, nowMs).share,
  };
}

/** Compares the cumulative counts over all routes with fixed limits. */
function createFixedJudge(): Judge {
  const latest = new Map<InstanceId, InstanceRuns>();
  const sum = (isTarget: boolean) => {
    const total = { runs: 0, failures: 0, times: [] as number[] };
    for (const { version, routes } of latest.values()) {
      if ((version === ORDER.targetVersion) !== isTarget) continue;
      for (const { runs, failures, times } of routes) {
        total.runs += runs;
        total.failures += failures;
        for (const [index, count] of times.entries()) {
          total.times[index] = (total.times[index] ?? 0) + count;
        }
      }
    }
    for (let index = 0; index < total.times.length; index += 1) total.times[index] ??= 0;
    return total;
  };
  return {
    record: (runs) => {
      latest.set(runs.instanceId, runs);
    },
    isBad() {
      const target = sum(true);
      const old = sum(false);
      if (target.runs < FIXED.minRuns || old.runs === 0) return false;
      const failureExcess = target.failures / target.runs - old.failures / old.runs;
      const slowBucket = findQuantileBucket(old.times, 0.9) ?? 0;
      const slowExcess =
        countAbove(target.times, slowBucket) / target.runs -
        countAbove(old.times, slowBucket) / old.runs;
      return failureExcess > FIXED.failureExcess || slowExcess > FIXED.slowExcess;
    },
    isUnproven: () => sum(true).runs < FIXED.minRuns,
    getShare: () => SHARE,
  };
}

function createInstances({ instances }: Service, random: Random): Instance[] {
  const created: Instance[] = [];
  for (let index = 0; index < 2 * instances; index += 1) {
    const isTarget = index >= instances;
    const id = brandText<InstanceId>(`i${index}`);
    const counter = new RunCounter();
    counter.reset(id);
    const factor = SPEED_FACTORS.min + random() * (SPEED_FACTORS.max - SPEED_FACTORS.min);
    created.push({ id, isTarget, factor, counter });
  }
  return created;
}

function chooseRoute(random: Random): number {
  let left = random();
  for (const [index, { share }] of ROUTES.entries()) {
    left -= share;
    if (left < 0) return index;
  }
  return ROUTES.length - 1;
}

/** Plays one rollout. */
export function playRollout(
  service: Service,
  scenario: Scenario,
  method: Method,
  random: Random,
): Outcome {
  const { durationMs, requestsPerS } = service;
  const instances = createInstances(service, random);
  const judge = method === 'sequential' ? createSequentialJudge(durationMs) : createFixedJudge();
  const reportOffsets = instances.map(() => Math.floor(random() * 4) * STEP_MS);
  let failures = 0;
  let targetRuns = 0;
  let due = 0;
  const run = (nowMs: number, share: number) => {
    const isTarget = nowMs >= 0 && random() < share;
    const group = instances.filter((instance) => instance.isTarget === isTarget);
    const { id, factor, counter } = group[Math.floor(random() * group.length)]!;
    const routeIndex = chooseRoute(random);
    const { name, meanMs } = ROUTES[routeIndex]!;
    const isBad =
      isTarget &&
      nowMs >= (scenario.badFrom ?? 0) * durationMs &&
      (scenario.route ?? routeIndex) === routeIndex;
    let runMs = meanMs * factor * Math.exp(SPREAD * drawNormal(random));
    if (random() < TAIL.share) runMs *= TAIL.factor;
    if (isTarget && nowMs < COLD.ms) runMs *= COLD.factor;
    if (isBad) runMs *= scenario.slowFactor;
    const failureShare = service.failureShare + (isBad ? scenario.failureShare : 0);
    const hasFailed = random() < failureShare;
    counter.record(id, name, runMs, hasFailed);
    if (!isTarget) return;
    targetRuns += 1;
    if (hasFailed) failures += 1;
  };
  for (let nowMs = -EARLIER_MS; nowMs <= durationMs - 900; nowMs += STEP_MS) {
    due += (requestsPerS * STEP_MS) / 1000;
    const share = judge.getShare(nowMs);
    for (; due >= 1; due -= 1) run(nowMs, share);
    if (nowMs < 0) continue;
    for (const [index, { id, isTarget, counter }] of instances.entries()) {
      if ((nowMs + reportOffsets[index]!) % REPORT_INTERVAL_MS !== 0) continue;
      const version = isTarget ? ORDER.targetVersion : brandText<typeof ORDER.targetVersion>('v1');
      const routes = counter.listRuns(id);
      judge.record({ service: ORDER.service, version, instanceId: id, routes }, nowMs);
    }
    if (judge.isBad(nowMs)) {
      return { isRolledBack: true, decidedAtMs: nowMs, failures, targetRuns };
    }
  }
  judge.isBad(durationMs - 200);
  return { isRolledBack: judge.isUnproven(), decidedAtMs: durationMs, failures, targetRuns };
}
