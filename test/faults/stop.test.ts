import assert from 'node:assert/strict';
import { test } from 'node:test';
import { explainRoute } from '../../standins/observe.js';
import {
  CALLS,
  THREE_HOSTS,
  readView,
  setLatency,
  startFaultMesh,
  waitFor,
  type FaultMesh,
} from './support.js';

const LATENCY_MS = 1200;

/** Sends calls through the nodes in turn and returns their results by call id. */
function sendCalls(mesh: FaultMesh, name: string, count: number, depth?: number) {
  return Array.from({ length: count }, (_, index) =>
    mesh.send(mesh.getHost(index % 3), { ...CALLS.browse, depth }, `${name}-${index}`),
  );
}

async function countBusy(mesh: FaultMesh): Promise<number> {
  const stats = await Promise.all(
    mesh.hosts.map((host) => mesh.readUpstreamStats(host.instanceId)),
  );
  return stats.reduce((sum, { busy }) => sum + busy, 0);
}

// Guards G8: a planned stop that cuts calls in flight at its entry side or its instance side, that
// refuses the nested calls of such a call, or still takes new work.
test('stop: a node finishes its calls and their nested calls and takes no new ones', async (t) => {
  const mesh = await startFaultMesh(t, THREE_HOSTS);
  const leaving = mesh.getHost(0);
  await setLatency(mesh, LATENCY_MS);
  const inFlight = [...sendCalls(mesh, 'plain', 9), ...sendCalls(mesh, 'nested', 9, 2)];
  await waitFor('18 calls in flight', async () => (await countBusy(mesh)) === 18);
  assert.ok((await mesh.readUpstreamStats(leaving.instanceId)).busy > 0);
  const exit = mesh.terminate(leaving.nodeId);
  await waitFor('the refusal of new calls', async () => {
    const result = await mesh.send(leaving, CALLS.browse, 'refused');
    return result.kind === 'notRun' && result.reason === 'leaving';
  });
  const firstRuns = mesh.listRuns().filter((run) => run.instanceId === leaving.instanceId);
  const elsewhere = Array.from({ length: 10 }, (_, index) =>
    mesh.send(mesh.getHost(1 + (index % 2)), CALLS.browse, `new-${index}`),
  );
  for (const result of await Promise.all([...inFlight, ...elsewhere])) {
    assert.deepEqual(result, { kind: 'answered', status: 200, check: 'whole', version: 1 });
  }
  assert.deepEqual(await exit, { code: 0, signal: null });
  const runs = mesh.listRuns().filter((run) => run.instanceId === leaving.instanceId);
  assert.equal(runs.length, firstRuns.length, 'new work ran at the leaving node');
});

// Guards G7: new work for an upstream that announced `leaving`, and the loss of work that it has.
test('stop: an upstream that leaves gets no new work and finishes what it has', async (t) => {
  const mesh = await startFaultMesh(t, THREE_HOSTS);
  const leaving = mesh.getHost(0);
  await setLatency(mesh, LATENCY_MS);
  const inFlight = sendCalls(mesh, 'first', 15);
  await waitFor('15 calls in flight', async () => (await countBusy(mesh)) === 15);
  assert.ok((await mesh.readUpstreamStats(leaving.instanceId)).busy > 0);
  const exit = mesh.terminate(leaving.instanceId);
  await waitFor('the news at every node', async () => {
    const routes = await Promise.all(mesh.hosts.map((host) => explainRoute(host, 'browse')));
    return routes.every(
      (route) => route?.nodes.filter((node) => node.score !== undefined).length === 2,
    );
  });
  const later = await Promise.all(sendCalls(mesh, 'later', 9));
  for (const result of [...later, ...(await Promise.all(inFlight))]) {
    assert.deepEqual(result, { kind: 'answered', status: 200, check: 'whole', version: 1 });
  }
  assert.deepEqual(await exit, { code: 0, signal: null });
  const late = mesh.listRuns().filter((run) => run.callId.startsWith('later'));
  assert.deepEqual(
    late.filter((run) => run.instanceId === leaving.instanceId),
    [],
  );
  assert.equal((await readView(leaving)).calls.inFlight, 0);
});
