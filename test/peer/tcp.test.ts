import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { err, ok } from 'neverthrow';
import { buildError } from '../../src/errors.js';
import { createPeerClient } from '../../src/core/peer/client.js';
import { createControlCounters } from '../../src/core/peer/counters.js';
import type { PeerMethods } from '../../src/core/peer/dispatcher.js';
import { MAX_BAD_MESSAGES, MAX_LINE_BYTES } from '../../src/core/peer/limits.js';
import { createSendQueue } from '../../src/core/peer/sendQueue.js';
import { startPeerServer, type PeerServer } from '../../src/core/peer/server.js';
import type { PeerClient } from '../../src/types/interfaces.js';
import { unwrap, unwrapError } from '../fakes/results.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';

const HOST = '127.0.0.1';
const FROM = { nodeId: 'node-1', incarnation: '1-a', dataCentre: 'dc-a' };
const STATUS = { from: FROM, what: 'nodes' };
const FLOOR = { version: 3, digest: '', ready: true, members: [] };
const logger = SILENT_LOGGER;

let server: PeerServer;
let client: PeerClient;
let counters = createControlCounters();
let release = () => {};
const closing: (() => void)[] = [];

const methods: PeerMethods = {
  'config.floor': () => ok(FLOOR),
  'config.fetch': () => err(buildError('not-found', 'config.fetch', 'self', 'nothing installed')),
  'status.get': async () => {
    await new Promise<void>((resolve) => {
      release = resolve;
    });
    return ok({});
  },
  'status.collect': () => {
    throw new Error('fault in a method');
  },
  'members.summary': () => ok({ changes: 'wrong', wanted: [] }),
  pingIndirect: () => ok({ reached: true, text: 'x'.repeat(MAX_LINE_BYTES) }),
};

beforeEach(async () => {
  counters = createControlCounters();
  const started = await startPeerServer({ host: HOST, port: 0, methods, logger, counters });
  server = unwrap(started);
  client = createPeerClient({ logger, counters });
});

afterEach(async () => {
  release();
  await client.close();
  await server.close();
  for (const close of closing.splice(0)) close();
});

const getAddress = () => `${HOST}:${server.port}`;

const request = (method: string, params: object, timeoutMs = 5000) =>
  client.request<unknown>({ host: HOST, port: server.port }, method, params, timeoutMs);

// Guards against answers that are matched to the wrong request on a shared connection.
test('requests share one connection and each receives its own answer', async () => {
  const slow = request('status.get', STATUS);
  const answers = await Promise.all([1, 2, 3].map(() => request('config.floor', { from: FROM })));
  for (const answer of answers) assert.deepEqual(unwrap(answer), FLOOR);
  release();
  assert.deepEqual(unwrap(await slow), {});
  const { messages, bytes } = counters.snapshot()['sent config.floor'] ?? { messages: 0, bytes: 0 };
  assert.equal(messages, 3);
  assert.ok(bytes > 300);
});

const faults: [string, string, string, object][] = [
  [
    'a refusal keeps its kind',
    'not-found',
    'config.fetch',
    { from: FROM, haveVersion: 0, haveDigest: '' },
  ],
  ['a malformed request is refused', 'invalid', 'config.floor', { from: { nodeId: 7 } }],
  ['an unknown method is refused', 'not-found', 'config.erase', { from: FROM }],
  ['a method that throws is an internal error', 'internal', 'status.collect', STATUS],
  ['a malformed answer is refused', 'invalid', 'members.summary', { from: FROM, summary: [] }],
  [
    'an oversized answer is refused',
    'too-large',
    'pingIndirect',
    { from: FROM, target: { host: HOST, port: 1 }, targetId: 'n' },
  ],
  [
    'an oversized request is refused',
    'too-large',
    'config.floor',
    { from: FROM, text: 'x'.repeat(MAX_LINE_BYTES) },
  ],
];

for (const [name, kind, method, params] of faults) {
  // Guards against errors of one message that close the connection or lose their kind.
  test(`${name}, and the connection stays open`, async () => {
    const error = unwrapError(await request(method, params));
    assert.equal(error.kind, kind);
    assert.equal(error.step, method);
    assert.equal(error.peer, getAddress());
    assert.ok((await request('config.floor', { from: FROM })).isOk());
  });
}

// Guards against requests to an unresponsive peer that do not time out.
test('a request to an unresponsive peer times out and a refused connection fails', async () => {
  const late = await request('status.get', STATUS, 20);
  assert.equal(unwrapError(late).kind, 'timeout');
  const { port } = server;
  await server.close();
  const address = { host: HOST, port };
  const refused = await client.request(address, 'config.floor', { from: FROM }, 5000);
  assert.equal(unwrapError(refused).kind, 'unavailable');
});

async function openRaw(): Promise<Socket> {
  const socket = connect(server.port, HOST);
  closing.push(() => socket.destroy());
  await once(socket, 'connect');
  return socket;
}

// Guards against a connection to a faulty peer that is never closed.
test('a connection is closed after several bad messages in a row', async () => {
  const socket = await openRaw();
  socket.resume();
  const closed = once(socket, 'close');
  socket.write('not json\n[1]\n'.repeat(MAX_BAD_MESSAGES / 2));
  await closed;
});

// Guards against unbounded memory use by a line without a newline.
test('a connection is closed when a line exceeds the limit', async () => {
  const socket = await openRaw();
  const closed = once(socket, 'close');
  socket.on('error', () => {});
  socket.write('x'.repeat(MAX_LINE_BYTES + 2));
  await closed;
});

// Guards against a message split over several chunks that is read as several messages.
test('a message that arrives in several chunks is read as one', async () => {
  const socket = await openRaw();
  const line = JSON.stringify({
    jsonrpc: '2.0',
    id: 1,
    method: 'config.floor',
    params: { from: FROM },
  });
  const half = line.length / 2;
  socket.write(line.slice(0, half));
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  socket.write(`${line.slice(half)}\n`);
  const [data] = (await once(socket, 'data')) as [Buffer];
  assert.deepEqual(JSON.parse(data.toString()), { jsonrpc: '2.0', id: 1, result: FLOOR });
});

// Guards against requests that never complete when the peer closes the connection.
test('a request fails when the connection is lost before the answer', async () => {
  const dropping = createServer((socket) => socket.once('data', () => socket.destroy()));
  dropping.listen(0, HOST);
  await once(dropping, 'listening');
  closing.push(() => dropping.close());
  const address = { host: HOST, port: (dropping.address() as AddressInfo).port };
  const answer = await client.request(address, 'config.floor', { from: FROM }, 5000);
  assert.equal(unwrapError(answer).kind, 'unavailable');
});

// Guards against connections that stay open to members that no longer exist.
test('a connection without traffic is closed', async () => {
  const options = { host: HOST, port: 0, logger, counters, idleMs: 10 };
  const idle = unwrap(await startPeerServer(options));
  const socket = connect(idle.port, HOST).resume();
  await once(socket, 'close');
  await idle.close();
});

// Guards against unbounded memory use for a slow peer, and requests dropped in favour of gossip.
test('a full queue drops the oldest notification and refuses lines if only requests wait', () => {
  const queue = createSendQueue(2, 1000);
  const add = (line: string, id?: number) =>
    queue.add({ type: 't', line, bytes: 10, id, expiresAtMs: Infinity });
  assert.deepEqual([add('n1'), add('r1', 1), add('n2'), add('r2', 2)], [true, true, true, true]);
  assert.deepEqual([add('n3'), add('r3', 3), queue.count()], [false, false, 2]);
  assert.deepEqual([queue.take()?.line, queue.take()?.line], ['r1', 'r2']);
});
