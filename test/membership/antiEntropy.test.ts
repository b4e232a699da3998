import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createAntiEntropy } from '../../src/core/membership/antiEntropy.js';
import { computeBucketCount, locateBucket } from '../../src/core/membership/bucketHashes.js';
import { createGossipQueue } from '../../src/core/membership/gossip.js';
import { createReceiver } from '../../src/core/membership/receive.js';
import { createTable, NO_TAG } from '../../src/core/membership/table.js';
import type { MembersBucketsAnswer, MemberRecord } from '../../src/generated/types.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { settle } from '../../standins/memory/clock.js';
import { sumTraffic, toTraffic } from '../../standins/memory/largeMesh.js';
import { buildRecord, buildSettings, createRandom, toSender } from '../../standins/memory/nodes.js';
import { useTestMesh } from '../fakes/useTestMesh.js';
import { unwrap } from '../fakes/results.js';

const START_MS = 1_764_000_000_000;
const MEMBERS = 540;
const ADDRESS = { host: '127.0.0.1', port: 101 };

const mesh = useTestMesh();

function buildMember(port: number, part: Partial<MemberRecord> = {}): MemberRecord {
  const record = buildRecord(port, `dc-${port % 10}`, START_MS + port);
  const incarnation = `${START_MS + port}-0123456789`;
  return { ...record, incarnation, state: 'serving', ...part };
}

/** Starts only the comparison, without the tasks that would also repair a table. */
function startComparison(port: number, records: readonly MemberRecord[]) {
  const self = buildMember(port);
  const { peers, dispatcher, counters } = mesh.network.addNode(port);
  const table = createTable(self);
  for (const record of records) table.apply({ record, verdict: 'alive' });
  const context = {
    settings: buildSettings(port, 'dc-0'),
    logger: SILENT_LOGGER,
    peers,
    platform: mesh.platform,
    table,
    gossip: createGossipQueue(table, 'dc-0'),
    random: createRandom(port),
    signal: new AbortController().signal,
    getSelf: () => self,
    getTag: () => NO_TAG,
    isRelay: () => false,
  };
  const receiver = createReceiver(
    context,
    async () => true,
    () => {},
  );
  const antiEntropy = createAntiEntropy(context, receiver);
  dispatcher.addMethods({
    'members.buckets': antiEntropy.handleBuckets,
    'members.summary': antiEntropy.handleSummary,
    'members.push': antiEntropy.handlePush,
  });
  return { table, peers, antiEntropy, counters, self };
}

/** Starts two nodes with the same 540 members; the responder has `newerCount` newer records. */
function startPair(newerCount: number) {
  const ports = Array.from({ length: MEMBERS - 2 }, (_, index) => 1000 + index);
  const pair = [buildMember(100), buildMember(101)];
  const requester = startComparison(100, [...ports.map((port) => buildMember(port)), ...pair]);
  const newerRecords = ports.map((port, index) =>
    buildMember(port, { sequence: index < newerCount ? 1 : 0 }),
  );
  return { requester, responder: startComparison(101, [...newerRecords, ...pair]) };
}

/** Number of differing members, and the limit for the bytes sent and received. */
const limits: [number, number][] = [
  [0, 1000],
  [1, 2500],
  [4, 4500],
  [20, 16_000],
];

for (const [newer, limitBytes] of limits) {
  // Guards against a comparison as large as a summary of all rows (28 KB at 540 members).
  test(`comparing 540 members, ${newer} differing, takes under ${limitBytes} bytes`, async () => {
    const { requester, responder } = startPair(newer);
    assert.equal(requester.table.computeHash() === responder.table.computeHash(), newer === 0);
    assert.equal(unwrap(await requester.antiEntropy.runComparison(ADDRESS, false)), newer);
    assert.equal(requester.table.computeHash(), responder.table.computeHash());
    const bytes = sumTraffic(toTraffic(requester.counters.snapshot()));
    assert.ok(bytes < limitBytes, `${bytes} bytes`);
  });
}

// Guards against a comparison that repairs only the table of the requester.
test('records that the responder lacks are sent to it', async () => {
  const { requester, responder } = startPair(3);
  const requesterAddress = { host: '127.0.0.1', port: 100 };
  unwrap(await responder.antiEntropy.runComparison(requesterAddress, false));
  await settle();
  assert.equal(requester.table.computeHash(), responder.table.computeHash());
});

// Guards against records that are sent although their buckets do not differ.
test('a summary of some buckets is answered with records of these buckets only', async () => {
  const { requester, responder } = startPair(40);
  const count = computeBucketCount(MEMBERS);
  const from = toSender(requester.self);
  const hashes = requester.table.listBucketHashes(count);
  const request = (method: string, params: object) =>
    requester.peers.request<never>(ADDRESS, method, { from, ...params }, 500);
  const answer = unwrap(await request('members.buckets', { hashes })) as MembersBucketsAnswer;
  const [first] = answer.differing;
  const buckets = { count, differing: [first] };
  const { changes } = unwrap(await request('members.summary', { buckets, summary: [] })) as {
    changes: { record: MemberRecord }[];
  };
  const expected = responder.table
    .list()
    .filter(({ record }) => locateBucket(record.nodeId, count) === first);
  assert.equal(changes.length, expected.length);
});

// Guards against members that have left being requested and pushed at each comparison.
test('a member that has left and is unknown to the responder is not requested', async () => {
  const { requester } = startPair(0);
  const departed = buildMember(5000);
  requester.table.apply({ record: departed, verdict: 'alive' });
  requester.table.apply({ record: { ...departed, state: 'left', sequence: 1 }, verdict: 'alive' });
  requester.table.apply({ record: buildMember(1000, { sequence: 7 }), verdict: 'alive' });
  assert.equal(unwrap(await requester.antiEntropy.runComparison(ADDRESS, false)), 1);
});
