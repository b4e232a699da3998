import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import type { Head } from '../../src/generated/types.js';
import { requestJson, runCommand, startMesh, type Mesh } from '../../standins/launcher.js';
import { OVERLAY, editFile, prepareFolders, runApply } from './operatorFolders.js';
import { buildSites, waitFor } from './support.js';

const PLATFORM_ALONE = { nodes: false, upstreams: false };

async function startPlatform(t: TestContext): Promise<Mesh> {
  const mesh = await startMesh(buildSites(1), PLATFORM_ALONE);
  t.after(() => mesh.stop());
  return mesh;
}

// Guards the one decision of an apply: a lost answer that makes a second version, or a failure.
test('operators: an apply whose write answers are lost makes one version', async (t) => {
  const mesh = await startPlatform(t);
  const [folder] = await prepareFolders(mesh);
  await editFile(folder, OVERLAY, '5000', '5500');
  await mesh.setPlatformFaults({ loseWriteAnswers: true });
  const { code, stdout, stderr } = await runApply(mesh, folder);
  assert.equal(code, 0, stderr);
  assert.match(stdout, /accepted as version 2/);
  assert.ok((await mesh.readPlatformStats()).lostAnswers >= 2);
  assert.equal((await requestJson<Head>(`${mesh.platformUrl}/v1/objects/config/head`)).version, 2);
});

// Guards the exit code 4: an operator who is told "failed" or "done" when nobody can know.
test('operators: an apply that cannot learn its result exits with 4', async (t) => {
  const mesh = await startPlatform(t);
  const [folder] = await prepareFolders(mesh);
  await editFile(folder, OVERLAY, '5000', '5500');
  // The delay holds back the read that follows the lost answer until the platform is down.
  await mesh.setPlatformFaults({ loseWriteAnswers: true, delayMs: 700 });
  const applied = runApply(mesh, folder);
  await waitFor('the lost answer of the head write', async () => {
    const { lostAnswers } = await mesh.readPlatformStats();
    return lostAnswers >= 2;
  });
  await mesh.setPlatformFaults({ down: true });
  const { code, stderr } = await applied;
  assert.equal(code, 4, stderr);
  const [, operation = ''] = /operation (\S+)/.exec(stderr) ?? [];
  await mesh.setPlatformFaults({ down: false, loseWriteAnswers: false, delayMs: 0 });
  const args = ['config', 'status', operation, '--platform', mesh.platformUrl];
  const status = await runCommand(args);
  assert.equal(status.code, 0, status.stderr);
  assert.match(status.stdout, /accepted as version 2/);
});
