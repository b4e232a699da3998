import { test } from 'node:test';
import { advance } from '../fakes/clock.js';
import { acceptBundle, buildBundle, getVersion, useTestMesh } from '../fakes/nodes.js';
import { assertAll } from '../fakes/results.js';

const mesh = useTestMesh();

// Guards against nodes that wait for each other at start, and versions that stay at the relays.
test('an accepted version reaches every node of two data centres within 3 s', async () => {
  acceptBundle(mesh.platform, buildBundle(1));
  mesh.startNodes('dc-a', 100, 5, [200]);
  mesh.startNodes('dc-b', 200, 5, [100]);
  await advance(8000);
  assertAll(mesh.nodes, getVersion, 1);
  assertAll(mesh.nodes, ({ store }) => store.isReady(), true);
  assertAll(mesh.nodes, ({ members }) => members.listMembers().length, 10);
  acceptBundle(mesh.platform, buildBundle(2));
  await advance(3000);
  assertAll(mesh.nodes, getVersion, 2);
});
