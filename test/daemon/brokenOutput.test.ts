import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { HOST, writeSettings } from './settingsFile.js';

const DAEMON = fileURLToPath(new URL('../../src/daemon.js', import.meta.url));

// Guards against a daemon that exits on EPIPE after the process that reads its logs has exited.
test('a daemon keeps running after its output streams are closed', async (t) => {
  const path = await writeSettings(t);
  const daemon = spawn(process.execPath, [DAEMON, '--settings', path]);
  t.after(() => daemon.kill('SIGKILL'));
  const [line] = (await once(daemon.stdout, 'data')) as [Buffer];
  const started = JSON.parse(line.toString()) as { announcePort: number; operatorPort: number };
  daemon.stdout.destroy();
  daemon.stderr.destroy();
  // Each refused announcement is logged.
  for (let index = 0; index < 5; index += 1) {
    const url = `http://${HOST}:${started.announcePort}/v1/announce`;
    const refused = await request(url, { method: 'POST', body: '{}' });
    assert.equal(refused.statusCode, 400);
    await refused.body.dump();
  }
  const health = await request(`http://${HOST}:${started.operatorPort}/healthz`);
  await health.body.dump();
  assert.equal(health.statusCode, 503);
  assert.equal(daemon.exitCode, null);
});
