import assert from 'node:assert/strict';
import { after, before, describe, test } from 'node:test';
import { request } from 'undici';
import { buildJsonAnswer, startOperatorPort } from '../../src/plugins/operatorPort.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { unwrap } from '../fakes/results.js';

describe('operator port', () => {
  const started = { port: 0, stop: async () => {} };
  before(async () => {
    const running = await startOperatorPort({
      host: '127.0.0.1',
      port: 0,
      token: 'secret',
      logger: SILENT_LOGGER,
      handlers: {
        '/v1/status': () => buildJsonAnswer({ ready: true }),
        '/v1/fails': () => {
          throw new Error('broken handler');
        },
      },
    });
    Object.assign(started, unwrap(running));
  });
  after(() => started.stop());

  const cases = [
    { name: 'the right token', path: '/v1/status', authorization: 'Bearer secret', status: 200 },
    { name: 'no token', path: '/v1/status', authorization: '', status: 401 },
    { name: 'a wrong token', path: '/v1/status', authorization: 'Bearer secres', status: 401 },
    { name: 'an unknown path', path: '/v1/none', authorization: 'Bearer secret', status: 404 },
    { name: 'a prototype name', path: '/constructor', authorization: 'Bearer secret', status: 404 },
    { name: 'a broken handler', path: '/v1/fails', authorization: 'Bearer secret', status: 500 },
  ];
  for (const { name, path, authorization, status } of cases) {
    // Guards against an operator port that is open without its credential or dies of a fault.
    test(`${name} gets ${status}`, async () => {
      const response = await request(`http://127.0.0.1:${started.port}${path}`, {
        headers: { authorization },
      });
      await response.body.dump();
      assert.equal(response.statusCode, status);
    });
  }

  // Guards against changes through the operator port, which only reports.
  test('a POST gets 405', async () => {
    const response = await request(`http://127.0.0.1:${started.port}/v1/status`, {
      method: 'POST',
      headers: { authorization: 'Bearer secret' },
    });
    await response.body.dump();
    assert.equal(response.statusCode, 405);
  });
});
