import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { brandText, type RequestId } from '../../src/types/ids.js';
import {
  buildAnnouncement,
  buildCall,
  buildRoute,
  createInstanceSide,
  readText,
  SERVICE,
  startUpstream,
  type UpstreamHandler,
} from './support.js';

async function startDispatcherWithUpstream(t: TestContext, handler: UpstreamHandler, slots = 4) {
  const upstream = await startUpstream(t, handler);
  const side = createInstanceSide(t);
  assert.ok(side.table.record(buildAnnouncement({ port: upstream.port, slots })).isOk());
  return { ...side, upstream };
}

/** Starts a TCP server that sends `answer` to each connection or resets it. */
async function startRawUpstream(t: TestContext, answer: string | 'reset') {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      if (answer === 'reset') socket.resetAndDestroy();
      else socket.end(answer);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => {
    server.close();
  });
  return { port: (server.address() as AddressInfo).port, server };
}

// Guards against requests and responses that are lost or altered in transit.
test('a request and its response are forwarded unaltered', async (t) => {
  const { dispatcher } = await startDispatcherWithUpstream(t, (request, response) => {
    void readText(request).then((body) => {
      const { 'lycheelane-depth': depth, host } = request.headers;
      response.writeHead(201, { 'x-own': 'yes', 'lycheelane-outcome': 'not-run' });
      response.end(`${request.method} ${request.url} ${body} ${host} ${depth}`);
    });
  });
  const result = await dispatcher.dispatch(buildCall());
  assert.ok(result.kind === 'answered');
  assert.equal(result.status, 201);
  assert.equal(result.headers['x-own'], 'yes');
  assert.equal(result.headers['lycheelane-outcome'], undefined);
  assert.equal(await readText(result.body), 'POST /book?pad=7 pad 7 mesh.example 1');
});

/** A response without a body; header lines are separated by commas. */
const formatEmpty = (status: string, headers = '') =>
  [`HTTP/1.1 ${status}`, ...headers.split(','), 'content-length: 0', '', ''].join('\r\n');
const PROOF = 'lycheelane-outcome: not-run';

// Guards against reporting the wrong outcome to the caller after a fault of the upstream.
const FAULTS: readonly [string, string | 'reset', string][] = [
  ['a reset after the request was sent', 'reset', 'unknown connection-lost'],
  ['a close without an answer', '', 'unknown connection-lost'],
  ['a bare 503', formatEmpty('503 Busy', 'x: y'), 'answered 503'],
  [
    'a shed with proof',
    formatEmpty('503 Busy', `${PROOF},lycheelane-request: asked`),
    'notRun overloaded',
  ],
  ['a proof that names no request', formatEmpty('503 Busy', PROOF), 'answered 503'],
  [
    'a proof about another request, such as a nested call',
    formatEmpty('503 Busy', `${PROOF},lycheelane-request: other`),
    'unknown mismatched-answer',
  ],
  [
    'an answer to another request',
    formatEmpty('200 OK', 'lycheelane-request: other'),
    'unknown mismatched-answer',
  ],
  ['a malformed answer', 'nonsense\r\n\r\n', 'unknown connection-lost'],
];
for (const [name, answer, expected] of FAULTS) {
  test(`${name} gives ${expected}`, async (t) => {
    const { port, server } = await startRawUpstream(t, answer);
    const { table, dispatcher } = createInstanceSide(t);
    assert.ok(table.record(buildAnnouncement({ port })).isOk());
    const requestId = brandText<RequestId>('asked');
    const result = await dispatcher.dispatch(buildCall({ requestId }));
    const detail = result.kind === 'answered' ? result.status : result.reason;
    assert.equal(`${result.kind} ${detail}`, expected);
    if (result.kind === 'answered') result.body.destroy();
    server.close();
  });
}

// Guards against "unknown" for calls that were certainly not sent.
test('a refused connection is notRun', async (t) => {
  const { port, server } = await startRawUpstream(t, '');
  server.close();
  await once(server, 'close');
  const { table, dispatcher } = createInstanceSide(t);
  assert.ok(table.record(buildAnnouncement({ port })).isOk());
  const result = await dispatcher.dispatch(buildCall());
  assert.ok(result.kind === 'notRun');
  assert.equal(result.reason, 'connect-failed');
  assert.equal(dispatcher.getLoad(SERVICE)?.busy, 0);
});

// Guards against a truncated response that appears complete.
test('a truncated answer ends its body with an error', async (t) => {
  const { port } = await startRawUpstream(t, 'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\npart');
  const { table, dispatcher } = createInstanceSide(t);
  assert.ok(table.record(buildAnnouncement({ port })).isOk());
  const result = await dispatcher.dispatch(buildCall());
  assert.ok(result.kind === 'answered');
  await assert.rejects(readText(result.body));
});

// Guards against reusing a slot while the upstream still processes its request.
test('a timed-out call is answered and cancelled, but still occupies its slot', async (t) => {
  const open: (() => void)[] = [];
  const { dispatcher, upstream } = await startDispatcherWithUpstream(
    t,
    (request, response) => {
      open.push(() => response.writeHead(499).end());
    },
    1,
  );
  const result = await dispatcher.dispatch(buildCall({}, 100));
  assert.ok(result.kind === 'unknown');
  assert.equal(result.reason, 'timeout');
  await upstream.waitFor(() => upstream.cancelled.length === 1);
  assert.deepEqual(upstream.cancelled, upstream.receivedIds);
  // The upstream ignored the cancellation: the slot is still occupied.
  assert.equal(dispatcher.getLoad(SERVICE)?.busy, 1);
  assert.equal(dispatcher.getCounts().abandoned, 1);
  const next = dispatcher.dispatch(buildCall());
  assert.equal(dispatcher.getLoad(SERVICE)?.queued, 1);
  open.shift()?.();
  await upstream.waitFor(() => open.length === 1);
  open.shift()?.();
  const answered = await next;
  assert.ok(answered.kind === 'answered');
  assert.equal(answered.status, 499);
  assert.equal(await readText(answered.body), '');
});

// Guards against processing that continues after the caller has disconnected.
test('a disconnect cancels the upstream call, also while the response is read', async (t) => {
  const { dispatcher, upstream } = await startDispatcherWithUpstream(t, (request, response) => {
    if (request.url === '/stream') response.writeHead(200).write('first');
  });
  const caller = new AbortController();
  const pending = dispatcher.dispatch(buildCall({ signal: caller.signal }));
  await upstream.waitFor(() => upstream.receivedIds.length === 1);
  caller.abort();
  const result = await pending;
  assert.ok(result.kind === 'unknown');
  assert.equal(result.reason, 'cancelled');
  const streamed = await dispatcher.dispatch(buildCall({ path: '/stream' }));
  assert.ok(streamed.kind === 'answered');
  streamed.body.destroy();
  await upstream.waitFor(() => upstream.cancelled.length === 2);
  assert.equal(dispatcher.getCounts().abandoned, 2);
});

// Guards against shedding calls of high priority before those of low priority.
test('under overload sheddable calls are refused first', async (t) => {
  const open: (() => void)[] = [];
  const { dispatcher, upstream } = await startDispatcherWithUpstream(
    t,
    (request, response) => {
      open.push(() => response.end('done'));
    },
    1,
  );
  const send = (priority: 'critical' | 'normal' | 'sheddable', timeoutMs = 10_000) =>
    dispatcher.dispatch(
      buildCall(
        { route: buildRoute({ priority }, { queueLimit: 2 }), path: `/${priority}` },
        timeoutMs,
      ),
    );
  const running = send('normal');
  const sheddable = send('sheddable');
  const normal = send('normal');
  const critical = send('critical');
  const evicted = await sheddable;
  assert.equal(evicted.kind === 'notRun' && evicted.reason, 'overloaded');
  const refused = await send('sheddable');
  assert.equal(refused.kind === 'notRun' && refused.reason, 'overloaded');
  const order: string[] = [];
  void critical.then(() => order.push('critical'));
  void normal.then(() => order.push('normal'));
  for (const expected of [running, critical, normal]) {
    await upstream.waitFor(() => open.length === 1);
    open.shift()?.();
    const result = await expected;
    assert.ok(result.kind === 'answered');
    assert.equal(await readText(result.body), 'done');
  }
  assert.deepEqual(order, ['critical', 'normal']);
  assert.equal(dispatcher.getCounts().refused.overloaded, 2);
});

// Guards against queueing calls that cannot finish before their deadline.
test('a call that cannot finish before its deadline is refused without queueing', async (t) => {
  const { dispatcher, upstream } = await startDispatcherWithUpstream(
    t,
    (request, response) => {
      if (upstream.receivedIds.length === 1) setTimeout(() => response.end(), 100);
    },
    1,
  );
  const first = await dispatcher.dispatch(buildCall());
  if (first.kind === 'answered') await readText(first.body);
  void dispatcher.dispatch(buildCall());
  // The mean run time is about 100 ms, so a wait and a run take about 200 ms.
  const refused = dispatcher.dispatch(buildCall({}, 150));
  assert.equal(dispatcher.getCounts().queued, 0);
  const result = await refused;
  assert.equal(result.kind === 'notRun' && result.reason, 'overloaded');
  void dispatcher.dispatch(buildCall({}, 5000));
  assert.equal(dispatcher.getCounts().queued, 1);
});

// Guards against requests to an upstream that drains, and against requests aborted by a stop.
test('a drain refuses new and queued calls and waits for those in flight', async (t) => {
  const open: (() => void)[] = [];
  const { dispatcher, upstream, table } = await startDispatcherWithUpstream(
    t,
    (request, response) => {
      open.push(() => response.end('done'));
    },
    1,
  );
  const running = dispatcher.dispatch(buildCall());
  const queued = dispatcher.dispatch(buildCall());
  await upstream.waitFor(() => open.length === 1);
  table.record(buildAnnouncement({ port: upstream.port, slots: 1, state: 'leaving', busy: 1 }));
  const refused = await queued;
  assert.equal(refused.kind === 'notRun' && refused.reason, 'leaving');
  const drained = dispatcher.drain(10_000);
  const late = await dispatcher.dispatch(buildCall());
  assert.equal(late.kind === 'notRun' && late.reason, 'leaving');
  open.shift()?.();
  const result = await running;
  assert.ok(result.kind === 'answered');
  assert.equal(await readText(result.body), 'done');
  assert.deepEqual(await drained, { abortedCalls: 0 });
});

test('a drain aborts the calls that are in flight at its limit', async (t) => {
  const { dispatcher, upstream } = await startDispatcherWithUpstream(t, () => {});
  const running = dispatcher.dispatch(buildCall());
  await upstream.waitFor(() => upstream.receivedIds.length === 1);
  assert.deepEqual(await dispatcher.drain(20), { abortedCalls: 1 });
  assert.equal((await running).kind, 'unknown');
});

// Guards against unreduced concurrency while the upstream sheds load.
test('shedding lowers the concurrency limit, answers raise it again', async (t) => {
  let status = 503;
  const open: (() => void)[] = [];
  const { dispatcher, upstream } = await startDispatcherWithUpstream(
    t,
    (request, response) => {
      open.push(() => response.writeHead(status).end());
    },
    4,
  );
  const sendFour = async () => {
    const results = Array.from({ length: 4 }, () => dispatcher.dispatch(buildCall()));
    const { busy = 0 } = dispatcher.getLoad(SERVICE) ?? {};
    for (let unfinished = 4; unfinished > 0;) {
      await upstream.waitFor(() => open.length > 0);
      unfinished -= open.length;
      for (const finish of open.splice(0)) finish();
    }
    for (const result of await Promise.all(results)) {
      if (result.kind === 'answered') await readText(result.body);
    }
    return busy;
  };
  assert.equal(await sendFour(), 4);
  status = 200;
  const lowered = await sendFour();
  assert.ok(lowered < 4, `${lowered} at a time`);
  for (let round = 0; round < 3; round += 1) await sendFour();
  assert.equal(await sendFour(), 4);
});

// Guards against exceeding the slots after a daemon restart while the upstream still processes
// requests of the previous process.
test('slots in use before a restart stay occupied until an announcement frees them', async (t) => {
  const { dispatcher, upstream, table } = await startDispatcherWithUpstream(
    t,
    (request, response) => {
      response.end('done');
    },
    2,
  );
  const announce = (busy: number, running?: string[]) =>
    table.record(buildAnnouncement({ port: upstream.port, slots: 2, busy, running }));
  announce(2, ['old-1', 'old-2']);
  assert.deepEqual(dispatcher.getLoad(SERVICE), { busy: 2, slots: 2, queued: 0 });
  const waiting = dispatcher.dispatch(buildCall());
  assert.equal(dispatcher.getLoad(SERVICE)?.queued, 1);
  announce(1, ['old-2']);
  const result = await waiting;
  assert.ok(result.kind === 'answered');
  await readText(result.body);
  announce(1);
  assert.equal(dispatcher.getLoad(SERVICE)?.busy, 0, 'its own call may have ended since');
  announce(1);
  assert.equal(dispatcher.getLoad(SERVICE)?.busy, 1);
  announce(0);
  assert.equal(dispatcher.getLoad(SERVICE)?.busy, 0);
});
