import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { access, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { startMesh, type Mesh, type Topology } from '../../standins/launcher.js';
import { requestStatus } from '../../standins/launcher/control.js';
import { waitUntil } from '../../standins/wait.js';

const PROGRAM = fileURLToPath(new URL('../../standins/launcher/main.js', import.meta.url));
const SERVICE = { service: 'padbook', instances: 1, slots: 2, workMs: 0 };
const TOPOLOGY: Topology = {
  seed: 7,
  oneWayMs: 1,
  dataCentres: [
    { name: 'north', region: 'here', services: [SERVICE] },
    { name: 'south', region: 'here', services: [SERVICE] },
  ],
};

function isAlive(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
}

function listPids(mesh: Mesh): number[] {
  const ids = ['platform', ...mesh.hosts.flatMap((host) => [host.nodeId, host.instanceId])];
  return ids.map((id) => mesh.getProcess(id).pid ?? 0).filter((pid) => pid > 0);
}

// Guards against processes (also frozen ones) or folders that remain after the mesh has stopped,
// and against signals that are sent to the wrong process.
test('launcher: controls processes by id, stops all and removes its folder', async () => {
  const mesh = await startMesh(TOPOLOGY);
  const started = listPids(mesh);
  assert.equal(started.length, 5);
  const [first, second] = mesh.hosts;
  assert.ok(first && second);
  assert.deepEqual(await mesh.kill(first.nodeId), { code: null, signal: 'SIGKILL' });
  assert.equal(await requestStatus(`${first.operatorUrl}/healthz`), 0);
  await mesh.start(first.nodeId);
  // A node without an accepted configuration runs but is not ready.
  assert.equal(await requestStatus(`${first.operatorUrl}/healthz`), 503);
  assert.equal((await mesh.terminate(second.nodeId)).code, 0);
  await mesh.setPlatformFaults({ failPercent: 1 });
  assert.equal((await mesh.readUpstreamStats(first.instanceId)).service, 'padbook');
  mesh.freeze(second.instanceId);
  const pids = [...started, ...listPids(mesh)];
  await mesh.stop();
  assert.deepEqual(pids.filter(isAlive), []);
  await assert.rejects(access(mesh.folder));
});

test('launcher: a process that fails to start stops the others', async () => {
  const invalidTopology: Topology = { ...TOPOLOGY, nodeSettings: { logLevel: 'loud' as 'info' } };
  await assert.rejects(startMesh(invalidTopology), /logLevel/);
});

for (const signal of ['SIGINT', 'SIGKILL'] as const) {
  test(`launcher: ${signal} to its program terminates all processes`, async () => {
    const folder = await mkdtemp(join(tmpdir(), 'lycheelane-test-'));
    const path = join(folder, 'topology.json');
    await writeFile(path, JSON.stringify(TOPOLOGY));
    const program = spawn(process.execPath, [PROGRAM, '--topology', path], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const [line] = (await once(createInterface({ input: program.stdout }), 'line')) as [string];
    const mesh = JSON.parse(line) as { pids: number[]; folder: string };
    assert.equal(mesh.pids.filter(isAlive).length, 5);
    program.kill(signal);
    await once(program, 'exit');
    await waitUntil(() => mesh.pids.filter(isAlive).length === 0);
    if (signal === 'SIGINT') await assert.rejects(access(mesh.folder));
    await rm(mesh.folder, { recursive: true, force: true });
    await rm(folder, { recursive: true });
  });
}
