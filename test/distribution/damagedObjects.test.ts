import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { advance } from '../../standins/memory/clock.js';
import { applyMutations, mutations } from '../fakes/mutations.js';
import { acceptBundle, buildBundle, getVersion, toHead } from '../../standins/memory/nodes.js';
import { useTestMesh } from '../fakes/useTestMesh.js';
import { assertAll } from '../fakes/results.js';

/** Time in which all nodes have joined and installed the accepted version. */
const START_UP_MS = 8000;

const mesh = useTestMesh();
const NEXT = buildBundle(2);
const SEEDS = { addresses: [{ host: '127.0.0.1', port: 100 }] };
const OBJECTS = [
  ['config/head', { ...toHead(NEXT), recent: [{ version: 2, operationId: 'o', digest: 'd' }] }],
  ['bundles/op-2-x', { ...NEXT }],
  ['seeds/dc-a', SEEDS],
  ['seeds/dc-b', SEEDS],
] as const;

// Guards against a damaged platform object that ends a node, is partly enforced, or blocks the next
// valid version.
test('damaged platform objects are never enforced and do not block later versions', async () => {
  acceptBundle(mesh.platform, buildBundle(1));
  mesh.startNodes('dc-a', 100, 3);
  await advance(START_UP_MS);
  assertAll(mesh.nodes, getVersion, 1);
  await fc.assert(
    fc.asyncProperty(fc.constantFrom(...OBJECTS), mutations, async ([name, value], damageList) => {
      mesh.platform.put(name, applyMutations(value, damageList));
      await advance(3000, 500);
      for (const { store } of mesh.nodes) {
        const { version, digest } = store.getTag();
        assert.ok(version === 1 || version === 2);
        assert.equal(digest, buildBundle(version).digest);
        assert.deepEqual(store.getBundle()?.base, buildBundle(version).base);
      }
    }),
    { seed: 20_261_204, numRuns: 150 },
  );
  mesh.platform.put('seeds/dc-a', SEEDS);
  const repaired = buildBundle(3);
  mesh.platform.put('bundles/op-3-x', repaired);
  mesh.platform.put('config/head', toHead(repaired));
  await advance(40_000, 250);
  assertAll(mesh.nodes, getVersion, 3);
});
