import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CALLS,
  THREE_HOSTS,
  makeKey,
  readView,
  startFaultMesh,
  waitFor,
  waitForOwners,
} from './support.js';

// Guards G6: an owner that slept through the takeover of its partition and runs keys of the new
// owner when it wakes, and a new owner that runs keys of the old one's interval.
test('once: an owner that wakes after its takeover runs no key of the new owner', async (t) => {
  const mesh = await startFaultMesh(t, THREE_HOSTS);
  const owners = await waitForOwners(mesh.hosts);
  const [partition, old] = [...owners][0] ?? [];
  assert.ok(partition !== undefined && old);
  const others = mesh.hosts.filter((host) => host !== old.host);
  const [entry] = others;
  assert.ok(entry);
  mesh.freeze(old.host.nodeId);
  const recorded = await waitFor('the takeover', async () => {
    const name = `padbook.${partition}`;
    const views = await Promise.all(others.map(readView));
    return views.flatMap((view) => view.keyPartitions).find((held) => held.name === name);
  });
  assert.ok(recorded.until > old.until, 'the takeover does not begin at the old end');
  const before = makeKey(old.until - 1, partition);
  const behind = makeKey(old.until, partition);
  // The frozen node accepts both in its socket and reads them when it wakes.
  const asleep = [
    mesh.send(old.host, { ...CALLS.booking, key: before }, 'asleep-before'),
    mesh.send(
      old.host,
      { ...CALLS.booking, key: behind, sameKeyIds: ['awake-behind'] },
      'asleep-behind',
    ),
  ];
  const awakeBefore = await mesh.send(entry, { ...CALLS.booking, key: before }, 'awake-before');
  const awakeBehind = await mesh.send(entry, { ...CALLS.booking, key: behind }, 'awake-behind');
  assert.equal(awakeBefore.kind, 'unknown', JSON.stringify(awakeBefore));
  assert.equal(awakeBehind.kind, 'answered', JSON.stringify(awakeBehind));
  mesh.thaw(old.host.nodeId);
  await Promise.all(asleep);
  const runs = mesh.listRuns();
  assert.ok(runs.filter((run) => run.key === before).length <= 1);
  assert.deepEqual(
    runs.filter((run) => run.key === behind).map((run) => run.callId),
    ['awake-behind'],
  );
});
