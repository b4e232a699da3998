/** Headers of calls between nodes that are larger than the default limit of a server. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LocalRunner } from '../../src/mesh/localRunner.js';
import type { HttpRequest, RunReport } from '../../src/mesh/model.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import { createPeerPort } from '../../src/mesh/peerPort.js';
import { Cancellation } from '../../src/mesh/signal.js';
import { closeServer, openServer } from '../../standins/http.js';
import { NO_REVISIONS, PEER_PORT_PARTS, buildMetadata } from './peerPortParts.js';

const PROCESS_ID = 'p-1';

/** Up to 128 KiB are read from callers; the configured limit is lower. */
const HEADER_BYTES = [16_000, 16_384, 40_000, 120_000];

for (const bytes of HEADER_BYTES) {
  // Guards against 502 for calls that the call port accepts and the node of the instance does not.
  test(`a call with ${bytes} bytes of headers is run on another node`, async () => {
    let headerBytes = 0;
    const runner = {
      async run({ headers }: HttpRequest): Promise<RunReport> {
        headerBytes = headers.join('').length;
        const response = { status: 200, headers: [], body: Buffer.from('done') };
        return { result: { kind: 'answered', response }, load: undefined };
      },
      getLoad: () => undefined,
    };
    const server = createPeerPort({
      ...PEER_PORT_PARTS,
      runner: runner as unknown as LocalRunner,
      processId: PROCESS_ID,
    });
    const port = await openServer(server, '127.0.0.1', 0);
    const calls = new PeerCalls({ host: '127.0.0.1', port }, NO_REVISIONS);
    const deadlineAtMs = performance.now() + 4000;
    try {
      const { result } = await calls.send(
        {
          method: 'GET',
          path: '/x',
          headers: ['Host', 'h', 'X-Large', 'x'.repeat(bytes)],
          body: Buffer.alloc(0),
        },
        buildMetadata(deadlineAtMs),
        PROCESS_ID,
        new Cancellation(),
        () => {},
      );
      assert.equal(result.kind, 'answered', JSON.stringify(result));
      assert.ok(headerBytes >= bytes);
    } finally {
      calls.close();
      await closeServer(server);
    }
  });
}
