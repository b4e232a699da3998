/** Orders and statuses over the protocol of the store, with the stand-in. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ROLLOUT_CODEC } from '../../../platform/rollouts.js';
import { createStoreClient } from '../../../platform/storeClient.js';
import { SILENT_LOG } from '../../../src/mesh/eventLog.js';
import { MeshMetrics } from '../../../src/mesh/meshMetrics.js';
import { RolloutCoordinator } from '../../../src/mesh/rollouts/rolloutCoordinator.js';
import { StoreServer } from '../../../standins/mesh/storeServer.js';
import { waitUntil } from '../../../standins/wait.js';

const { kind: KIND } = ROLLOUT_CODEC;
const ORDER = { Service: 'pads', TargetVersion: 'v2', Duration: '1500ms' };

async function withCoordinator(
  run: (coordinator: RolloutCoordinator, server: StoreServer) => Promise<void>,
): Promise<void> {
  const server = new StoreServer();
  const port = await server.listen();
  const store = createStoreClient(() => ({ host: '127.0.0.1', port }));
  const coordinator = new RolloutCoordinator({
    store,
    codec: ROLLOUT_CODEC,
    getPolicy: () => ({ maxShare: 0.1, slack: 50, rollbackMs: 5000 }),
    log: SILENT_LOG,
    metrics: new MeshMetrics(),
  });
  try {
    await run(coordinator, server);
  } finally {
    coordinator.close();
    store.close();
    await server.close();
  }
}

function readState(server: StoreServer): unknown {
  return (server.getStatus(KIND, 'pads') as { State?: string } | null)?.State;
}

test('a status is written beside the order, and only on the revision that was read', async () => {
  const server = new StoreServer();
  const port = await server.listen();
  const store = createStoreClient(() => ({ host: '127.0.0.1', port }));
  const revision = server.put(KIND, 'pads', ORDER);
  const written = await store.replaceStatus(KIND, 'pads', { State: 'running' }, revision);
  assert.deepEqual(written._unsafeUnwrap().status, { State: 'running' });
  const late = await store.replaceStatus(KIND, 'pads', { State: 'completed' }, revision);
  assert.equal(late._unsafeUnwrapErr().kind, 'conflict');
  const missing = await store.replaceStatus(KIND, 'other', { State: 'completed' }, revision);
  assert.equal(missing._unsafeUnwrapErr().kind, 'not-found');
  const read = (await store.read(KIND, 'pads'))._unsafeUnwrap();
  assert.deepEqual(read.value, ORDER);
  assert.deepEqual(read.status, { State: 'running' });
  store.close();
  await server.close();
});

test('a node that does not coordinate makes no call to the store', async () => {
  await withCoordinator(async (coordinator, server) => {
    coordinator.setActive(false);
    assert.deepEqual(server.calls, []);
    coordinator.setActive(true);
    await waitUntil(() => server.calls.length > 0);
    coordinator.setActive(false);
    const { length } = server.calls;
    server.put(KIND, 'pads', ORDER);
    assert.equal(server.calls.length, length);
    assert.deepEqual(coordinator.listDirectives(performance.now()), []);
  });
});

test('an order that arrives during the watch is run and decided at its end', async () => {
  await withCoordinator(async (coordinator, server) => {
    coordinator.setActive(true);
    await waitUntil(() => server.calls.length >= 2);
    server.put(KIND, 'pads', ORDER);
    await waitUntil(() => readState(server) === 'running');
    await waitUntil(() => coordinator.listDirectives(performance.now())[0]?.share === 0.06);
    await waitUntil(() => readState(server) === 'rolled_back');
    assert.equal(coordinator.listDirectives(performance.now())[0]?.state, 'rolled_back');
  });
});

test('orders are read again after the store was away and its history compacted', async () => {
  await withCoordinator(async (coordinator, server) => {
    coordinator.setActive(true);
    await waitUntil(() => server.calls.length >= 2);
    server.setFault({ kind: 'reset' });
    server.compactHistory();
    server.put(KIND, 'pads', ORDER);
    server.forgetHistory();
    const { length } = server.calls;
    await waitUntil(() => server.calls.length > length);
    server.setFault({ kind: 'none' });
    await waitUntil(() => readState(server) === 'running');
  });
});
