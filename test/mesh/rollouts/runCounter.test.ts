/** Guards against runs that count for another instance, and reports that grow without bound. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { InstanceState } from '../../../src/mesh/localInstance.js';
import { computeBucket } from '../../../src/mesh/rollouts/runBuckets.js';
import { MAX_COUNTED_ROUTES, RunCounter } from '../../../src/mesh/rollouts/runCounter.js';
import { RolloutFollower } from '../../../src/mesh/rollouts/rolloutFollower.js';
import { RolloutGate } from '../../../src/mesh/rollouts/rolloutGate.js';
import { brandText, type InstanceId, type RouteName } from '../../../src/types/ids.js';

const FIRST = brandText<InstanceId>('i-1');
const SECOND = brandText<InstanceId>('i-2');
const READ = brandText<RouteName>('read');

function createCounter(): RunCounter {
  const counter = new RunCounter();
  counter.reset(FIRST);
  return counter;
}

test('runs of a replaced instance do not count for the new one', () => {
  const counter = createCounter();
  counter.record(FIRST, READ, 10, true);
  counter.reset(SECOND);
  counter.record(FIRST, READ, 10, true);
  counter.record(SECOND, READ, 10, false);
  assert.deepEqual(counter.listRuns(FIRST), []);
  const [{ runs, failures } = { runs: 0, failures: 0 }] = counter.listRuns(SECOND);
  assert.deepEqual({ runs, failures }, { runs: 1, failures: 0 });
});

test('run times fall into buckets of a quarter of an octave, within bounds', () => {
  assert.deepEqual([0, 1, 2, 16, NaN].map(computeBucket), [0, 0, 4, 16, 0]);
  assert.equal(computeBucket(1e9), 64);
  const counter = createCounter();
  counter.record(FIRST, READ, 2, false);
  assert.deepEqual(counter.listRuns(FIRST)[0]?.times, [0, 0, 0, 0, 1]);
});

test('many routes do not make the counts or a report grow without bound', () => {
  const counter = createCounter();
  for (let index = 0; index < 1000; index += 1) {
    counter.record(FIRST, brandText(`route-${index}`), 5, false);
  }
  const routes = counter.listRuns(FIRST);
  assert.equal(routes.length, MAX_COUNTED_ROUTES + 1);
  assert.equal(
    routes.reduce((sum, { runs }) => sum + runs, 0),
    1000,
  );
});

test('runs are reported only while a rollout of the service is undecided', () => {
  const counter = createCounter();
  counter.record(FIRST, READ, 10, true);
  const heartbeat = { instanceId: FIRST, service: 'pads', version: 'v1' };
  const state = { kind: 'ready', heartbeat } as unknown as InstanceState;
  const follower = new RolloutFollower(new RolloutGate(), counter, { getState: () => state });
  const report = (service: string, rolloutState: 'running' | 'completed') => {
    const directive = { targetVersion: brandText<never>('v2'), state: rolloutState, share: 0 };
    follower.applyDirectives([{ ...directive, service: brandText(service) }], 0);
    return follower.collectRuns();
  };
  assert.equal(follower.collectRuns(), undefined);
  assert.equal(report('other', 'running'), undefined);
  assert.equal(report('pads', 'running')?.routes[0]?.failures, 1);
  assert.equal(report('pads', 'completed'), undefined);
});
