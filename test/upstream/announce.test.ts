import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { once } from 'node:events';
import { test, type TestContext } from 'node:test';
import fc from 'fast-check';
import { request } from 'undici';
import { startAnnouncePort } from '../../src/core/upstream/announcePort.js';
import { decodeFloorCookie, encodeFloorCookie } from '../../src/core/upstream/floorCookie.js';
import { createInstanceTable } from '../../src/core/upstream/instanceTable.js';
import type { AnnouncementAnswer, InstanceRecord } from '../../src/generated/types.js';
import { brandText, brandVersion, type Digest } from '../../src/types/ids.js';
import type { VersionTag } from '../../src/types/interfaces.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { validateMembersPush } from '../../src/generated/validators.js';
import { applyMutations, mutations } from '../fakes/mutations.js';
import { buildRecord, toSender } from '../../standins/memory/nodes.js';
import { startMockClock } from '../../standins/memory/clock.js';
import { buildAnnouncement, createInstanceSide } from './support.js';

const TAG: VersionTag = { version: brandVersion(7), digest: brandText<Digest>('a'.repeat(64)) };

async function startPort(t: TestContext, requestTimeoutMs?: number) {
  const published: InstanceRecord[][] = [];
  const raised: VersionTag[] = [];
  const table = createInstanceTable({
    members: {
      updateSelf: ({ instances = [] }) => {
        published.push(instances);
      },
    },
    ttlMs: 60_000,
    ownHost: '10.0.0.1',
    logger: SILENT_LOGGER,
  });
  const started = await startAnnouncePort({
    host: '127.0.0.1',
    port: 0,
    ownHost: '10.0.0.1',
    table,
    store: {
      getFloor: () => TAG,
      getTag: () => ({ version: brandVersion(5), digest: brandText<Digest>('b'.repeat(64)) }),
      raiseFloor: (tag) => {
        raised.push(tag);
      },
    },
    logger: SILENT_LOGGER,
    requestTimeoutMs,
  });
  assert.ok(started.isOk());
  const port = started.value;
  t.after(() => port.close());
  const post = async (body: string, path = '/v1/announce') => {
    const url = `http://127.0.0.1:${port.port}${path}`;
    const answer = await request(url, { method: 'POST', body });
    return { status: answer.statusCode, value: (await answer.body.json()) as AnnouncementAnswer };
  };
  return { port, post, published, raised };
}

// Guards against losing the floor in a daemon restart, and against redundant record updates.
test('only changes are published, and the cookie returns the floor to the node', async (t) => {
  const { post, published, raised } = await startPort(t);
  const first = await post(JSON.stringify(buildAnnouncement({ state: 'starting' })));
  assert.equal(first.status, 200);
  assert.deepEqual(decodeFloorCookie(first.value.cookie), TAG);
  const { cookie } = first.value;
  await post(JSON.stringify(buildAnnouncement({ cookie })));
  await post(JSON.stringify(buildAnnouncement({ cookie, busy: 3 })));
  await post(JSON.stringify(buildAnnouncement({ state: 'leaving' })));
  assert.deepEqual(raised, [TAG, TAG]);
  assert.deepEqual(
    published.map((records) => records.map(({ state }) => state)),
    [['cold'], ['ready'], ['draining']],
  );
});

// Guards against announcements that crash the node or name another host.
const MALFORMED: readonly [string, string, number][] = [
  ['not JSON', '{', 400],
  ['missing fields', '{}', 400],
  ['unknown field', JSON.stringify({ ...buildAnnouncement(), extra: 1 }), 400],
  ['zero slots', JSON.stringify(buildAnnouncement({ slots: 0 })), 400],
  ['another host', JSON.stringify(buildAnnouncement({ host: '192.0.2.9' })), 400],
  ['oversized', ' '.repeat(600 * 1024), 413],
];
for (const [name, body, status] of MALFORMED) {
  test(`an announcement is refused: ${name}`, async (t) => {
    const { post, published } = await startPort(t);
    assert.equal((await post(body)).status, status);
    assert.equal((await post(JSON.stringify(buildAnnouncement()))).status, 200);
    assert.equal(published.length, 1);
  });
}

// Guards against an announcement that crashes the node, or that produces a member record which the
// other nodes refuse.
test('a malformed announcement is refused or publishes a valid record', async (t) => {
  const { post, published } = await startPort(t);
  const valid = buildAnnouncement({ running: ['request-1'], cookie: encodeFloorCookie(TAG) });
  const record = buildRecord(100, 'dc-a');
  await fc.assert(
    fc.asyncProperty(mutations, async (list) => {
      const { status } = await post(JSON.stringify(applyMutations(valid, list)));
      assert.ok([200, 400, 409, 503].includes(status), String(status));
      const changes = [
        { record: { ...record, instances: published.at(-1) ?? [] }, verdict: 'alive' },
      ];
      assert.ok(validateMembersPush({ from: toSender(record), changes }));
    }),
    { seed: 20_261_204, numRuns: 500 },
  );
});

// Guards against slow senders that occupy connections.
test('a connection is closed when its announcement does not arrive in time', async (t) => {
  const { port } = await startPort(t, 100);
  const socket = connect(port.port, '127.0.0.1');
  socket.write('POST /v1/announce HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n{');
  socket.resume();
  await once(socket, 'close');
});

// Guards against a malformed cookie that raises the floor.
test('only cookies with a version and a digest are decoded', () => {
  assert.equal(decodeFloorCookie(encodeFloorCookie({ ...TAG, digest: '' })), undefined);
  for (const cookie of ['', 'x', Buffer.from('[1]').toString('base64url')]) {
    assert.equal(decodeFloorCookie(cookie), undefined);
  }
});

// Guards against calls to an upstream that stopped announcing itself, for instance after a crash.
test('an instance expires when its announcements stop, and the next one restores it', (t) => {
  const clock = startMockClock(1000);
  try {
    const { table, published } = createInstanceSide(t, { ttlMs: 3000 });
    table.record(buildAnnouncement());
    clock.tick(2999);
    table.record(buildAnnouncement());
    clock.tick(2999);
    assert.equal(table.list().length, 1);
    clock.tick(1);
    assert.equal(table.list().length, 0);
    assert.deepEqual(published.at(-1), []);
    table.record(buildAnnouncement());
    assert.equal(published.at(-1)?.[0]?.state, 'ready');
  } finally {
    clock.stop();
  }
});
