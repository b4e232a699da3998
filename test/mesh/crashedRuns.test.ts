/** An unexpected error while a call of another node is served. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../platform/names.js';
import type { LocalRunner } from '../../src/mesh/localRunner.js';
import type { CallMetadata } from '../../src/mesh/model.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import { createPeerPort } from '../../src/mesh/peerPort.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { brandText } from '../../src/types/ids.js';
import { closeServer, openServer } from '../../standins/http.js';
import { NO_REVISIONS, PEER_PORT_PARTS } from './peerPortParts.js';

const PROCESS_ID = 'p-1';

test('an unexpected error ends one call as unknown, and not the process', async () => {
  let calls = 0;
  const runner = {
    async run() {
      calls += 1;
      throw new Error('unexpected');
    },
    checkRoom() {
      throw new Error('unexpected');
    },
    getMeanMs: () => 0,
    getLoad: () => undefined,
  };
  const server = createPeerPort({
    ...PEER_PORT_PARTS,
    runner: runner as unknown as LocalRunner,
    processId: PROCESS_ID,
  });
  const port = await openServer(server, '127.0.0.1', 0);
  const peer = new PeerCalls({ host: '127.0.0.1', port }, NO_REVISIONS);
  const send = (id: string, bodyBytes: number) => {
    const deadlineAtMs = performance.now() + 2000;
    const metadata: CallMetadata = {
      attemptId: id,
      requestId: id,
      route: brandText('route'),
      instanceId: brandText('i-1'),
      isIdempotent: false,
      priority: 0,
      deadlineAtMs,
      objectiveAtMs: deadlineAtMs,
    };
    const headers = ['Host', 'h', HEADER_NAMES.requestId, id];
    const request = { method: 'POST', path: '/', headers, body: Buffer.alloc(bodyBytes) };
    return peer.send(request, metadata, PROCESS_ID, new Cancellation(), () => {});
  };
  try {
    for (const [index, bodyBytes] of [10, 20, 50_000, 10].entries()) {
      const { result } = await send(`c-${index}`, bodyBytes);
      assert.equal(result.kind, 'unknown', JSON.stringify(result));
    }
    assert.equal(calls, 3, 'those with a small body reached the runner');
  } finally {
    peer.close();
    await closeServer(server);
  }
});
