import assert from 'node:assert/strict';
import { test } from 'node:test';
import { request } from 'undici';
import { startPlatform, type Platform } from '../../standins/platform/server.js';
import { waitUntil } from '../../standins/wait.js';

interface CallResponse {
  readonly status: number;
  readonly etag: string | undefined;
  readonly body: unknown;
}

async function sendRequest(
  platform: Platform,
  method: 'GET' | 'PUT' | 'DELETE',
  path: string,
  headers: Record<string, string> = {},
  body?: string,
): Promise<CallResponse> {
  const response = await request(platform.url + path, { method, headers, body });
  const text = await response.body.text();
  const etag = response.headers.etag?.toString();
  return { status: response.statusCode, etag, body: text === '' ? undefined : JSON.parse(text) };
}

async function withPlatform(run: (platform: Platform) => Promise<void>): Promise<void> {
  const platform = await startPlatform({ logBounds: { maxChanges: 4, maxBytes: 4_000_000 } });
  try {
    await run(platform);
  } finally {
    await platform.close();
  }
}

const OBJECT = '/v1/objects/config/head';
const WATCH = '/v1/watch/config/head';
/** JSON text of exactly 1 MiB, including its quotes. */
const LARGEST_VALUE = JSON.stringify('x'.repeat(1_048_574));

// Guards against a stand-in that accepts a write whose condition is not met, or rejects one whose
// condition is met: the tests of configuration versions depend on conditional writes.
const writes: readonly {
  name: string;
  exists: boolean;
  method?: 'PUT' | 'DELETE';
  headers: Record<string, string>;
  body?: string;
  status: number;
  version?: number;
}[] = [
  { name: 'create', exists: false, headers: { 'if-none-match': '*' }, status: 201, version: 1 },
  { name: 'create again', exists: true, headers: { 'if-none-match': '*' }, status: 412 },
  { name: 'update', exists: true, headers: { 'if-match': '"1"' }, status: 200, version: 2 },
  { name: 'update of another version', exists: true, headers: { 'if-match': '"7"' }, status: 412 },
  { name: 'update without object', exists: false, headers: { 'if-match': '"1"' }, status: 412 },
  { name: 'no condition', exists: true, headers: {}, status: 428 },
  { name: 'unquoted version', exists: true, headers: { 'if-match': '1' }, status: 400 },
  {
    name: 'two conditions',
    exists: true,
    headers: { 'if-match': '"1"', 'if-none-match': '*' },
    status: 400,
  },
  { name: 'not JSON', exists: true, headers: { 'if-match': '"1"' }, body: '{', status: 400 },
  {
    name: 'largest value',
    exists: false,
    headers: { 'if-none-match': '*' },
    body: LARGEST_VALUE,
    status: 201,
    version: 1,
  },
  {
    name: 'one byte over the limit',
    exists: false,
    headers: { 'if-none-match': '*' },
    body: `${LARGEST_VALUE} `,
    status: 413,
  },
  { name: 'remove', exists: true, method: 'DELETE', headers: { 'if-match': '"1"' }, status: 204 },
  {
    name: 'remove of another version',
    exists: true,
    method: 'DELETE',
    headers: { 'if-match': '"2"' },
    status: 412,
  },
  {
    name: 'remove without object',
    exists: false,
    method: 'DELETE',
    headers: { 'if-match': '"1"' },
    status: 404,
  },
  { name: 'remove unconditionally', exists: true, method: 'DELETE', headers: {}, status: 428 },
];
for (const entry of writes) {
  test(`platform write: ${entry.name}`, () =>
    withPlatform(async (platform) => {
      if (entry.exists) {
        await sendRequest(platform, 'PUT', OBJECT, { 'if-none-match': '*' }, '{"a":1}');
      }
      const { method = 'PUT', headers } = entry;
      const body = method === 'PUT' ? (entry.body ?? '{"a":2}') : undefined;
      const response = await sendRequest(platform, method, OBJECT, headers, body);
      assert.equal(response.status, entry.status);
      if (entry.version !== undefined) assert.equal(response.etag, `"${entry.version}"`);
      const after = await sendRequest(platform, 'GET', OBJECT);
      const expectedBody = entry.exists ? { a: 1 } : { error: 'no such object' };
      if (entry.status >= 300) assert.deepEqual(after.body, expectedBody);
      else assert.equal(after.status, entry.status === 204 ? 404 : 200);
    }));
}

// Guards against a watch that skips a change, returns early or continues from an unknown version.
test('platform watch: logged changes, waiting, expiry of the wait, unknown versions', () =>
  withPlatform(async (platform) => {
    platform.store.write('config', 'head', 1, { kind: 'absent' });
    platform.store.write('config', 'other', 1, { kind: 'absent' });
    const immediate = await sendRequest(platform, 'GET', `${WATCH}?from=0&waitMs=60000`);
    const first = { name: 'head', version: 1, value: 1, deleted: false };
    assert.deepEqual(immediate.body, { version: 2, changes: [first] });

    const empty = await sendRequest(platform, 'GET', `${WATCH}?from=2&waitMs=1`);
    assert.deepEqual(empty.body, { version: 2, changes: [] });

    const waiting = sendRequest(platform, 'GET', `${WATCH}?from=2&waitMs=60000`);
    await waitUntil(() => platform.getStats().waitingWatches === 1);
    platform.store.write('config', 'other', 2, { kind: 'version', version: 2 });
    assert.equal(platform.getStats().waitingWatches, 1);
    platform.store.remove('config', 'head', 1);
    const removed = { name: 'head', version: 4, value: null, deleted: true };
    assert.deepEqual((await waiting).body, { version: 4, changes: [removed] });

    platform.store.write('config', 'head', 2, { kind: 'absent' });
    assert.equal((await sendRequest(platform, 'GET', `${WATCH}?from=0&waitMs=1`)).status, 410);
    assert.equal((await sendRequest(platform, 'GET', `${WATCH}?from=99&waitMs=1`)).status, 410);
    assert.equal((await sendRequest(platform, 'GET', WATCH)).status, 400);
    const { byKind } = platform.getStats();
    assert.equal(byKind.watch, 6);
  }));

// Guards against a fault whose effect differs from its documentation.
test('platform faults: loseWriteAnswers drops the response of a write once for a count of 1', () =>
  withPlatform(async (platform) => {
    platform.setFaults({ loseWriteAnswers: 1 });
    await assert.rejects(sendRequest(platform, 'PUT', OBJECT, { 'if-none-match': '*' }, '1'));
    assert.equal((await sendRequest(platform, 'GET', OBJECT)).etag, '"1"');
    const second = await sendRequest(platform, 'PUT', OBJECT, { 'if-match': '"1"' }, '2');
    assert.equal(second.status, 200);
    assert.equal(platform.getStats().lostAnswers, 1);
  }));

test('platform faults: down rejects requests without effect and closes waiting watches', () =>
  withPlatform(async (platform) => {
    const waiting = sendRequest(platform, 'GET', `${WATCH}?from=0&waitMs=60000`);
    await waitUntil(() => platform.getStats().waitingWatches === 1);
    platform.setFaults({ down: true });
    await assert.rejects(waiting);
    await assert.rejects(sendRequest(platform, 'PUT', OBJECT, { 'if-none-match': '*' }, '1'));
    platform.setFaults({ down: false });
    assert.equal((await sendRequest(platform, 'GET', OBJECT)).status, 404);
    assert.equal(platform.getStats().refused, 1);
  }));

test('platform faults: closed watches, stale watches, failures, delay, control resources', (t) =>
  withPlatform(async (platform) => {
    platform.store.write('config', 'head', 1, { kind: 'absent' });
    platform.store.write('config', 'head', 2, { kind: 'version', version: 1 });
    platform.setFaults({ cutWatches: true });
    await assert.rejects(sendRequest(platform, 'GET', `${WATCH}?from=2&waitMs=60000`));

    platform.setFaults({ cutWatches: false, staleWatch: true });
    const stale = await sendRequest(platform, 'GET', `${WATCH}?from=2&waitMs=60000`);
    const staleChange = { name: 'head', version: 1, value: 1, deleted: false };
    assert.deepEqual(stale.body, { version: 2, changes: [staleChange] });

    platform.setFaults({ staleWatch: false, failPercent: 100 });
    const failed = await sendRequest(platform, 'PUT', OBJECT, { 'if-match': '"2"' }, '3');
    assert.equal(failed.status, 503);
    assert.equal(platform.store.getObject('config', 'head')?.version, 2);

    platform.setFaults({ failPercent: 0, delayMs: 1000 });
    t.mock.timers.enable({ apis: ['setTimeout'] });
    const delayed = sendRequest(platform, 'PUT', OBJECT, { 'if-match': '"2"' }, '3');
    await waitUntil(() => platform.getStats().byKind.update === 2);
    assert.equal(platform.store.version, 2);
    t.mock.timers.tick(1000);
    assert.equal((await delayed).etag, '"3"');
    t.mock.timers.reset();

    const control = await sendRequest(platform, 'PUT', '/control/faults', {}, '{"delayMs":0}');
    assert.equal(control.status, 200);
    assert.equal(platform.getFaults().delayMs, 0);
    for (const invalidChange of ['{"delay":1}', '{"down":1}', '{"failPercent":101}', '[]', '{']) {
      const refused = await sendRequest(platform, 'PUT', '/control/faults', {}, invalidChange);
      assert.equal(refused.status, 400, invalidChange);
    }
    const stats = await sendRequest(platform, 'GET', '/control/stats');
    assert.deepEqual(stats.body, platform.getStats());
  }));
