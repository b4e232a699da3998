/** Tests of the client for the local instance. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import { InstanceClient } from '../../src/mesh/instanceClient.js';
import type { CallMetadata, HttpRequest } from '../../src/mesh/model.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText } from '../../src/types/ids.js';
import { InstanceServer } from '../../standins/mesh/instanceServer.js';

function buildMetadata(requestId: string, isIdempotent: boolean): CallMetadata {
  return {
    attemptId: requestId,
    requestId,
    route: brandText('route'),
    instanceId: brandText('i-1'),
    isIdempotent,
    priority: 0,
    deadlineAtMs: performance.now() + 2000,
    objectiveAtMs: performance.now() + 2000,
  };
}

function buildRequest(requestId: string): HttpRequest {
  const headers = ['Host', 'h', HEADER_NAMES.requestId, requestId];
  return { method: 'GET', path: '/x', headers, body: Buffer.alloc(0) };
}

test('a late cancellation does not abort the next request on the connection', async () => {
  const instance = new InstanceServer('i-1');
  const port = await instance.listen();
  const client = new InstanceClient({ host: '127.0.0.1', port }, HEADER_NAMES, () => {});
  const first = new Cancellation();
  await client.run(buildRequest('a'), buildMetadata('a', true), first);
  instance.executionTimeMs = 100;
  const second = client.run(buildRequest('b'), buildMetadata('b', false), new Cancellation());
  setTimeout(() => first.cancel(), 30);
  assert.equal((await second).kind, 'answered');
  client.close();
  await instance.close();
});

for (const status of [408, 429, 503]) {
  test(`a ${status} that does not state that the request was not run is unknown`, async () => {
    const instance = new InstanceServer('i-1');
    const port = await instance.listen();
    const client = new InstanceClient({ host: '127.0.0.1', port }, HEADER_NAMES, () => {});
    instance.fault = { kind: 'fail', status };
    const result = await client.run(
      buildRequest('a'),
      buildMetadata('a', false),
      new Cancellation(),
    );
    assert.equal(instance.runs.length, 1);
    assert.equal(result.kind, 'unknown');
    client.close();
    await instance.close();
  });
}

test('a response whose signature would not be forwarded counts as unsigned', async () => {
  const instance = new InstanceServer('i-1');
  const port = await instance.listen();
  const client = new InstanceClient({ host: '127.0.0.1', port }, HEADER_NAMES, () => {});
  const text =
    `HTTP/1.1 200 OK\r\n${HEADER_NAMES.requestId}: a\r\n${HEADER_NAMES.signature}: s\r\n` +
    `Connection: ${HEADER_NAMES.signature}\r\nContent-Length: 0\r\n\r\n`;
  instance.fault = { kind: 'bytes', text, isLast: true };
  const result = await client.run(buildRequest('a'), buildMetadata('a', false), new Cancellation());
  assert.deepEqual(result, { kind: 'unknown', reason: 'unsigned response' });
  client.close();
  await instance.close();
});

const HEAD = 'HTTP/1.1 200 OK\r\n';
const ENDLESS = [
  { name: 'a header line', head: `${HEAD}X-Long: `, repeated: 'x' },
  { name: 'header lines', head: HEAD, repeated: 'X-More: 1\r\n' },
  { name: 'interim responses', head: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n' },
  { name: 'a body without a length', head: `${HEAD}\r\n`, repeated: 'x' },
  { name: 'chunks', head: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`, repeated: '1\r\nx\r\n' },
  {
    name: 'the size of a chunk',
    head: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    repeated: '0',
  },
  {
    name: 'trailers',
    head: `${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`,
    repeated: 'X-More: 1\r\n',
  },
] as const;

/** Most bytes of one response that a node may read; its memory holds several of them. */
const MAX_READ_BYTES = 16 * 1024 * 1024;

for (const { name, head, repeated } of ENDLESS) {
  test(`a response whose ${name} never ends is broken off, and not held in memory`, async () => {
    const instance = new InstanceServer('i-1');
    const port = await instance.listen();
    const client = new InstanceClient({ host: '127.0.0.1', port }, HEADER_NAMES, () => {});
    instance.fault = { kind: 'endless', head, repeated };
    const result = await client.run(
      buildRequest('a'),
      buildMetadata('a', true),
      new Cancellation(),
    );
    assert.equal(result.kind, 'unknown');
    assert.notEqual(result.kind === 'unknown' && result.reason, 'timeout');
    assert.ok(instance.endlessBytes <= MAX_READ_BYTES, `${instance.endlessBytes} bytes`);
    client.close();
    await instance.close();
  });
}
