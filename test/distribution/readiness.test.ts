import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ok } from 'neverthrow';
import { createConfigStore } from '../../src/core/distribution/store.js';
import { brandText, type DataCentre, type Digest } from '../../src/types/ids.js';
import type { RoutingState } from '../../src/types/routing.js';
import { brandVersion } from '../../src/types/ids.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { buildBundle } from '../../standins/memory/nodes.js';

function createStore() {
  return createConfigStore({
    site: brandText<DataCentre>('a'),
    compile: () => ok({} as RoutingState),
    logger: SILENT_LOGGER,
  });
}

function buildTag(version: number) {
  return { version: brandVersion(version), digest: buildBundle(version).digest as Digest };
}

// Guards against a restarted node that serves an older version than its host enforced before.
test('a starting node is not ready below its floor', () => {
  const store = createStore();
  store.confirmFloor(buildTag(3), 'platform');
  store.install(buildBundle(2), 'peer');
  assert.equal(store.isReady(), false);
  store.install(buildBundle(3), 'peer');
  assert.equal(store.isReady(), true);
});

// Guards against calls that are refused between the announcement of a version and its installation.
test('a ready node stays ready while it fetches a newer version', () => {
  const store = createStore();
  let readyCount = 0;
  store.onReady(() => {
    readyCount += 1;
  });
  store.confirmFloor(buildTag(1), 'platform');
  store.install(buildBundle(1), 'platform');
  store.confirmFloor(buildTag(2), 'platform');
  assert.equal(store.isReady(), true);
  store.install(buildBundle(2), 'platform');
  assert.equal(readyCount, 1);
});
