import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPeerPool, POOL_LIMITS } from '../../src/core/calls/peerPools.js';
import { NOOP_OBSERVER, type CallObserver } from '../../src/core/calls/observer.js';
import { buildView, formatAnswer, registerCleanup, send, startEntry } from './fakes.js';
import {
  findClosedPort,
  formatNotRun,
  formatResponse,
  startRawPeer,
  type Script,
} from './rawPeer.js';

const refusal = formatNotRun('overloaded');
const MISMATCH = '502 unknown mismatched-answer';
const LOST = '502 unknown connection-lost';
const writeText =
  (text: string): Script =>
  (socket) =>
    socket.write(text);

const CASES: readonly (readonly [string, string, Script, number?])[] = [
  ['a reset after the request was sent', LOST, (socket) => socket.resetAndDestroy()],
  ['a close without a response', LOST, (socket) => socket.end()],
  ['bytes that are not HTTP', LOST, writeText('hello\r\n\r\n')],
  ['the response of another request', MISMATCH, writeText(formatResponse('other', 'not yours'))],
  ['a refusal of another request', MISMATCH, writeText(formatResponse('other', '', refusal, 429))],
  ['a refusal by an HTTP parser', MISMATCH, writeText('HTTP/1.1 400 X\r\n\r\n')],
  ['no answer before the deadline', '504 unknown timeout', () => {}, 40],
  [
    'a refusal with a truncated body',
    '429 not-run overloaded',
    (socket, { requestId }) =>
      socket.end(formatResponse(requestId, 'overloaded', refusal, 429).slice(0, -4)),
  ],
];

// Guards against reporting `not-run` without proof, and against a second dispatch: the peers count
// requests and thus detect a resend by undici or by the entry node.
for (const [fault, expected, script, deadlineMs = 5000] of CASES) {
  test(`once: ${fault} is ${expected} and is not sent again`, async () => {
    const peer = await startRawPeer('n1', script);
    const spare = await startRawPeer('n2', script);
    const views = expected.includes('not-run') ? [peer.view] : [peer.view, spare.view];
    const entry = await startEntry(views);
    const headers = { 'lycheelane-deadline-ms': deadlineMs };
    const answer = await send(entry.port, { headers });
    assert.equal(formatAnswer(answer), expected);
    assert.equal(peer.count() + spare.count(), 1);
  });
}

// Guards against reporting `unknown` when no connection was established.
test('a refused connection is not-run connect-failed', async () => {
  const view = buildView({ nodeId: 'n1', callPort: await findClosedPort() });
  const entry = await startEntry([view]);
  const answer = await send(entry.port);
  assert.equal(formatAnswer(answer), '503 not-run connect-failed');
});

// Guards against undici resending a request when a reused connection is reset: with undici alone
// and the options of the pools, and through the call port.
for (const isBare of [true, false]) {
  test(`a request on a reset connection is not resent (undici alone: ${isBare})`, async () => {
    const peer = await startRawPeer('n1', (socket, { requestId, index }) => {
      if (index === 0) socket.write(formatResponse(requestId, 'first'));
      else socket.resetAndDestroy();
    });
    const { callPort } = peer.view.record;
    const pool = createPeerPool('127.0.0.1', callPort, { ...POOL_LIMITS, connections: 1 });
    registerCleanup(() => pool.destroy());
    const { port } = await startEntry([peer.view]);
    const sendBare = async () => (await pool.request({ path: '/', method: 'GET' })).body.text();
    const sendThrough = async () => {
      const result = await send(port, { method: 'GET' });
      if (result.status !== 200) throw new Error(formatAnswer(result));
      return result.text;
    };
    const sendOnce = isBare ? sendBare : sendThrough;
    assert.equal(await sendOnce(), 'first');
    await assert.rejects(sendOnce(), isBare ? /ECONNRESET|other side closed/ : /unknown/);
    assert.equal(peer.count(), 2);
    assert.equal(peer.countConnections(), 1);
  });
}

// Guards against a truncated response that is taken for a complete one (G4).
for (const head of ['content-length: 10', 'transfer-encoding: chunked']) {
  test(`a truncated response body (${head}) closes the caller's connection`, async () => {
    const peer = await startRawPeer('n1', (socket, { requestId }) => {
      const body = head.startsWith('t') ? '4\r\nhalf\r\n' : 'half';
      socket.end(`HTTP/1.1 200 X\r\n${head}\r\nlycheelane-request: ${requestId}\r\n\r\n${body}`);
    });
    const outcomes: string[] = [];
    const record: CallObserver['record'] = (_route, outcome) => outcomes.push(outcome.kind);
    const observer = { ...NOOP_OBSERVER, record };
    const entry = await startEntry([peer.view], { observer });
    const answer = await send(entry.port);
    await entry.stop(1000);
    assert.equal(answer.isComplete, false);
    assert.deepEqual(outcomes, ['unknown']);
  });
}

// Guards against a repeated response that is returned for the next request (G4).
test('a response sent twice does not answer the next request', async () => {
  const peer = await startRawPeer('n1', (socket, { requestId, index }) => {
    const text = formatResponse(requestId, `answer ${index}`);
    socket.write(index === 0 ? text + text : text);
  });
  const entry = await startEntry([peer.view]);
  const texts = [(await send(entry.port)).text, (await send(entry.port)).text];
  assert.deepEqual(texts, ['answer 0', 'answer 1']);
});
