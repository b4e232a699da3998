import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { Readable } from 'node:stream';
import { test } from 'node:test';
import { NOOP_OBSERVER } from '../../src/core/calls/observer.js';
import type { Call } from '../../src/types/calls.js';
import type { Outcome } from '../../src/types/outcome.js';
import {
  buildAnswer,
  createDeferred,
  formatAnswer,
  createDispatcher,
  send,
  startEntry,
  startInstanceNode,
  startMesh,
} from './fakes.js';
import { formatResponse, startRawPeer } from './rawPeer.js';

/** Creates a dispatcher whose calls wait for `end`; `first` and `second` resolve at their start. */
function createBlockingDispatcher() {
  const gates = [createDeferred(), createDeferred()] as const;
  const ended = createDeferred();
  const dispatcher: ReturnType<typeof createDispatcher> = createDispatcher(async () => {
    gates[dispatcher.calls.length - 1]?.resolve();
    await ended.promise;
    return buildAnswer('done');
  });
  return { dispatcher, first: gates[0].promise, second: gates[1].promise, end: ended.resolve };
}

/** True while requests get a response, even a refusal. */
const isListening = (port: number) =>
  send(port).then(
    () => true,
    () => false,
  );

// Guards against a call that continues on the instance node after its caller has disconnected.
test('a caller that disconnects cancels the call on the instance node', async () => {
  const received = createDeferred();
  const cancelled = createDeferred();
  const dispatcher = createDispatcher((call: Call) => {
    received.resolve();
    return new Promise((resolve) => {
      call.signal.addEventListener('abort', () => {
        cancelled.resolve();
        resolve({ kind: 'unknown', reason: 'cancelled', detail: 'x', retriesExhausted: false });
      });
    });
  });
  const recorded = createDeferred<Outcome>();
  const record = (_route: string, outcome: Outcome) => recorded.resolve(outcome);
  const observer = { ...NOOP_OBSERVER, record };
  const entry = await startMesh({ n1: dispatcher }, { observer });
  const socket = connect(entry.port, '127.0.0.1');
  socket.write('POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n');
  await received.promise;
  socket.destroy();
  await cancelled.promise;
  const outcome = await recorded.promise;
  assert.ok(outcome.kind === 'unknown' && outcome.reason === 'cancelled');
});

// Guards against reading a response body to its end after the caller has disconnected.
test('a caller that disconnects during the response closes the upstream body', async () => {
  const closed = createDeferred();
  const body = new Readable({
    read() {},
    destroy: (_error, done) => {
      closed.resolve();
      done(null);
    },
  });
  body.push('part');
  const dispatcher = createDispatcher(() => buildAnswer('', body));
  const { port } = await startInstanceNode('n1', dispatcher);
  const socket = connect(port, '127.0.0.1');
  socket.write('GET /x HTTP/1.1\r\nhost: a\r\n\r\n');
  await once(socket, 'data');
  socket.destroy();
  await closed.promise;
  assert.ok(body.destroyed);
});

// Guards against a planned stop that aborts calls in flight or their nested calls (G8).
test('a stopping node refuses new work but serves calls in flight', async () => {
  const { dispatcher, first, end } = createBlockingDispatcher();
  const { port, stop } = await startInstanceNode('n1', dispatcher);
  const running = send(port, { path: '/first' });
  const target = { 'lycheelane-target': 'n1/1-n1', 'lycheelane-request': 'request-1' };
  await first;
  const stopped = stop(60_000);
  const [plain, forwarded, nested] = await Promise.all([
    send(port),
    send(port, { headers: target }),
    send(port, { headers: { 'lycheelane-depth': '1' } }),
  ]);
  end();
  const answers = [await running, plain, forwarded, nested];
  assert.deepEqual(await stopped, { abortedCalls: 0 });
  assert.deepEqual(answers.map(formatAnswer), [
    '200',
    '503 not-run leaving',
    '503 not-run leaving',
    // The only instance is on the stopping node, which is no longer a candidate.
    '503 not-run no-instance',
  ]);
  await assert.rejects(send(port), /ECONNREFUSED/);
});

// Guards against aborting a call on a connection that was established before the port closed (G8).
test('calls on the connections accepted last get a complete refusal', async () => {
  const dispatcher = createDispatcher();
  const { port, stop } = await startInstanceNode('n1', dispatcher);
  const sockets = [connect(port, '127.0.0.1'), connect(port, '127.0.0.1')] as const;
  await Promise.all(sockets.map((socket) => once(socket, 'connect')));
  const stopped = stop(60_000);
  while (await isListening(port));
  // The second one sends its request only after the first call has ended.
  for (const [index, socket] of sockets.entries()) {
    const target = `lycheelane-target: n1/1-n1\r\nlycheelane-request: request-${index}`;
    socket.write(`POST /x HTTP/1.1\r\nhost: a\r\n${target}\r\n\r\n`);
    let text = '';
    for await (const chunk of socket) text += String(chunk);
    assert.match(text, /^HTTP\/1.1 503 [^]*lycheelane-reason: leaving[^]*\r\n\r\nnot run: /);
  }
  assert.deepEqual(await stopped, { abortedCalls: 0 });
});

// Guards against a stop that waits indefinitely for a call that does not end.
test('a stop aborts and counts the calls that remain at its time limit', async () => {
  const { dispatcher, first, end } = createBlockingDispatcher();
  const { port, stop } = await startInstanceNode('n1', dispatcher);
  const running = send(port).catch((error: NodeJS.ErrnoException) => error.code);
  await first;
  const { abortedCalls } = await stop(20);
  end();
  assert.equal(abortedCalls, 1);
  assert.equal(await running, 'ECONNRESET');
});

// Guards against a late response that is returned for the next request on its connection.
test('a response after the deadline is dropped and its connection is not reused', async () => {
  const late: (() => void)[] = [];
  const peer = await startRawPeer('n1', (socket, { requestId, index }) => {
    const text = formatResponse(requestId, String(index));
    if (index === 0) late.push(() => socket.write(text));
    else socket.write(text);
  });
  const entry = await startEntry([peer.view], {
    route: { retry: { maxAttempts: 1, budgetPercent: 0 } },
  });
  const first = await send(entry.port, { headers: { 'lycheelane-deadline-ms': '30' } });
  late[0]?.();
  const second = await send(entry.port);
  assert.equal(formatAnswer(first), '504 unknown timeout');
  assert.equal(second.text, '1');
});
