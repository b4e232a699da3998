import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CALLS,
  buildConfig,
  buildSites,
  readView,
  startFaultMesh,
  waitFor,
  waitForVersion,
} from './support.js';

const WHOLE = { kind: 'answered', status: 200, check: 'whole' };

// Guards G9 and G1: a data centre without the platform that stays behind although other data
// centres have the version, one without both that stops serving, and one that stays behind or
// brings the others back after the partition has healed.
test('partition: a data centre converges over the others and catches up', async (t) => {
  const mesh = await startFaultMesh(t, buildSites(2, 2));
  const [cut, rest] = [mesh.hosts.slice(2), mesh.hosts.slice(0, 2)];
  const [entry] = cut;
  assert.ok(entry);
  await mesh.setCuts([['dc1', 'platform']]);
  await waitForVersion(mesh.hosts, await mesh.accept(buildConfig(8000)));

  await mesh.setCuts([
    ['dc1', 'platform'],
    ['dc1', 'dc0'],
  ]);
  await waitForVersion(rest, await mesh.accept(buildConfig(7000)));
  for (let index = 0; index < 10; index += 1) {
    const result = await mesh.send(entry, CALLS.booking, `alone-${index}`);
    assert.deepEqual(result, { ...WHOLE, version: 2 });
  }
  const ids = cut.map((host) => host.instanceId);
  const runs = mesh.listRuns().filter((run) => run.callId.startsWith('alone'));
  assert.ok(runs.length === 10 && runs.every((run) => ids.includes(run.instanceId)));
  const views = await Promise.all(cut.map(readView));
  assert.deepEqual(
    views.map((view) => view.version),
    [2, 2],
  );

  await mesh.setCuts([]);
  await waitForVersion(mesh.hosts, 3);
  assert.deepEqual(await mesh.send(entry, CALLS.booking, 'healed'), { ...WHOLE, version: 3 });
});

// Guards G9: a version accepted right before an outage that stays with the node that read it. Since
// dc1 cannot read it, its relays get it from dc0 and its third node from them.
test('partition: a change accepted right before an outage reaches every node', async (t) => {
  const mesh = await startFaultMesh(t, buildSites(1, 3));
  await mesh.setCuts([['dc1', 'platform']]);
  const version = await mesh.accept(buildConfig(8000));
  await waitFor('one node with the version', async () => {
    const views = await Promise.all(mesh.hosts.map(readView));
    return views.some((view) => view.version === version);
  });
  await mesh.setPlatformFaults({ down: true });
  await waitForVersion(mesh.hosts, version);
  const [entry] = mesh.hosts;
  assert.ok(entry);
  assert.deepEqual(await mesh.send(entry, CALLS.browse, 'outage'), { ...WHOLE, version });
});
