/** Guards against requests that start after a suspension of the host of their instance. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../../platform/names.js';
import type { CallMetadata, RunResult } from '../../../src/mesh/model.js';
import { Cancellation } from '../../../src/mesh/signal.js';
import { brandText } from '../../../src/types/ids.js';
import { InstanceServer } from '../../../standins/mesh/instanceServer.js';
import { createRunner } from '../peerPortParts.js';

const TIME_MS = 5000;
const RUN_MS = 50;

const ACCOUNT = { name: brandText<never>('shop'), weight: 1 };

/** Returns the result of a request that waits while the host of the instance is suspended. */
async function runWhileSuspended(metadata: Partial<CallMetadata>): Promise<RunResult> {
  const server = new InstanceServer('i-1');
  server.executionTimeMs = RUN_MS;
  let suspensions = 0;
  const runner = createRunner(await server.listen(), { count: () => suspensions });
  runner.handleInstanceChange();
  const run = (id: string) => {
    const atMs = performance.now() + TIME_MS;
    const headers = ['Host', 'h', HEADER_NAMES.requestId, id];
    const call: CallMetadata = {
      attemptId: `origin.${id}`,
      requestId: id,
      route: brandText('route'),
      instanceId: brandText('i-1'),
      isIdempotent: false,
      priority: 0,
      deadlineAtMs: atMs,
      objectiveAtMs: atMs,
      ...metadata,
    };
    const request = { method: 'GET', path: '/', headers, body: Buffer.alloc(0) };
    return runner.run(request, call, new Cancellation());
  };
  const running = run('first');
  const waiting = run('second');
  suspensions += 1;
  await running;
  const { result } = await waiting;
  runner.close();
  await server.close();
  return result;
}

test('a request that waited during a suspension does not run with a removed key', async () => {
  const authorizedUntilMs = performance.now() + TIME_MS;
  const result = await runWhileSuspended({ account: ACCOUNT, authorizedUntilMs });
  assert.ok(result.kind === 'notRun' && result.reason === 'unauthorized', JSON.stringify(result));
});

test('a request without a key runs after a suspension', async () => {
  assert.equal((await runWhileSuspended({})).kind, 'answered');
});
