import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { ok } from 'neverthrow';
import type {
  MemberChange,
  MemberRecord,
  MembersSummaryAnswer,
  Ping,
} from '../../src/generated/types.js';
import type { NodeId } from '../../src/types/ids.js';
import { advance } from '../../standins/memory/clock.js';
import {
  buildRecord,
  startTestNode,
  toSender,
  type TestNode,
} from '../../standins/memory/nodes.js';
import { useTestMesh } from '../fakes/useTestMesh.js';
import { unwrap, unwrapError } from '../fakes/results.js';

const ADDRESS = { host: '127.0.0.1', port: 100 };

function buildServing(port: number, dataCentre: string): MemberRecord {
  return { ...buildRecord(port, dataCentre, 2000), state: 'serving', sequence: 5 };
}

/** The sender, a member that answers pings, one that does not, and one of another data centre. */
const SENDER = buildServing(101, 'dc-a');
const REACHED = buildServing(102, 'dc-a');
const SILENT = buildServing(103, 'dc-a');
const REMOTE = buildServing(300, 'dc-b');

const mesh = useTestMesh();
let node: TestNode;
let send: (method: string, params: object) => ReturnType<TestNode['peers']['request']>;

function buildChange(
  record: MemberRecord,
  verdict: MemberChange['verdict'] = 'alive',
  part: Partial<MemberRecord> = {},
): MemberChange {
  return { record: { ...record, ...part }, verdict };
}

function buildPing(from: MemberRecord, changes: readonly unknown[] = []) {
  return { from: toSender(from), version: 0, digest: '', tableHash: '', changes };
}

function addMember(record: MemberRecord) {
  const { peers, dispatcher } = mesh.network.addNode(record.peerPort);
  dispatcher.addMethods({ ping: () => ok(buildPing(record)) });
  return peers;
}

const push = (changes: readonly unknown[], from = SENDER) =>
  send('members.push', { from: toSender(from), changes });

const sendSummary = async (summary: readonly unknown[]) =>
  unwrap(
    await send('members.summary', { from: toSender(SENDER), summary }),
  ) as MembersSummaryAnswer;

const getMember = ({ nodeId }: MemberRecord) => node.members.getMember(nodeId as NodeId);

beforeEach(async () => {
  // Long intervals disable the node's own pings, so that only messages of the tests have an effect.
  node = startTestNode(mesh, ADDRESS.port, 'dc-a', [], 1000, (settings) => {
    Object.assign(settings.membership, { pingIntervalMs: 60_000_000, relaySyncMs: 60_000_000 });
  });
  mesh.nodes.push(node);
  const peers = addMember(SENDER);
  addMember(REACHED);
  send = (method, params) => peers.request(ADDRESS, method, params, 500);
  unwrap(await push([buildChange(SENDER), buildChange(REMOTE)]));
});

const buildRemoteChange = (sequence: number, verdict: MemberChange['verdict'] = 'alive') =>
  buildChange(REMOTE, verdict, { sequence });
const earlierProcess = buildChange(REACHED, 'alive', { incarnation: '1999-a' });

/** Name, member, its expected verdict and sequence, and the changes pushed one after the other. */
const cases: [string, MemberRecord, string | undefined, number, MemberChange[]][] = [
  ['a member that answers is admitted', REACHED, 'alive', 5, [buildChange(REACHED)]],
  ['a member that does not answer is not admitted', SILENT, undefined, 0, [buildChange(SILENT)]],
  ['a record of a replaced process is not admitted', REACHED, undefined, 0, [earlierProcess]],
  [
    'a tombstone of an unknown member is not applied',
    SILENT,
    undefined,
    0,
    [buildChange(SILENT, 'dead')],
  ],
  [
    'a member that answers is not declared dead by another',
    REACHED,
    'alive',
    5,
    [buildChange(REACHED), buildChange(REACHED, 'dead')],
  ],
  ['an older record does not replace a newer one', REMOTE, 'alive', 5, [buildRemoteChange(4)]],
  [
    'a verdict about an older sequence changes nothing',
    REMOTE,
    'alive',
    5,
    [buildRemoteChange(4, 'dead')],
  ],
  [
    'a record that arrives after a newer one changes nothing',
    REMOTE,
    'alive',
    7,
    [buildRemoteChange(7), buildRemoteChange(6)],
  ],
  [
    'a duplicated record changes nothing',
    REMOTE,
    'alive',
    5,
    [buildRemoteChange(5), buildRemoteChange(5)],
  ],
];

for (const [name, about, verdict, sequence, changes] of cases) {
  // Guards against records that are applied without a probe or out of order.
  test(name, async () => {
    for (const change of changes) {
      unwrap(await push([change]));
      await advance(600);
    }
    assert.equal(getMember(about)?.verdict, verdict);
    assert.equal(getMember(about)?.record.sequence ?? 0, sequence);
  });
}

// Guards against dead members that become alive again when a partition heals.
test('a dead member becomes alive with a newer record only if it answers a ping', async () => {
  unwrap(await push([buildChange(REACHED)]));
  await advance(600);
  mesh.network.removeNode(REACHED.peerPort);
  unwrap(await push([buildChange(REACHED, 'dead')]));
  await advance(600);
  assert.equal(getMember(REACHED)?.verdict, 'dead');
  const newer = buildChange(REACHED, 'alive', { sequence: 9 });
  unwrap(await push([newer]));
  await advance(600);
  assert.equal(getMember(REACHED)?.verdict, 'dead');
  addMember(REACHED);
  unwrap(await push([newer]));
  await advance(600);
  assert.equal(getMember(REACHED)?.verdict, 'alive');
});

// Guards against outdated records in messages of a replaced process.
test('a message from an earlier incarnation of a member is refused', async () => {
  const earlier = { ...SENDER, incarnation: '1500-z' };
  const error = unwrapError(await push([buildChange(REMOTE, 'alive', { sequence: 9 })], earlier));
  assert.equal(error.kind, 'stale');
  assert.equal(getMember(REMOTE)?.record.sequence, 5);
});

const MANY_FIELDS = Object.fromEntries(Array.from({ length: 32 }, (_, index) => [`f${index}`, 1]));

const malformed: [string, unknown[]][] = [
  ['an unknown verdict', [{ record: SENDER, verdict: 'gone' }]],
  ['a negative sequence', [buildChange(SENDER, 'alive', { sequence: -1 })]],
  ['a faulty incarnation', [buildChange(SENDER, 'alive', { incarnation: 'now' })]],
  ['too many fields', [{ ...buildChange(SENDER), ...MANY_FIELDS }]],
  ['too many changes', Array.from({ length: 1001 }, () => buildChange(SENDER))],
];

for (const [name, changes] of malformed) {
  // Guards against malformed records that reach the table.
  test(`a push with ${name} is refused as a whole`, async () => {
    const valid = buildChange(REMOTE, 'alive', { sequence: 9 });
    const error = unwrapError(await push([valid, ...changes]));
    assert.equal(error.kind, 'invalid');
    assert.equal(getMember(REMOTE)?.record.sequence, 5);
  });
}

// Guards against nodes that refuse records of a newer software version during an upgrade, so that
// its members seem dead, and against nodes that remove the new field when they forward a record.
test('a record with an unknown field is applied and forwarded with the field', async () => {
  const record = { ...REMOTE, sequence: 9, zone: 'b' };
  unwrap(await push([{ record, verdict: 'alive', hops: 1 }]));
  assert.equal(getMember(REMOTE)?.record.sequence, 9);
  const [sent] = (await sendSummary([])).changes.filter(
    (each) => each.record.nodeId === REMOTE.nodeId,
  );
  assert.deepEqual(sent?.record, record);
});

// Guards against a live node that stays suspect because it does not refute the verdict.
test('a node refutes a verdict about itself with a higher sequence', async () => {
  const self = node.members.getSelf();
  const ping = buildPing(SENDER, [buildChange(self, 'suspect')]);
  const ack = unwrap(await send('ping', ping)) as Ping;
  const own = ack.changes.find(({ record }) => record.nodeId === self.nodeId);
  assert.equal(own?.verdict, 'alive');
  assert.equal(own.record.sequence, self.sequence + 1);
});

// Guards against answers with records that the requester has, or tombstones it does not need.
test('a summary is answered with newer records and the ids that the node lacks', async () => {
  const rows = [
    [node.members.getSelf().nodeId, '1000-a', 0, 'alive'],
    [SENDER.nodeId, SENDER.incarnation, 4, 'alive'],
    [REMOTE.nodeId, REMOTE.incarnation, 6, 'alive'],
    [REACHED.nodeId, REACHED.incarnation, 5, 'alive'],
    [SILENT.nodeId, SILENT.incarnation, 5, 'dead'],
  ];
  const answer = await sendSummary(rows);
  assert.deepEqual(
    answer.changes.map(({ record }) => record.nodeId),
    [SENDER.nodeId],
  );
  assert.deepEqual(answer.wanted, [REMOTE.nodeId, REACHED.nodeId]);
});

// Guards against indirect pings that mistake another process on the same address for the target.
test('an indirect ping reports whether the named member answers', async () => {
  const pingIndirectly = async (targetId: string, port: number) => {
    const target = { host: '127.0.0.1', port };
    const pending = send('pingIndirect', { from: toSender(SENDER), target, targetId });
    await advance(400);
    return unwrap(await pending);
  };
  assert.deepEqual(await pingIndirectly(REACHED.nodeId, REACHED.peerPort), { reached: true });
  assert.deepEqual(await pingIndirectly(SILENT.nodeId, REACHED.peerPort), { reached: false });
  assert.deepEqual(await pingIndirectly(SILENT.nodeId, SILENT.peerPort), { reached: false });
});
