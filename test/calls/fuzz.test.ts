import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { test } from 'node:test';
import fc from 'fast-check';
import { waitMs } from '../../src/utils/backoff.js';
import { createDispatcher, send, startEntry, startInstanceNode } from './fakes.js';

const RUNS = { seed: 20_261_204, numRuns: 300 };

const text = fc.oneof(
  fc.constantFrom('', ' ', '-1', '0', '1e3', '\t', 'x'.repeat(5000), 'lt1.x', '%00', 'once', ','),
  fc.string({ maxLength: 40 }).map((value) => value.replace(/[\r\n]/g, ' ')),
);
const NAMES = [
  'lycheelane-request',
  'lycheelane-target',
  'lycheelane-route',
  'lycheelane-deadline-ms',
  'lycheelane-depth',
  'content-length',
  'transfer-encoding',
  'connection',
  'expect',
  'host',
];
const header = fc.tuple(fc.constantFrom(...NAMES), text).map((pair) => pair.join(': '));
const path = fc.oneof(fc.constantFrom('/x', '*', '//', '/..', '/%', 'http://[/', '/x?%zz'), text);
const method = fc.constantFrom('GET', 'POST', 'CONNECT', 'TRACE', 'get', 'PRI', '');
const request = fc
  .tuple(method, path, fc.array(header, { maxLength: 6 }), text)
  .map(([verb, target, headers, body]) =>
    [`${verb} ${target} HTTP/1.1`, 'host: h', ...headers, '', body].join('\r\n'),
  );
/** Streams of requests, some of them truncated. */
const stream = fc
  .tuple(fc.array(request, { minLength: 1, maxLength: 3 }), fc.option(fc.nat(300)))
  .map(([requests, cut]) => requests.join('').slice(0, cut ?? undefined));

/** Sends bytes and returns the response bytes; `isReset` resets the connection after the write. */
async function exchange(port: number, bytes: string, isReset = false): Promise<string> {
  const socket = connect(port, '127.0.0.1').on('error', () => {});
  let answered = '';
  socket.on('data', (chunk) => {
    answered += chunk.toString('latin1');
  });
  if (isReset) socket.write(bytes, 'latin1', () => socket.resetAndDestroy());
  else socket.end(bytes, 'latin1');
  await once(socket, 'close');
  return answered;
}

/** Starts an instance node and an entry node that both limit calls in flight to one. */
async function startSingleCallNodes() {
  const limits = { maxInFlight: 1 };
  const { port, view } = await startInstanceNode('n1', createDispatcher(), { limits });
  const entry = await startEntry([view], { limits });
  return { ports: [port, entry.port] as const, entry };
}

/** Waits until a call succeeds, which proves that neither node has a call in flight. */
async function waitForAnswer(port: number): Promise<number> {
  const endMs = performance.now() + 3000;
  let { status } = await send(port);
  while (status !== 200 && performance.now() < endMs) {
    await waitMs(5);
    ({ status } = await send(port));
  }
  return status;
}

// Guards against requests that crash the process, cause a status 500, or stay counted as calls in
// flight after they have ended.
test('a call port survives arbitrary requests and releases their resources', async () => {
  const { ports, entry } = await startSingleCallNodes();
  await fc.assert(
    fc.asyncProperty(stream, fc.nat(1), fc.boolean(), async (bytes, index, isReset) => {
      const answered = await exchange(ports[index] ?? 0, bytes, isReset);
      assert.doesNotMatch(answered, /^HTTP\/1\.1 500/m);
    }),
    RUNS,
  );
  assert.equal(await waitForAnswer(entry.port), 200);
});

// Guards against a call that stays counted as in flight when its connection closes while its
// response is written: the parser rejects the bytes after the request and closes the connection.
test('a call whose connection closes during its response is no longer in flight', async () => {
  const { ports, entry } = await startSingleCallNodes();
  for (const port of ports) await exchange(port, 'GET /x HTTP/1.1\r\nhost: h\r\n\r\n1e3');
  assert.equal(await waitForAnswer(entry.port), 200);
});
