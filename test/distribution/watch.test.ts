import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { advance, startClock, stopClock } from '../fakes/clock.js';
import {
  acceptBundle,
  buildBundle,
  createTestMesh,
  startTestNode,
  startTestNodes,
  type TestNode,
} from '../fakes/nodes.js';

let mesh = createTestMesh();
let nodes: TestNode[] = [];

beforeEach(() => {
  startClock();
  mesh = createTestMesh();
  acceptBundle(mesh.platform, buildBundle(1));
});

afterEach(async () => {
  await Promise.all(nodes.map((node) => node.stop()));
  nodes = [];
  stopClock();
});

const listVersions = () => nodes.map(({ store }) => Number(store.getTag().version));

// Guards against calls to the platform that grow with the number of nodes.
test('in steady state only the two relays call the platform, twice a minute each', async () => {
  nodes = startTestNodes(mesh, 'dc-a', 100, 8);
  await advance(40_000);
  const before = { ...mesh.platform.calls };
  await advance(60_000);
  const after = mesh.platform.calls;
  assert.equal((after.watch ?? 0) - (before.watch ?? 0), 4);
  assert.equal((after.read ?? 0) - (before.read ?? 0), 0);
});

// Guards against a relay that misses versions after the platform has forgotten its place.
test('a relay reads the head again when its watch is answered with 410', async () => {
  nodes = startTestNodes(mesh, 'dc-a', 100, 3);
  await advance(8000);
  mesh.platform.forgetVersions();
  acceptBundle(mesh.platform, buildBundle(2));
  await advance(3000);
  assert.deepEqual(listVersions(), [2, 2, 2]);
});

// Guards against relays that hammer a platform that is down, or never come back to it.
test('relays back off while the platform is down and catch up afterwards', async () => {
  nodes = startTestNodes(mesh, 'dc-a', 100, 6);
  await advance(8000);
  mesh.platform.setDown(true);
  await advance(60_000);
  const before = mesh.platform.calls.read ?? 0;
  await advance(60_000);
  assert.ok((mesh.platform.calls.read ?? 0) - before < 40);
  assert.deepEqual(
    nodes.map(({ store }) => store.isReady()),
    nodes.map(() => true),
  );
  mesh.platform.setDown(false);
  acceptBundle(mesh.platform, buildBundle(2));
  await advance(18_000);
  assert.deepEqual(
    listVersions(),
    nodes.map(() => 2),
  );
});

// Guards against a baseline that uses peers, which would make the comparison worthless.
test('in mode direct every node watches the platform and asks no peer', async () => {
  nodes = [100, 101, 102].map((port) =>
    startTestNode(mesh, port, 'dc-a', [100], 1000, (settings) => {
      Object.assign(settings.distribution, { mode: 'direct' });
    }),
  );
  await advance(5000);
  acceptBundle(mesh.platform, buildBundle(2));
  await advance(1000);
  assert.deepEqual(listVersions(), [2, 2, 2]);
  assert.deepEqual(
    nodes.map(({ store }) => store.isReady()),
    [true, true, true],
  );
  const methods = new Set(mesh.network.sent.map(({ method }) => method));
  assert.equal(
    [...methods].some((method) => method.startsWith('config.')),
    false,
  );
});
