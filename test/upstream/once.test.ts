import assert from 'node:assert/strict';
import type { IncomingMessage } from 'node:http';
import { test, type TestContext } from 'node:test';
import { createDeduplicationStore } from '../../src/core/upstream/deduplicationStore.js';
import type { AttemptResult, Call } from '../../src/types/calls.js';
import { brandText, type RequestId } from '../../src/types/ids.js';
import { startMockClock } from '../../standins/memory/clock.js';
import {
  buildAnnouncement,
  buildCall,
  buildRoute,
  createInstanceSide,
  type InstanceSideOptions,
  readText,
  startUpstream,
  type UpstreamHandler,
} from './support.js';

const ONCE = buildRoute({ repeatability: 'once', priority: 'critical' });

async function startOnceCalls(
  t: TestContext,
  handler: UpstreamHandler,
  options: InstanceSideOptions = {},
  slots = 4,
) {
  const upstream = await startUpstream(t, handler);
  const side = createInstanceSide(t, options);
  side.table.record(buildAnnouncement({ port: upstream.port, slots }));
  const send = (id: string, change: Partial<Call> = {}, timeoutMs?: number) => {
    const requestId = brandText<RequestId>(id);
    return side.dispatcher.dispatch(buildCall({ route: ONCE, requestId, ...change }, timeoutMs));
  };
  return { ...side, upstream, send };
}

/** Builds the headers that prove that an upstream did not run a request. */
function buildNotRunHeaders({ headers }: IncomingMessage) {
  const id = headers['lycheelane-request'] ?? '';
  return { 'lycheelane-outcome': 'not-run', 'lycheelane-request': id };
}

async function summarize(pending: AttemptResult | Promise<AttemptResult>): Promise<string> {
  const result = await pending;
  if (result.kind !== 'answered') return `${result.kind} ${result.reason}`;
  return `${result.status} ${await readText(result.body)}`;
}

// Guards against running a booking twice because the caller or a node sent it twice.
test('concurrent and later duplicates get the answer of the only run', async (t) => {
  let runs = 0;
  const { dispatcher, upstream, send } = await startOnceCalls(t, (request, response) => {
    runs += 1;
    response.end(`run ${runs}`);
  });
  const both = await Promise.all([summarize(send('one')), summarize(send('one'))]);
  assert.deepEqual(both, ['200 run 1', '200 run 1']);
  assert.equal(await summarize(send('one')), '200 run 1');
  assert.equal(await summarize(send('one', { body: Buffer.from('8') })), 'notRun bad-request');
  assert.equal(await summarize(send('two')), '200 run 2');
  assert.equal(upstream.receivedIds.length, 2);
  assert.equal(dispatcher.getCounts().repeated, 2);
});

// Guards against cancelling a call while a duplicate still waits for its answer.
test('a duplicate gets the answer after the first arrival has timed out', async (t) => {
  const open: (() => void)[] = [];
  const { upstream, send } = await startOnceCalls(t, (request, response) => {
    open.push(() => response.end('booked'));
  });
  const first = send('one', {}, 1000);
  await upstream.waitFor(() => open.length === 1);
  const second = send('one');
  const short = send('one', {}, 20);
  assert.equal(await summarize(first), 'unknown timeout');
  assert.equal(await summarize(short), 'unknown timeout');
  open[0]?.();
  assert.equal(await summarize(second), '200 booked');
  assert.deepEqual(upstream.cancelled, []);
});

// Guards against a second run when the first was shed without proof or its answer was lost or too
// large to store.
test('only a request that provably did not run can be dispatched again', async (t) => {
  const script: UpstreamHandler[] = [
    (request) => request.socket.destroy(),
    (request, response) => response.writeHead(503, buildNotRunHeaders(request)).end(),
    (request, response) =>
      response.writeHead(503, { 'lycheelane-outcome': 'not-run' }).end('no id'),
    (request, response) => response.writeHead(503).end('busy'),
    (request, response) => response.end('x'.repeat(40_000)),
  ];
  const { upstream, send } = await startOnceCalls(t, (request, response) => {
    script.shift()?.(request, response);
  });
  assert.equal(await summarize(send('lost')), 'unknown connection-lost');
  assert.equal(await summarize(send('lost')), 'unknown already-handed-over');
  assert.equal(await summarize(send('shed')), 'notRun overloaded');
  assert.equal(await summarize(send('shed')), '503 no id');
  assert.equal(await summarize(send('shed')), '503 no id');
  assert.equal(await summarize(send('bare')), '503 busy');
  assert.equal(await summarize(send('bare')), '503 busy');
  assert.match(await summarize(send('large')), /^200 x{40000}$/);
  assert.equal(await summarize(send('large')), 'unknown already-handed-over');
  assert.equal(upstream.receivedIds.length, 5);
});

// Guards against evicting requests from a full store while duplicates may still arrive.
test('a full store refuses new requests and evicts only answers', async (t) => {
  const { upstream, send } = await startOnceCalls(
    t,
    (request, response) => {
      response.end('y'.repeat(1000));
    },
    { deduplication: { maxKeys: 3, maxStoredBytes: 2000 } },
  );
  const keys = ['one', 'two', 'three', 'four'];
  for (const key of keys.slice(0, 3)) assert.match(await summarize(send(key)), /^200/);
  for (const key of keys.slice(3)) assert.equal(await summarize(send(key)), 'notRun overloaded');
  const repeats = [];
  for (const key of keys.slice(0, 3)) repeats.push((await summarize(send(key))).slice(0, 27));
  assert.deepEqual(repeats.slice(0, 2), Array(2).fill('unknown already-handed-over'));
  assert.match(repeats[2] ?? '', /^200 y/);
  assert.equal(upstream.receivedIds.length, 3);
});

// Guards against a store that grows without limit or removes a request that may still run.
test('a request is removed after the retention time', () => {
  const clock = startMockClock(1_000_000);
  try {
    const store = createDeduplicationStore({ maxKeys: 10, retentionMs: 60_000 });
    const key = { requestId: brandText<RequestId>('a'), timeMs: 1_000_000, fingerprint: 'f' };
    store.add(key)?.settle({ kind: 'handedOver', detail: '' });
    clock.tick(59_000);
    assert.equal(store.find(key).kind, 'done');
    assert.equal(store.find({ ...key, fingerprint: 'g' }).kind, 'otherRequest');
    clock.tick(20_000);
    assert.equal(store.find(key).kind, 'new');
    assert.equal(store.count(), 0);
  } finally {
    clock.stop();
  }
});

// Guards G8: a stopping node must not run new calls.
test('a stopping node runs no new call', async (t) => {
  const { dispatcher, upstream, send } = await startOnceCalls(t, (request, response) => {
    response.end('ok');
  });
  await dispatcher.drain(1000);
  assert.equal(await summarize(send('one')), 'notRun leaving');
  assert.equal(upstream.receivedIds.length, 0);
});
