import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CALLS, THREE_HOSTS, setLatency, startFaultMesh, waitFor } from './support.js';

const LATENCY_MS = 1200;

// Guards G5 and G6: a retry of a call that the killed node had handed over, and a "not run" for it.
test('once: calls of a killed node are unknown and run at most once', async (t) => {
  const mesh = await startFaultMesh(t, THREE_HOSTS);
  const [victim, ...entries] = mesh.hosts;
  assert.ok(victim);
  await setLatency(mesh, LATENCY_MS);
  const ids = Array.from({ length: 18 }, (_, index) => `kill-${index}`);
  const results = ids.map((id, index) =>
    mesh.send(entries[index % 2] ?? victim, CALLS.booking, id),
  );
  await waitFor('18 runs', async () => mesh.listRuns().length === 18);
  await mesh.kill(victim.nodeId);
  // Calls whose entry node still takes the dead one for alive: refused connections prove "not run".
  const afterIds = Array.from({ length: 10 }, (_, index) => `after-${index}`);
  const after = await Promise.all(
    afterIds.map((id, index) => mesh.send(entries[index % 2] ?? victim, CALLS.booking, id)),
  );
  const kinds = new Map<string, string>();
  for (const [index, result] of [...(await Promise.all(results)), ...after].entries()) {
    kinds.set([...ids, ...afterIds][index] ?? '', result.kind);
  }
  const runs = mesh.listRuns();
  const atVictim = runs.filter((run) => run.instanceId === victim.instanceId);
  assert.ok(atVictim.length > 0, 'no call was in flight at the killed node');
  for (const { callId } of atVictim) assert.equal(kinds.get(callId), 'unknown', callId);
  for (const [callId, kind] of kinds) {
    const count = mesh.countRuns(callId);
    assert.ok(count <= 1, `${callId} ran ${count} times`);
    if (kind === 'notRun') assert.equal(count, 0, `${callId} was told not-run and ran`);
    if (kind === 'answered') assert.equal(count, 1, `${callId} was answered and did not run`);
  }
  const answered = afterIds.filter((id) => kinds.get(id) === 'answered');
  assert.equal(answered.length, afterIds.length, 'a certain "not run" was not tried elsewhere');
});
