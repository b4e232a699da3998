import assert from 'node:assert/strict';
import type { OutgoingHttpHeaders } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';
import { NOOP_OBSERVER } from '../../src/core/calls/observer.js';
import {
  buildAnswer,
  buildRoute,
  createConfig,
  createDeferred,
  formatAnswer,
  createDispatcher,
  send,
  startEntry,
  startInstanceNode,
} from './fakes.js';

const TARGET = { 'lycheelane-target': 'n1/1-n1', 'lycheelane-request': 'request-1' };
const CHUNKED = { 'transfer-encoding': 'chunked' };
const WRONG = '503 not-run wrong-node';
const BAD = 'not-run bad-request';

/** One header above the limit of 200, not counting `host`. */
const MANY = Object.fromEntries(Array.from({ length: 201 }, (_, index) => [`h${index}`, '1']));

type RefusalCase = readonly [
  string,
  string,
  OutgoingHttpHeaders,
  { path?: string; body?: string }?,
];

const CASES: readonly RefusalCase[] = [
  ['a header beyond the limit', `431 ${BAD}`, { big: 'x'.repeat(5000) }],
  ['more than 200 headers', `431 ${BAD}`, MANY],
  ['a content-length beyond the limit', `413 ${BAD}`, {}, { body: 'x'.repeat(65) }],
  ['a chunked body beyond the limit', `413 ${BAD}`, CHUNKED, { body: 'x'.repeat(65) }],
  ['a deadline that is not a number', `400 ${BAD}`, { 'lycheelane-deadline-ms': 'soon' }],
  ['a deadline that has passed', '504 not-run deadline', { 'lycheelane-deadline-ms': '0' }],
  ['a call chain that is too deep', `400 ${BAD}`, { 'lycheelane-depth': '31' }],
  ['a reserved path', '404 not-run no-route', {}, { path: '/.lycheelane/cancel/x' }],
  ['a path without a route', '404 not-run no-route', {}, { path: '/none' }],
  ['another incarnation as target', WRONG, { ...TARGET, 'lycheelane-target': 'n1/0-old' }],
  ['another node as target', WRONG, { ...TARGET, 'lycheelane-target': 'n2/1-n1' }],
  ['a forwarded call without an id', `400 ${BAD}`, { 'lycheelane-target': 'n1/1-n1' }],
  ['an unknown named route', '404 not-run no-route', { ...TARGET, 'lycheelane-route': 'gone' }],
];

// Guards against invalid requests that reach an upstream, and against refusals without a reason.
for (const [fault, expected, headers, { path = '/x', body = '' } = {}] of CASES) {
  test(`${fault} is ${expected}`, async () => {
    const dispatcher = createDispatcher();
    const { port } = await startInstanceNode('n1', dispatcher);
    const refused = await send(port, { path, headers }, body);
    assert.equal(formatAnswer(refused), expected);
    assert.equal(dispatcher.calls.length, 0);
    if ('lycheelane-request' in headers) {
      assert.equal(refused.headers['lycheelane-request'], 'request-1');
    }
  });
}

// Guards against running calls without a configuration or without an instance.
test('a node without configuration or instances refuses', async () => {
  const unready = await startEntry([], { config: createConfig(buildRoute(), false) });
  const empty = await startEntry([]);
  const refused = [await send(unready.port), await send(empty.port)];
  assert.deepEqual(refused.map(formatAnswer), ['503 not-run not-ready', '503 not-run no-instance']);
});

const HEAD = 'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 60\r\n';

// Guards against a slow sender that keeps a call open, and against running a partial body.
test('a body slower than the deadline is not-run', async () => {
  const dispatcher = createDispatcher();
  const { port } = await startInstanceNode('n1', dispatcher);
  const socket = connect(port, '127.0.0.1');
  socket.write(`${HEAD}lycheelane-deadline-ms: 30\r\n\r\nhalf`);
  let text = '';
  for await (const chunk of socket) text += String(chunk);
  assert.match(
    text,
    /^HTTP\/1.1 504 [^]*lycheelane-outcome: not-run\r\nlycheelane-reason: deadline/,
  );
  assert.equal(dispatcher.calls.length, 0);
});

// Guards against connections kept open by an incomplete request head.
test('a request head slower than its limit is refused and its connection closed', async () => {
  const dispatcher = createDispatcher();
  const { port } = await startEntry([], { dispatcher, limits: { headersTimeoutMs: 100 } });
  const socket = connect(port, '127.0.0.1');
  socket.write('GET /x HTTP/1.1\r\nhost: a\r\n');
  let text = '';
  for await (const chunk of socket) text += String(chunk);
  assert.match(text, /^HTTP\/1.1 400 [^]*lycheelane-outcome: not-run\r\n/);
  assert.equal(dispatcher.calls.length, 0);
});

// Guards against leaking bytes of the shared buffer: a second large body must still fit.
test('a truncated body is never dispatched and its buffer is released', async () => {
  const dispatcher = createDispatcher();
  const recorded = createDeferred();
  const observer = { ...NOOP_OBSERVER, record: () => recorded.resolve() };
  const node = await startInstanceNode('n1', dispatcher, { observer });
  const socket = connect(node.port, '127.0.0.1');
  socket.write(`${HEAD}\r\n${'x'.repeat(50)}`, () => socket.end());
  await recorded.promise;
  const full = await send(node.port, {}, 'y'.repeat(60));
  assert.equal(full.text, 'done');
  assert.equal(dispatcher.calls.length, 1);
});

// Guards against unbounded buffering and unbounded concurrency.
for (const [text, limits] of [
  ['bytes are buffered', {}],
  ['calls are in flight', { maxInFlight: 1 }],
] as const) {
  test(`a call beyond the limit (${text}) is refused while another runs`, async () => {
    const first = createDeferred();
    const end = createDeferred();
    const dispatcher = createDispatcher(async () => {
      first.resolve();
      await end.promise;
      return buildAnswer('done');
    });
    const { port } = await startInstanceNode('n1', dispatcher, { limits });
    const running = send(port, {}, 'x'.repeat(60));
    await first.promise;
    const refused = await send(port, { headers: CHUNKED }, 'x'.repeat(60));
    end.resolve();
    const done = await running;
    assert.equal(done.text, 'done');
    assert.equal(formatAnswer(refused), '429 not-run overloaded');
    assert.match(refused.text, new RegExp(text));
  });
}
