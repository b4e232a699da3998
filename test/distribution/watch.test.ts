import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { advance } from '../../standins/memory/clock.js';
import {
  acceptBundle,
  buildBundle,
  getVersion,
  startTestNode,
} from '../../standins/memory/nodes.js';
import { useTestMesh } from '../fakes/useTestMesh.js';
import { assertAll } from '../fakes/results.js';

const mesh = useTestMesh();
beforeEach(() => acceptBundle(mesh.platform, buildBundle(1)));

// Guards against calls to the platform that grow with the number of nodes.
test('in steady state only the two relays call the platform, twice a minute each', async () => {
  mesh.startNodes('dc-a', 100, 8);
  await advance(40_000);
  const before = { ...mesh.platform.calls };
  await advance(60_000);
  const after = mesh.platform.calls;
  assert.equal((after.watch ?? 0) - (before.watch ?? 0), 4);
  assert.equal((after.read ?? 0) - (before.read ?? 0), 0);
});

// Guards against a relay that misses versions after the platform has forgotten its place.
test('a relay reads the head again when its watch is answered with 410', async () => {
  mesh.startNodes('dc-a', 100, 3);
  await advance(8000);
  mesh.platform.forgetVersions();
  acceptBundle(mesh.platform, buildBundle(2));
  await advance(3000);
  assertAll(mesh.nodes, getVersion, 2);
});

// Guards against relays that hammer a platform that is down, or never come back to it.
test('relays back off while the platform is down and catch up afterwards', async () => {
  mesh.startNodes('dc-a', 100, 6);
  await advance(8000);
  mesh.platform.setDown(true);
  await advance(60_000);
  const before = mesh.platform.calls.read ?? 0;
  await advance(60_000);
  assert.ok((mesh.platform.calls.read ?? 0) - before < 40);
  assertAll(mesh.nodes, ({ store }) => store.isReady(), true);
  mesh.platform.setDown(false);
  acceptBundle(mesh.platform, buildBundle(2));
  await advance(18_000);
  assertAll(mesh.nodes, getVersion, 2);
});

// Guards against a baseline that uses peers, which would make the comparison worthless.
test('in mode direct every node watches the platform and asks no peer', async () => {
  mesh.nodes = [100, 101, 102].map((port) =>
    startTestNode(mesh, port, 'dc-a', [100], 1000, (settings) => {
      Object.assign(settings.distribution, { mode: 'direct' });
    }),
  );
  await advance(5000);
  acceptBundle(mesh.platform, buildBundle(2));
  await advance(1000);
  assertAll(mesh.nodes, getVersion, 2);
  assertAll(mesh.nodes, ({ store }) => store.isReady(), true);
  const methods = new Set(mesh.network.sent.map(({ method }) => method));
  assert.equal(
    [...methods].some((method) => method.startsWith('config.')),
    false,
  );
});
