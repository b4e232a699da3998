import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { computeMajorityFloor, type FloorAnswer } from '../../src/core/distribution/floor.js';
import { toTag } from '../../src/core/distribution/verify.js';
import type { MemberChange } from '../../src/generated/types.js';
import { advance } from '../../standins/memory/clock.js';
import {
  acceptBundle,
  buildBundle,
  buildRecord,
  startTestNode,
  type TestNode,
} from '../../standins/memory/nodes.js';
import { useTestMesh } from '../fakes/useTestMesh.js';
import { assertAll } from '../fakes/results.js';

/** Time in which all nodes have joined and installed the accepted version. */
const START_UP_MS = 8000;
/** Start time of a restarted node, from which its incarnation is derived. */
const RESTART_MS = 500_000;

const buildAlive = (port: number, dataCentre = 'dc-a'): MemberChange => ({
  record: buildRecord(port, dataCentre),
  verdict: 'alive',
});
const buildDead = (port: number): MemberChange => ({ ...buildAlive(port), verdict: 'dead' });

/** Builds the answer of the node on `port`, which reports itself and `others` as alive. */
function buildAnswer(
  port: number,
  version: number,
  others: MemberChange[],
  ready = true,
): FloorAnswer {
  const digest = version === 0 ? '' : buildBundle(version).digest;
  return {
    nodeId: `node-${port}`,
    answer: { version, digest, ready, members: [buildAlive(port), ...others] },
  };
}

const cases: [string, number | undefined, FloorAnswer[]][] = [
  ['no answer', undefined, []],
  [
    'two of three members',
    5,
    [buildAnswer(1, 4, [buildAlive(2), buildAlive(3)]), buildAnswer(2, 5, [])],
  ],
  ['one of three members', undefined, [buildAnswer(1, 4, [buildAlive(2), buildAlive(3)])]],
  [
    'exactly half of the members',
    undefined,
    [buildAnswer(1, 4, [buildAlive(2), buildAlive(3), buildAlive(4)]), buildAnswer(2, 4, [])],
  ],
  [
    'members that only one answer contains',
    undefined,
    [buildAnswer(1, 4, []), buildAnswer(2, 4, [buildAlive(3), buildAlive(4), buildAlive(5)])],
  ],
  ['a dead member, which does not count', 4, [buildAnswer(1, 4, [buildDead(2), buildDead(3)])]],
  ['this node itself, which does not count', 4, [buildAnswer(1, 4, [buildAlive(9)])]],
  [
    'members of another data centre, which do not count',
    4,
    [buildAnswer(1, 4, [buildAlive(2, 'dc-b')])],
  ],
  [
    'a starting member without a version',
    undefined,
    [buildAnswer(1, 4, [buildAlive(2)]), buildAnswer(2, 0, [], false)],
  ],
  ['a starting member with a version', 6, [buildAnswer(1, 4, []), buildAnswer(2, 6, [], false)]],
  [
    'the same member twice',
    undefined,
    [buildAnswer(1, 4, [buildAlive(2), buildAlive(3)]), buildAnswer(1, 4, [])],
  ],
];

for (const [name, floor, answers] of cases) {
  // Guards against a restarted node that accepts the floor of a minority with an old version (G1).
  test(`the floor from peers with ${name} is ${floor ?? 'unknown'}`, () => {
    assert.equal(computeMajorityFloor(answers, 'dc-a', 'node-9')?.version, floor);
  });
}

const mesh = useTestMesh();
beforeEach(() => acceptBundle(mesh.platform, buildBundle(1)));

// Guards against a data centre that cannot replace nodes while the platform is down.
test('a node restarted while the platform is down becomes ready through its peers', async () => {
  mesh.startNodes('dc-a', 100, 4);
  await advance(START_UP_MS);
  mesh.platform.setDown(true);
  const old = mesh.nodes.pop() as TestNode;
  await old.stop();
  const restarted = startTestNode(mesh, old.port, 'dc-a', [100], RESTART_MS);
  mesh.nodes.push(restarted);
  await advance(5000);
  assert.equal(restarted.store.isReady(), true);
  assert.equal(restarted.store.getTag().version, 1);
});

// Guards against a node that serves an older version than its host enforced before the restart.
test('a node below the floor of its cookie is not ready until it has that version', async () => {
  mesh.startNodes('dc-a', 100, 3);
  await advance(START_UP_MS);
  mesh.platform.setDown(true);
  const [node] = mesh.nodes as [TestNode];
  node.store.raiseFloor(toTag(buildBundle(2)), 'cookie');
  await advance(5000);
  assert.equal(node.store.isReady(), false);
  acceptBundle(mesh.platform, buildBundle(2));
  mesh.platform.setDown(false);
  await advance(35_000);
  assert.equal(node.store.isReady(), true);
  assertAll(mesh.nodes, ({ store }) => Number(store.getTag().version), 2);
});

// Guards against a node without peers that serves a version without knowing the floor.
test('a node without peers is not ready until the platform responds', async () => {
  mesh.platform.setDown(true);
  mesh.startNodes('dc-a', 100, 1, [101]);
  await advance(20_000);
  assert.equal(mesh.nodes[0]?.store.isReady(), false);
  mesh.platform.setDown(false);
  await advance(25_000);
  assert.equal(mesh.nodes[0]?.store.isReady(), true);
});

// Guards against a restarted node that serves an old version of its peers in the second before the
// cookie of its upstream arrives (G1).
test('the floor of peers is used only after the announcement of the local upstream', async () => {
  mesh.startNodes('dc-a', 100, 3);
  acceptBundle(mesh.platform, buildBundle(1));
  await advance(START_UP_MS);
  mesh.platform.setDown(true);
  let announce = () => {};
  const upstreamAnnounced = new Promise<void>((resolve) => {
    announce = resolve;
  });
  const node = startTestNode(mesh, 110, 'dc-a', [100], 1000, undefined, upstreamAnnounced);
  mesh.nodes.push(node);
  await advance(900);
  assert.equal(node.store.isFloorKnown(), false);
  node.store.raiseFloor(toTag(buildBundle(2)), 'cookie');
  announce();
  await advance(5000);
  assert.equal(node.store.isFloorKnown(), true);
  assert.equal(
    node.store.isReady(),
    false,
    'version 1 is below the version that the host enforced',
  );
});

// Guards against a node without an upstream that never becomes ready.
test('a node without announcements uses the floor of its peers after a time-out', async () => {
  mesh.startNodes('dc-a', 100, 3);
  acceptBundle(mesh.platform, buildBundle(1));
  await advance(START_UP_MS);
  mesh.platform.setDown(true);
  const silent = new Promise<void>(() => {});
  const node = startTestNode(mesh, 110, 'dc-a', [100], 1000, undefined, silent);
  mesh.nodes.push(node);
  await advance(START_UP_MS);
  assert.equal(node.store.isReady(), true);
});

// Guards G1: a starting node reads a head that was lowered before its slow peers answer with a
// higher version, and then treats that version as never accepted.
test('a node that starts with a lowered head installs the version of its slow peers', async () => {
  mesh.startNodes('dc-a', 100, 3);
  await advance(START_UP_MS);
  acceptBundle(mesh.platform, buildBundle(2));
  await advance(4000);
  assertAll(mesh.nodes, ({ store }) => Number(store.getTag().version), 2);
  acceptBundle(mesh.platform, buildBundle(1));
  const old = mesh.nodes.pop() as TestNode;
  await old.stop();
  let isSlow = true;
  mesh.network.decideDelivery = ({ method }) =>
    isSlow && method.startsWith('config.') ? { delayMs: 1500 } : 'deliver';
  const restarted = startTestNode(mesh, old.port, 'dc-a', [100], RESTART_MS);
  mesh.nodes.push(restarted);
  await advance(6000);
  isSlow = false;
  await advance(4000);
  assert.equal(restarted.store.getTag().version, 2);
});
