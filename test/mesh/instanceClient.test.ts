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
