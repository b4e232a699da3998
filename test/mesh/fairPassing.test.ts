/** Guards against calls whose account does not reach the queues of the node that runs them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import { BodyTransfers, type AnnouncedBody } from '../../src/mesh/bodyTransfers.js';
import type { CallMetadata, HttpRequest, RunResult } from '../../src/mesh/model.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import { createPeerPort } from '../../src/mesh/peerPort.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText } from '../../src/types/ids.js';
import { closeServer, openServer } from '../../standins/http.js';
import { InstanceServer } from '../../standins/mesh/instanceServer.js';
import { createRunner, NO_REVISIONS, PEER_PORT_PARTS } from './peerPortParts.js';

const PROCESS_ID = 'p-1';

/** Queue length of an instance with one slot. */
const MAX_QUEUED = 20;

/** Time for which each run holds the only slot. */
const EXECUTION_MS = 20;

function buildMetadata(id: string, accountName: string): CallMetadata {
  const deadlineAtMs = performance.now() + 60_000;
  return {
    attemptId: id,
    requestId: id,
    route: brandText('read'),
    instanceId: brandText('i-1'),
    isIdempotent: true,
    priority: 1,
    deadlineAtMs,
    objectiveAtMs: deadlineAtMs,
    account: { name: brandText(accountName), weight: 1 },
  };
}

function buildRequest(id: string, body = Buffer.alloc(0)): HttpRequest {
  return { method: 'POST', path: '/', headers: ['Host', 'h', HEADER_NAMES.requestId, id], body };
}

// Guards against a runner that does not pass the account on, or leaves the caller of a displaced
// request without a response.
test('the runner serves a calm account early and answers the request that made way', async () => {
  const instance = new InstanceServer('i-1');
  const runner = createRunner(await instance.listen());
  const run = async (id: string, account: string): Promise<RunResult> => {
    const report = await runner.run(
      buildRequest(id),
      buildMetadata(id, account),
      new Cancellation(),
    );
    return report.result;
  };
  assert.equal((await run('before', 'hot')).kind, 'answered');
  instance.executionTimeMs = EXECUTION_MS;
  const hot = Array.from({ length: MAX_QUEUED + 1 }, (_, index) => run(`hot-${index}`, 'hot'));
  const calm = run('calm', 'calm');
  const results = await Promise.all([...hot, calm]);
  runner.close();
  await instance.close();
  assert.equal(results.at(-1)?.kind, 'answered');
  const displaced = results[MAX_QUEUED];
  assert.equal(displaced?.kind === 'notRun' && displaced.reason, 'overloaded');
  assert.ok(displaced?.kind === 'notRun' && displaced.retryAfterMs > 0);
  const position = instance.runs.findIndex(({ requestId }) => requestId === 'calm');
  assert.ok(position <= 4, `run as number ${position}`);
});

/** Records announced bodies and lets them be sent at once. */
class RecordingTransfers extends BodyTransfers {
  readonly announced: AnnouncedBody[] = [];

  override announce(
    body: AnnouncedBody,
    cancellation: Cancellation,
  ): ReturnType<BodyTransfers['announce']> {
    this.announced.push(body);
    return super.announce(body, cancellation);
  }
}

// Guards against a port that announces bodies without their account.
test('the peer port announces the body of a call with its account', async () => {
  const instance = new InstanceServer('i-1');
  const runner = createRunner(await instance.listen());
  const transfers = new RecordingTransfers(1000);
  const server = createPeerPort({ ...PEER_PORT_PARTS, runner, transfers, processId: PROCESS_ID });
  const port = await openServer(server, '127.0.0.1', 0);
  const calls = new PeerCalls({ host: '127.0.0.1', port }, NO_REVISIONS);
  const request = buildRequest('upload', Buffer.alloc(200_000, 'x'));
  const metadata = buildMetadata('upload', 'large');
  const report = await calls.send(request, metadata, PROCESS_ID, new Cancellation(), () => {});
  calls.close();
  runner.close();
  await closeServer(server);
  await instance.close();
  assert.equal(report.result.kind, 'answered');
  assert.deepEqual(
    transfers.announced.map(({ account }) => account),
    [{ name: 'large', weight: 1 }],
  );
});
