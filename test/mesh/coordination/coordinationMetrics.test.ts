/**
 * Metrics of the parts of a node as they are constructed. Guards against parts whose samples are
 * not on the metrics page, and against keys on it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { err } from 'neverthrow';
import { ROLLOUT_CODEC } from '../../../platform/rollouts.js';
import { buildError } from '../../../src/errors.js';
import { createCoordination } from '../../../src/mesh/coordination/createCoordination.js';
import type { LocalInstance } from '../../../src/mesh/localInstance.js';
import { MeshMetrics } from '../../../src/mesh/meshMetrics.js';
import type { MeshConfig, MeshSettings } from '../../../src/mesh/model.js';
import { createRolloutParts } from '../../../src/mesh/rollouts/rolloutParts.js';
import type { MeshStore } from '../../../src/mesh/store.js';
import { brandText, type NodeId } from '../../../src/types/ids.js';
import { buildAccount, POLICY } from '../quotas/quotaMesh.js';

const NODE = brandText<NodeId>('n-1');
const LOG = { write: () => {} };
const DIGEST = 'digest-of-the-key';
const ACCOUNT = { ...buildAccount('shop', 20, 20), keyDigests: [DIGEST] };
const SETTINGS = { nodeId: NODE, quota: POLICY } as unknown as MeshSettings;

test('a node that coordinates itself shows the tokens of its accounts, and no key', async () => {
  const metrics = new MeshMetrics();
  const config = { accounts: [ACCOUNT] } as unknown as MeshConfig;
  const coordination = createCoordination({
    getSettings: () => SETTINGS,
    getConfig: () => config,
    processId: 'p-1',
    directory: { listResponding: () => [], listReadyIds: () => [NODE] },
    hasReceivedList: () => true,
    isStopping: () => false,
    log: LOG,
    metrics,
  });
  try {
    assert.doesNotMatch(metrics.render(), /quota_/);
    coordination.applyConfig(config);
    while ((await coordination.quotas.take(ACCOUNT)).kind !== 'granted') await wait(50);
    const page = metrics.render();
    assert.match(page, /^lycheelane_quota_tokens_granted\{account="shop"\} [1-9]\d*$/m);
    assert.match(page, /^lycheelane_quota_limit_per_s\{account="shop"\} 20$/m);
    assert.ok(!page.includes(DIGEST), page);
  } finally {
    coordination.close();
  }
});

test('a node that decides on a rollout shows it', () => {
  const metrics = new MeshMetrics();
  const failure = async () => err(buildError('unavailable', 'store', 'store', 'away'));
  const store = { list: failure, watch: failure, read: failure, replaceStatus: failure };
  const { source } = createRolloutParts({
    adapter: { store: store as unknown as MeshStore, rollouts: ROLLOUT_CODEC },
    getSettings: () => SETTINGS,
    instance: {} as LocalInstance,
    log: LOG,
    metrics,
  });
  assert.doesNotMatch(metrics.render(), /rollout_/);
  const value = { Service: 'pads', TargetVersion: 'v2', Duration: '20s' };
  source.applyObject({ name: 'pads', revision: 1, value });
  const expected = /^lycheelane_rollout_state\{service="pads",version="v2",state="running"\} 1$/m;
  assert.match(metrics.render(), expected);
  source.close();
});
