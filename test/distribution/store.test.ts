import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createConfigStore } from '../../src/core/distribution/store.js';
import { toTag } from '../../src/core/distribution/verify.js';
import type { Bundle } from '../../src/generated/types.js';
import type { DataCentre } from '../../src/types/ids.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { buildBundle, compileAny } from '../../standins/memory/nodes.js';

function createStore() {
  const site = 'dc-a' as DataCentre;
  return createConfigStore({ site, compile: compileAny, logger: SILENT_LOGGER });
}

const forged: Bundle = { ...buildBundle(9), base: { services: {}, routes: {} } };
const refusals: [string, string, Bundle][] = [
  ['an older version', 'stale', buildBundle(4)],
  ['the installed version again', 'stale', buildBundle(5)],
  ['another digest for the installed version', 'mismatch', buildBundle(5, 'y')],
  ['another digest for the floor', 'mismatch', buildBundle(7, 'y')],
  ['content that does not hash to its digest', 'mismatch', forged],
  ['a version that does not compile', 'invalid', buildBundle(9, 'bad')],
  ['a bundle without overlays', 'invalid', { ...buildBundle(9), overlays: undefined as never }],
];

for (const [name, kind, bundle] of refusals) {
  // Guards against a node that returns to an older version or partly applies a bad one (G1, G3).
  test(`the store refuses ${name} and keeps its state`, () => {
    const store = createStore();
    assert.ok(store.install(buildBundle(5), 'test').isOk());
    store.raiseFloor(toTag(buildBundle(7)), 'cookie');
    const routing = store.getRouting();
    const result = store.install(bundle, 'test');
    assert.equal(result.isErr() && result.error.kind, kind);
    assert.equal(store.getRouting(), routing);
    assert.equal(store.getTag().version, 5);
  });
}

// Guards against a node that serves before it knows the floor, or below it.
test('the store is ready once a floor is known and a version at or above it is installed', () => {
  const store = createStore();
  store.install(buildBundle(5), 'test');
  store.raiseFloor(toTag(buildBundle(5)), 'cookie');
  assert.equal(store.isReady(), false, 'a cookie alone does not confirm the floor of the mesh');
  store.confirmFloor(toTag(buildBundle(4)), 'peers');
  assert.equal(store.isReady(), true);
  store.raiseFloor(toTag(buildBundle(6)), 'cookie');
  assert.equal(store.isReady(), false);
  store.install(buildBundle(6), 'test');
  assert.equal(store.isReady(), true);
  store.confirmFloor(toTag(buildBundle(7)), 'platform');
  assert.equal(store.isReady(), true, 'a later head does not affect a ready node');
});

// Guards against a node that is ready although no version has been accepted.
test('the store is not ready without a version', () => {
  const store = createStore();
  store.confirmFloor(toTag({ version: 0, digest: '' }), 'platform');
  assert.equal(store.isReady(), false);
});

// Guards against unbounded memory use by old bundles, and against deltas from evicted bundles.
test('the store keeps the sixteen most recently installed bundles', () => {
  const store = createStore();
  for (let version = 1; version <= 20; version += 1) store.install(buildBundle(version), 'test');
  assert.equal(store.recentBundles.findVersion(4), undefined);
  assert.equal(store.recentBundles.findVersion(5)?.version, 5);
  assert.equal(store.recentBundles.findDigest(buildBundle(20).digest)?.version, 20);
});
