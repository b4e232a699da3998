import { test } from 'node:test';
import { advance } from '../../standins/memory/clock.js';
import { acceptBundle, buildBundle, getVersion } from '../../standins/memory/nodes.js';
import { useTestMesh } from '../fakes/useTestMesh.js';
import { assertAll } from '../fakes/results.js';

/** Time in which all nodes have joined and installed the accepted version. */
const START_UP_MS = 8000;

const mesh = useTestMesh();

// Guards against nodes that wait for each other at start, and versions that only relays install.
test('an accepted version reaches every node of two data centres within 3 s', async () => {
  acceptBundle(mesh.platform, buildBundle(1));
  mesh.startNodes('dc-a', 100, 5, [200]);
  mesh.startNodes('dc-b', 200, 5, [100]);
  await advance(START_UP_MS);
  assertAll(mesh.nodes, getVersion, 1);
  assertAll(mesh.nodes, ({ store }) => store.isReady(), true);
  assertAll(mesh.nodes, ({ members }) => members.listMembers().length, 10);
  acceptBundle(mesh.platform, buildBundle(2));
  await advance(3000);
  assertAll(mesh.nodes, getVersion, 2);
});

// Guards against members that are not notified and learn of a version only from a ping.
test('notifications alone reach all members of a large data centre within a second', async () => {
  acceptBundle(mesh.platform, buildBundle(1));
  mesh.startNodes('dc-a', 100, 40, [100, 101]);
  await advance(10_000);
  assertAll(mesh.nodes, getVersion, 1);
  mesh.network.decideDelivery = ({ method }) => (method === 'ping' ? 'lose' : 'deliver');
  for (const version of [2, 3, 4]) {
    acceptBundle(mesh.platform, buildBundle(version));
    await advance(1000);
    assertAll(mesh.nodes, getVersion, version);
  }
  // Lets pings in flight time out before the nodes are stopped.
  mesh.network.decideDelivery = () => 'deliver';
  await advance(2000);
});
