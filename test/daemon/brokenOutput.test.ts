import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';

const DAEMON = fileURLToPath(new URL('../../src/daemon.js', import.meta.url));
const HOST = '127.0.0.1';

// Guards against a daemon that ends because the process that reads its logs has ended.
test('a daemon goes on when nobody reads its output any more', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'lycheelane-'));
  const path = join(folder, 'n1.json');
  const ports = { callPort: 0, peerPort: 0, announcePort: 0, operatorPort: 0 };
  const place = { nodeId: 'n1', dataCentre: 'dc', region: 'region', host: HOST };
  await writeFile(path, JSON.stringify({ ...place, ...ports, platformUrl: `http://${HOST}:1` }));
  const daemon = spawn(process.execPath, [DAEMON, '--settings', path]);
  t.after(async () => {
    daemon.kill('SIGKILL');
    await rm(folder, { recursive: true });
  });
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
