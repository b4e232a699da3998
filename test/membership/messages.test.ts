import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { ok } from 'neverthrow';
import type { MemberChange, MemberRecord, Ping } from '../../src/generated/types.js';
import type { NodeId } from '../../src/types/ids.js';
import { advance, startClock, stopClock } from '../fakes/clock.js';
import { buildRecord, createTestMesh, startTestNode, type TestNode } from '../fakes/nodes.js';
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

let mesh = createTestMesh();
let node: TestNode;
let send: (method: string, params: object) => ReturnType<TestNode['peers']['request']>;

function toSender({ nodeId, incarnation, dataCentre }: MemberRecord) {
  return { nodeId, incarnation, dataCentre };
}

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

const getMember = ({ nodeId }: MemberRecord) => node.members.getMember(nodeId as NodeId);

beforeEach(async () => {
  startClock();
  mesh = createTestMesh();
  // Own pings are hours apart: only what a test sends has an effect.
  node = startTestNode(mesh, ADDRESS.port, 'dc-a', [], 1000, (settings) => {
    Object.assign(settings.membership, { pingIntervalMs: 60_000_000, relaySyncMs: 60_000_000 });
  });
  const peers = addMember(SENDER);
  addMember(REACHED);
  send = (method, params) => peers.request(ADDRESS, method, params, 500);
  unwrap(await push([change(SENDER), change(FAR)]));
});

afterEach(async () => {
  await node.stop();
  stopClock();
});

const cases: {
  name: string;
  changes: MemberChange[];
  about: MemberRecord;
  verdict: string | undefined;
  sequence?: number;
}[] = [
  {
    name: 'an unknown member of the own data centre is admitted when it answers',
    changes: [change(REACHED)],
    about: REACHED,
    verdict: 'alive',
  },
  {
    name: 'an unknown member of the own data centre that does not answer is not admitted',
    changes: [change(SILENT)],
    about: SILENT,
    verdict: undefined,
  },
  {
    name: 'a record of another process than the one that answers is not admitted',
    changes: [change(REACHED, 'alive', { incarnation: '1999-a' })],
    about: REACHED,
    verdict: undefined,
  },
  {
    name: 'a tombstone of an unknown member is not taken',
    changes: [change(SILENT, 'dead')],
    about: SILENT,
    verdict: undefined,
  },
  {
    name: 'a member that answers is not declared dead by another',
    changes: [change(REACHED), change(SENDER), change(REACHED, 'dead')],
    about: REACHED,
    verdict: 'alive',
  },
  {
    name: 'an older record does not replace a newer one',
    changes: [change(FAR, 'alive', { sequence: 4 })],
    about: FAR,
    verdict: 'alive',
    sequence: 5,
  },
  {
    name: 'a verdict about an older sequence does not touch a newer record',
    changes: [change(FAR, 'dead', { sequence: 4 })],
    about: FAR,
    verdict: 'alive',
    sequence: 5,
  },
  {
    name: 'records that crossed in flight end with the newer one',
    changes: [change(FAR, 'alive', { sequence: 7 }), change(FAR, 'alive', { sequence: 6 })],
    about: FAR,
    verdict: 'alive',
    sequence: 7,
  },
  {
    name: 'a duplicated record changes nothing',
    changes: [change(FAR), change(FAR)],
    about: FAR,
    verdict: 'alive',
    sequence: 5,
  },
];

for (const { name, changes, about, verdict, sequence } of cases) {
  // Guards against records that are believed without proof or out of order.
  test(name, async () => {
    for (const one of changes) {
      unwrap(await push([one]));
      await advance(600);
    }
    assert.equal(getMember(about)?.verdict, verdict);
    if (sequence !== undefined) assert.equal(getMember(about)?.record.sequence, sequence);
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

const malformed: { name: string; changes: unknown[] }[] = [
  { name: 'an unknown verdict', changes: [{ record: SENDER, verdict: 'gone' }] },
  { name: 'a negative sequence', changes: [change(SENDER, 'alive', { sequence: -1 })] },
  { name: 'a faulty incarnation', changes: [change(SENDER, 'alive', { incarnation: 'now' })] },
  { name: 'an unknown field', changes: [{ ...change(SENDER), note: 'x' }] },
  { name: 'too many changes', changes: Array.from({ length: 1001 }, () => change(SENDER)) },
];

for (const { name, changes } of malformed) {
  // Guards against malformed records that reach the table.
  test(`a push with ${name} is refused as a whole`, async () => {
    const news = change(FAR, 'alive', { sequence: 9 });
    const error = unwrapError(await push([news, ...changes]));
    assert.equal(error.kind, 'invalid');
    assert.equal(getMember(FAR)?.record.sequence, 5);
  });
}

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
  const answer = unwrap(
    await send('members.summary', { from: toSender(SENDER), summary: rows }),
  ) as { changes: MemberChange[]; wanted: string[] };
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
