import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { test, type TestContext } from 'node:test';
import { createRequestMemory, type MemoryKey } from '../../src/core/upstream/requestMemory.js';
import type { AttemptResult, Call } from '../../src/types/calls.js';
import { brandText, type NodeId, type RequestId } from '../../src/types/ids.js';
import { startMockClock } from '../../standins/memory/clock.js';
import {
  buildAnnouncement,
  buildCall,
  buildKey,
  buildRoute,
  createInstanceSide,
  type InstanceSideOptions,
  OPEN_PARTITIONS,
  readText,
  startUpstream,
  type UpstreamHandler,
} from './support.js';

const ONCE = buildRoute({ repeatability: 'once', priority: 'critical' });

async function startOnce(
  t: TestContext,
  handler: UpstreamHandler,
  options: InstanceSideOptions = {},
  slots = 4,
) {
  const upstream = await startUpstream(t, handler);
  const side = createInstanceSide(t, options);
  side.table.record(buildAnnouncement({ port: upstream.port, slots }));
  const send = (key: Call['key'], change: Partial<Call> = {}, timeoutMs?: number) =>
    side.dispatcher.dispatch(buildCall({ route: ONCE, key, ...change }, timeoutMs));
  return { ...side, upstream, send };
}

/** The headers by which an upstream proves that it did not run a request. */
function proveNotRun({ headers }: IncomingMessage) {
  const id = headers['lycheelane-request'] ?? '';
  return { 'lycheelane-outcome': 'not-run', 'lycheelane-request': id };
}

async function summarize(pending: AttemptResult | Promise<AttemptResult>): Promise<string> {
  const result = await pending;
  if (result.kind !== 'answered') return `${result.kind} ${result.reason}`;
  return `${result.status} ${await readText(result.body)}`;
}

// Guards against a booking that runs twice because the caller or a node sent it twice.
test('duplicates at once and after completion get the answer of the one run', async (t) => {
  let runs = 0;
  const { dispatcher, upstream, send } = await startOnce(t, (request, response) => {
    runs += 1;
    response.end(`run ${runs}`);
  });
  const key = buildKey(Date.now());
  const shouting: Call['key'] = { ...key, text: key.text.toUpperCase() };
  const both = await Promise.all([summarize(send(key)), summarize(send(shouting))]);
  assert.deepEqual(both, ['200 run 1', '200 run 1']);
  assert.equal(await summarize(send(key)), '200 run 1');
  assert.equal(await summarize(send(key, { body: Buffer.from('8') })), 'notRun bad-request');
  const requestId = brandText<RequestId>('one-chain');
  const unkeyed = () => summarize(send({ kind: 'none' }, { requestId }));
  assert.deepEqual([await unkeyed(), await unkeyed()], ['200 run 2', '200 run 2']);
  assert.equal(upstream.seen.length, 2);
  assert.equal(dispatcher.getCounts().repeated, 3);
});

// Guards against a call that is cancelled although another arrival still waits for its answer.
test('a repeat outlives the first arrival and gets its answer', async (t) => {
  const open: (() => void)[] = [];
  const { upstream, send } = await startOnce(t, (request, response) => {
    open.push(() => response.end('booked'));
  });
  const key = buildKey(Date.now());
  const first = send(key, {}, 1000);
  await upstream.waitFor(() => open.length === 1);
  const second = send(key);
  const short = send(key, {}, 20);
  assert.equal(await summarize(first), 'unknown timeout');
  assert.equal(await summarize(short), 'unknown timeout');
  open[0]?.();
  assert.equal(await summarize(second), '200 booked');
  assert.deepEqual(upstream.cancelled, []);
});

// Guards against a second run after an answer that was lost, shed or too large to keep.
test('only a proven not-run frees a key', async (t) => {
  const script: UpstreamHandler[] = [
    (request) => request.socket.destroy(),
    (request, response) => response.writeHead(503, proveNotRun(request)).end(),
    (request, response) =>
      response.writeHead(503, { 'lycheelane-outcome': 'not-run' }).end('no id'),
    (request, response) => response.writeHead(503).end('busy'),
    (request, response) => response.end('x'.repeat(40_000)),
  ];
  const { upstream, send } = await startOnce(t, (request, response) => {
    script.shift()?.(request, response);
  });
  const lost = buildKey(Date.now());
  assert.equal(await summarize(send(lost)), 'unknown connection-lost');
  assert.equal(await summarize(send(lost)), 'unknown already-handed-over');
  const shed = buildKey(Date.now());
  assert.equal(await summarize(send(shed)), 'notRun overloaded');
  assert.equal(await summarize(send(shed)), '503 no id');
  assert.equal(await summarize(send(shed)), '503 no id');
  const bare = buildKey(Date.now());
  assert.equal(await summarize(send(bare)), '503 busy');
  assert.equal(await summarize(send(bare)), '503 busy');
  const large = buildKey(Date.now());
  assert.match(await summarize(send(large)), /^200 x{40000}$/);
  assert.equal(await summarize(send(large)), 'unknown already-handed-over');
  assert.equal(upstream.seen.length, 5);
});

// Guards against keys that are forgotten under pressure while they could still be accepted.
test('a full memory refuses new keys and forgets only answers', async (t) => {
  const { upstream, send } = await startOnce(
    t,
    (request, response) => {
      response.end('y'.repeat(1000));
    },
    { memory: { maxKeys: 3, maxStoredBytes: 2000 } },
  );
  const keys = [1, 2, 3, 4].map(() => buildKey(Date.now()));
  for (const key of keys.slice(0, 3)) assert.match(await summarize(send(key)), /^200/);
  for (const key of keys.slice(3)) assert.equal(await summarize(send(key)), 'notRun overloaded');
  const repeats = [];
  for (const key of keys.slice(0, 3)) repeats.push((await summarize(send(key))).slice(0, 27));
  assert.deepEqual(repeats.slice(0, 2), Array(2).fill('unknown already-handed-over'));
  assert.match(repeats[2] ?? '', /^200 y/);
  assert.equal(upstream.seen.length, 3);
});

// Guards against a token that a later process of the node runs again.
test('a token runs once, in the process that it names', async (t) => {
  const { upstream, send } = await startOnce(t, (request, response) => {
    response.end('ok');
  });
  const nodeId = brandText<NodeId>('n1');
  const { text: nonce } = buildKey(Date.now());
  const token: Call['key'] = { kind: 'token', nodeId, incarnation: '1-a', nonce };
  const other: Call['key'] = { ...token, incarnation: '2-b' };
  const late: Call['key'] = { ...token, nonce: buildKey(Date.now() + 3_600_000).text };
  assert.equal(await summarize(send(other)), 'unknown process-replaced');
  assert.equal(await summarize(send(late)), 'notRun bad-request');
  assert.equal(await summarize(send(token)), '200 ok');
  assert.equal(await summarize(send(token)), '200 ok');
  assert.equal(upstream.seen.length, 1);
});

// Guards against a hand-over after the ownership was lost during the wait in the queue.
test('ownership is judged again after the queue', async (t) => {
  let isOwner = true;
  const partitions: typeof OPEN_PARTITIONS = {
    ...OPEN_PARTITIONS,
    takeKey: () =>
      isOwner ? { kind: 'allowed' } : { kind: 'notRun', reason: 'key-unowned', detail: 'moved' },
  };
  const open: (() => void)[] = [];
  const { dispatcher, upstream, send } = await startOnce(
    t,
    (request, response) => {
      open.push(() => response.end('ok'));
    },
    { partitions },
    1,
  );
  const first = summarize(send(buildKey(Date.now())));
  await upstream.waitFor(() => open.length === 1);
  const queued = summarize(send(buildKey(Date.now())));
  isOwner = false;
  open[0]?.();
  assert.equal(await first, '200 ok');
  assert.equal(await queued, 'notRun key-unowned');
  assert.equal(upstream.seen.length, 1);
  assert.deepEqual(dispatcher.getCounts().inFlight, 0);
});

// Guards against a key that is accepted again after its entry expired and the clock went back.
test('a key older than the retention is never accepted, whatever the clock does', () => {
  const build = (text: string, timeMs: number): MemoryKey => ({
    text,
    timeMs,
    isRepeatable: true,
    fingerprint: 'f',
  });
  let clock = startMockClock(1_000_000);
  try {
    const memory = createRequestMemory({ maxKeys: 10, rememberMs: 60_000 });
    const key = build('a', 1_000_000);
    memory.add(key)?.settle({ kind: 'handedOver', detail: '' });
    assert.equal(memory.find(key).kind, 'done');
    clock.tick(80_000);
    assert.equal(memory.find(key).kind, 'expired');
    assert.equal(memory.count(), 0);
    clock.stop();
    clock = startMockClock(1_000_000);
    assert.equal(memory.find(key).kind, 'expired');
    assert.equal(memory.find(build('b', 1_070_000)).kind, 'new');
  } finally {
    clock.stop();
  }
});

// Guards against a refusal that vouches for a key without knowing whether it ran elsewhere.
test('only the process that alone may run a key vouches that it was not run', async (t) => {
  const { dispatcher, send } = await startOnce(t, (request, response) => {
    response.end('ok');
  });
  await dispatcher.drain(0);
  const key = buildKey(Date.now());
  const nodeId = brandText<NodeId>('n1');
  const token: Call['key'] = { kind: 'token', nodeId, incarnation: '1-a', nonce: key.text };
  const refusals = await Promise.all([send(token), send(key)]);
  assert.deepEqual(
    refusals.map((result) => result.kind === 'notRun' && result.isKeyChecked === true),
    [true, false],
  );
});

// Guards G8: a keyed call that a stopping node refuses although no other node may run its key.
test('a stopping node runs the keys that only it may run, and no others', async (t) => {
  const retained = buildKey(Date.now());
  const other = buildKey(Date.now());
  const partitions: typeof OPEN_PARTITIONS = {
    ...OPEN_PARTITIONS,
    isRetained: (_service, key) => key.text === retained.text,
  };
  const { dispatcher, upstream, send } = await startOnce(
    t,
    (request, response) => {
      response.end('ok');
    },
    { partitions },
  );
  await dispatcher.drain(1000);
  assert.equal(await summarize(send(retained)), '200 ok');
  assert.equal(await summarize(send(other)), 'notRun leaving');
  assert.equal(await summarize(send({ kind: 'none' })), 'notRun leaving');
  assert.equal(upstream.seen.length, 1);
});
