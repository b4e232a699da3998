import assert from 'node:assert/strict';
import { test } from 'node:test';
import { request } from 'undici';
import {
  AUTHORITY,
  CALLS,
  buildConfig,
  buildSites,
  readView,
  startFaultMesh,
  waitFor,
  waitForVersion,
} from './support.js';

const TWO_HOSTS = buildSites(2);
const LENGTH = 200_000;

// Guards G4: an answer that is cut short and looks whole, through its own node or another. In
// chunks, since a stated length alone shows the caller that something is missing.
for (const truncateChunked of [false, true]) {
  const form = truncateChunked ? 'in chunks' : 'of stated length';
  test(`upstream: a truncated answer ${form} breaks its caller's connection only`, async (t) => {
    const mesh = await startFaultMesh(t, TWO_HOSTS);
    const [cutting, whole] = [mesh.getHost(0), mesh.getHost(1)];
    await mesh.setBehaviour(cutting.instanceId, { truncatePercent: 100, truncateChunked });
    const calls = Array.from({ length: 20 }, (_, index) => `cut-${index}`);
    const results = await Promise.all(
      calls.map((id, index) =>
        mesh.send(mesh.getHost(index % 2), { ...CALLS.booking, length: LENGTH }, id),
      ),
    );
    const runs = mesh.listRuns();
    const cutEntries = new Set<number>();
    for (const [index, id] of calls.entries()) {
      const result = results[index];
      const instances = runs.filter((run) => run.callId === id).map((run) => run.instanceId);
      assert.equal(instances.length, 1, id);
      if (instances[0] === cutting.instanceId) {
        assert.ok(result?.kind === 'broken' || result?.kind === 'unknown', id);
        cutEntries.add(index % 2);
      } else {
        assert.deepEqual(result, { kind: 'answered', status: 200, check: 'whole', version: 1 });
      }
    }
    // Both ways are cut: at the instance's own node and at the node that forwarded the call.
    assert.deepEqual([...cutEntries].sort(), [0, 1]);
    assert.ok(runs.some((run) => run.instanceId === whole.instanceId));
  });
}

// Guards G4 and G5: a late answer that reaches the next caller, a call past its deadline that is
// called "not run", and a slot that is given away while the upstream still works.
test('upstream: late and hanging calls end as unknown and keep their slots', async (t) => {
  const mesh = await startFaultMesh(t, buildSites(1));
  const host = mesh.getHost(0);
  const config = buildConfig(1500);
  await waitForVersion([host], await mesh.accept(config));
  await mesh.setBehaviour(host.instanceId, { lateMs: 5000 });
  const late = Array.from({ length: 10 }, (_, index) => `late-${index}`);
  const results = await Promise.all(late.map((id) => mesh.send(host, CALLS.booking, id)));
  for (const result of results) {
    assert.deepEqual(result, { kind: 'unknown', status: 504, reason: 'timeout' });
  }
  // All 10 slots are taken by calls that no caller waits for, so a new call must not run.
  const { calls } = await readView(host);
  assert.equal(calls.abandoned, 10);
  const refused = await mesh.send(host, CALLS.booking, 'refused');
  assert.equal(refused.kind, 'notRun', JSON.stringify(refused));
  await mesh.setBehaviour(host.instanceId, { lateMs: 0 });
  await waitFor(
    'the end of the late calls',
    async () => (await readView(host)).calls.abandoned === 0,
  );
  const next = Array.from({ length: 10 }, (_, index) => `next-${index}`);
  for (const result of await Promise.all(next.map((id) => mesh.send(host, CALLS.booking, id)))) {
    assert.deepEqual(result, { kind: 'answered', status: 200, check: 'whole', version: 2 });
  }
  const stats = await mesh.readUpstreamStats(host.instanceId);
  assert.equal(stats.overSlots, 0);
  assert.equal(mesh.countRuns('refused'), 0);

  const hangs = { hangPercent: 100, ignoreDeadline: true };
  await mesh.setBehaviour(host.instanceId, hangs);
  const hung = await mesh.send(host, CALLS.booking, 'hung');
  assert.deepEqual(hung, { kind: 'unknown', status: 504, reason: 'timeout' });
  await waitFor('the cancellation', async () => {
    const { busy } = await mesh.readUpstreamStats(host.instanceId);
    return busy === 0 && (await readView(host)).calls.abandoned === 0;
  });
});

// Guards the slots of calls whose callers went away: they end when the upstream has stopped: at
// once for one that honours the cancellation and not before its own end for one that ignores it.
test('upstream: a slot whose caller left is free when the upstream has stopped', async (t) => {
  const mesh = await startFaultMesh(t, buildSites(1));
  const host = mesh.getHost(0);
  const leaveAfterStart = async (callId: string) => {
    const caller = new AbortController();
    const answer = request(host.callUrl + CALLS.booking.path, {
      method: 'POST',
      headers: { host: AUTHORITY, 'x-call-id': callId },
      body: '{}',
      signal: caller.signal,
    });
    const left = assert.rejects(answer, { name: 'AbortError' });
    await waitFor('the run', async () => mesh.countRuns(callId) === 1);
    caller.abort();
    await left;
  };
  const readSlots = async () => {
    const { calls } = await readView(host);
    const { busy } = await mesh.readUpstreamStats(host.instanceId);
    return { ...calls, busy };
  };
  await mesh.setBehaviour(host.instanceId, { hangPercent: 100 });
  await leaveAfterStart('obedient');
  await waitFor('the end of the cancelled call', async () => {
    const { abandoned, inFlight, busy } = await readSlots();
    return abandoned === 0 && inFlight === 0 && busy === 0;
  });
  // Without the cancellation the upstream would end it at the deadline of the route.
  const { cancelled, deadlinePassed } = await mesh.readUpstreamStats(host.instanceId);
  assert.deepEqual({ cancelled, deadlinePassed }, { cancelled: 1, deadlinePassed: 0 });
  await mesh.setBehaviour(host.instanceId, { hangPercent: 0, lateMs: 2500 });
  await leaveAfterStart('stubborn');
  await waitFor('the abandoned call', async () => (await readView(host)).calls.abandoned === 1);
  // The upstream is read after the node: a slot that is free while the upstream works would show.
  await waitFor('the free slot', async () => (await readView(host)).calls.abandoned === 0);
  assert.equal((await mesh.readUpstreamStats(host.instanceId)).busy, 0);
});
