import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CALLS,
  THREE_HOSTS,
  makeKey,
  setLatency,
  startFaultMesh,
  waitFor,
  waitForOwners,
} from './support.js';

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

// Guards G6: two entry nodes that run one caller-supplied key each, or lose the answer of one.
test('once: a key sent to two entry nodes at once runs once', async (t) => {
  const mesh = await startFaultMesh(t, THREE_HOSTS);
  await waitForOwners(mesh.hosts);
  await setLatency(mesh, 100);
  const keys = Array.from({ length: 16 }, (_, index) => makeKey(Date.now(), index % 8));
  const sent = keys.flatMap((key, index) =>
    [0, 1].map((side) => {
      const sameKeyIds = [`pair-${index}-0`, `pair-${index}-1`];
      const call = { ...CALLS.booking, key, sameKeyIds };
      return mesh.send(mesh.getHost((index + side) % 3), call, `pair-${index}-${side}`);
    }),
  );
  for (const result of await Promise.all(sent)) {
    assert.deepEqual(result, { kind: 'answered', status: 200, check: 'whole', version: 1 });
  }
  const runs = mesh.listRuns();
  for (const key of keys) assert.equal(runs.filter((run) => run.key === key).length, 1, key);
});

// Guards G6: a token that runs twice, or that the process after its own takes for new.
test('once: a token runs once, and not at all after its process was replaced', async (t) => {
  const mesh = await startFaultMesh(t, THREE_HOSTS);
  const requestToken = async () => {
    const entryUrl = mesh.getHost(0).callUrl;
    const token = await mesh.caller.requestToken({ entryUrl, ...CALLS.booking });
    assert.ok(token);
    return token;
  };
  const key = await requestToken();
  const sameKeyIds = ['token-0', 'token-1', 'token-2'];
  for (const [index, callId] of sameKeyIds.entries()) {
    const call = { ...CALLS.booking, key, sameKeyIds };
    const result = await mesh.send(mesh.getHost(index), call, callId);
    assert.deepEqual(result, { kind: 'answered', status: 200, check: 'whole', version: 1 });
  }
  assert.equal(mesh.listRuns().filter((run) => run.key === key).length, 1);

  const lost = await requestToken();
  const nodeId = Buffer.from(lost.split('.')[1] ?? '', 'base64url').toString();
  const owner = mesh.hosts.find((host) => host.nodeId === nodeId);
  const entry = mesh.hosts.find((host) => host.nodeId !== nodeId);
  assert.ok(owner && entry, nodeId);
  await mesh.kill(nodeId);
  await mesh.start(nodeId);
  await mesh.waitReady([nodeId]);
  for (const [index, host] of [entry, owner].entries()) {
    const result = await mesh.send(host, { ...CALLS.booking, key: lost }, `lost-${index}`);
    assert.equal(result.kind, 'unknown', JSON.stringify(result));
  }
  assert.equal(mesh.listRuns().filter((run) => run.key === lost).length, 0);
});
