import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import fc from 'fast-check';
import { ok } from 'neverthrow';
import { diffBundles } from '../../src/core/distribution/delta.js';
import { toChange } from '../../src/core/membership/table.js';
import { validateMembersPush } from '../../src/generated/validators.js';
import { advance, settle } from '../../standins/memory/clock.js';
import { applyMutations, mutations, type Mutation } from '../fakes/mutations.js';
import {
  acceptBundle,
  buildBundle,
  buildRecord,
  getVersion,
  startTestNode,
  toSender,
  type TestNode,
} from '../../standins/memory/nodes.js';
import { useTestMesh } from '../fakes/useTestMesh.js';

const ADDRESS = { host: '127.0.0.1', port: 100 };
const RUNS = { seed: 20_261_204, numRuns: 400 };
const SENDER = { ...buildRecord(101, 'dc-a', 2000), state: 'serving' as const };
const OTHER = { ...buildRecord(300, 'dc-b', 2000), state: 'serving' as const };
const INSTANCE = { instanceId: 'i', service: 'padbook', slots: 4, state: 'ready', readySinceMs: 0 };
const from = toSender(SENDER);
const CHANGES = [
  { record: SENDER, verdict: 'alive' },
  { record: { ...OTHER, instances: [INSTANCE] }, verdict: 'suspect' },
];
const PING = { from, version: 0, digest: '', tableHash: '', changes: CHANGES };

/** One valid message of each method. */
const MESSAGES: readonly (readonly [string, object])[] = [
  ['ping', PING],
  ['pingIndirect', { from, target: { host: '127.0.0.1', port: 101 }, targetId: SENDER.nodeId }],
  ['members.buckets', { from, hashes: ['00000000', 'ffffffff'] }],
  [
    'members.summary',
    {
      from,
      buckets: { count: 2, differing: [0, 1] },
      summary: [[SENDER.nodeId, '2000-a', 0, 'alive']],
    },
  ],
  ['members.push', { from, changes: CHANGES }],
  ['members.lookup', { nodeId: SENDER.nodeId }],
  ['config.notify', { from, version: 1, digest: buildBundle(1).digest }],
  ['config.fetch', { from, haveVersion: 0, haveDigest: buildBundle(1).digest, wantDigest: '' }],
  ['config.floor', { from }],
];

/** Allowed error kinds of a refused message; `internal` would be a fault of this process. */
const REFUSALS = ['invalid', 'not-found', 'stale', 'busy', 'mismatch', 'unavailable', 'timeout'];

const mesh = useTestMesh();
let node: TestNode;

beforeEach(async () => {
  node = startTestNode(mesh, ADDRESS.port, 'dc-a', []);
  mesh.nodes.push(node);
  acceptBundle(mesh.platform, buildBundle(1));
  await advance(4000);
  assert.equal(getVersion(node), 1);
});

/** Checks that the node has its own record, its version, and only members valid by the schema. */
function checkNode(): void {
  const self = node.members.getSelf();
  assert.equal(self.nodeId, 'node-100');
  assert.equal(self.state, 'serving');
  assert.equal(getVersion(node), 1);
  const changes = node.members.listMembers().map(toChange);
  assert.ok(validateMembersPush({ from, changes }), JSON.stringify(validateMembersPush.errors));
}

// Guards against incomplete validation of messages: an exception in a method, an invalid member
// table, or a version that changes without an accepted bundle.
test('a damaged message is refused or has no harmful effect', async () => {
  const { peers } = mesh.network.addNode(SENDER.peerPort);
  const message = fc.constantFrom(...MESSAGES);
  await fc.assert(
    fc.asyncProperty(message, mutations, async ([method, params], list) => {
      const answer = peers.request(ADDRESS, method, applyMutations(params, list), 500);
      await settle();
      await advance(600, 300);
      const result = await answer;
      if (result.isErr()) assert.ok(REFUSALS.includes(result.error.kind), result.error.message);
      checkNode();
    }),
    RUNS,
  );
  const answer = peers.request(ADDRESS, 'config.floor', { from }, 500);
  await settle();
  assert.ok((await answer).isOk());
});

/** Lists the answers to a fetch by a node that has the previous version installed. */
function listAnswers(version: number): readonly object[] {
  const next = buildBundle(version);
  return [
    { kind: 'whole', bundle: { ...next } },
    diffBundles(buildBundle(version - 1), next),
    { kind: 'busy', retryAfterMs: 10 },
  ];
}

// Guards against a damaged bundle or delta that is enforced, wholly or partly.
test('a damaged answer to a fetch is never enforced with different content', async () => {
  const { peers, dispatcher } = mesh.network.addNode(SENDER.peerPort);
  let answer: object = {};
  dispatcher.addMethods({ ping: () => ok(PING) });
  mesh.network.decideDelivery = ({ method }) =>
    method === 'config.fetch' ? { answer } : 'deliver';
  mesh.platform.setDown(true);
  peers.notify(ADDRESS, 'members.push', { from, changes: [CHANGES[0]] });
  await advance(600, 300);
  const notifyVersion = async (version: number, kind: number, list: readonly Mutation[]) => {
    answer = applyMutations(listAnswers(version)[kind] ?? {}, list);
    const { digest } = buildBundle(version);
    peers.notify(ADDRESS, 'config.notify', { from, version, digest });
    await advance(2000, 500);
  };
  await fc.assert(
    fc.asyncProperty(fc.nat(2), mutations, async (kind, list) => {
      const before = getVersion(node);
      await notifyVersion(before + 1, kind, list);
      const { version, digest } = node.store.getTag();
      assert.ok(Number(version) === before || Number(version) === before + 1);
      assert.equal(digest, buildBundle(Number(version)).digest);
      assert.deepEqual(node.store.getBundle()?.base, buildBundle(Number(version)).base);
    }),
    { ...RUNS, numRuns: 200 },
  );
  const next = getVersion(node) + 1;
  await notifyVersion(next, 0, []);
  await advance(6000);
  assert.equal(getVersion(node), next);
});
