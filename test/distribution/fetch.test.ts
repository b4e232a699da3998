import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { diffBundles } from '../../src/core/distribution/delta.js';
import type { Bundle, ConfigFetchAnswer } from '../../src/generated/types.js';
import { advance } from '../../standins/memory/clock.js';
import type { Delivery, PeerMessage } from '../../standins/memory/memoryNetwork.js';
import {
  acceptBundle,
  buildBundle,
  getVersion,
  toSender,
  type TestNode,
} from '../../standins/memory/nodes.js';
import { useTestMesh } from '../fakes/useTestMesh.js';
import { assertAll } from '../fakes/results.js';

/** Time in which all nodes have joined and installed the accepted version. */
const START_UP_MS = 8000;

/** Limit of answers with content that a node sends at the same time. */
const MAX_RUNNING_FETCHES = 8;

const mesh = useTestMesh();
let first: TestNode;
let second: TestNode;

/** Starts three nodes with version 1 and then makes the platform unavailable. */
beforeEach(async () => {
  acceptBundle(mesh.platform, buildBundle(1));
  mesh.startNodes('dc-a', 100, 3);
  [first, second] = mesh.nodes as [TestNode, TestNode];
  await advance(START_UP_MS);
  assertAll(mesh.nodes, getVersion, 1);
  mesh.platform.setDown(true);
  await advance(1000);
  mesh.network.sent.length = 0;
});

const isFetch = ({ method }: PeerMessage) => method === 'config.fetch';

const getDigest = ({ store }: TestNode): string => store.getTag().digest;
const installFirst = (bundle: Bundle) => first.store.install(bundle, 'test');

/** Applies `fate` to the first `times` fetches. */
function failFetches(fate: Delivery, times = 1): void {
  let remaining = times;
  mesh.network.decideDelivery = (passage) => {
    if (!isFetch(passage) || remaining === 0) return 'deliver';
    remaining -= 1;
    return fate;
  };
}

const buildWholeFate = (bundle: Bundle): Delivery => {
  const answer: ConfigFetchAnswer = { kind: 'whole', bundle: { ...bundle } };
  return { answer };
};
const forged = { ...buildBundle(2), base: { services: {}, routes: {} } };
const unhashable = { ...buildBundle(2), base: { services: { pad: '\ud800' }, routes: {} } };
const unknownBase = diffBundles(buildBundle(1, 'z'), buildBundle(2));
const faultyPatch: ConfigFetchAnswer = {
  kind: 'patch',
  fromDigest: buildBundle(1).digest,
  envelope: {},
  patch: [{ op: 'remove', path: '/base/none' }],
};
const faultyAnswers: [string, Delivery][] = [
  ['lost', 'lose'],
  ['lost after the request was handled', 'lose-answer'],
  ['later than the time-out', { delayMs: 900 }],
  ['duplicated', 'duplicate'],
  ['busy', { answer: { kind: 'busy', retryAfterMs: 100 } }],
  ['without a newer version', { answer: { kind: 'same' } }],
  ['with an older version', buildWholeFate(buildBundle(1))],
  ['with content of another digest', buildWholeFate(forged)],
  ['with content that has no digest', buildWholeFate(unhashable)],
  ['with another digest for the version', buildWholeFate(buildBundle(2, 'y'))],
  ['a delta from an unknown base bundle', { answer: unknownBase }],
  ['a delta that cannot be applied', { answer: faultyPatch }],
  ['malformed', { answer: { kind: 'whole' } }],
  ['no object', { answer: null }],
];

for (const [name, fate] of faultyAnswers) {
  // Guards against a faulty answer that delays a version or is installed.
  test(`a version is installed within 3 s when the first fetch answer is ${name}`, async () => {
    failFetches(fate);
    installFirst(buildBundle(2));
    await advance(3000);
    assertAll(mesh.nodes, getVersion, 2);
    assertAll(mesh.nodes, getDigest, buildBundle(2).digest);
  });
}

/** Sends a fetch to the first node and returns the kind of the answer. */
async function requestFetchKind(
  haveVersion: number,
  haveDigest: string,
  onAnswered: (done: () => void) => void,
) {
  const from = toSender(second.members.getSelf());
  const params = { from, haveVersion, haveDigest };
  const result = await first.dispatcher.dispatch('config.fetch', params, {
    peer: 'test',
    onAnswered,
  });
  return result.isOk() && (result.value as ConfigFetchAnswer).kind;
}

// Guards against a node that requests the same faulty delta indefinitely.
test('a node requests the whole bundle after a delta that cannot be applied', async () => {
  mesh.network.decideDelivery = (passage) =>
    isFetch(passage) && passage.params.haveDigest !== '' ? { answer: faultyPatch } : 'deliver';
  installFirst(buildBundle(2));
  await advance(3000);
  assertAll(mesh.nodes, getVersion, 2);
});

// Guards against whole bundles that are sent where a delta, or no content, is sufficient.
test('the answer to a fetch depends on the installed version of the requester', async () => {
  installFirst(buildBundle(2));
  const fetch = (version: number, digest: string) =>
    requestFetchKind(version, digest, (done) => done());
  assert.equal(await fetch(1, buildBundle(1).digest), 'patch');
  assert.equal(await fetch(1, buildBundle(1, 'other').digest), 'whole');
  assert.equal(await fetch(0, ''), 'whole');
  assert.equal(await fetch(2, buildBundle(2).digest), 'same');
  assert.equal(await fetch(3, buildBundle(3).digest), 'same');
});

// Guards against memory use by many concurrent large answers when a data centre restarts.
test('a ninth fetch gets a busy answer while eight answers are being sent', async () => {
  const finishAnswers: (() => void)[] = [];
  const fetch = () => requestFetchKind(0, '', (done) => finishAnswers.push(done));
  const kinds = [];
  for (let count = 0; count <= MAX_RUNNING_FETCHES; count += 1) kinds.push(await fetch());
  assert.deepEqual(kinds, [...Array<string>(MAX_RUNNING_FETCHES).fill('whole'), 'busy']);
  finishAnswers[0]?.();
  assert.equal(await fetch(), 'whole');
});

// Guards against nodes that stay on an old version after lost notifications.
test('pings compensate for lost notifications within 4 s', async () => {
  mesh.network.decideDelivery = ({ method }) => (method === 'config.notify' ? 'lose' : 'deliver');
  installFirst(buildBundle(2));
  await advance(4000);
  assertAll(mesh.nodes, getVersion, 2);
});

// Guards against duplicate or reordered notifications that cause more fetches or an older version.
test('duplicate and reordered notifications never install an older version', async () => {
  const seen: number[] = [];
  second.store.onInstall((tag) => seen.push(tag.version));
  mesh.network.decideDelivery = (passage) => {
    if (passage.method !== 'config.notify') return 'deliver';
    return passage.params.version === 2 ? { delayMs: 700 } : 'duplicate';
  };
  installFirst(buildBundle(2));
  installFirst(buildBundle(3));
  await advance(3000);
  assertAll(mesh.nodes, getVersion, 3);
  assert.deepEqual(seen, [3]);
});

// Guards against a ready node that stops serving because of an announced version.
test('nodes stay ready and ignore an announced version that no node has', async () => {
  mesh.platform.setDown(false);
  const from = toSender(first.members.getSelf());
  const params = { from, version: 99, digest: 'a'.repeat(64) };
  first.peers.notify({ host: '127.0.0.1', port: second.port }, 'config.notify', params);
  await advance(5000);
  assert.equal(second.store.isReady(), true);
  mesh.network.sent.length = 0;
  await advance(5000);
  assert.equal(mesh.network.sent.filter(isFetch).length, 0);
});

// Guards against repeated fetches of a version that does not compile.
test('a refused version is fetched once and the installed version is kept', async () => {
  second.store.install(buildBundle(2, 'bad'), 'test');
  installFirst(buildBundle(2));
  const bad = buildBundle(3, 'bad');
  acceptBundle(mesh.platform, bad);
  mesh.platform.setDown(false);
  await advance(40_000);
  assertAll(mesh.nodes, getVersion, 2);
  assert.equal(
    mesh.nodes.some(({ store }) => store.getLastRefusal()?.version === 3),
    true,
  );
  assertAll(mesh.nodes, ({ store }) => store.isReady(), true);
  acceptBundle(mesh.platform, buildBundle(4));
  await advance(3000);
  assertAll(mesh.nodes, getVersion, 4);
});

// Guards against a version that is never installed because no peer answers the fetches.
test('a node reads the platform when no peer answers its fetches', async () => {
  mesh.network.decideDelivery = (passage) => (isFetch(passage) ? 'lose' : 'deliver');
  acceptBundle(mesh.platform, buildBundle(2));
  mesh.platform.setDown(false);
  installFirst(buildBundle(2));
  await advance(5000);
  assertAll(mesh.nodes, getVersion, 2);
});
