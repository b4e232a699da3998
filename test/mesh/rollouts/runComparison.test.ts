/** Wrong decisions on modelled rollouts: seeded, without a network. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { playRollout, type Scenario } from '../../../bench/rollouts/model.js';
import { createRandom } from '../../../bench/selection/timeline.js';
import type { InstanceRuns } from '../../../src/mesh/coordination/model.js';
import { RunComparison } from '../../../src/mesh/rollouts/runComparison.js';
import { brandText } from '../../../src/types/ids.js';

const TRIALS = 100;

const SERVICE = { requestsPerS: 200, instances: 8, failureShare: 0.002, durationMs: 30_000 };

function countRolledBack(scenario: Partial<Scenario>): number {
  const random = createRandom(7);
  const full = { name: '', isBad: true, failureShare: 0, slowFactor: 1, ...scenario };
  let count = 0;
  for (let trial = 0; trial < TRIALS; trial += 1) {
    if (playRollout(SERVICE, full, 'sequential', random).isRolledBack) count += 1;
  }
  return count;
}

test('instances of unlike speed, long tails and slow starts do not roll back a version', () => {
  assert.equal(countRolledBack({}), 0);
});

for (const [name, scenario] of [
  ['fails from the start', { failureShare: 0.1 }],
  ['is slow from the start', { slowFactor: 3 }],
  ['fails on one of three routes', { failureShare: 0.3, route: 2 }],
  ['fails from the middle of its duration', { failureShare: 0.3, badFrom: 0.5 }],
  ['is slow from the middle of its duration', { slowFactor: 3, badFrom: 0.5 }],
] as const) {
  test(`a version that ${name} is not completed`, () => {
    assert.ok(countRolledBack(scenario) >= 0.95 * TRIALS);
  });
}

function buildRuns(runs: number): InstanceRuns {
  return {
    service: brandText('pads'),
    version: brandText('v2'),
    instanceId: brandText('new'),
    routes: [{ route: brandText('read'), runs, failures: 0, times: [runs] }],
  };
}

function countRuns(reported: readonly number[]): number {
  const comparison = new RunComparison(brandText('v2'));
  for (const [index, runs] of reported.entries()) {
    comparison.recordRuns(buildRuns(runs), index * 400);
  }
  return comparison.countTargetRuns();
}

test('a report that was held up on its way does not count runs twice', () => {
  assert.equal(countRuns([10, 20, 10, 25]), 25);
});

test('the runs of an instance that has restarted are counted besides the earlier ones', () => {
  assert.equal(countRuns([10, 20, 3, 6, 9]), 29);
});
