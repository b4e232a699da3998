import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { advance, startClock, stopClock } from '../fakes/clock.js';
import { createMemoryNetwork } from '../fakes/memoryNetwork.js';
import { createMemoryPlatform } from '../fakes/memoryPlatform.js';
import { acceptBundle, buildBundle, startTestNode, type TestMesh } from '../fakes/nodes.js';

type Node = ReturnType<typeof startTestNode>;
let mesh: TestMesh;
let nodes: Node[] = [];

beforeEach(() => {
  startClock();
  mesh = { network: createMemoryNetwork(), platform: createMemoryPlatform() };
});

afterEach(async () => {
  await Promise.all(nodes.map((node) => node.stop()));
  nodes = [];
  stopClock();
});

/** Starts nodes of two data centres; the first of each is the seed of the others. */
function startNodes(): void {
  for (const [dataCentre, first] of [
    ['dc-a', 100],
    ['dc-b', 200],
  ] as const) {
    for (let index = 0; index < 5; index += 1) {
      nodes.push(startTestNode(mesh, first + index, dataCentre, [100, 200]));
    }
  }
}

const listVersions = () => nodes.map((node) => Number(node.store.getTag().version));

// Guards against nodes that wait for each other at start, and versions that stay at the relays.
test('an accepted version reaches every node of two data centres within 3 s', async () => {
  acceptBundle(mesh.platform, buildBundle(1));
  startNodes();
  await advance(8000);
  assert.deepEqual(
    listVersions(),
    nodes.map(() => 1),
  );
  assert.deepEqual(
    nodes.map((node) => node.store.isReady()),
    nodes.map(() => true),
  );
  assert.deepEqual(
    nodes.map((node) => node.members.listMembers().length),
    nodes.map(() => 10),
  );
  acceptBundle(mesh.platform, buildBundle(2));
  await advance(3000);
  assert.deepEqual(
    listVersions(),
    nodes.map(() => 2),
  );
});
