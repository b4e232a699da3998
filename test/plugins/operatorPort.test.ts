import assert from 'node:assert/strict';
import { after, before, describe, test } from 'node:test';
import { request } from 'undici';
import { buildJsonResponse, startOperatorPort } from '../../src/plugins/operatorPort.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { unwrap } from '../fakes/results.js';

describe('operator port', () => {
  const operatorPort = { port: 0, stop: async () => {} };
  before(async () => {
    const running = await startOperatorPort({
      host: '127.0.0.1',
      port: 0,
      token: 'secret',
      logger: SILENT_LOGGER,
      handlers: {
        '/v1/status': () => buildJsonResponse({ ready: true }),
        '/v1/fails': () => {
          throw new Error('broken handler');
        },
      },
    });
    Object.assign(operatorPort, unwrap(running));
  });
  after(() => operatorPort.stop());

  const cases = [
    { name: 'the right token', path: '/v1/status', authorization: 'Bearer secret', status: 200 },
    { name: 'no token', path: '/v1/status', authorization: '', status: 401 },
    { name: 'a wrong token', path: '/v1/status', authorization: 'Bearer secres', status: 401 },
    { name: 'an unknown path', path: '/v1/none', authorization: 'Bearer secret', status: 404 },
    { name: 'a prototype name', path: '/constructor', authorization: 'Bearer secret', status: 404 },
    { name: 'a broken handler', path: '/v1/fails', authorization: 'Bearer secret', status: 500 },
  ];
  for (const { name, path, authorization, status } of cases) {
    // Guards against access without the token, and against a handler error that ends the server.
    test(`${name} gets ${status}`, async () => {
      const response = await request(`http://127.0.0.1:${operatorPort.port}${path}`, {
        headers: { authorization },
      });
      await response.body.dump();
      assert.equal(response.statusCode, status);
    });
  }

  // Guards against requests that change state: the operator port is read-only.
  test('a POST gets 405', async () => {
    const response = await request(`http://127.0.0.1:${operatorPort.port}/v1/status`, {
      method: 'POST',
      headers: { authorization: 'Bearer secret' },
    });
    await response.body.dump();
    assert.equal(response.statusCode, 405);
  });
});
