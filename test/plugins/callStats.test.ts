import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CallStats, mergeStats } from '../../src/plugins/callStats.js';
import { brandText, type RouteName } from '../../src/types/ids.js';

const LATENCY_BOUND_MS = 10;
const toRoute = (name: string) => brandText<RouteName>(name);
const createStats = () => new CallStats(() => LATENCY_BOUND_MS);

// Guards against fleet quantiles that are averages of node quantiles.
test('merging two nodes gives quantiles over all calls', () => {
  const route = toRoute('search');
  const fast = createStats();
  const slow = createStats();
  for (let index = 0; index < 99; index += 1) {
    fast.record(route, { kind: 'answered', status: 200 }, 1);
  }
  slow.record(route, { kind: 'answered', status: 200 }, 200);
  const [merged] = mergeStats([...fast.list(), ...slow.list()]);
  assert.equal(merged!.outcomes.answered, 100);
  assert.ok(merged!.p50Ms >= 0.98 && merged!.p50Ms <= 1.02, `p50 ${merged!.p50Ms}`);
  assert.ok(merged!.p99Ms <= 1.02, `p99 ${merged!.p99Ms}`);
  assert.equal(merged!.windows[5]!.slow, 1);
});

const outcomeCases = [
  { outcome: { kind: 'answered', status: 404 }, failed: 0 },
  { outcome: { kind: 'answered', status: 500 }, failed: 1 },
  { outcome: { kind: 'notRun', reason: 'overloaded', detail: '' }, failed: 1 },
  { outcome: { kind: 'notRun', reason: 'bad-request', detail: '' }, failed: 0 },
  { outcome: { kind: 'unknown', reason: 'timeout', detail: '' }, failed: 1 },
  { outcome: { kind: 'unknown', reason: 'cancelled', detail: '' }, failed: 0 },
] as const;
for (const { outcome, failed } of outcomeCases) {
  // Guards against callers' own faults that spend the operators' error budget, and the reverse.
  test(`${JSON.stringify(outcome)} counts as ${failed} failed`, () => {
    const stats = createStats();
    stats.record(toRoute('booking'), outcome, 1);
    assert.equal(stats.list()[0]!.windows[5]!.failed, failed);
  });
}

// Guards against unbounded growth while routes are renamed.
test('routes that left the configuration are dropped', () => {
  const stats = createStats();
  stats.record(toRoute('old'), { kind: 'answered', status: 200 }, 1);
  stats.evictRoutes(new Map());
  assert.deepEqual(stats.list(), []);
});
