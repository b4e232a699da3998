import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { HOST, writeSettings } from './settingsFile.js';

const DAEMON = fileURLToPath(new URL('../../src/daemon.js', import.meta.url));
const PORTS = [
  { name: 'callPort', step: 'calls.listen' },
  { name: 'peerPort', step: 'peer.listen' },
  { name: 'announcePort', step: 'announce.listen' },
  { name: 'operatorPort', step: 'operator.listen' },
] as const;

/** Runs the daemon until it exits; resolves with its exit code and output. */
function runDaemon(path: string): Promise<{ code: unknown; output: string }> {
  return new Promise((resolve) => {
    const args = ['--enable-source-maps', DAEMON, '--settings', path];
    execFile(process.execPath, args, { timeout: 20_000 }, (error, stdout, stderr) => {
      resolve({ code: error?.code, output: stdout + stderr });
    });
  });
}

for (const { name, step } of PORTS) {
  // Guards against a daemon that hangs when a port is in use, or does not report port and cause.
  test(`a daemon whose ${name} is in use exits with the address and the cause`, async (t) => {
    const occupier = createServer().listen(0, HOST);
    await once(occupier, 'listening');
    t.after(() => occupier.close());
    const { port } = occupier.address() as AddressInfo;
    const path = await writeSettings(t, { [name]: port });
    const { code, output } = await runDaemon(path);
    assert.equal(code, 1);
    const line = output.split('\n').find((each) => each.includes('start-failed')) ?? output;
    assert.match(line, new RegExp(`step=${step} peer=${HOST}:${port} .*EADDRINUSE`));
  });
}
