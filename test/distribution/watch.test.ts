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

/** Time in which all nodes have joined and installed the accepted version. */
const START_UP_MS = 8000;

const mesh = useTestMesh();
beforeEach(() => acceptBundle(mesh.platform, buildBundle(1)));

// Guards against a platform load that grows with the number of nodes.
test('in steady state only the two relays call the platform, twice a minute each', async () => {
  mesh.startNodes('dc-a', 100, 8);
  await advance(40_000);
  const before = { ...mesh.platform.calls };
  await advance(60_000);
  const after = mesh.platform.calls;
  assert.equal((after.watch ?? 0) - (before.watch ?? 0), 4);
  assert.equal((after.read ?? 0) - (before.read ?? 0), 0);
});

// Guards against a relay that misses versions after the platform has discarded its watch history.
test('a relay reads the head again after a watch response with status 410', async () => {
  mesh.startNodes('dc-a', 100, 3);
  await advance(START_UP_MS);
  mesh.platform.expireHistory();
  acceptBundle(mesh.platform, buildBundle(2));
  await advance(3000);
  assertAll(mesh.nodes, getVersion, 2);
});

// Guards against relays that overload an unavailable platform, or do not reconnect to it.
test('relays back off while the platform is down and recover afterwards', async () => {
  mesh.startNodes('dc-a', 100, 6);
  await advance(START_UP_MS);
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

// Guards against a baseline that uses peers, which would invalidate the comparison.
test('in mode direct every node watches the platform and sends no request to peers', async () => {
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
