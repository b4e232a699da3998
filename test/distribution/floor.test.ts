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

const alive = (port: number, dataCentre = 'dc-a'): MemberChange => ({
  record: buildRecord(port, dataCentre),
  verdict: 'alive',
});
const dead = (port: number): MemberChange => ({ ...alive(port), verdict: 'dead' });

/** An answer of the node on a port that calls itself and `others` alive. */
function answer(port: number, version: number, others: MemberChange[], ready = true): FloorAnswer {
  const digest = version === 0 ? '' : buildBundle(version).digest;
  return {
    nodeId: `node-${port}`,
    answer: { version, digest, ready, members: [alive(port), ...others] },
  };
}

const cases: [string, number | undefined, FloorAnswer[]][] = [
  ['no answer', undefined, []],
  ['two of three members', 5, [answer(1, 4, [alive(2), alive(3)]), answer(2, 5, [])]],
  ['one of three members', undefined, [answer(1, 4, [alive(2), alive(3)])]],
  [
    'exactly half of the members',
    undefined,
    [answer(1, 4, [alive(2), alive(3), alive(4)]), answer(2, 4, [])],
  ],
  [
    'members that only another answer names',
    undefined,
    [answer(1, 4, []), answer(2, 4, [alive(3), alive(4), alive(5)])],
  ],
  ['a dead member, which does not count', 4, [answer(1, 4, [dead(2), dead(3)])]],
  ['this node itself, which does not count', 4, [answer(1, 4, [alive(9)])]],
  ['members of another data centre, which do not count', 4, [answer(1, 4, [alive(2, 'dc-b')])]],
  [
    'a starting member without a version',
    undefined,
    [answer(1, 4, [alive(2)]), answer(2, 0, [], false)],
  ],
  ['a starting member with a version', 6, [answer(1, 4, []), answer(2, 6, [], false)]],
  ['the same member twice', undefined, [answer(1, 4, [alive(2), alive(3)]), answer(1, 4, [])]],
];

for (const [name, floor, answers] of cases) {
  // Guards against a restarted node that takes a floor from a minority that is behind (G1).
  test(`the floor from peers with ${name} is ${floor ?? 'unknown'}`, () => {
    assert.equal(computeMajorityFloor(answers, 'dc-a', 'node-9')?.version, floor);
  });
}

const mesh = useTestMesh();
beforeEach(() => acceptBundle(mesh.platform, buildBundle(1)));

// Guards against a data centre that cannot replace nodes while the platform is down.
test('a node restarted while the platform is down becomes ready through its peers', async () => {
  mesh.startNodes('dc-a', 100, 4);
  await advance(8000);
  mesh.platform.setDown(true);
  const old = mesh.nodes.pop() as TestNode;
  await old.stop();
  const restarted = startTestNode(mesh, old.port, 'dc-a', [100], 500_000);
  mesh.nodes.push(restarted);
  await advance(5000);
  assert.equal(restarted.store.isReady(), true);
  assert.equal(restarted.store.getTag().version, 1);
});

// Guards against a node that serves an old version because its host was newer before the restart.
test('a node below the floor of its cookie is not ready until it has that version', async () => {
  mesh.startNodes('dc-a', 100, 3);
  await advance(8000);
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

// Guards against a node without peers that serves what it cannot know to be current.
test('a lone node is not ready until the platform answers', async () => {
  mesh.platform.setDown(true);
  mesh.startNodes('dc-a', 100, 1, [101]);
  await advance(20_000);
  assert.equal(mesh.nodes[0]?.store.isReady(), false);
  mesh.platform.setDown(false);
  await advance(25_000);
  assert.equal(mesh.nodes[0]?.store.isReady(), true);
});

// Guards against a restarted node that serves a stale version of its peers in the second before
// its upstream's cookie arrives (G1).
test('a floor of peers waits for the announcement of the local upstream', async () => {
  mesh.startNodes('dc-a', 100, 3);
  acceptBundle(mesh.platform, buildBundle(1));
  await advance(8000);
  mesh.platform.setDown(true);
  let hear = () => {};
  const heard = new Promise<void>((resolve) => {
    hear = resolve;
  });
  const node = startTestNode(mesh, 110, 'dc-a', [100], 1000, undefined, heard);
  mesh.nodes.push(node);
  await advance(900);
  assert.equal(node.store.isFloorKnown(), false);
  node.store.raiseFloor(toTag(buildBundle(2)), 'cookie');
  hear();
  await advance(5000);
  assert.equal(node.store.isFloorKnown(), true);
  assert.equal(node.store.isReady(), false, 'version 1 is below what the host enforced');
});

// Guards against a node without an upstream that never becomes ready.
test('a node whose upstream is silent takes the floor of its peers after a while', async () => {
  mesh.startNodes('dc-a', 100, 3);
  acceptBundle(mesh.platform, buildBundle(1));
  await advance(8000);
  mesh.platform.setDown(true);
  const silent = new Promise<void>(() => {});
  const node = startTestNode(mesh, 110, 'dc-a', [100], 1000, undefined, silent);
  mesh.nodes.push(node);
  await advance(8000);
  assert.equal(node.store.isReady(), true);
});

// Guards G1: a node that starts on a head which was lowered, reads it before its slow peers hand
// out their higher version, and then takes that version for one that was never accepted.
test('a node that starts on a lowered head takes the version of its slow peers', async () => {
  mesh.startNodes('dc-a', 100, 3);
  await advance(8000);
  acceptBundle(mesh.platform, buildBundle(2));
  await advance(4000);
  assertAll(mesh.nodes, ({ store }) => Number(store.getTag().version), 2);
  acceptBundle(mesh.platform, buildBundle(1));
  const old = mesh.nodes.pop() as TestNode;
  await old.stop();
  let isSlow = true;
  mesh.network.decide = ({ method }) =>
    isSlow && method.startsWith('config.') ? { delayMs: 1500 } : 'deliver';
  const restarted = startTestNode(mesh, old.port, 'dc-a', [100], 500_000);
  mesh.nodes.push(restarted);
  await advance(6000);
  isSlow = false;
  await advance(4000);
  assert.equal(restarted.store.getTag().version, 2);
});
