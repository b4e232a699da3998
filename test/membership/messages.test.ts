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

function build(port: number, dataCentre: string): MemberRecord {
  return { ...buildRecord(port, dataCentre, 2000), state: 'serving', sequence: 5 };
}

/** The sender of these tests, a member that answers pings, one that does not, one far away. */
const SENDER = build(101, 'dc-a');
const REACHED = build(102, 'dc-a');
const SILENT = build(103, 'dc-a');
const FAR = build(300, 'dc-b');

const mesh = useTestMesh();
let node: TestNode;
let send: (method: string, params: object) => ReturnType<TestNode['peers']['request']>;

function change(
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
  // Own pings are hours apart: only what a test sends has an effect.
  node = startTestNode(mesh, ADDRESS.port, 'dc-a', [], 1000, (settings) => {
    Object.assign(settings.membership, { pingIntervalMs: 60_000_000, relaySyncMs: 60_000_000 });
  });
  mesh.nodes.push(node);
  const peers = addMember(SENDER);
  addMember(REACHED);
  send = (method, params) => peers.request(ADDRESS, method, params, 500);
  unwrap(await push([change(SENDER), change(FAR)]));
});

const far = (sequence: number, verdict: MemberChange['verdict'] = 'alive') =>
  change(FAR, verdict, { sequence });
const replaced = change(REACHED, 'alive', { incarnation: '1999-a' });

/** Name, member asked for, its verdict and sequence, changes pushed one after the other. */
const cases: [string, MemberRecord, string | undefined, number, MemberChange[]][] = [
  ['a member that answers is admitted', REACHED, 'alive', 5, [change(REACHED)]],
  ['a member that does not answer is not admitted', SILENT, undefined, 0, [change(SILENT)]],
  ['a record of a replaced process is not admitted', REACHED, undefined, 0, [replaced]],
  ['an unknown tombstone is not taken', SILENT, undefined, 0, [change(SILENT, 'dead')]],
  [
    'a member that answers is not declared dead by another',
    REACHED,
    'alive',
    5,
    [change(REACHED), change(REACHED, 'dead')],
  ],
  ['an older record does not replace a newer one', FAR, 'alive', 5, [far(4)]],
  ['a verdict about an older sequence changes nothing', FAR, 'alive', 5, [far(4, 'dead')]],
  ['records that crossed in flight end with the newer one', FAR, 'alive', 7, [far(7), far(6)]],
  ['a duplicated record changes nothing', FAR, 'alive', 5, [far(5), far(5)]],
];

for (const [name, about, verdict, sequence, changes] of cases) {
  // Guards against records that are believed without proof or out of order.
  test(name, async () => {
    for (const one of changes) {
      unwrap(await push([one]));
      await advance(600);
    }
    assert.equal(getMember(about)?.verdict, verdict);
    assert.equal(getMember(about)?.record.sequence ?? 0, sequence);
  });
}

// Guards against a healed partition that brings dead members back.
test('a dead member comes back with a newer record only when it answers', async () => {
  unwrap(await push([change(REACHED)]));
  await advance(600);
  mesh.network.removeNode(REACHED.peerPort);
  unwrap(await push([change(REACHED, 'dead')]));
  await advance(600);
  assert.equal(getMember(REACHED)?.verdict, 'dead');
  const newer = change(REACHED, 'alive', { sequence: 9 });
  unwrap(await push([newer]));
  await advance(600);
  assert.equal(getMember(REACHED)?.verdict, 'dead');
  addMember(REACHED);
  unwrap(await push([newer]));
  await advance(600);
  assert.equal(getMember(REACHED)?.verdict, 'alive');
});

// Guards against a message of a replaced process that brings outdated records.
test('a message from an earlier incarnation of a member is refused', async () => {
  const earlier = { ...SENDER, incarnation: '1500-z' };
  const error = unwrapError(await push([change(FAR, 'alive', { sequence: 9 })], earlier));
  assert.equal(error.kind, 'stale');
  assert.equal(getMember(FAR)?.record.sequence, 5);
});

const MANY_FIELDS = Object.fromEntries(Array.from({ length: 32 }, (_, index) => [`f${index}`, 1]));

const malformed: [string, unknown[]][] = [
  ['an unknown verdict', [{ record: SENDER, verdict: 'gone' }]],
  ['a negative sequence', [change(SENDER, 'alive', { sequence: -1 })]],
  ['a faulty incarnation', [change(SENDER, 'alive', { incarnation: 'now' })]],
  ['too many fields', [{ ...change(SENDER), ...MANY_FIELDS }]],
  ['too many changes', Array.from({ length: 1001 }, () => change(SENDER))],
];

for (const [name, changes] of malformed) {
  // Guards against malformed records that reach the table.
  test(`a push with ${name} is refused as a whole`, async () => {
    const news = change(FAR, 'alive', { sequence: 9 });
    const error = unwrapError(await push([news, ...changes]));
    assert.equal(error.kind, 'invalid');
    assert.equal(getMember(FAR)?.record.sequence, 5);
  });
}

// Guards against nodes that take a member with newer software for dead during an upgrade, or that
// drop the new field for all that learn of the member through them.
test('a record with an unknown field is taken and passed on with it', async () => {
  const record = { ...FAR, sequence: 9, zone: 'b' };
  unwrap(await push([{ record, verdict: 'alive', hops: 1 }]));
  assert.equal(getMember(FAR)?.record.sequence, 9);
  const [sent] = (await sendSummary([])).changes.filter(
    (each) => each.record.nodeId === FAR.nodeId,
  );
  assert.deepEqual(sent?.record, record);
});

// Guards against a living node that stays suspect because it never answers the verdict.
test('a node refutes a verdict about itself with a higher sequence', async () => {
  const self = node.members.getSelf();
  const ping = buildPing(SENDER, [change(self, 'suspect')]);
  const ack = unwrap(await send('ping', ping)) as Ping;
  const own = ack.changes.find(({ record }) => record.nodeId === self.nodeId);
  assert.equal(own?.verdict, 'alive');
  assert.equal(own.record.sequence, self.sequence + 1);
});

// Guards against summaries that return what the asker has, or tombstones that it never needed.
test('a summary is answered with newer records and the ids that the node lacks', async () => {
  const rows = [
    [node.members.getSelf().nodeId, '1000-a', 0, 'alive'],
    [SENDER.nodeId, SENDER.incarnation, 4, 'alive'],
    [FAR.nodeId, FAR.incarnation, 6, 'alive'],
    [REACHED.nodeId, REACHED.incarnation, 5, 'alive'],
    [SILENT.nodeId, SILENT.incarnation, 5, 'dead'],
  ];
  const answer = await sendSummary(rows);
  assert.deepEqual(
    answer.changes.map(({ record }) => record.nodeId),
    [SENDER.nodeId],
  );
  assert.deepEqual(answer.wanted, [FAR.nodeId, REACHED.nodeId]);
});

// Guards against indirect pings that report another process on the same address as the target.
test('an indirect ping reports whether the named member answers', async () => {
  const ask = async (targetId: string, port: number) => {
    const target = { host: '127.0.0.1', port };
    const asking = send('pingIndirect', { from: toSender(SENDER), target, targetId });
    await advance(400);
    return unwrap(await asking);
  };
  assert.deepEqual(await ask(REACHED.nodeId, REACHED.peerPort), { reached: true });
  assert.deepEqual(await ask(SILENT.nodeId, REACHED.peerPort), { reached: false });
  assert.deepEqual(await ask(SILENT.nodeId, SILENT.peerPort), { reached: false });
});
