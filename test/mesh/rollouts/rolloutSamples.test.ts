/** Metrics of rollouts. Guards against figures that differ from those on which it is decided. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { listRolloutSamples } from '../../../src/mesh/rollouts/rolloutSamples.js';
import { FAILING, Stage } from './stage.js';

test('a rollout is listed with its state and the runs of both versions', async () => {
  const stage = new Stage();
  const coordinator = stage.startCoordinator();
  assert.deepEqual(listRolloutSamples(coordinator), []);
  stage.putOrder();
  await stage.play(4000, FAILING);
  const samples = listRolloutSamples(coordinator);
  const find = (name: string, instances?: string) =>
    samples.find((sample) => sample.name === name && sample.labels.instances === instances)!;
  const labels = { service: 'pads', version: 'v2' };
  assert.deepEqual(find('rollout_state').labels, { ...labels, state: 'rolled_back' });
  assert.equal(find('rollout_age_seconds').value, 4);
  const runs = find('rollout_runs', 'new').value;
  const failures = find('rollout_failures', 'new').value;
  assert.ok(failures > 0 && failures < runs, `${failures} of ${runs}`);
  assert.ok(find('rollout_runs', 'old').value > runs);
  assert.equal(find('rollout_failures', 'old').value, 0);
  stage.removeOrder();
  assert.deepEqual(listRolloutSamples(coordinator), []);
});
