import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Bundle, Head } from '../../src/generated/types.js';
import { requestJson, type Mesh } from '../../standins/launcher.js';
import { OVERLAY, editFile, prepareFolders, pullFolder, runApply } from './operatorFolders.js';
import { buildSites, startFaultMesh, waitForVersion } from './support.js';

function readObject<Value>(mesh: Mesh, name: string): Promise<Value> {
  return requestJson<Value>(`${mesh.platformUrl}/v1/objects/${name}`);
}

async function readAccepted(mesh: Mesh): Promise<Bundle> {
  const { operationId } = await readObject<Head>(mesh, 'config/head');
  return readObject<Bundle>(mesh, `bundles/${operationId}`);
}

// Guards G9: an accepted edit that a concurrent edit of another file undoes, and an overlapping
// edit that one operator loses without being told.
test('operators: edits of base and overlay at once are both in force', async (t) => {
  const mesh = await startFaultMesh(t, buildSites(2));
  const [one, two] = await prepareFolders(mesh);
  await editFile(one, 'base.jsonc', '"queueLimit": 20', '"queueLimit": 21');
  await editFile(two, OVERLAY, '5000', '5500');
  const results = await Promise.all([one, two].map((folder) => runApply(mesh, folder)));
  for (const { code, stderr } of results) assert.equal(code, 0, stderr);
  await waitForVersion(mesh.hosts, 4);
  const both = await readAccepted(mesh);
  assert.deepEqual(both.overlays, { dc0: { routes: { browse: { timeoutMs: 5500 } } } });
  const { services } = both.base as { services: { padbook: { queueLimit: number } } };
  assert.equal(services.padbook.queueLimit, 21);

  await Promise.all([one, two].map((folder) => pullFolder(mesh, folder)));
  await editFile(one, OVERLAY, '5500', '5600');
  await editFile(two, OVERLAY, '5500', '5700');
  const overlapping = await Promise.all([one, two].map((folder) => runApply(mesh, folder)));
  const codes = overlapping.map(({ code }) => code);
  assert.deepEqual([...codes].sort(), [0, 3], JSON.stringify(overlapping));
  const { stderr } = overlapping[codes.indexOf(3)] ?? { stderr: '' };
  for (const part of ['timeoutMs', '5600', '5700']) assert.ok(stderr.includes(part), stderr);
  const winner = codes[0] === 0 ? 5600 : 5700;
  await waitForVersion(mesh.hosts, 5);
  const { overlays } = await readAccepted(mesh);
  assert.deepEqual(overlays, { dc0: { routes: { browse: { timeoutMs: winner } } } });
});
