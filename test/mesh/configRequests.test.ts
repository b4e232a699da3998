/** Requests for configuration changes whose answers cannot be used. */
import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { test } from 'node:test';
import type { StepError } from '../../src/errors.js';
import type { ConfigRequest } from '../../src/mesh/configAnswers.js';
import { PeerCalls } from '../../src/mesh/peerCalls.js';
import { RevisionExchange } from '../../src/mesh/revisionExchange.js';
import { brandVersion } from '../../src/types/ids.js';
import { closeServer, openServer } from '../../standins/http.js';

const REQUEST: ConfigRequest = {
  version: brandVersion(1),
  revision: 2,
  canConfirm: false,
  waitMs: 100,
};

test('an answer that cannot be decoded, or refuses, is reported with step and peer', async () => {
  const replies = [
    { status: 200, body: 'not deflated', step: 'config.decodeAnswer' },
    { status: 400, body: '', step: 'config.request' },
  ];
  for (const { status, body, step } of replies) {
    const server = createServer((_request, response) => response.writeHead(status).end(body));
    const port = await openServer(server, '127.0.0.1', 0);
    const calls = new PeerCalls({ host: '127.0.0.1', port }, new RevisionExchange([]));
    const errors: StepError[] = [];
    const answer = await calls.requestConfig(REQUEST, (error) => errors.push(error));
    calls.close();
    await closeServer(server);
    assert.equal(answer, undefined, step);
    const named = errors.map((error) => [error.step, error.peer]);
    assert.deepEqual(named, [[step, `127.0.0.1:${port}`]]);
  }
});
