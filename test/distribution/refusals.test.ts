import assert from 'node:assert/strict';
import { test } from 'node:test';
import { err } from 'neverthrow';
import type { Compile } from '../../src/core/distribution/store.js';
import { buildError } from '../../src/errors.js';
import type { MemberRecord } from '../../src/generated/types.js';
import { advance } from '../../standins/memory/clock.js';
import {
  acceptBundle,
  buildBundle,
  compileAny,
  getVersion,
  startTestNode,
  type TestNode,
} from '../../standins/memory/nodes.js';
import { useTestMesh } from '../fakes/useTestMesh.js';
import { assertAll } from '../fakes/results.js';

/** Time in which all nodes have joined and installed the accepted version. */
const START_UP_MS = 8000;
/** Start time of a restarted node, from which its incarnation is derived. */
const RESTART_MS = 500_000;

const mesh = useTestMesh();
const BAD = buildBundle(2, 'bad');
const getRefused = ({ store }: TestNode) => store.getLastRefusal()?.version;
const getRecord = ({ members }: TestNode): MemberRecord => members.getSelf();

const refuseVersion2: Compile = (bundle, site) =>
  bundle.version === 2
    ? err(buildError('invalid', 'compile', site, 'unknown field'))
    : compileAny(bundle, site);

/** Starts two data centres with version 1; the nodes then refuse the accepted version 2. */
async function startWithRefusal(nodesEach: number) {
  acceptBundle(mesh.platform, buildBundle(1));
  mesh.startNodes('dc-a', 100, nodesEach, [200]);
  mesh.startNodes('dc-b', 200, nodesEach, [100]);
  await advance(START_UP_MS);
  assertAll(mesh.nodes, getVersion, 1);
  mesh.platform.calls.read = 0;
  acceptBundle(mesh.platform, BAD);
  await advance(5000);
}

// Guards against a refusal that only the relays know, reads of the platform by every node, and
// traffic that continues after all nodes have refused the version.
test('every node refuses a bad version once, and the next version clears the refusal', async () => {
  await startWithRefusal(6);
  assertAll(mesh.nodes, getRefused, 2);
  assertAll(mesh.nodes, getVersion, 1);
  assert.deepEqual(mesh.platform.calls.read, 4, 'one bundle read of each relay');
  const publishers = mesh.nodes.filter((node) => getRecord(node).refused);
  assert.equal(publishers.length, 4, 'only relays publish a refusal in their record');
  const { version, step, reason } = getRecord(publishers[0]!).refused ?? {};
  assert.deepEqual([version, step], [2, 'compile']);
  assert.match(reason ?? '', /undefined service/);
  mesh.network.sent.length = 0;
  await advance(10_000);
  const configMessages = mesh.network.sent.filter(({ method }) => method.startsWith('config.'));
  assert.equal(configMessages.length, 0);
  acceptBundle(mesh.platform, buildBundle(3));
  await advance(3000);
  assertAll(mesh.nodes, getVersion, 3);
  assertAll(mesh.nodes, (node) => getRecord(node).refused, undefined);
});

// Guards against a refused version that prevents restarted nodes from serving.
test('a node that starts with a refused head serves the last valid version', async () => {
  await startWithRefusal(3);
  acceptBundle(mesh.platform, buildBundle(3, 'bad'));
  await advance(3000);
  const late = startTestNode(mesh, 103, 'dc-a', [100]);
  const alone = startTestNode(mesh, 300, 'dc-c', []);
  mesh.nodes.push(late, alone);
  await advance(20_000);
  for (const node of [late, alone]) {
    assert.deepEqual([getVersion(node), getRefused(node), node.store.isReady()], [1, 3, true]);
  }
});

// Guards against an outage of a data centre whose nodes all restart while a version is refused.
test('a data centre that restarts as a whole serves the version before a refused one', async () => {
  await startWithRefusal(3);
  const restartedNodes = mesh.nodes.splice(0, 3);
  await Promise.all(restartedNodes.map((node) => node.stop()));
  for (const { port } of restartedNodes) {
    mesh.nodes.push(startTestNode(mesh, port, 'dc-a', [100, 101, 200], RESTART_MS));
  }
  await advance(20_000);
  assertAll(mesh.nodes, getVersion, 1);
  assertAll(mesh.nodes, ({ store }) => store.isReady(), true);
});

// Guards against a node with other software that serves an older version than its peers enforce.
test('a node that alone refuses the accepted version does not start below it', async () => {
  acceptBundle(mesh.platform, buildBundle(1));
  mesh.startNodes('dc-a', 100, 3);
  acceptBundle(mesh.platform, buildBundle(2));
  await advance(START_UP_MS);
  const refusingNode = startTestNode(
    mesh,
    103,
    'dc-a',
    [100],
    1000,
    () => {},
    undefined,
    refuseVersion2,
  );
  mesh.nodes.push(refusingNode);
  await advance(20_000);
  assert.deepEqual(
    [getVersion(refusingNode), getRefused(refusingNode), refusingNode.store.isReady()],
    [1, 2, false],
  );
});

// Guards against a starting node that never requests the enforced version of its peers, because the
// refused version was announced first.
test('a node that starts among nodes with a refusal installs the enforced version', async () => {
  await startWithRefusal(3);
  mesh.platform.setDown(true);
  const late = startTestNode(mesh, 103, 'dc-a', [100]);
  mesh.nodes.push(late);
  await advance(10_000);
  assert.deepEqual([getVersion(late), getRefused(late), late.store.isReady()], [1, 2, true]);
});
