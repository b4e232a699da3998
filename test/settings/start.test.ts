import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import { createServer, type AddressInfo } from 'node:net';
import { join } from 'node:path';
import { test } from 'node:test';
import { createDir } from '../config/samples.js';
import { buildSettings } from '../fakes/nodes.js';

const PORTS = { callPort: 0, peerPort: 0, announcePort: 0, operatorPort: 0 };

// Guards against a daemon that does not start and does not say which of its ports is taken.
for (const [key, step] of [
  ['peerPort', 'peer.listen'],
  ['announcePort', 'announce.listen'],
  ['operatorPort', 'operator.listen'],
] as const) {
  test(`start: a taken ${key} ends the daemon with 1 and the address`, async (context) => {
    const taken = createServer();
    await new Promise<void>((resolve) => {
      taken.listen(0, '127.0.0.1', resolve);
    });
    context.after(() => taken.close());
    const { port } = taken.address() as AddressInfo;
    const dir = await createDir(context);
    const file = join(dir, 'node.jsonc');
    const settings = { ...buildSettings(1, 'a'), ...PORTS, [key]: port };
    await writeFile(file, JSON.stringify(settings));
    const child = spawn(process.execPath, ['dist/src/daemon.js', '--settings', file]);
    const lines: string[] = [];
    child.stderr.on('data', (chunk) => lines.push(String(chunk)));
    const code = await new Promise((resolve) => {
      child.once('close', resolve);
    });
    const log = lines.join('');
    assert.equal(code, 1, log);
    const failed = new RegExp(`event=start-failed.* step=${step}.*reason=.*EADDRINUSE.*:${port}`);
    assert.match(log, failed);
  });
}
