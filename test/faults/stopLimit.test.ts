import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CALLS, buildSites, readView, startFaultMesh, waitFor } from './support.js';

// Guards the stop limit and the second signal: a call that never ends must not hold up a stop for
// ever, and neither end may look like a graceful one.
test('stop: the stop limit ends with 3, a second signal with 4', async (t) => {
  const mesh = await startFaultMesh(t, {
    ...buildSites(2),
    nodeSettings: { calls: { stopLimitMs: 2000 } },
  });
  const [limited, signalled] = [mesh.getHost(0), mesh.getHost(1)];
  await mesh.terminate(signalled.instanceId);
  await mesh.setBehaviour(limited.instanceId, { hangPercent: 100 });
  const atLimit = mesh.send(signalled, CALLS.booking, 'limit');
  const running = async () => (await readView(limited)).calls.inFlight === 1;
  await waitFor('the hanging call', running);
  const first = mesh.terminate(signalled.nodeId);
  await waitFor('the first signal', async () => (await readView(signalled)).state === 'leaving');
  assert.deepEqual(await mesh.terminate(signalled.nodeId), { code: 4, signal: null });
  assert.equal((await first).code, 4);
  assert.equal((await atLimit).kind, 'broken');

  const cut = mesh.send(limited, CALLS.booking, 'cut');
  await waitFor('the second hanging call', running);
  assert.deepEqual(await mesh.terminate(limited.nodeId), { code: 3, signal: null });
  // A connection that breaks without a response means "unknown" as well (docs/operators/calls.md).
  const result = await cut;
  assert.ok(['unknown', 'broken'].includes(result.kind), JSON.stringify(result));
  assert.equal(mesh.countRuns('cut'), 1);
});
