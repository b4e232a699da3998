import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { test } from 'node:test';
import fc from 'fast-check';
import { ok } from 'neverthrow';
import { createPeerClient } from '../../src/core/peer/client.js';
import { createControlCounters } from '../../src/core/peer/counters.js';
import { startPeerServer } from '../../src/core/peer/server.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { unwrap } from '../fakes/results.js';

const HOST = '127.0.0.1';
const FROM = { nodeId: 'node-1', incarnation: '1-a', dataCentre: 'dc-a' };
const FLOOR = { version: 3, digest: '', ready: true, members: [] };
const VALID = JSON.stringify({
  jsonrpc: '2.0',
  id: 1,
  method: 'config.floor',
  params: { from: FROM },
});

/** Generates stream chunks: random bytes, whole and truncated requests, and unrelated JSON. */
const piece = fc.oneof(
  fc.uint8Array({ maxLength: 300 }).map((bytes) => Buffer.from(bytes)),
  fc.constant(Buffer.from(`${VALID}\n`)),
  fc.nat(VALID.length).map((length) => Buffer.from(VALID.slice(0, length))),
  fc.json().map((text) => Buffer.from(`${text}\n`)),
  fc
    .constantFrom('[]\n', '[[]]\n', 'null\n', '{"jsonrpc":"2.0"}\n', `[${VALID}]\n`, '\n\n')
    .map((text) => Buffer.from(text)),
);

// Guards against a server that crashes on invalid data or then refuses other connections.
test('a peer server keeps serving after any byte stream', async (t) => {
  const logger = SILENT_LOGGER;
  const counters = createControlCounters();
  const methods = { 'config.floor': () => ok(FLOOR) };
  const server = unwrap(await startPeerServer({ host: HOST, port: 0, methods, logger, counters }));
  const client = createPeerClient({ logger, counters });
  t.after(async () => {
    await client.close();
    await server.close();
  });
  const address = { host: HOST, port: server.port };
  await fc.assert(
    fc.asyncProperty(fc.array(piece, { minLength: 1, maxLength: 20 }), async (pieces) => {
      const socket = connect(server.port, HOST)
        .on('error', () => {})
        .resume();
      for (const bytes of pieces) socket.write(bytes);
      socket.end();
      await once(socket, 'close');
      const answer = await client.request(address, 'config.floor', { from: FROM }, 5000);
      assert.deepEqual(unwrap(answer), FLOOR);
    }),
    { seed: 20_261_204, numRuns: 300 },
  );
});
