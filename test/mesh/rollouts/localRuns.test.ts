/** Guards against a version that is judged by requests that it has not run. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HEADER_NAMES } from '../../../platform/names.js';
import { ROLLOUT_CODEC } from '../../../platform/rollouts.js';
import { SILENT_LOG } from '../../../src/mesh/eventLog.js';
import { LocalInstance } from '../../../src/mesh/localInstance.js';
import { LocalRunner } from '../../../src/mesh/localRunner.js';
import { RunCounter } from '../../../src/mesh/rollouts/runCounter.js';
import { Cancellation } from '../../../src/mesh/signal.js';
import { brandText, type InstanceId } from '../../../src/types/ids.js';
import { InstanceServer, type InstanceFault } from '../../../standins/mesh/instanceServer.js';
import { CALM_LOOP } from '../peerPortParts.js';
import { withFleet } from '../withFleet.js';

const INSTANCE_ID = brandText<InstanceId>('i-1');

/** Sends a request for each fault and returns the counts of the runner. */
async function countRuns(
  faults: readonly InstanceFault[],
): Promise<{ readonly runs: number; readonly failures: number }> {
  const server = new InstanceServer(INSTANCE_ID);
  const address = { host: '127.0.0.1', port: await server.listen() };
  const instance = new LocalInstance();
  instance.applyHeartbeat({
    instanceId: INSTANCE_ID,
    service: brandText('pads'),
    address,
    startedAtMs: 1,
    state: 'ready',
    slots: 1,
    warmupMs: 0,
    sequence: 1,
  });
  const runCounter = new RunCounter();
  const runner = new LocalRunner({
    runCounter,
    instance,
    loop: CALM_LOOP,
    getAddress: () => address,
    names: HEADER_NAMES,
    log: SILENT_LOG,
    onLeaving: () => {},
    onMismatch: () => {},
  });
  runner.handleInstanceChange();
  for (const [index, fault] of faults.entries()) {
    server.fault = fault;
    const deadlineAtMs = performance.now() + 400;
    const requestId = `r-${index}`;
    await runner.run(
      {
        method: 'GET',
        path: '/',
        headers: ['Host', 'h', HEADER_NAMES.requestId, requestId],
        body: Buffer.alloc(0),
      },
      {
        attemptId: `origin.${index}`,
        requestId,
        route: brandText('route'),
        instanceId: INSTANCE_ID,
        isIdempotent: false,
        priority: 0,
        deadlineAtMs,
        objectiveAtMs: deadlineAtMs,
      },
      new Cancellation(),
    );
  }
  runner.close();
  await server.close();
  const [{ runs, failures } = { runs: 0, failures: 0 }] = runCounter.listRuns(INSTANCE_ID);
  return { runs, failures };
}

test('a version is judged by 5xx responses and by requests that it does not answer', async () => {
  const counts = await countRuns([
    { kind: 'none' },
    { kind: 'fail', status: 404 },
    { kind: 'fail', status: 500 },
    { kind: 'lose-answer' },
    { kind: 'hang' },
  ]);
  assert.deepEqual(counts, { runs: 5, failures: 3 });
});

test('requests that an instance refuses without running them do not count against it', async () => {
  assert.deepEqual(await countRuns([{ kind: 'shed' }]), { runs: 0, failures: 0 });
});

test('nodes without bounds for rollouts never ask the store for their orders', async () => {
  await withFleet(async (fleet) => {
    fleet.store.put(ROLLOUT_CODEC.kind, 'pads', {});
    const host = await fleet.addHost('pads');
    await fleet.waitForRecords();
    assert.equal(host.settings.rollout, undefined);
    const kinds = new Set(fleet.store.calls.map((call) => call.split(' ')[1]));
    assert.ok(!kinds.has(ROLLOUT_CODEC.kind), [...kinds].join(' '));
  });
});
