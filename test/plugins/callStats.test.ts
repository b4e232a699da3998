import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CallStats, mergeStats } from '../../src/plugins/callStats.js';
import { brandText, type RouteName } from '../../src/types/ids.js';

const LATENCY_OBJECTIVE_MS = 10;
const toRoute = (name: string) => brandText<RouteName>(name);
const createStats = () => new CallStats(() => LATENCY_OBJECTIVE_MS);

// Guards against merged quantiles that are averages of the quantiles of the nodes.
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
  // Guards against caller faults that consume error budget, and failures that do not.
  test(`${JSON.stringify(outcome)} counts as ${failed} failed`, () => {
    const stats = createStats();
    stats.record(toRoute('booking'), outcome, 1);
    assert.equal(stats.list()[0]!.windows[5]!.failed, failed);
  });
}

// Guards against unbounded growth when routes are renamed.
test('routes that are no longer configured are removed', () => {
  const stats = createStats();
  stats.record(toRoute('old'), { kind: 'answered', status: 200 }, 1);
  stats.evictRoutes(new Map());
  assert.deepEqual(stats.list(), []);
});
