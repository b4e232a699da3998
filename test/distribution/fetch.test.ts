import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { diffBundles } from '../../src/core/distribution/delta.js';
import type { Bundle, ConfigFetchAnswer } from '../../src/generated/types.js';
import { advance } from '../../standins/memory/clock.js';
import type { Fate, Passage } from '../../standins/memory/memoryNetwork.js';
import {
  acceptBundle,
  buildBundle,
  getVersion,
  toSender,
  type TestNode,
} from '../../standins/memory/nodes.js';
import { useTestMesh } from '../fakes/useTestMesh.js';
import { assertAll } from '../fakes/results.js';

const mesh = useTestMesh();
let first: TestNode;
let second: TestNode;

/** Three nodes with version 1 and a platform that is down from then on. */
beforeEach(async () => {
  acceptBundle(mesh.platform, buildBundle(1));
  mesh.startNodes('dc-a', 100, 3);
  [first, second] = mesh.nodes as [TestNode, TestNode];
  await advance(8000);
  assertAll(mesh.nodes, getVersion, 1);
  mesh.platform.setDown(true);
  await advance(1000);
  mesh.network.sent.length = 0;
});

const isFetch = ({ method }: Passage) => method === 'config.fetch';

const getDigest = ({ store }: TestNode): string => store.getTag().digest;
const installFirst = (bundle: Bundle) => first.store.install(bundle, 'test');

/** Answers the first `times` fetches with `fate`. */
function failFetches(fate: Fate, times = 1): void {
  let left = times;
  mesh.network.decide = (passage) => {
    if (!isFetch(passage) || left === 0) return 'deliver';
    left -= 1;
    return fate;
  };
}

const whole = (bundle: Bundle): Fate => {
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
const fates: [string, Fate][] = [
  ['lost', 'lose'],
  ['lost on the way back', 'lose-answer'],
  ['late beyond the time-out', { delayMs: 900 }],
  ['duplicated', 'duplicate'],
  ['busy', { answer: { kind: 'busy', retryAfterMs: 100 } }],
  ['without a newer version', { answer: { kind: 'same' } }],
  ['with an older version', whole(buildBundle(1))],
  ['with content of another digest', whole(forged)],
  ['with content that has no digest', whole(unhashable)],
  ['with another digest for the version', whole(buildBundle(2, 'y'))],
  ['with a difference from an unknown base', { answer: unknownBase }],
  ['with a difference that cannot be applied', { answer: faultyPatch }],
  ['malformed', { answer: { kind: 'whole' } }],
  ['no object', { answer: null }],
];

for (const [name, fate] of fates) {
  // Guards against one faulty answer that holds a version back or gets installed.
  test(`a version arrives within 3 s when the first fetch answer is ${name}`, async () => {
    failFetches(fate);
    installFirst(buildBundle(2));
    await advance(3000);
    assertAll(mesh.nodes, getVersion, 2);
    assertAll(mesh.nodes, getDigest, buildBundle(2).digest);
  });
}

/** Fetches from the first node and returns the kind of the answer. */
async function fetchKind(
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

// Guards against a node that asks for the same faulty difference for ever.
test('a node asks for the whole bundle after a difference that cannot be applied', async () => {
  mesh.network.decide = (passage) =>
    isFetch(passage) && passage.params.haveDigest !== '' ? { answer: faultyPatch } : 'deliver';
  installFirst(buildBundle(2));
  await advance(3000);
  assertAll(mesh.nodes, getVersion, 2);
});

// Guards against whole bundles sent where a difference, or nothing, is enough.
test('the answer to a fetch depends on what the asker holds', async () => {
  installFirst(buildBundle(2));
  const fetch = (version: number, digest: string) => fetchKind(version, digest, (done) => done());
  assert.equal(await fetch(1, buildBundle(1).digest), 'patch');
  assert.equal(await fetch(1, buildBundle(1, 'other').digest), 'whole');
  assert.equal(await fetch(0, ''), 'whole');
  assert.equal(await fetch(2, buildBundle(2).digest), 'same');
  assert.equal(await fetch(3, buildBundle(3).digest), 'same');
});

// Guards against memory for many large answers at once when a data centre restarts.
test('a ninth fetch is told to come back while eight answers are on their way', async () => {
  const finish: (() => void)[] = [];
  const fetch = () => fetchKind(0, '', (done) => finish.push(done));
  const kinds = [];
  for (let count = 0; count < 9; count += 1) kinds.push(await fetch());
  assert.deepEqual(kinds, [...Array<string>(8).fill('whole'), 'busy']);
  finish[0]?.();
  assert.equal(await fetch(), 'whole');
});

// Guards against lost notifications that leave nodes behind.
test('pings repair lost notifications within 4 s', async () => {
  mesh.network.decide = ({ method }) => (method === 'config.notify' ? 'lose' : 'deliver');
  installFirst(buildBundle(2));
  await advance(4000);
  assertAll(mesh.nodes, getVersion, 2);
});

// Guards against duplicated or crossed notifications that cause further fetches or a step back.
test('notifications that are duplicated or overtaken cause no step back', async () => {
  const seen: number[] = [];
  second.store.onInstall((tag) => seen.push(tag.version));
  mesh.network.decide = (passage) => {
    if (passage.method !== 'config.notify') return 'deliver';
    return passage.params.version === 2 ? { delayMs: 700 } : 'duplicate';
  };
  installFirst(buildBundle(2));
  installFirst(buildBundle(3));
  await advance(3000);
  assertAll(mesh.nodes, getVersion, 3);
  assert.deepEqual(seen, [3]);
});

// Guards against a serving node that stops because a version is only announced.
test('an announced version that nobody has keeps nodes serving and is dropped', async () => {
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

// Guards against fetching a version for ever that does not compile here.
test('a refused version is fetched once and the old state stays', async () => {
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

// Guards against a version that is held back when no peer hands it out.
test('a node reads the platform itself when no peer hands out a version', async () => {
  mesh.network.decide = (passage) => (isFetch(passage) ? 'lose' : 'deliver');
  acceptBundle(mesh.platform, buildBundle(2));
  mesh.platform.setDown(false);
  installFirst(buildBundle(2));
  await advance(5000);
  assertAll(mesh.nodes, getVersion, 2);
});
